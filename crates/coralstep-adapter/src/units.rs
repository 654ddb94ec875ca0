//! The protocol states times in nanoseconds, the scheduler in ticks.
use coralstep::{Span, Time};

const NS_PER_TICK: u64 = 100_000;

/// A moment, rounded down to a whole tick.
pub(crate) fn time(ns: u64) -> Time {
    Time(ns / NS_PER_TICK)
}

/// A length of time, rounded up to whole ticks.
pub(crate) fn span_up(ns: u64) -> Span {
    Span(ns.div_ceil(NS_PER_TICK))
}

/// Nanoseconds of a length of time.
pub(crate) fn nanoseconds(span: Span) -> u64 {
    span.0.saturating_mul(NS_PER_TICK)
}
