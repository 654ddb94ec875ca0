//! Conversion between the protocol's nanoseconds and the scheduler's ticks.
use coralstep::{Span, Time};

const NS_PER_TICK: u64 = 100_000;

/// Converts a point in time, rounding down to a whole tick.
pub(crate) fn time(ns: u64) -> Time {
    Time(ns / NS_PER_TICK)
}

/// Converts a duration, rounding up to whole ticks.
pub(crate) fn span_rounded_up(ns: u64) -> Span {
    Span(ns.div_ceil(NS_PER_TICK))
}

/// Converts a duration to nanoseconds.
pub(crate) fn nanoseconds(span: Span) -> u64 {
    span.0.saturating_mul(NS_PER_TICK)
}
