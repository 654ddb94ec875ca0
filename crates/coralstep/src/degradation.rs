//! Levels of reduced service, as far as the decisions know of them: what is observed here ([`Signals`]), and what a level asks
//! ([`DegradationLevel`]). Which level holds is decided elsewhere (`coralstep-degradation`); the stages in `choice.rs` carry it out.
use crate::config::{Idempotency, Method};
use crate::time::Span;

/// What the decisions observe of themselves. Each is none while nothing can be said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// The longest wait in the hold, as a part of its limit.
    pub queue_wait: Option<f64>,
    /// Part of what was read of late that was not begun.
    pub rejected: Option<f64>,
    /// What runs, as a part of the running limit.
    pub concurrency: Option<f64>,
    /// 1 while the breaker is open or half-open, else 0.
    pub breaker_open: Option<f64>,
    /// The usual time of a call, as a multiple of the best that was usual; none while no call ends.
    pub call_slowness: Option<f64>,
    /// Memory booked, as a part of all.
    pub memory: Option<f64>,
    /// The longest wait unread of late, as a part of its limit.
    pub read_delay: Option<f64>,
    /// 1 while the server is cold, else 0.
    pub warming_up: Option<f64>,
}

/// What a level asks of the decisions, on top of what they do anyway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DegradationLevel {
    /// Methods under this criticality are pushed back at once.
    pub min_priority_weight: f64,
    /// Only tokened and non-idempotent methods are let in.
    pub reject_idempotent: bool,
    pub reject_all: bool,
    /// The server is shut out: closed for all that it has read, under whatever version.
    pub fenced: bool,
    /// Calls that may be left out are.
    pub skip_calls: bool,
    /// The hold limit, as a part of the usual one.
    pub queue_limit_factor: f64,
    /// The free value, as a part of what it would be.
    pub load_report_factor: f64,
    /// The level can't change sooner: advice for whom it turns away.
    pub retry_after: Span,
}

impl Default for DegradationLevel {
    /// Full service.
    fn default() -> DegradationLevel {
        DegradationLevel {
            min_priority_weight: 0.0,
            reject_idempotent: false,
            reject_all: false,
            fenced: false,
            skip_calls: false,
            queue_limit_factor: 1.0,
            load_report_factor: 1.0,
            retry_after: Span::ZERO,
        }
    }
}

impl DegradationLevel {
    /// Whether an RPC of `method` is turned away before it runs.
    pub fn sheds(&self, method: &Method) -> bool {
        self.reject_all
            || self.fenced
            || (self.reject_idempotent && method.idempotency == Idempotency::Idempotent)
            || method.priority_weight < self.min_priority_weight
    }
}
