//! Admits or rejects each RPC by the units that this server holds, without sending a message or waiting.
//!
//! An RPC takes a unit of every limit that applies to it, or is rejected with the time after which to retry. In each
//! round the server requests the units that it will need from the leader, estimated from recent demand.
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

/// Maximum number of limits requested in one round; the others follow in the next round.
const MAX_REQUESTS_PER_ROUND: usize = 4 * MAX_ENTRIES;
/// Interval between rounds of requests until a leader sets another one, in milliseconds.
const DEFAULT_ROUND_MS: Millis = 250;
/// Bounds of the interval that a leader may set, in milliseconds.
const MIN_ROUND_MS: Millis = 50;
const MAX_ROUND_MS: Millis = 10_000;

/// The requests in one message.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestBatch {
    /// Increases with each message; the leader's answer repeats it.
    pub sequence: u32,
    /// One request per limit, at most [`MAX_ENTRIES`].
    pub requests: Vec<QuotaRequest>,
}

/// Holds this server's units of every limit. Times are milliseconds of its monotonic clock.
pub struct QuotaClient {
    shares: Vec<Share>,
    /// Indices into `shares`.
    by_scope: HashMap<LimitScope, Vec<usize>>,
    by_key: HashMap<LimitKey, usize>,
    /// Term of the leader that last granted units.
    term: TermId,
    /// Sequence number of the last message of requests.
    sequence: u32,
    next_round: Millis,
    last_round: Millis,
    round_interval: Millis,
    /// Index of the first share of the next round.
    first_share: usize,
    /// Largest number of members that this server has known, including itself.
    members: usize,
    /// RPCs in flight of removed limits. They count again if the limit is added again.
    in_flight_of_removed: HashMap<LimitKey, u32>,
}

impl QuotaClient {
    /// Creates a client that holds no units.
    pub fn new(limits: &[Limit], now: Millis) -> QuotaClient {
        let mut client = QuotaClient {
            shares: Vec::new(),
            by_scope: HashMap::new(),
            by_key: HashMap::new(),
            term: TermId::default(),
            sequence: 0,
            next_round: now,
            last_round: now,
            round_interval: DEFAULT_ROUND_MS,
            first_share: 0,
            members: 1,
            in_flight_of_removed: HashMap::new(),
        };
        client.set_limits(limits, now);
        client
    }

    /// Replaces the limits. Units of limits that remain are kept.
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

    /// Records the number of members of the fleet, including this server; the largest number is kept.
    pub fn record_member_count(&mut self, count: usize) {
        self.members = self.members.max(count);
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
        if self.shares.is_empty() {
            return Ok(QuotaPermit::default());
        }
        let applicable = self.applicable_shares(request);
        let mut admissions = Vec::with_capacity(applicable.len());
        let mut retry_at = None;
        for position in &applicable {
            let share = &mut self.shares[*position];
            match share.check_admission(now, max_duration, self.members) {
                Some(admission) => admissions.push(admission),
                None => retry_at = retry_at.max(Some(share.reject(now, self.round_interval))),
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
            share.take_unit(now, admission);
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

    /// Requests units early after a rejection, but at most once every [`MIN_ROUND_MS`].
    fn request_soon(&mut self, now: Millis) {
        let soonest = (self.last_round + MIN_ROUND_MS).max(now);
        self.next_round = self.next_round.min(soonest);
    }

    /// Releases the units of an RPC that was answered.
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

    /// Returns the requests of a round if one is due. A server that is `draining` returns all units that are not in
    /// use.
    pub fn poll_requests(&mut self, now: Millis, draining: bool) -> Vec<RequestBatch> {
        let is_due = now >= self.next_round || draining;
        if !is_due || self.shares.is_empty() {
            return Vec::new();
        }
        let round = Round {
            now,
            seconds: (now - self.last_round).max(1) as f64 / 1000.0,
            interval: self.round_interval,
            draining,
        };
        self.last_round = now;
        self.next_round = now + self.round_interval;
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
            if requests.len() >= MAX_REQUESTS_PER_ROUND {
                self.first_share = position;
                break;
            }
            let sequence = first_sequence + (requests.len() / MAX_ENTRIES) as u32;
            share.record_request(round.now, sequence, &request);
            requests.push(request);
        }
        requests
    }

    /// Returns the term in which the held tokens were granted.
    pub fn term(&self) -> TermId {
        self.term
    }

    /// Handles a leader's grants. Only the answer to the last request for a limit counts; others are delayed or
    /// duplicated.
    pub fn handle_grants(&mut self, now: Millis, batch: &GrantBatch) {
        let is_awaited = batch.grants.iter().any(|grant| {
            let position = self.by_key.get(&grant.key);
            position.is_some_and(|position| self.shares[*position].is_awaiting(batch.sequence))
        });
        if !is_awaited {
            return;
        }
        if batch.term != self.term {
            self.term = batch.term;
            self.shares.iter_mut().for_each(Share::begin_term);
        }
        self.round_interval = Millis::from(batch.next_round_ms).clamp(MIN_ROUND_MS, MAX_ROUND_MS);
        self.next_round = self.next_round.min(now + self.round_interval);
        let lease = Millis::from(batch.lease_ms);
        for grant in &batch.grants {
            if let Some(position) = self.by_key.get(&grant.key) {
                self.shares[*position].handle_grant(now, batch.sequence, lease, grant);
            }
        }
    }

    /// Returns the status of each limit that has units, RPCs in flight or rejected RPCs.
    pub fn statuses(&self, now: Millis) -> Vec<ShareStatus> {
        let statuses = self.shares.iter().map(|share| share.status(now));
        statuses.filter(ShareStatus::has_activity).collect()
    }
}

#[cfg(test)]
mod tests;
