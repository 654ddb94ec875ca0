//! Retry times of rejected RPCs, and the units that are reserved for the retries.
use std::collections::VecDeque;

use crate::Millis;

/// Minimum Retry-After in milliseconds, enough for a request to the leader and its answer.
const MIN_RETRY_AFTER_MS: Millis = 150;
/// Maximum Retry-After, in milliseconds.
const MAX_RETRY_AFTER_MS: Millis = 30_000;
/// Maximum interval between two scheduled retries, in milliseconds.
const MAX_UNIT_INTERVAL_MS: Millis = 5_000;
/// A unit stays reserved for this long after the scheduled retry, in milliseconds.
const RESERVATION_GRACE_MS: Millis = 1_000;
/// Maximum number of reserved units.
const MAX_RESERVATIONS: usize = 1_024;
/// Minimum admission rate from which the interval between units is estimated, in RPCs per second.
const MIN_RELIABLE_RPS: f64 = 0.2;

/// Scheduled retries of one limit.
#[derive(Clone, Debug)]
pub(super) struct RetrySchedule {
    /// When the next rejected caller should retry.
    next: Millis,
    /// When the leader expects to have units.
    units_expected: Millis,
    /// Time until the next unit, as the leader reported it.
    unit_wait: Millis,
    /// Times of the scheduled retries that have not arrived.
    reserved: VecDeque<Millis>,
}

impl RetrySchedule {
    pub(super) fn new(now: Millis) -> RetrySchedule {
        RetrySchedule {
            next: now,
            units_expected: now,
            unit_wait: 0,
            reserved: VecDeque::new(),
        }
    }

    /// Schedules the retry of a rejected RPC and returns its time.
    ///
    /// Guards against synchronized retries by spacing them at the interval at which units become available.
    pub(super) fn schedule_retry(
        &mut self,
        now: Millis,
        admitted_rps: f64,
        round_interval: Millis,
    ) -> Millis {
        let retry_at = self
            .next
            .max(self.units_expected)
            .max(now + MIN_RETRY_AFTER_MS)
            .min(now + MAX_RETRY_AFTER_MS);
        self.next = retry_at + self.unit_interval(admitted_rps, round_interval);
        if self.reserved.len() < MAX_RESERVATIONS {
            self.reserved.push_back(retry_at);
        }
        retry_at
    }

    /// Returns the estimated interval between two units for this server.
    fn unit_interval(&self, admitted_rps: f64, round_interval: Millis) -> Millis {
        let interval = if admitted_rps >= MIN_RELIABLE_RPS {
            (1000.0 / admitted_rps) as Millis
        } else {
            self.unit_wait.max(round_interval)
        };
        interval.min(MAX_UNIT_INTERVAL_MS)
    }

    /// Records an admitted RPC. It is assumed to be the earliest scheduled retry.
    pub(super) fn record_admitted(&mut self) {
        self.reserved.pop_front();
    }

    /// Releases the units of callers that did not retry in time.
    pub(super) fn release_overdue(&mut self, now: Millis) {
        let is_late = |retry_at: &mut Millis| *retry_at + RESERVATION_GRACE_MS < now;
        while self.reserved.pop_front_if(is_late).is_some() {}
    }

    /// Returns the number of reserved units.
    pub(super) fn reserved_units(&self) -> u32 {
        self.reserved.len() as u32
    }

    /// Records the leader's answer with the time until the next unit.
    pub(super) fn record_grant(&mut self, now: Millis, unit_wait: Millis) {
        self.unit_wait = unit_wait;
        self.units_expected = now + unit_wait;
    }
}
