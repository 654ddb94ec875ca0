//! Joins the leader, the client and the election to one extension of the fleet's gossip.
//!
//! It sends this server's requests to the leader, answers those of others where it leads, votes, and spreads what it
//! holds, so that any server can show all shares.
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
use crate::message::{GrantBatch, Message, QuotaRequest, TermId, wire_millis};
pub use event::QuotaEvent;
use leader_contact::LeaderContact;
use share_report::ShareReport;
pub use share_report::ShareRow;

/// A server reports its own shares anew this often, in milliseconds.
const REPORT_INTERVAL_MS: Millis = 1_000;
/// Events that are kept until they are taken.
const MAX_EVENTS: usize = 256;

/// The limits of the whole fleet at one server. Times are milliseconds of its monotonic clock.
pub struct QuotaExtension {
    own: Member,
    election: LeaderElection,
    /// Where this server leads.
    leader: Option<QuotaLeader>,
    client: QuotaClient,
    limits: Vec<Limit>,
    contact: LeaderContact,
    /// Members that are excluded; they are granted nothing.
    excluded: HashSet<Member>,
    reports: Disseminator<ShareReport>,
    report_sequence: u64,
    next_report: Millis,
    /// Lease of RPCs in flight.
    lease: Millis,
    events: Vec<QuotaEvent>,
}

impl QuotaExtension {
    /// A server without limits, started at `now`.
    ///
    /// `candidates` are the names of servers that may lead, and `lease` that of RPCs in flight in milliseconds; both
    /// are the same on all servers.
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

    fn record(&mut self, event: QuotaEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }

    /// Takes the events since the last call, for the log.
    pub fn take_events(&mut self) -> Vec<QuotaEvent> {
        std::mem::take(&mut self.events)
    }

    /// Applies these limits from now on.
    pub fn set_limits(&mut self, now: Millis, limits: &[Limit]) {
        if limits == self.limits {
            return;
        }
        self.limits = limits.to_vec();
        self.client.set_limits(limits, now);
        if let Some(leader) = &mut self.leader {
            leader.set_limits(now, limits);
        }
        self.record(QuotaEvent::LimitsChanged(limits.len()));
    }

    /// Takes a unit of each limit that applies to an RPC which is answered within `due_within` milliseconds.
    ///
    /// # Errors
    ///
    /// Where a limit has no unit left; nothing is taken then.
    pub fn admit(
        &mut self,
        now: Millis,
        request: RequestKey,
        due_within: Millis,
    ) -> Result<QuotaPermit, QuotaExhausted> {
        self.client.admit(now, request, due_within)
    }

    /// Gives back the units of an RPC that is answered.
    pub fn release(&mut self, permit: QuotaPermit) {
        self.client.release(permit);
    }

    /// The units that this server holds.
    pub fn client(&self) -> &QuotaClient {
        &self.client
    }

    /// Whether this server grants quota now.
    pub fn is_leader(&self, now: Millis) -> bool {
        self.leader.is_some() && self.election.is_leader(now)
    }

    /// All shares by limit and server: this server's own, and the others' as they reported.
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
        self.record(QuotaEvent::TermBegan);
    }

    fn end_lapsed_term(&mut self, now: Millis) {
        if self.leader.is_some() && !self.election.is_leader(now) {
            self.leader = None;
            self.record(QuotaEvent::TermEnded);
        }
    }

    /// The leader's answer to requests; none where this server doesn't lead.
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
            requests.iter_mut().for_each(want_no_more_than_held);
        }
        let same_term = term == own_term;
        let grants = leader.handle_requests(now, from, batch.sequence, same_term, &requests);
        let next_round_ms = leader.next_round(now);
        Some(GrantBatch {
            term: own_term,
            sequence: batch.sequence,
            lease_ms: wire_millis(leader.lease()),
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
        // Guards against a lease that is not the one that all servers reckon by.
        if batch.lease_ms != wire_millis(self.lease) {
            return;
        }
        self.client.handle_grants(now, batch);
        if self.contact.note_answer() {
            self.record(QuotaEvent::Reconnected);
        }
    }

    /// Handles one message; the answer, if there is one.
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

    fn note_members(&mut self, view: &MembershipView<'_>) {
        self.own = view.own.clone();
        self.client.note_members(view.present.len() + 1);
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

    fn tick_election(&mut self, now: Millis, draining: bool) -> Vec<OutgoingMessage> {
        let tick = self.election.tick(now, self.contact.candidates(), draining);
        if tick.term_began {
            self.begin_term(now);
        }
        self.end_lapsed_term(now);
        let to_send = tick.messages.iter();
        to_send
            .map(|AddressedMessage { to, message }| {
                OutgoingMessage::new(to.address, message.encode())
            })
            .collect()
    }

    /// Sends this round's requests to the leader, which may be this server.
    fn send_requests(&mut self, now: Millis, draining: bool) -> Vec<OutgoingMessage> {
        let mut outgoing = Vec::new();
        for batch in self.client.poll_requests(now, draining) {
            let term = self.client.term();
            let elected = self.election.leader(now).cloned();
            let Some(leader) = elected.or_else(|| self.contact.choose(now)) else {
                continue;
            };
            if leader == self.own {
                let own = self.own.clone();
                if let Some(grants) = self.grant(now, &own, term, &batch) {
                    self.handle_grants(now, &grants);
                }
                continue;
            }
            self.contact.note_request(now);
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

/// An excluded server may give back what it holds, and gets nothing more.
fn want_no_more_than_held(request: &mut QuotaRequest) {
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
        self.note_members(view);
        let mut outgoing = self.tick_election(now, view.leaving);
        outgoing.extend(self.send_requests(now, view.leaving));
        if self.contact.detect_cut_off(now) {
            self.record(QuotaEvent::CutOff);
        }
        self.report_shares(now);
        outgoing
    }
}
