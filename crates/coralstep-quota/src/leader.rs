//! The leader grants units of every limit for one term and tracks which server holds how many, and until when.
//!
//! It counts units as allocated before it sends the grant, and until the server returns them or their lease ends. So
//! servers never hold more units than the limit has, whichever messages are lost.
mod fair_share;
mod limit_allocator;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use coralstep_fleet::Member;

use crate::Millis;
use crate::lease::{TOKEN_LIFETIME_MS, lengthen_by_drift};
use crate::limit::{Limit, LimitKey};
use crate::message::{Grant, QuotaRequest};
use limit_allocator::{LimitAllocator, MAX_ALLOCATIONS, Requester};

/// Minimum interval between a server's rounds of requests, in milliseconds. It grows with the number of clients, so
/// that the leader's answers use at most half of the bytes that a server may send.
pub(crate) const MIN_ROUND_MS: Millis = 250;
const ROUND_PER_CLIENT_MS: Millis = 2;
const MAX_ROUND_MS: Millis = 2_000;

/// Grants units during one term of this server as leader. Times are milliseconds of its monotonic clock.
#[derive(Debug)]
pub struct QuotaLeader {
    /// Lease of RPCs in flight.
    lease: Millis,
    /// Until then servers may hold units for RPCs in flight that the previous leader granted.
    recovery_ends: Millis,
    /// Until then servers may hold tokens that the previous leader granted.
    first_token_grant: Millis,
    allocators: BTreeMap<LimitKey, LimitAllocator>,
    /// Time of the last request, by server.
    clients: HashMap<Member, Millis>,
}

/// Units of a limit that one server may hold, shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct AllocationRow {
    /// The limit.
    pub key: LimitKey,
    /// Name of the server.
    pub server: String,
    /// Units that it may hold.
    pub units: u32,
    /// Milliseconds until their lease ends.
    pub lease_ms: Millis,
}

impl QuotaLeader {
    /// Creates a leader whose term begins at `now`; `lease` is the lease of units for RPCs in flight.
    ///
    /// Units that the previous leader granted may still be in use. So for one lease the leader only confirms the units
    /// for RPCs in flight that servers report, and it grants no tokens for [`TOKEN_LIFETIME_MS`].
    pub fn new(now: Millis, lease: Millis) -> QuotaLeader {
        QuotaLeader {
            lease,
            recovery_ends: now + lengthen_by_drift(lease),
            first_token_grant: now + lengthen_by_drift(TOKEN_LIFETIME_MS),
            allocators: BTreeMap::new(),
            clients: HashMap::new(),
        }
    }

    /// Replaces the limits. Units that servers hold stay allocated until their lease ends or they are returned.
    pub fn set_limits(&mut self, now: Millis, limits: &[Limit]) {
        let refill_start = now.max(self.first_token_grant);
        for limit in limits {
            let allocator = self
                .allocators
                .entry(limit.key)
                .or_insert_with(|| LimitAllocator::new(limit.kind, refill_start));
            allocator.expire_and_refill(now);
            allocator.set_kind(limit.kind);
        }
        let keys: BTreeSet<LimitKey> = limits.iter().map(|limit| limit.key).collect();
        // Guards against granting units twice if a limit is removed and added again while servers still hold its units.
        self.allocators.retain(|key, allocator| {
            allocator.expire_and_refill(now);
            keys.contains(key) || allocator.allocated_units() > 0
        });
    }

    /// Answers a server's requests. `same_term` is true if this leader granted the tokens that the server holds.
    ///
    /// Ignores requests for unknown limits and those that are not newer than the server's last ones.
    pub fn handle_requests(
        &mut self,
        now: Millis,
        from: &Member,
        sequence: u32,
        same_term: bool,
        requests: &[QuotaRequest],
    ) -> Vec<Grant> {
        if self.clients.len() < MAX_ALLOCATIONS || self.clients.contains_key(from) {
            self.clients.insert(from.clone(), now);
        }
        let requester = Requester {
            member: from,
            sequence,
            same_term,
            leader_is_recovering: now < self.recovery_ends,
            in_flight_lease: self.lease,
        };
        let mut grants = Vec::new();
        for request in requests {
            if let Some(allocator) = self.allocators.get_mut(&request.key) {
                grants.extend(allocator.handle_request(now, &requester, request));
            }
        }
        grants
    }

    /// Returns the time after which a server should send its next requests, in milliseconds.
    pub fn round_interval(&mut self, now: Millis) -> Millis {
        self.clients
            .retain(|_, requested| now.saturating_sub(*requested) <= 2 * MAX_ROUND_MS);
        let clients = self.clients.len() as Millis;
        (MIN_ROUND_MS + ROUND_PER_CLIENT_MS * clients).min(MAX_ROUND_MS)
    }

    /// Returns the lease of units for RPCs in flight, in milliseconds.
    pub fn lease(&self) -> Millis {
        self.lease
    }

    /// Returns the units that servers may hold, sorted by limit and server.
    pub fn allocations(&self, now: Millis) -> Vec<AllocationRow> {
        let mut rows: Vec<AllocationRow> = self
            .allocators
            .iter()
            .flat_map(|(key, allocator)| allocator.rows(*key, now))
            .collect();
        rows.sort_by(|a, b| (a.key, &a.server).cmp(&(b.key, &b.server)));
        rows
    }
}

#[cfg(test)]
mod tests;
