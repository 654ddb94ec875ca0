//! Graceful shutdown: requests that arrive before the drain or within its grace period are served.
use crate::config::SchedulerConfig;
use crate::time::{Span, Time};
use crate::timer::TIMER_PERIOD;

/// Time before the stop of the process at which all requests are answered; allows for a process pause.
const FINAL_RESPONSE_MARGIN: Span = Span::ms(400);

/// Drain state of the server.
#[derive(Debug)]
pub(crate) struct Drain {
    grace: Span,
    notice_at: Option<Time>,
    stop_at: Time,
}

impl Drain {
    pub(crate) fn new(config: &SchedulerConfig) -> Drain {
        Drain {
            grace: config.drain_grace,
            notice_at: None,
            stop_at: Time(u64::MAX),
        }
    }

    pub(crate) fn begin(&mut self, now: Time, stop_at: Time) {
        self.notice_at = Some(now);
        self.stop_at = stop_at;
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.notice_at.is_some()
    }

    /// Returns whether a request arrived too late to be served. The margin of one timer period covers the
    /// rounding of the start of the drain.
    pub(crate) fn is_too_late(&self, arrived_at: Time) -> bool {
        self.notice_at
            .is_some_and(|notice| arrived_at + TIMER_PERIOD > notice + self.grace)
    }

    /// Returns whether the process stops so soon that every request must be answered now.
    pub(crate) fn must_answer_all(&self, now: Time) -> bool {
        now + FINAL_RESPONSE_MARGIN >= self.stop_at
    }
}
