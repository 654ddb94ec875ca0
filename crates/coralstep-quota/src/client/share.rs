//! One server's share of a limit: the units that it holds, and the rule by which it admits RPCs.
use super::demand::Demand;
use super::retries::RetrySchedule;
use crate::Millis;
use crate::cut_off::{CutOffBucket, cut_off_allowance};
use crate::lease::{lease_of, shorten_by_drift};
use crate::limit::{Limit, LimitKey, LimitKind};
use crate::message::{Grant, QuotaRequest};

/// Status of a server's share of a limit, shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareStatus {
    /// The limit.
    pub key: LimitKey,
    /// Units that the server holds.
    pub units: u32,
    /// Number of the server's RPCs in flight that the limit counts.
    pub in_flight: u32,
    /// Milliseconds until the units' lease ends.
    pub lease_ms: Millis,
    /// Total number of rejected RPCs.
    pub rejected: u64,
    /// Total number of RPCs that were admitted beyond the held units while the server was cut off.
    pub over_quota: u64,
}

impl ShareStatus {
    pub(super) fn has_activity(&self) -> bool {
        self.units > 0 || self.in_flight > 0 || self.rejected > 0
    }
}

/// A round of requests.
pub(super) struct Round {
    pub(super) now: Millis,
    /// Seconds since the last round.
    pub(super) seconds: f64,
    /// Milliseconds until the next one.
    pub(super) interval: Millis,
    /// Whether the server returns the units that it does not use.
    pub(super) draining: bool,
}

/// What entitles an RPC to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// A unit that the server holds.
    HeldUnit,
    /// The allowance of a server that is cut off.
    CutOffAllowance,
}

/// Units and the end of their lease.
#[derive(Clone, Copy, Debug, Default)]
struct LeasedUnits {
    units: u32,
    expires: Millis,
}

impl LeasedUnits {
    fn expire(&mut self, now: Millis) {
        if now >= self.expires {
            self.units = 0;
        }
    }

    fn valid_units(&self, now: Millis) -> u32 {
        if now < self.expires { self.units } else { 0 }
    }
}

/// The last request, while it is unanswered.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    sequence: u32,
    sent: Millis,
}

#[derive(Clone, Debug)]
pub(super) struct Share {
    limit: Limit,
    /// Tokens, or units for RPCs in flight.
    held: LeasedUnits,
    /// Tokens of the previous term, which are not renewed.
    previous_term: LeasedUnits,
    in_flight: u32,
    demand: Demand,
    retries: RetrySchedule,
    pending: Option<PendingRequest>,
    last_grant: Option<Millis>,
    cut_off_bucket: CutOffBucket,
    /// Total number of rejected RPCs.
    rejected: u64,
    /// Total number of RPCs admitted beyond the held units while cut off.
    over_quota: u64,
}

impl Share {
    pub(super) fn new(limit: Limit, now: Millis) -> Share {
        Share {
            limit,
            held: LeasedUnits::default(),
            previous_term: LeasedUnits::default(),
            in_flight: 0,
            demand: Demand::default(),
            retries: RetrySchedule::new(now),
            pending: None,
            last_grant: None,
            cut_off_bucket: CutOffBucket::new(now),
            rejected: 0,
            over_quota: 0,
        }
    }

    /// Replaces the limit and adds the RPCs that are still in flight since an earlier removal of the limit.
    pub(super) fn set_limit(&mut self, limit: Limit, still_in_flight: u32) {
        self.limit = limit;
        self.in_flight += still_in_flight;
    }

    pub(super) fn key(&self) -> LimitKey {
        self.limit.key
    }

    pub(super) fn kind(&self) -> LimitKind {
        self.limit.kind
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Checks whether an RPC that is answered within `max_duration` milliseconds may be admitted: with a held unit, or
    /// else with the allowance of a server that is cut off.
    pub(super) fn check_admission(
        &mut self,
        now: Millis,
        max_duration: Millis,
        members: usize,
    ) -> Option<Admission> {
        let allowance = cut_off_allowance(self.limit.cut_off, self.last_grant, now, members);
        let (has_unit, has_allowance) = match self.limit.kind {
            LimitKind::Rate { .. } => {
                self.held.expire(now);
                self.previous_term.expire(now);
                self.cut_off_bucket.refill(now, allowance);
                let has_token = self.held.units + self.previous_term.units > 0;
                (
                    has_token,
                    allowance > 0.0 && self.cut_off_bucket.has_token(),
                )
            }
            LimitKind::InFlight(_) => {
                // Guards against RPCs that are still in flight when their unit is granted to another server.
                let ends_within_lease = now + max_duration <= self.held.expires;
                let has_free_unit = self.in_flight < self.held.units && ends_within_lease;
                (has_free_unit, f64::from(self.in_flight) + 1.0 <= allowance)
            }
        };
        if has_unit {
            Some(Admission::HeldUnit)
        } else {
            has_allowance.then_some(Admission::CutOffAllowance)
        }
    }

    /// Takes the unit of an admitted RPC.
    pub(super) fn take_unit(&mut self, now: Millis, admission: Admission) {
        self.demand.record_admitted(now);
        self.retries.record_admitted();
        let is_over_quota = admission == Admission::CutOffAllowance;
        self.over_quota += u64::from(is_over_quota);
        match self.limit.kind {
            LimitKind::Rate { .. } if is_over_quota => self.cut_off_bucket.take(),
            // Tokens of the previous term are used first, as they are not renewed.
            LimitKind::Rate { .. } if self.previous_term.units > 0 => {
                self.previous_term.units -= 1;
            }
            LimitKind::Rate { .. } => self.held.units -= 1,
            LimitKind::InFlight(_) => {
                self.in_flight += 1;
                self.demand.record_in_flight(self.in_flight);
            }
        }
    }

    /// Rejects an RPC and returns the time at which it should retry.
    pub(super) fn reject(&mut self, now: Millis, round_interval: Millis) -> Millis {
        self.demand.record_rejected(now);
        self.rejected += 1;
        self.retries
            .schedule_retry(now, self.demand.admitted_rps(), round_interval)
    }

    /// Releases the unit of an RPC that was answered.
    pub(super) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Ends a round and returns the request to send, or `None` if the server neither holds nor wants units.
    pub(super) fn end_round(&mut self, round: &Round) -> Option<QuotaRequest> {
        self.demand.smooth_rates(round.seconds);
        self.retries.release_overdue(round.now);
        let wanted = if round.draining {
            self.in_flight
        } else {
            self.wanted_units(round.now, round.interval)
        };
        self.demand.begin_round(self.in_flight);
        self.held.expire(round.now);
        let needed = self.held.units.min(wanted);
        let kept = match self.limit.kind {
            LimitKind::Rate { .. } => needed,
            LimitKind::InFlight(_) => needed.max(self.in_flight),
        };
        if kept == 0 && wanted == 0 && self.held.units == 0 {
            return None;
        }
        Some(QuotaRequest {
            key: self.limit.key,
            held: kept,
            wanted,
        })
    }

    /// Returns the units wanted for the next rounds.
    fn wanted_units(&self, now: Millis, round_interval: Millis) -> u32 {
        let reserved = self.retries.reserved_units();
        if reserved == 0 && self.demand.is_idle(now) {
            return self.in_flight;
        }
        match self.limit.kind {
            LimitKind::Rate { .. } => self.demand.wanted_tokens(round_interval) + reserved,
            LimitKind::InFlight(_) => {
                self.demand.wanted_in_flight(self.in_flight) + reserved.max(1)
            }
        }
    }

    /// Records a request before it is sent. Units that it does not report as held are given up first, so that the
    /// leader never grants units that are still in use.
    pub(super) fn record_request(&mut self, now: Millis, sequence: u32, request: &QuotaRequest) {
        self.held.units = request.held;
        self.pending = Some(PendingRequest {
            sequence,
            sent: now,
        });
    }

    /// Returns whether the request with this sequence number is unanswered.
    pub(super) fn is_awaiting(&self, sequence: u32) -> bool {
        self.pending
            .is_some_and(|pending| pending.sequence == sequence)
    }

    /// Begins another leader's term: tokens of the previous term stay usable until they expire.
    pub(super) fn begin_term(&mut self) {
        if !self.limit.kind.is_rate() || self.held.units == 0 {
            return;
        }
        self.previous_term = LeasedUnits {
            units: self.previous_term.units + self.held.units,
            expires: self.previous_term.expires.max(self.held.expires),
        };
        self.held.units = 0;
    }

    /// Handles a grant if it answers the last request.
    pub(super) fn handle_grant(
        &mut self,
        now: Millis,
        sequence: u32,
        in_flight_lease: Millis,
        grant: &Grant,
    ) {
        let is_answered = |pending: &mut PendingRequest| pending.sequence == sequence;
        let Some(request) = self.pending.take_if(is_answered) else {
            return;
        };
        // Measured from the request, as the answer may have been delayed.
        let lease = lease_of(self.limit.kind, in_flight_lease);
        let expires = request.sent + shorten_by_drift(lease);
        if now >= expires {
            return;
        }
        self.last_grant = Some(now);
        // Guards against a forged grant of more units than the limit has.
        let granted = grant.units.min(self.limit.kind.units());
        let admitted_since_request = match self.limit.kind {
            LimitKind::Rate { .. } => self.demand.admitted(),
            LimitKind::InFlight(_) => 0,
        };
        self.held = LeasedUnits {
            units: granted.saturating_sub(admitted_since_request),
            expires,
        };
        self.retries.record_grant(now, Millis::from(grant.wait_ms));
    }

    pub(super) fn status(&self, now: Millis) -> ShareStatus {
        ShareStatus {
            key: self.limit.key,
            units: self.held.valid_units(now) + self.previous_term.valid_units(now),
            in_flight: self.in_flight,
            lease_ms: self.held.expires.saturating_sub(now),
            rejected: self.rejected,
            over_quota: self.over_quota,
        }
    }
}
