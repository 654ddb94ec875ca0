//! Combines leader, client and election into an extension of the fleet's gossip.
//!
//! It sends this server's requests to the leader, answers the requests of other servers while it leads, votes, and
//! gossips the units that it holds, so that every server can show all shares.
mod event;
mod leader_contact;
mod share_report;

use std::collections::{BTreeMap, HashSet};

use coralstep_fleet::Member;
use coralstep_fleet::extension::{GossipExtension, MembershipView, Message as OutgoingMessage};
use coralstep_fleet::gossip::Disseminator;

use crate::Millis;
use crate::client::{QuotaClient, QuotaExhausted, QuotaPermit, RequestBatch};
use crate::election::{AddressedMessage, LeaderElection};
use crate::leader::QuotaLeader;
use crate::limit::{Limit, RequestKey};
use crate::message::{GrantBatch, Message, QuotaRequest, TermId, to_wire_millis};
pub use event::QuotaEvent;
use leader_contact::LeaderContact;
use share_report::ShareReport;
pub use share_report::ShareRow;

/// Interval at which a server reports its shares, in milliseconds.
const REPORT_INTERVAL_MS: Millis = 1_000;
/// Maximum number of events kept until they are taken; further ones are dropped.
const MAX_EVENTS: usize = 256;

/// Enforces the fleet-wide limits at one server. Times are milliseconds of its monotonic clock.
pub struct QuotaExtension {
    own: Member,
    election: LeaderElection,
    /// `Some` while this server leads.
    leader: Option<QuotaLeader>,
    client: QuotaClient,
    limits: Vec<Limit>,
    contact: LeaderContact,
    /// Excluded members, which are granted no further units.
    excluded: HashSet<Member>,
    reports: Disseminator<ShareReport>,
    report_sequence: u64,
    next_report: Millis,
    /// Lease of units for RPCs in flight.
    lease: Millis,
    events: Vec<QuotaEvent>,
}

impl QuotaExtension {
    /// Creates the extension of a server that started at `now`, without limits.
    ///
    /// `candidates` are the names of servers that may lead, and `lease` is the lease of units for RPCs in flight in
    /// milliseconds. Both have to be the same on all servers.
    pub fn new(
        own: &Member,
        candidates: &[String],
        lease: Millis,
        seed: u64,
        now: Millis,
    ) -> QuotaExtension {
        QuotaExtension {
            own: own.clone(),
            election: LeaderElection::new(own, candidates, lease, seed, now),
            leader: None,
            client: QuotaClient::new(&[], now),
            limits: Vec::new(),
            contact: LeaderContact::new(own, seed),
            excluded: HashSet::new(),
            reports: Disseminator::default(),
            report_sequence: 0,
            next_report: now,
            lease,
            events: Vec::new(),
        }
    }

    fn record_event(&mut self, event: QuotaEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }

    /// Returns the events since the last call, for the log.
    pub fn take_events(&mut self) -> Vec<QuotaEvent> {
        std::mem::take(&mut self.events)
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, now: Millis, limits: &[Limit]) {
        if limits == self.limits {
            return;
        }
        self.limits = limits.to_vec();
        self.client.set_limits(limits, now);
        if let Some(leader) = &mut self.leader {
            leader.set_limits(now, limits);
        }
        self.record_event(QuotaEvent::LimitsChanged(limits.len()));
    }

    /// Takes a unit of each limit that applies to an RPC that is answered within `max_duration` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns [`QuotaExhausted`] and takes no unit if any of the limits has no unit left.
    pub fn admit(
        &mut self,
        now: Millis,
        request: RequestKey,
        max_duration: Millis,
    ) -> Result<QuotaPermit, QuotaExhausted> {
        self.client.admit(now, request, max_duration)
    }

    /// Releases the units of an RPC that was answered.
    pub fn release(&mut self, permit: QuotaPermit) {
        self.client.release(permit);
    }

    /// Returns the client, which holds this server's units.
    pub fn client(&self) -> &QuotaClient {
        &self.client
    }

    /// Returns whether this server is the quota leader at `now`.
    pub fn is_leader(&self, now: Millis) -> bool {
        self.leader.is_some() && self.election.is_leader(now)
    }

    /// Returns all shares by limit and server: this server's own, and those that other servers reported.
    pub fn share_rows(&self, now: Millis) -> Vec<ShareRow> {
        let allocations = self.leader.as_ref().map(|leader| leader.allocations(now));
        let mut rows = share_report::own_rows(&self.limits, &self.own, &self.client.statuses(now));
        for received in self.reports.iter() {
            let age = now.saturating_sub(received.sent_at);
            let allocations = allocations.as_deref().unwrap_or_default();
            rows.extend(received.value.rows(&self.limits, age, allocations));
        }
        rows.sort_by(|a, b| (&a.limit, &a.server).cmp(&(&b.limit, &b.server)));
        rows
    }

    fn begin_term(&mut self, now: Millis) {
        let mut leader = QuotaLeader::new(now, self.lease);
        leader.set_limits(now, &self.limits);
        self.leader = Some(leader);
        self.record_event(QuotaEvent::TermBegan);
    }

    fn end_lapsed_term(&mut self, now: Millis) {
        if self.leader.is_some() && !self.election.is_leader(now) {
            self.leader = None;
            self.record_event(QuotaEvent::TermEnded);
        }
    }

    /// Returns the leader's answer to requests, or `None` if this server does not lead.
    fn grant(
        &mut self,
        now: Millis,
        from: &Member,
        term: TermId,
        batch: &RequestBatch,
    ) -> Option<GrantBatch> {
        self.end_lapsed_term(now);
        let own_term = self.election.term();
        let is_excluded = self.excluded.contains(from);
        let leader = self.leader.as_mut()?;
        let mut requests = batch.requests.clone();
        if is_excluded {
            requests.iter_mut().for_each(cap_wanted_at_held);
        }
        let same_term = term == own_term;
        let grants = leader.handle_requests(now, from, batch.sequence, same_term, &requests);
        let next_round_ms = leader.round_interval(now);
        Some(GrantBatch {
            term: own_term,
            sequence: batch.sequence,
            lease_ms: to_wire_millis(leader.lease()),
            next_round_ms: u16::try_from(next_round_ms).unwrap_or(u16::MAX),
            grants,
        })
    }

    fn handle_requests(
        &mut self,
        now: Millis,
        from: &Member,
        term: TermId,
        batch: &RequestBatch,
    ) -> Message {
        match self.grant(now, from, term, batch) {
            Some(grants) => Message::Grants(grants),
            None => Message::NotLeader {
                leader: self.election.leader(now).cloned(),
            },
        }
    }

    fn handle_grants(&mut self, now: Millis, batch: &GrantBatch) {
        // Guards against a leader that is configured with another lease.
        if batch.lease_ms != to_wire_millis(self.lease) {
            return;
        }
        self.client.handle_grants(now, batch);
        if self.contact.record_answer() {
            self.record_event(QuotaEvent::Reconnected);
        }
    }

    /// Handles one message and returns the answer, if there is one.
    fn respond(&mut self, now: Millis, from: &Member, message: Message) -> Option<Message> {
        match message {
            Message::Requests {
                term,
                sequence,
                requests,
            } => {
                let batch = RequestBatch { sequence, requests };
                Some(self.handle_requests(now, from, term, &batch))
            }
            Message::Grants(batch) => {
                self.contact.set_known_leader(Some(from.clone()));
                self.handle_grants(now, &batch);
                None
            }
            Message::NotLeader { leader } => {
                let leader = leader.filter(|leader| self.election.is_candidate(&leader.name));
                self.contact.set_known_leader(leader);
                None
            }
            Message::VoteRequest { ballot, lease_ms } => {
                let granted = self
                    .election
                    .handle_vote_request(now, from, ballot, lease_ms);
                Some(Message::Vote { ballot, granted })
            }
            Message::Vote { ballot, granted } => {
                if self.election.handle_vote(now, &from.name, ballot, granted) {
                    self.begin_term(now);
                }
                None
            }
            Message::VoteRelease { ballot } => {
                self.election.handle_vote_release(from, ballot);
                None
            }
        }
    }

    fn update_members(&mut self, view: &MembershipView<'_>) {
        self.own = view.own.clone();
        self.client.record_member_count(view.present.len() + 1);
        self.excluded = view
            .excluded
            .iter()
            .map(|member| (*member).clone())
            .collect();
        let candidates: BTreeMap<String, Member> = view
            .present
            .iter()
            .filter(|member| self.election.is_candidate(&member.name))
            .map(|member| (member.name.clone(), (*member).clone()))
            .collect();
        self.contact.set_candidates(candidates);
    }

    fn run_election(&mut self, now: Millis, draining: bool) -> Vec<OutgoingMessage> {
        let actions = self
            .election
            .handle_timeout(now, self.contact.candidates(), draining);
        if actions.term_began {
            self.begin_term(now);
        }
        self.end_lapsed_term(now);
        let addressed = actions.messages.iter();
        addressed
            .map(|AddressedMessage { to, message }| {
                OutgoingMessage::new(to.address, message.encode())
            })
            .collect()
    }

    /// Returns the messages with this round's requests to the leader; handles them locally if this server leads.
    fn send_requests(&mut self, now: Millis, draining: bool) -> Vec<OutgoingMessage> {
        let mut outgoing = Vec::new();
        for batch in self.client.poll_requests(now, draining) {
            let term = self.client.term();
            let elected = self.election.leader(now).cloned();
            let Some(leader) = elected.or_else(|| self.contact.choose_target(now)) else {
                continue;
            };
            if leader == self.own {
                let own = self.own.clone();
                if let Some(grants) = self.grant(now, &own, term, &batch) {
                    self.handle_grants(now, &grants);
                }
                continue;
            }
            self.contact.record_request(now);
            let requests = Message::Requests {
                term,
                sequence: batch.sequence,
                requests: batch.requests,
            };
            outgoing.push(OutgoingMessage::new(leader.address, requests.encode()));
        }
        outgoing
    }

    fn report_shares(&mut self, now: Millis) {
        if now < self.next_report || self.limits.is_empty() {
            return;
        }
        self.next_report = now + REPORT_INTERVAL_MS;
        self.reports.expire(now);
        self.report_sequence += 1;
        let statuses = self.client.statuses(now);
        let report = ShareReport::new(&self.own, self.report_sequence, statuses);
        self.reports.set_own(report);
    }
}

/// Limits a request to the held units: an excluded server may return units, but is granted no further ones.
fn cap_wanted_at_held(request: &mut QuotaRequest) {
    request.wanted = request.wanted.min(request.held);
}

impl GossipExtension for QuotaExtension {
    fn next_gossip(&mut self, now: Millis, max_bytes: usize) -> Option<Vec<u8>> {
        if self.limits.is_empty() {
            return None;
        }
        self.reports.next_payload(now, max_bytes)
    }

    fn handle_gossip(&mut self, now: Millis, own: &Member, bytes: &[u8]) {
        self.reports.receive(now, own, bytes);
    }

    fn handle_message(&mut self, now: Millis, from: &Member, bytes: &[u8]) -> Vec<OutgoingMessage> {
        let Ok(message) = Message::decode(bytes) else {
            return Vec::new();
        };
        let answer = self.respond(now, from, message);
        answer
            .into_iter()
            .map(|answer| OutgoingMessage::new(from.address, answer.encode()))
            .collect()
    }

    fn handle_timeout(&mut self, now: Millis, view: &MembershipView<'_>) -> Vec<OutgoingMessage> {
        if !self.election.has_candidates() {
            return Vec::new();
        }
        self.update_members(view);
        let mut outgoing = self.run_election(now, view.leaving);
        outgoing.extend(self.send_requests(now, view.leaving));
        if self.contact.detect_cut_off(now) {
            self.record_event(QuotaEvent::CutOff);
        }
        self.report_shares(now);
        outgoing
    }
}
