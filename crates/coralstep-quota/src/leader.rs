//! The leader grants units of every limit for one term, and knows who holds what until when.
//!
//! It counts units as allocated before it says so, and as allocated still until it is told that they are back or their
//! lease ends. So servers never hold more than the limit, whatever is lost on the way.
mod fair_share;
mod ledger;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use coralstep_fleet::Member;

use crate::Millis;
use crate::lease::{TOKEN_LIFETIME_MS, lengthen_by_drift};
use crate::limit::{Limit, LimitKey};
use crate::message::{Grant, QuotaRequest};
use ledger::{Ledger, MAX_ALLOCATIONS, Requester};

/// Rounds of one server's requests are this far apart, in milliseconds: the least, and more for each server that
/// requests. So the leader's answers stay within half of the bytes that a server may send.
pub(crate) const MIN_ROUND_MS: Millis = 250;
const ROUND_PER_CLIENT_MS: Millis = 2;
const MAX_ROUND_MS: Millis = 2_000;

/// Grants quota from one moment on, for as long as this server's term lasts. Times are milliseconds of its monotonic
/// clock.
#[derive(Debug)]
pub struct QuotaLeader {
    /// Lease of RPCs in flight.
    lease: Millis,
    /// Until then RPCs in flight may be held that the leader before granted.
    recovers_until: Millis,
    /// Until then tokens may be held that the leader before granted.
    tokens_from: Millis,
    ledgers: BTreeMap<LimitKey, Ledger>,
    /// Servers that requested of late, and when.
    clients: HashMap<Member, Millis>,
}

/// Units that one server may hold, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct AllocationRow {
    /// The limit.
    pub key: LimitKey,
    /// Name of the server.
    pub server: String,
    /// Units that it may hold.
    pub units: u32,
    /// Milliseconds until they are free again.
    pub lease_ms: Millis,
}

impl QuotaLeader {
    /// A leader whose term begins at `now`; `lease` is that of RPCs in flight.
    ///
    /// What the leader before granted may still be in use. So RPCs in flight that are reported are confirmed for a
    /// lease, and no new ones are granted; of rates nothing is granted for a token's lifetime.
    pub fn new(now: Millis, lease: Millis) -> QuotaLeader {
        QuotaLeader {
            lease,
            recovers_until: now + lengthen_by_drift(lease),
            tokens_from: now + lengthen_by_drift(TOKEN_LIFETIME_MS),
            ledgers: BTreeMap::new(),
            clients: HashMap::new(),
        }
    }

    /// Applies these limits from now on. Units that are held stay allocated until their lease ends or they come back.
    pub fn set_limits(&mut self, now: Millis, limits: &[Limit]) {
        let filled_from = now.max(self.tokens_from);
        for limit in limits {
            let ledger = self
                .ledgers
                .entry(limit.key)
                .or_insert_with(|| Ledger::new(limit.kind, filled_from));
            ledger.settle(now);
            ledger.set_kind(limit.kind);
        }
        let keys: BTreeSet<LimitKey> = limits.iter().map(|limit| limit.key).collect();
        // Guards against a limit that is removed and added again within a lease: its units are still held.
        self.ledgers.retain(|key, ledger| {
            ledger.settle(now);
            keys.contains(key) || ledger.allocated() > 0
        });
    }

    /// Answers a server's requests. `same_term`: the tokens that it holds were granted by this leader.
    ///
    /// Requests for unknown limits, and those that are older than the last ones of the server, are passed over.
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
            leader_recovers: now < self.recovers_until,
            in_flight_lease: self.lease,
        };
        let mut grants = Vec::new();
        for request in requests {
            if let Some(ledger) = self.ledgers.get_mut(&request.key) {
                grants.extend(ledger.handle_request(now, &requester, request));
            }
        }
        grants
    }

    /// Milliseconds after which a server should send its next requests.
    pub fn next_round(&mut self, now: Millis) -> Millis {
        self.clients
            .retain(|_, requested| now.saturating_sub(*requested) <= 2 * MAX_ROUND_MS);
        let clients = self.clients.len() as Millis;
        (MIN_ROUND_MS + ROUND_PER_CLIENT_MS * clients).min(MAX_ROUND_MS)
    }

    /// Lease of RPCs in flight, in milliseconds.
    pub fn lease(&self) -> Millis {
        self.lease
    }

    /// All units that servers may hold, by limit and server.
    pub fn allocations(&self, now: Millis) -> Vec<AllocationRow> {
        let mut rows: Vec<AllocationRow> = self
            .ledgers
            .iter()
            .flat_map(|(key, ledger)| ledger.rows(*key, now))
            .collect();
        rows.sort_by(|a, b| (a.key, &a.server).cmp(&(b.key, &b.server)));
        rows
    }
}

#[cfg(test)]
mod tests;
