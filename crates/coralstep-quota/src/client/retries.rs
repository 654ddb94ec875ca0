//! When rejected RPCs are told to retry, and the units that are reserved for them.
use std::collections::VecDeque;

use crate::Millis;

/// Retry-After at the least, in milliseconds: a request to the leader and its answer fit in.
const MIN_RETRY_AFTER_MS: Millis = 150;
/// Retry-After at the most, in milliseconds.
const MAX_RETRY_AFTER_MS: Millis = 30_000;
/// From one retry to the next at the most, in milliseconds.
const MAX_UNIT_INTERVAL_MS: Millis = 5_000;
/// A unit stays reserved for this long after its caller was to retry, in milliseconds.
const MAX_RETRY_DELAY_MS: Millis = 1_000;
/// Units that are reserved at once.
const MAX_RESERVATIONS: usize = 1_024;
/// RPCs a second from which on the rate of admission tells how fast units come.
const MIN_KNOWN_RPS: f64 = 0.2;

/// The retries of one limit that were announced to callers.
#[derive(Clone, Debug)]
pub(super) struct RetrySchedule {
    /// When the next caller that is rejected should retry.
    next: Millis,
    /// When the leader will have units.
    units_expected: Millis,
    /// How long the leader said that the next unit takes.
    unit_wait: Millis,
    /// When those were told to retry that have not come yet.
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

    /// Plans the retry of one more rejected RPC, and returns its time.
    ///
    /// Guards against all that are rejected in one moment coming back in one: each is told a later time, as fast as
    /// units come.
    pub(super) fn plan(&mut self, now: Millis, admitted_rps: f64, round: Millis) -> Millis {
        let retry_at = self
            .next
            .max(self.units_expected)
            .max(now + MIN_RETRY_AFTER_MS)
            .min(now + MAX_RETRY_AFTER_MS);
        self.next = retry_at + self.unit_interval(admitted_rps, round);
        if self.reserved.len() < MAX_RESERVATIONS {
            self.reserved.push_back(retry_at);
        }
        retry_at
    }

    /// From one unit for this server to the next, as far as it can tell.
    fn unit_interval(&self, admitted_rps: f64, round: Millis) -> Millis {
        let interval = if admitted_rps >= MIN_KNOWN_RPS {
            (1000.0 / admitted_rps) as Millis
        } else {
            self.unit_wait.max(round)
        };
        interval.min(MAX_UNIT_INTERVAL_MS)
    }

    /// An RPC was admitted: as far as anybody can tell the one that was to retry first.
    pub(super) fn note_admitted(&mut self) {
        self.reserved.pop_front();
    }

    /// Gives up the units of callers that are late.
    pub(super) fn release_late(&mut self, now: Millis) {
        let is_late = |retry_at: &mut Millis| *retry_at + MAX_RETRY_DELAY_MS < now;
        while self.reserved.pop_front_if(is_late).is_some() {}
    }

    /// Units that are reserved.
    pub(super) fn reserved(&self) -> u32 {
        self.reserved.len() as u32
    }

    /// The leader answered, and said how long the next unit takes.
    pub(super) fn note_grant(&mut self, now: Millis, unit_wait: Millis) {
        self.unit_wait = unit_wait;
        self.units_expected = now + unit_wait;
    }
}
