//! The scheduler's timer: when `handle_timeout` and the adjustment of limits are due.
use crate::time::{Span, Time};

/// Timer period while there are requests; deadlines and limits are enforced with this resolution.
pub(crate) const TIMER_PERIOD: Span = Span::ms(20);
/// Interval between adjustments of limits and load reports; also the timer period of an idle server.
pub(crate) const ADJUSTMENT_INTERVAL: Span = Span::ms(100);

/// Times of the next timeout and of the last adjustment.
#[derive(Debug)]
pub(crate) struct Timer {
    next_timeout: Time,
    last_adjustment: Time,
}

impl Timer {
    pub(crate) fn new(now: Time) -> Timer {
        Timer {
            next_timeout: now + TIMER_PERIOD,
            last_adjustment: now,
        }
    }

    pub(crate) fn is_due(&self, now: Time) -> bool {
        now >= self.next_timeout
    }

    /// Returns whether an adjustment is due; if so, restarts its interval.
    pub(crate) fn begin_adjustment(&mut self, now: Time) -> bool {
        let due = now - self.last_adjustment >= ADJUSTMENT_INTERVAL;
        if due {
            self.last_adjustment = now;
        }
        due
    }

    /// Schedules the next timeout and returns the time until it. An idle server has no deadlines, so it
    /// uses the longer period.
    pub(crate) fn schedule(&mut self, now: Time, is_idle: bool) -> Span {
        let period = if is_idle {
            ADJUSTMENT_INTERVAL
        } else {
            TIMER_PERIOD
        };
        self.next_timeout = now + period;
        period
    }

    /// Reschedules a timeout that was set with the idle period. Returns the new time until it, or `None` if
    /// it was due soon enough.
    pub(crate) fn bring_forward(&mut self, now: Time) -> Option<Span> {
        if self.next_timeout <= now + TIMER_PERIOD {
            return None;
        }
        self.next_timeout = now + TIMER_PERIOD;
        Some(TIMER_PERIOD)
    }
}
