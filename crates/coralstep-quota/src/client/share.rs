//! One limit at one server: the units that it holds, and the rule by which an RPC is admitted.
use super::demand::Demand;
use super::retries::RetrySchedule;
use crate::Millis;
use crate::cut_off::{CutOffBucket, cut_off_allowance};
use crate::lease::{lease_of, shorten_by_drift};
use crate::limit::{Limit, LimitKey, LimitKind};
use crate::message::{Grant, QuotaRequest};

/// What a server holds of a limit, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareStatus {
    /// The limit.
    pub key: LimitKey,
    /// Units that it holds.
    pub units: u32,
    /// Its RPCs in flight that the limit counts.
    pub in_flight: u32,
    /// Milliseconds until its lease ends.
    pub lease_ms: Millis,
    /// RPCs that were rejected in all.
    pub rejected: u64,
    /// RPCs that were admitted in all while cut off, beyond the units held.
    pub over_quota: u64,
}

impl ShareStatus {
    pub(super) fn is_of_note(&self) -> bool {
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
    /// The server gives back what it does not use.
    pub(super) draining: bool,
}

/// By what an RPC may be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// A unit that is held.
    HeldUnit,
    /// The allowance of a server that is cut off.
    CutOffAllowance,
}

/// Units, and when they are worth nothing any more.
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

/// The last request that was not answered.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    sequence: u32,
    sent: Millis,
}

#[derive(Clone, Debug)]
pub(super) struct Share {
    limit: Limit,
    /// Tokens, or RPCs that may be in flight.
    held: LeasedUnits,
    /// Tokens of the term before, which nobody renews.
    previous_term: LeasedUnits,
    in_flight: u32,
    demand: Demand,
    retries: RetrySchedule,
    pending: Option<PendingRequest>,
    last_grant: Option<Millis>,
    cut_off_bucket: CutOffBucket,
    /// RPCs rejected in all, and admitted in all while cut off.
    rejected: u64,
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

    /// Takes the limit's new figures, and RPCs in flight of the time before it was removed.
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

    /// Decides whether one more RPC may be admitted that is answered within `due_within` milliseconds: by a unit that
    /// is held, else by the allowance of a server that is cut off, else not at all.
    pub(super) fn check(
        &mut self,
        now: Millis,
        due_within: Millis,
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
                // Guards against RPCs that are still in flight when their unit is another server's.
                let ends_within_lease = now + due_within <= self.held.expires;
                let has_slot = self.in_flight < self.held.units && ends_within_lease;
                (has_slot, f64::from(self.in_flight) + 1.0 <= allowance)
            }
        };
        if has_unit {
            Some(Admission::HeldUnit)
        } else {
            has_allowance.then_some(Admission::CutOffAllowance)
        }
    }

    /// Takes the unit of an RPC that is admitted.
    pub(super) fn take(&mut self, now: Millis, admission: Admission) {
        self.demand.note_admitted(now);
        self.retries.note_admitted();
        let is_over_quota = admission == Admission::CutOffAllowance;
        self.over_quota += u64::from(is_over_quota);
        match self.limit.kind {
            LimitKind::Rate { .. } if is_over_quota => self.cut_off_bucket.take(),
            // First those that nobody renews.
            LimitKind::Rate { .. } if self.previous_term.units > 0 => {
                self.previous_term.units -= 1;
            }
            LimitKind::Rate { .. } => self.held.units -= 1,
            LimitKind::InFlight(_) => {
                self.in_flight += 1;
                self.demand.note_in_flight(self.in_flight);
            }
        }
    }

    /// Rejects an RPC; when it should retry.
    pub(super) fn reject(&mut self, now: Millis, round: Millis) -> Millis {
        self.demand.note_rejected(now);
        self.rejected += 1;
        self.retries.plan(now, self.demand.admitted_rps(), round)
    }

    /// An RPC is answered.
    pub(super) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Ends a round: what to request, where the server holds or wants anything.
    pub(super) fn end_round(&mut self, round: &Round) -> Option<QuotaRequest> {
        self.demand.smooth_rates(round.seconds);
        self.retries.release_late(round.now);
        let wanted = if round.draining {
            self.in_flight
        } else {
            self.wanted(round.now, round.interval)
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

    /// Units wanted for the rounds to come.
    fn wanted(&self, now: Millis, round: Millis) -> u32 {
        let reserved = self.retries.reserved();
        if reserved == 0 && self.demand.is_idle(now) {
            return self.in_flight;
        }
        match self.limit.kind {
            LimitKind::Rate { .. } => self.demand.tokens_ahead(round) + reserved,
            LimitKind::InFlight(_) => self.demand.in_flight_ahead(self.in_flight) + reserved.max(1),
        }
    }

    /// Notes that a request is sent. Units that it doesn't mention are not held any more, from before it says so.
    pub(super) fn note_request(&mut self, now: Millis, sequence: u32, request: &QuotaRequest) {
        self.held.units = request.held;
        self.pending = Some(PendingRequest {
            sequence,
            sent: now,
        });
    }

    /// Whether the answer to the requests of this number is awaited.
    pub(super) fn awaits(&self, sequence: u32) -> bool {
        self.pending
            .is_some_and(|pending| pending.sequence == sequence)
    }

    /// Another leader grants: tokens of the one before run out by themselves.
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

    /// Takes a grant, where it answers the last request.
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
        // Counted from when it requested: the answer may have been under way for long.
        let lease = lease_of(self.limit.kind, in_flight_lease);
        let expires = request.sent + shorten_by_drift(lease);
        if now >= expires {
            return;
        }
        self.last_grant = Some(now);
        // Guards against a forged figure: there are no more units than the limit has.
        let granted = grant.units.min(self.limit.kind.units());
        let used_since = match self.limit.kind {
            LimitKind::Rate { .. } => self.demand.admitted(),
            LimitKind::InFlight(_) => 0,
        };
        self.held = LeasedUnits {
            units: granted.saturating_sub(used_since),
            expires,
        };
        self.retries.note_grant(now, Millis::from(grant.wait_ms));
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
