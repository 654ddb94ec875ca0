//! One limit in the leader's books: free units, units that servers hold, and who waits for one.
use std::collections::{HashMap, VecDeque};

use coralstep_fleet::Member;

use super::fair_share::fair_share;
use super::{AllocationRow, MIN_ROUND_MS};
use crate::Millis;
use crate::lease::{TOKEN_LIFETIME_MS, lease_of, lengthen_by_drift};
use crate::limit::{LimitKey, LimitKind};
use crate::message::{Grant, QuotaRequest, wire_millis};

/// Servers that may hold units of one limit.
pub(super) const MAX_ALLOCATIONS: usize = 8_192;
/// Servers that may wait for one limit.
const MAX_WAITING: usize = 4_096;
/// A server that waits, and wasn't heard of for this long, loses its place; in milliseconds.
const MAX_WAITING_SILENCE_MS: Millis = 2 * TOKEN_LIFETIME_MS;
/// Tokens are granted to one server no more often than this, in milliseconds.
const MIN_TOKEN_INTERVAL_MS: Millis = MIN_ROUND_MS * 3 / 4;

/// What one server may hold, as far as the leader has to suppose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Allocation {
    units: u32,
    expires: Millis,
    wanted: u32,
    /// Sequence number of the server's last requests.
    sequence: u32,
    /// When it last got tokens; 0 for never.
    tokens_granted: Millis,
}

/// A server that wanted units and got none.
#[derive(Clone, Debug)]
struct Waiting {
    member: Member,
    last_heard: Millis,
}

/// The server that a message of requests is from.
pub(super) struct Requester<'a> {
    pub(super) member: &'a Member,
    pub(super) sequence: u32,
    /// Its tokens were granted in this leader's term.
    pub(super) same_term: bool,
    /// Units that the leader before granted may still be in use.
    pub(super) leader_recovers: bool,
    /// Lease of RPCs in flight, in milliseconds.
    pub(super) in_flight_lease: Millis,
}

/// A request, as far as it is believed.
#[derive(Clone, Copy)]
struct Claim {
    held: u32,
    wanted: u32,
}

/// What a request leads to.
struct Decision {
    /// Units that the server is told that it holds.
    granted: u32,
    /// Units that are counted as its own.
    counted: u32,
    tokens_granted: Millis,
}

#[derive(Clone, Debug)]
pub(super) struct Ledger {
    kind: LimitKind,
    /// Tokens of a rate that nobody holds.
    bucket: f64,
    /// When the bucket was last refilled.
    settled: Millis,
    allocations: HashMap<Member, Allocation>,
    /// The longest waiting first.
    waiting: VecDeque<Waiting>,
}

impl Ledger {
    /// Starts with an empty bucket, filled from `filled_from` on: what the leader before granted may still be used.
    pub(super) fn new(kind: LimitKind, filled_from: Millis) -> Ledger {
        Ledger {
            kind,
            bucket: 0.0,
            settled: filled_from,
            allocations: HashMap::new(),
            waiting: VecDeque::new(),
        }
    }

    pub(super) fn set_kind(&mut self, kind: LimitKind) {
        self.kind = kind;
    }

    /// Units that servers may hold.
    pub(super) fn allocated(&self) -> u32 {
        let units = self.allocations.values().map(|held| held.units);
        units.fold(0, u32::saturating_add)
    }

    /// Units that servers other than `member` may hold.
    fn allocated_to_others(&self, member: &Member) -> u32 {
        let others = self.allocations.iter().filter(|(of, _)| *of != member);
        let units = others.map(|(_, held)| held.units);
        units.fold(0, u32::saturating_add)
    }

    /// Frees units whose lease is over, and refills the bucket to what the limit leaves beside the units held.
    pub(super) fn settle(&mut self, now: Millis) {
        self.allocations.retain(|_, held| now < held.expires);
        self.waiting
            .retain(|one| now.saturating_sub(one.last_heard) <= MAX_WAITING_SILENCE_MS);
        if let LimitKind::Rate { rps, .. } = self.kind {
            let seconds = now.saturating_sub(self.settled) as f64 / 1000.0;
            let capacity = f64::from(self.kind.units()) - f64::from(self.allocated());
            self.bucket = (self.bucket + seconds * rps).min(capacity).max(0.0);
        }
        self.settled = now.max(self.settled);
    }

    /// Decides on one request; none where it is older than the server's last, or too many servers hold units.
    pub(super) fn handle_request(
        &mut self,
        now: Millis,
        from: &Requester<'_>,
        request: &QuotaRequest,
    ) -> Option<Grant> {
        let claim = Claim {
            held: self.believed_held(from, request.held),
            wanted: request.wanted.min(self.kind.units()),
        };
        self.settle(now);
        let known = self.allocations.get(from.member).copied();
        // Guards against messages that come twice or late: what they say is no longer so.
        let is_stale = known.is_some_and(|known| known.sequence >= from.sequence);
        if is_stale || (known.is_none() && self.allocations.len() >= MAX_ALLOCATIONS) {
            return None;
        }
        let known = known.unwrap_or_default();
        let decision = match self.kind {
            LimitKind::Rate { .. } => self.decide_tokens(now, from, known, claim),
            LimitKind::InFlight(max) => self.decide_in_flight(max, from, known, claim),
        };
        let lease = lease_of(self.kind, from.in_flight_lease);
        let has_to_wait = claim.wanted > 0 && decision.granted == 0;
        self.update_waiting(now, from.member, has_to_wait);
        self.record(now, from, claim, &decision, lease);
        let wait_ms = if has_to_wait {
            self.expected_wait(now, from.member, lease)
        } else {
            0
        };
        Some(Grant {
            key: request.key,
            units: decision.granted,
            wait_ms,
        })
    }

    /// The units that a server may really hold of those that it says it holds.
    fn believed_held(&self, from: &Requester<'_>, held: u32) -> u32 {
        match self.kind {
            // Tokens of another term are not known to this leader.
            LimitKind::Rate { .. } if !from.same_term => 0,
            LimitKind::Rate { .. } => held,
            LimitKind::InFlight(_) if from.leader_recovers => held,
            // Guards against a server that claims units that nobody granted it.
            LimitKind::InFlight(_) => {
                let known = self.allocations.get(from.member);
                held.min(known.map_or(0, |known| known.units))
            }
        }
    }

    /// Tokens are taken out of the bucket: what is free beside the units owed to those who wait for longer, up to the
    /// fair share of all that want some.
    fn decide_tokens(
        &mut self,
        now: Millis,
        from: &Requester<'_>,
        known: Allocation,
        claim: Claim,
    ) -> Decision {
        // Tokens that were granted and never arrived are not used any more.
        let held = claim.held.min(known.units);
        let missing = claim.wanted.saturating_sub(held);
        let owed = self.waiting_before(from.member);
        let free = (self.bucket.floor() as u32).saturating_sub(owed);
        let below_fair_share = self
            .fair_share_of(from.member, claim.wanted)
            .saturating_sub(held)
            .max(1);
        // Guards against a server that requests more often than its round, and so gets all that comes in: the fair
        // share is one of rounds.
        let is_too_soon =
            known.tokens_granted > 0 && now < known.tokens_granted + MIN_TOKEN_INTERVAL_MS;
        let more = if is_too_soon {
            0
        } else {
            missing.min(free).min(below_fair_share)
        };
        self.bucket -= f64::from(more);
        Decision {
            granted: held + more,
            counted: held + more,
            tokens_granted: if more > 0 { now } else { known.tokens_granted },
        }
    }

    /// RPCs in flight are granted out of what others don't hold, up to the fair share. Those who wait for longer are
    /// owed one each, also by who holds some: where there are more servers than units, they take turns.
    fn decide_in_flight(
        &self,
        max: u32,
        from: &Requester<'_>,
        known: Allocation,
        claim: Claim,
    ) -> Decision {
        let not_others = max.saturating_sub(self.allocated_to_others(from.member));
        let free = if from.leader_recovers {
            claim.held.min(not_others)
        } else {
            not_others.saturating_sub(self.waiting_before(from.member))
        };
        let fair_share = self.fair_share_of(from.member, claim.wanted);
        let granted = claim.wanted.min(free).min(fair_share);
        // What a server holds counts until it says that it holds less: the message that takes it away may be lost. Of
        // what it can't hold nothing counts: a forged figure takes room from nobody else.
        let counted = granted.max(claim.held.min(not_others));
        Decision {
            granted,
            counted,
            tokens_granted: known.tokens_granted,
        }
    }

    /// Units up to which all that want some can be served alike; one at the least.
    fn fair_share_of(&self, member: &Member, wanted: u32) -> u32 {
        let others = self.allocations.iter().filter(|(of, _)| *of != member);
        let wants = others.map(|(_, held)| held.wanted).chain([wanted]);
        fair_share(wants, self.kind.units()).max(1)
    }

    /// Servers that have waited for longer than `member`.
    fn waiting_before(&self, member: &Member) -> u32 {
        let place = self.waiting_place(member);
        place.unwrap_or(self.waiting.len()) as u32
    }

    fn waiting_place(&self, member: &Member) -> Option<usize> {
        self.waiting.iter().position(|one| one.member == *member)
    }

    fn update_waiting(&mut self, now: Millis, member: &Member, has_to_wait: bool) {
        match (has_to_wait, self.waiting_place(member)) {
            (true, Some(place)) => self.waiting[place].last_heard = now,
            (true, None) if self.waiting.len() < MAX_WAITING => self.waiting.push_back(Waiting {
                member: member.clone(),
                last_heard: now,
            }),
            (false, Some(place)) => drop(self.waiting.remove(place)),
            _ => {}
        }
    }

    fn record(
        &mut self,
        now: Millis,
        from: &Requester<'_>,
        claim: Claim,
        decision: &Decision,
        lease: Millis,
    ) {
        let has_any = decision.counted > 0 || claim.wanted > 0;
        let remembered_for = if has_any {
            lengthen_by_drift(lease)
        } else {
            // Only for its sequence number.
            TOKEN_LIFETIME_MS
        };
        let allocation = Allocation {
            units: decision.counted,
            expires: now + remembered_for,
            wanted: claim.wanted,
            sequence: from.sequence,
            tokens_granted: decision.tokens_granted,
        };
        self.allocations.insert(from.member.clone(), allocation);
    }

    /// Milliseconds until a server that waits gets its unit.
    fn expected_wait(&self, now: Millis, member: &Member, lease: Millis) -> u32 {
        match self.kind {
            LimitKind::Rate { rps, .. } => {
                let place = f64::from(self.waiting_before(member)) + 1.0;
                wire_millis((place / rps * 1000.0) as Millis + MIN_ROUND_MS / 2)
            }
            // Others come down to their fair share with their next requests; else their leases end.
            LimitKind::InFlight(_) => {
                let leases = self.allocations.values();
                let soonest = leases.map(|held| held.expires.saturating_sub(now)).min();
                wire_millis(soonest.unwrap_or(lease).min(2 * MIN_ROUND_MS))
            }
        }
    }

    /// What each server may hold of this limit.
    pub(super) fn rows(&self, key: LimitKey, now: Millis) -> impl Iterator<Item = AllocationRow> {
        let holders = self.allocations.iter().filter(|(_, held)| held.units > 0);
        holders.map(move |(member, held)| AllocationRow {
            key,
            server: member.name.clone(),
            units: held.units,
            lease_ms: held.expires.saturating_sub(now),
        })
    }
}
