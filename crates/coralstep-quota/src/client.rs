//! Decides each RPC by the units that this server holds: one look in tables, no message and no wait.
//!
//! An RPC takes a unit of every limit that applies to it, or is rejected with the time after which to retry. Each round
//! the server requests what it will need from the leader, by the demand of late.
mod demand;
mod permit;
mod retries;
mod share;

use std::collections::HashMap;

use crate::Millis;
use crate::limit::{Limit, LimitKey, LimitScope, RequestKey};
use crate::message::{GrantBatch, MAX_ENTRIES, QuotaRequest, TermId};
pub use permit::{QuotaExhausted, QuotaPermit};
pub use share::ShareStatus;
use share::{Round, Share};

/// Limits in the requests of one round; further ones have their turn in the next.
const MAX_REQUESTS: usize = 4 * MAX_ENTRIES;
/// From one round of requests to the next, in milliseconds, until a leader says otherwise; and the bounds of what it
/// may say.
const DEFAULT_ROUND_MS: Millis = 250;
const MIN_ROUND_MS: Millis = 50;
const MAX_ROUND_MS: Millis = 10_000;

/// The requests of one message.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestBatch {
    /// Rises with each message; the leader answers with it.
    pub sequence: u32,
    /// One a limit, [`MAX_ENTRIES`] at most.
    pub requests: Vec<QuotaRequest>,
}

/// The units that one server holds of every limit. Times are milliseconds of its monotonic clock.
pub struct QuotaClient {
    shares: Vec<Share>,
    /// Positions in `shares`.
    by_scope: HashMap<LimitScope, Vec<usize>>,
    by_key: HashMap<LimitKey, usize>,
    /// The term of the leader that granted last.
    term: TermId,
    /// Of the last message of requests.
    sequence: u32,
    next_round: Millis,
    last_round: Millis,
    round: Millis,
    /// Position of the share whose turn is first in the next round.
    first_share: usize,
    /// The most members ever known here, this server among them.
    members: usize,
    /// RPCs in flight of limits that were removed. They count all the same should the limit be added again.
    in_flight_of_removed: HashMap<LimitKey, u32>,
}

impl QuotaClient {
    /// A server that holds no units yet.
    pub fn new(limits: &[Limit], now: Millis) -> QuotaClient {
        let mut client = QuotaClient {
            shares: Vec::new(),
            by_scope: HashMap::new(),
            by_key: HashMap::new(),
            term: TermId::default(),
            sequence: 0,
            next_round: now,
            last_round: now,
            round: DEFAULT_ROUND_MS,
            first_share: 0,
            members: 1,
            in_flight_of_removed: HashMap::new(),
        };
        client.set_limits(limits, now);
        client
    }

    /// Applies these limits from now on. Units of those that stay are kept.
    pub fn set_limits(&mut self, limits: &[Limit], now: Millis) {
        let mut earlier: HashMap<LimitKey, Share> = std::mem::take(&mut self.shares)
            .into_iter()
            .map(|share| (share.key(), share))
            .collect();
        self.by_scope = HashMap::new();
        self.by_key = HashMap::new();
        for (position, limit) in limits.iter().enumerate() {
            let mut share = earlier
                .remove(&limit.key)
                .unwrap_or_else(|| Share::new(limit.clone(), now));
            let still_in_flight = self.in_flight_of_removed.remove(&limit.key);
            share.set_limit(limit.clone(), still_in_flight.unwrap_or(0));
            self.by_scope.entry(limit.scope).or_default().push(position);
            self.by_key.insert(limit.key, position);
            self.shares.push(share);
        }
        let removed = earlier
            .into_iter()
            .filter(|(_, share)| share.in_flight() > 0);
        self.in_flight_of_removed
            .extend(removed.map(|(key, share)| (key, share.in_flight())));
    }

    /// Notes how many members the fleet has, this server among them; the most ever known counts.
    pub fn note_members(&mut self, count: usize) {
        self.members = self.members.max(count);
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
        if self.shares.is_empty() {
            return Ok(QuotaPermit::default());
        }
        let applicable = self.applicable_shares(request);
        let mut admissions = Vec::with_capacity(applicable.len());
        let mut retry_at = None;
        for position in &applicable {
            let share = &mut self.shares[*position];
            match share.check(now, due_within, self.members) {
                Some(admission) => admissions.push(admission),
                None => retry_at = retry_at.max(Some(share.reject(now, self.round))),
            }
        }
        if let Some(retry_at) = retry_at {
            self.request_soon(now);
            return Err(QuotaExhausted {
                retry_after_ms: retry_at - now,
            });
        }
        let mut permit = QuotaPermit::default();
        for (position, admission) in applicable.into_iter().zip(admissions) {
            let share = &mut self.shares[position];
            share.take(now, admission);
            if !share.kind().is_rate() {
                permit.add(share.key());
            }
        }
        Ok(permit)
    }

    fn applicable_shares(&self, request: RequestKey) -> Vec<usize> {
        let mut positions = Vec::new();
        for scope in request.scopes() {
            positions.extend(self.by_scope.get(&scope).into_iter().flatten());
        }
        positions
    }

    /// What an RPC was rejected for is requested at once, but not with each RPC.
    fn request_soon(&mut self, now: Millis) {
        let soonest = (self.last_round + MIN_ROUND_MS).max(now);
        self.next_round = self.next_round.min(soonest);
    }

    /// Gives back the units of an RPC that is answered.
    pub fn release(&mut self, permit: QuotaPermit) {
        for key in permit.into_keys() {
            if let Some(position) = self.by_key.get(&key) {
                self.shares[*position].release();
            } else if let Some(in_flight) = self.in_flight_of_removed.get_mut(&key) {
                *in_flight -= 1;
                if *in_flight == 0 {
                    self.in_flight_of_removed.remove(&key);
                }
            }
        }
    }

    /// The requests of a round, where one is due. A server that is `draining` gives back all that is not in use.
    pub fn poll_requests(&mut self, now: Millis, draining: bool) -> Vec<RequestBatch> {
        let is_due = now >= self.next_round || draining;
        if !is_due || self.shares.is_empty() {
            return Vec::new();
        }
        let round = Round {
            now,
            seconds: (now - self.last_round).max(1) as f64 / 1000.0,
            interval: self.round,
            draining,
        };
        self.last_round = now;
        self.next_round = now + self.round;
        let requests = self.collect_requests(&round);
        let mut batches = Vec::new();
        for chunk in requests.chunks(MAX_ENTRIES) {
            self.sequence += 1;
            batches.push(RequestBatch {
                sequence: self.sequence,
                requests: chunk.to_vec(),
            });
        }
        batches
    }

    fn collect_requests(&mut self, round: &Round) -> Vec<QuotaRequest> {
        let count = self.shares.len();
        let first_sequence = self.sequence + 1;
        let mut requests = Vec::new();
        for step in 0..count {
            let position = (self.first_share + step) % count;
            let share = &mut self.shares[position];
            let Some(request) = share.end_round(round) else {
                continue;
            };
            if requests.len() >= MAX_REQUESTS {
                self.first_share = position;
                break;
            }
            let sequence = first_sequence + (requests.len() / MAX_ENTRIES) as u32;
            share.note_request(round.now, sequence, &request);
            requests.push(request);
        }
        requests
    }

    /// The term in which the tokens that are held were granted.
    pub fn term(&self) -> TermId {
        self.term
    }

    /// Takes a leader's grants. Only an answer to the last request about a limit counts: others came late, or twice.
    pub fn handle_grants(&mut self, now: Millis, batch: &GrantBatch) {
        let is_awaited = batch.grants.iter().any(|grant| {
            let position = self.by_key.get(&grant.key);
            position.is_some_and(|position| self.shares[*position].awaits(batch.sequence))
        });
        if !is_awaited {
            return;
        }
        if batch.term != self.term {
            self.term = batch.term;
            self.shares.iter_mut().for_each(Share::begin_term);
        }
        self.round = Millis::from(batch.next_round_ms).clamp(MIN_ROUND_MS, MAX_ROUND_MS);
        self.next_round = self.next_round.min(now + self.round);
        let lease = Millis::from(batch.lease_ms);
        for grant in &batch.grants {
            if let Some(position) = self.by_key.get(&grant.key) {
                self.shares[*position].handle_grant(now, batch.sequence, lease, grant);
            }
        }
    }

    /// What this server holds: limits with units, RPCs in flight, or RPCs that were rejected.
    pub fn statuses(&self, now: Millis) -> Vec<ShareStatus> {
        let statuses = self.shares.iter().map(|share| share.status(now));
        statuses.filter(ShareStatus::is_of_note).collect()
    }
}

#[cfg(test)]
mod tests;
