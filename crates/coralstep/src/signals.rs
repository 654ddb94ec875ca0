//! What the decisions observe of themselves, for whoever decides on degradation levels.
use crate::time::Span;

/// So long after the last call ended nothing is known of its dependency's present slowness.
pub(crate) const MAX_CALL_AGE: Span = Span::ms(5_000);

/// Observations of a scheduler, each `None` while nothing can be said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// The longest wait in the admission queue, as a part of the queue limit.
    pub queue_wait: Option<f64>,
    /// The part of the attempts read of late that was not begun, from 0 to 1.
    pub rejected: Option<f64>,
    /// What runs, as a part of the concurrency limit.
    pub concurrency: Option<f64>,
    /// 1 while the circuit breaker is open or half-open, else 0.
    pub breaker_open: Option<f64>,
    /// The usual time of a call, in multiples of the best usual time; `None` while no call ends.
    pub call_slowness: Option<f64>,
    /// Memory booked, as a part of all.
    pub memory: Option<f64>,
    /// The longest wait unread of late, as a part of the queue limit.
    pub read_delay: Option<f64>,
    /// 1 while the server warms up, else 0.
    pub warming_up: Option<f64>,
}
