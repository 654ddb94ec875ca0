//! When the scheduler wants to be woken.
use crate::time::{Span, Time};

/// Between two ticks while there are requests: the finest delay of a limit.
pub(crate) const TICK: Span = Span::ms(20);
/// Limits and reports are set anew this often, and idle servers tick so.
pub(crate) const REVIEW_PERIOD: Span = Span::ms(100);

/// The next tick and the last review.
#[derive(Debug)]
pub(crate) struct Timer {
    next_tick: Time,
    last_review: Time,
}

impl Timer {
    pub(crate) fn new(now: Time) -> Timer {
        Timer {
            next_tick: now + TICK,
            last_review: now,
        }
    }

    pub(crate) fn is_due(&self, now: Time) -> bool {
        now >= self.next_tick
    }

    /// Whether a review is due, which then counts as made.
    pub(crate) fn begin_review(&mut self, now: Time) -> bool {
        let due = now - self.last_review >= REVIEW_PERIOD;
        if due {
            self.last_review = now;
        }
        due
    }

    /// The time to the next tick; nothing has a deadline on an idle server.
    pub(crate) fn schedule(&mut self, now: Time, is_idle: bool) -> Span {
        let period = if is_idle { REVIEW_PERIOD } else { TICK };
        self.next_tick = now + period;
        period
    }

    /// The time to a tick that comes sooner than the one scheduled on an idle server, where it does.
    pub(crate) fn hasten(&mut self, now: Time) -> Option<Span> {
        if self.next_tick <= now + TICK {
            return None;
        }
        self.next_tick = now + TICK;
        Some(TICK)
    }
}
