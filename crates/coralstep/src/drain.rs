//! The graceful shutdown: what arrived before the notice, or shortly after, is still served.
use crate::config::SchedulerConfig;
use crate::time::{Span, Time};
use crate::timer::TICK;

/// The last answers leave so long before the process is stopped: a pause of the process fits in.
const LAST_ANSWER_MARGIN: Span = Span::ms(400);

/// Whether and until when the server drains.
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

    /// Whether a request arrived too late to be served; a tick of margin, for the notice itself was
    /// rounded.
    pub(crate) fn is_too_late(&self, arrived_at: Time) -> bool {
        self.notice_at
            .is_some_and(|notice| arrived_at + TICK > notice + self.grace)
    }

    /// Whether the process stops so soon that all must be answered now.
    pub(crate) fn must_answer_all(&self, now: Time) -> bool {
        now + LAST_ANSWER_MARGIN >= self.stop_at
    }
}
