//! Load signals of a scheduler, from which degradation levels are chosen.
use crate::time::Span;

/// Age of the last ended call beyond which the slowness of the dependency is unknown.
pub(crate) const MAX_CALL_AGE: Span = Span::ms(5_000);

/// Load signals of a scheduler; each is `None` while unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Longest wait in the admission queue, as a fraction of the queue limit.
    pub queue_wait: Option<f64>,
    /// Fraction of the recently read attempts that were not started, from 0 to 1.
    pub rejected: Option<f64>,
    /// Running requests as a fraction of the concurrency limit.
    pub concurrency: Option<f64>,
    /// 1 while the circuit breaker is open or half-open, otherwise 0.
    pub breaker_open: Option<f64>,
    /// Typical call time as a multiple of the lowest one; `None` while no call ends.
    pub call_slowness: Option<f64>,
    /// Reserved memory as a fraction of all memory.
    pub memory: Option<f64>,
    /// Recent maximum of the read delay, as a multiple of the queue limit.
    pub read_delay: Option<f64>,
    /// 1 while the server warms up, otherwise 0.
    pub warming_up: Option<f64>,
}
