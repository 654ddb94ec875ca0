//! Allocation of one limit's units: free units, units that servers hold, and servers that wait for one.
use std::collections::{HashMap, VecDeque};

use coralstep_fleet::Member;

use super::fair_share::fair_share;
use super::{AllocationRow, MIN_ROUND_MS};
use crate::Millis;
use crate::lease::{TOKEN_LIFETIME_MS, lease_of, lengthen_by_drift};
use crate::limit::{LimitKey, LimitKind};
use crate::message::{Grant, QuotaRequest, to_wire_millis};

/// Maximum number of servers that hold units of one limit.
pub(super) const MAX_ALLOCATIONS: usize = 8_192;
/// Maximum number of servers that wait for units of one limit.
const MAX_WAITING_SERVERS: usize = 4_096;
/// A waiting server that sends no request for this long is removed from the wait queue, in milliseconds.
const WAITING_TIMEOUT_MS: Millis = 2 * TOKEN_LIFETIME_MS;
/// Minimum interval between grants of tokens to one server, in milliseconds.
const MIN_TOKEN_INTERVAL_MS: Millis = MIN_ROUND_MS * 3 / 4;

/// Upper bound of the units that one server holds, as the leader has to assume.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Allocation {
    units: u32,
    expires: Millis,
    wanted: u32,
    /// Sequence number of the server's last requests.
    sequence: u32,
    /// When tokens were last granted to the server; 0 if never.
    tokens_granted: Millis,
}

/// A server that requested units and was granted none.
#[derive(Clone, Debug)]
struct WaitingServer {
    member: Member,
    last_request: Millis,
}

/// The sender of a message of requests.
pub(super) struct Requester<'a> {
    pub(super) member: &'a Member,
    pub(super) sequence: u32,
    /// Whether its tokens were granted in this leader's term.
    pub(super) same_term: bool,
    /// Whether units that the previous leader granted may still be in use.
    pub(super) leader_is_recovering: bool,
    /// Lease of units for RPCs in flight, in milliseconds.
    pub(super) in_flight_lease: Millis,
}

/// The values of a request after validation.
#[derive(Clone, Copy)]
struct ValidatedRequest {
    held: u32,
    wanted: u32,
}

/// The leader's decision on a request.
struct Decision {
    /// Units in the grant that the server receives.
    granted: u32,
    /// Units that the leader counts as allocated to the server.
    counted: u32,
    tokens_granted: Millis,
}

/// Allocates the units of one limit to servers.
#[derive(Clone, Debug)]
pub(super) struct LimitAllocator {
    kind: LimitKind,
    /// Free tokens of a rate limit.
    bucket: f64,
    /// Time of the last refill of the bucket.
    last_refill: Millis,
    allocations: HashMap<Member, Allocation>,
    /// Servers in the order in which they began to wait.
    waiting: VecDeque<WaitingServer>,
}

impl LimitAllocator {
    /// Creates an allocator whose bucket is empty and refills from `refill_start` on, as tokens that the previous
    /// leader granted may still be in use.
    pub(super) fn new(kind: LimitKind, refill_start: Millis) -> LimitAllocator {
        LimitAllocator {
            kind,
            bucket: 0.0,
            last_refill: refill_start,
            allocations: HashMap::new(),
            waiting: VecDeque::new(),
        }
    }

    pub(super) fn set_kind(&mut self, kind: LimitKind) {
        self.kind = kind;
    }

    /// Returns the units that servers may hold.
    pub(super) fn allocated_units(&self) -> u32 {
        let units = self.allocations.values().map(|allocation| allocation.units);
        units.fold(0, u32::saturating_add)
    }

    /// Returns the units that servers other than `member` may hold.
    fn units_of_others(&self, member: &Member) -> u32 {
        let others = self
            .allocations
            .iter()
            .filter(|(holder, _)| *holder != member);
        let units = others.map(|(_, allocation)| allocation.units);
        units.fold(0, u32::saturating_add)
    }

    /// Frees units whose lease has ended, and refills the bucket up to the limit minus the units that servers hold.
    pub(super) fn expire_and_refill(&mut self, now: Millis) {
        self.allocations
            .retain(|_, allocation| now < allocation.expires);
        self.waiting
            .retain(|waiting| now.saturating_sub(waiting.last_request) <= WAITING_TIMEOUT_MS);
        if let LimitKind::Rate { rps, .. } = self.kind {
            let seconds = now.saturating_sub(self.last_refill) as f64 / 1000.0;
            let capacity = f64::from(self.kind.units()) - f64::from(self.allocated_units());
            self.bucket = (self.bucket + seconds * rps).min(capacity).max(0.0);
        }
        self.last_refill = now.max(self.last_refill);
    }

    /// Answers one request. Returns `None` if it is not newer than the server's last one, or if too many servers hold
    /// units.
    pub(super) fn handle_request(
        &mut self,
        now: Millis,
        requester: &Requester<'_>,
        request: &QuotaRequest,
    ) -> Option<Grant> {
        let validated = ValidatedRequest {
            held: self.validated_held(requester, request.held),
            wanted: request.wanted.min(self.kind.units()),
        };
        self.expire_and_refill(now);
        let current = self.allocations.get(requester.member).copied();
        // Guards against duplicated or delayed messages, whose contents are outdated.
        let is_stale = current.is_some_and(|current| current.sequence >= requester.sequence);
        if is_stale || (current.is_none() && self.allocations.len() >= MAX_ALLOCATIONS) {
            return None;
        }
        let current = current.unwrap_or_default();
        let decision = match self.kind {
            LimitKind::Rate { .. } => self.decide_tokens(now, requester, current, validated),
            LimitKind::InFlight(max) => self.decide_in_flight(max, requester, current, validated),
        };
        let lease = lease_of(self.kind, requester.in_flight_lease);
        let has_to_wait = validated.wanted > 0 && decision.granted == 0;
        self.update_wait_queue(now, requester.member, has_to_wait);
        self.record_allocation(now, requester, validated, &decision, lease);
        let wait_ms = if has_to_wait {
            self.expected_wait(now, requester.member, lease)
        } else {
            0
        };
        Some(Grant {
            key: request.key,
            units: decision.granted,
            wait_ms,
        })
    }

    /// Returns how many of the units that a server reports it can really hold.
    fn validated_held(&self, requester: &Requester<'_>, held: u32) -> u32 {
        match self.kind {
            // This leader did not grant tokens of another term.
            LimitKind::Rate { .. } if !requester.same_term => 0,
            LimitKind::Rate { .. } => held,
            LimitKind::InFlight(_) if requester.leader_is_recovering => held,
            // Guards against a server that reports units that it was never granted.
            LimitKind::InFlight(_) => {
                let current = self.allocations.get(requester.member);
                held.min(current.map_or(0, |current| current.units))
            }
        }
    }

    /// Grants tokens from the bucket, up to the server's fair share. One token is reserved for each server that has
    /// waited longer.
    fn decide_tokens(
        &mut self,
        now: Millis,
        requester: &Requester<'_>,
        current: Allocation,
        validated: ValidatedRequest,
    ) -> Decision {
        // Tokens whose grant was lost are not used by the server.
        let held = validated.held.min(current.units);
        let missing = validated.wanted.saturating_sub(held);
        let reserved = self.count_waiting_before(requester.member);
        let free = (self.bucket.floor() as u32).saturating_sub(reserved);
        let fair_share_left = self
            .fair_share_of(requester.member, validated.wanted)
            .saturating_sub(held)
            .max(1);
        // Guards against requests more often than once per round, which would exceed the fair share of new tokens.
        let requested_too_soon =
            current.tokens_granted > 0 && now < current.tokens_granted + MIN_TOKEN_INTERVAL_MS;
        let additional = if requested_too_soon {
            0
        } else {
            missing.min(free).min(fair_share_left)
        };
        self.bucket -= f64::from(additional);
        Decision {
            granted: held + additional,
            counted: held + additional,
            tokens_granted: if additional > 0 {
                now
            } else {
                current.tokens_granted
            },
        }
    }

    /// Grants units for RPCs in flight that no other server holds, up to the server's fair share. One unit is reserved
    /// for each server that has waited longer, even from a server that already holds some, so that servers take turns
    /// if there are more of them than units.
    fn decide_in_flight(
        &self,
        max: u32,
        requester: &Requester<'_>,
        current: Allocation,
        validated: ValidatedRequest,
    ) -> Decision {
        let available = max.saturating_sub(self.units_of_others(requester.member));
        let free = if requester.leader_is_recovering {
            validated.held.min(available)
        } else {
            available.saturating_sub(self.count_waiting_before(requester.member))
        };
        let fair_share = self.fair_share_of(requester.member, validated.wanted);
        let granted = validated.wanted.min(free).min(fair_share);
        // Units stay allocated until the server reports fewer, as the grant that lowers them may be lost. More than
        // the others leave available is not counted, so that a forged report takes no units from other servers.
        let counted = granted.max(validated.held.min(available));
        Decision {
            granted,
            counted,
            tokens_granted: current.tokens_granted,
        }
    }

    /// Returns the fair share of a server that wants `wanted` units; at least one unit.
    fn fair_share_of(&self, member: &Member, wanted: u32) -> u32 {
        let others = self
            .allocations
            .iter()
            .filter(|(holder, _)| *holder != member);
        let demands = others
            .map(|(_, allocation)| allocation.wanted)
            .chain([wanted]);
        fair_share(demands, self.kind.units()).max(1)
    }

    /// Returns the number of servers that have waited longer than `member`.
    fn count_waiting_before(&self, member: &Member) -> u32 {
        let position = self.waiting_position(member);
        position.unwrap_or(self.waiting.len()) as u32
    }

    fn waiting_position(&self, member: &Member) -> Option<usize> {
        self.waiting
            .iter()
            .position(|waiting| waiting.member == *member)
    }

    fn update_wait_queue(&mut self, now: Millis, member: &Member, has_to_wait: bool) {
        match (has_to_wait, self.waiting_position(member)) {
            (true, Some(position)) => self.waiting[position].last_request = now,
            (true, None) if self.waiting.len() < MAX_WAITING_SERVERS => {
                self.waiting.push_back(WaitingServer {
                    member: member.clone(),
                    last_request: now,
                });
            }
            (false, Some(position)) => drop(self.waiting.remove(position)),
            _ => {}
        }
    }

    fn record_allocation(
        &mut self,
        now: Millis,
        requester: &Requester<'_>,
        validated: ValidatedRequest,
        decision: &Decision,
        lease: Millis,
    ) {
        let has_any = decision.counted > 0 || validated.wanted > 0;
        let retention = if has_any {
            lengthen_by_drift(lease)
        } else {
            // Only the sequence number is needed.
            TOKEN_LIFETIME_MS
        };
        let allocation = Allocation {
            units: decision.counted,
            expires: now + retention,
            wanted: validated.wanted,
            sequence: requester.sequence,
            tokens_granted: decision.tokens_granted,
        };
        self.allocations
            .insert(requester.member.clone(), allocation);
    }

    /// Returns the expected time until a waiting server is granted a unit, in milliseconds.
    fn expected_wait(&self, now: Millis, member: &Member, lease: Millis) -> u32 {
        match self.kind {
            LimitKind::Rate { rps, .. } => {
                let position = f64::from(self.count_waiting_before(member)) + 1.0;
                to_wire_millis((position / rps * 1000.0) as Millis + MIN_ROUND_MS / 2)
            }
            // Other servers are reduced to their fair share at their next requests, or their leases end.
            LimitKind::InFlight(_) => {
                let leases = self.allocations.values();
                let soonest = leases
                    .map(|allocation| allocation.expires.saturating_sub(now))
                    .min();
                to_wire_millis(soonest.unwrap_or(lease).min(2 * MIN_ROUND_MS))
            }
        }
    }

    /// Returns the units of this limit that each server may hold.
    pub(super) fn rows(&self, key: LimitKey, now: Millis) -> impl Iterator<Item = AllocationRow> {
        let holders = self
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.units > 0);
        holders.map(move |(member, allocation)| AllocationRow {
            key,
            server: member.name.clone(),
            units: allocation.units,
            lease_ms: allocation.expires.saturating_sub(now),
        })
    }
}
