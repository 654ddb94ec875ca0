//! Points in time and durations, in ticks of 0.1 ms.
use std::ops::{Add, Mul, Sub};

/// A point in time, in ticks of 0.1 ms on the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A duration, in ticks of 0.1 ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// A duration of zero.
    pub const ZERO: Span = Span(0);

    /// Creates a span from milliseconds.
    pub const fn ms(ms: u64) -> Span {
        Span(ms * 10)
    }

    /// Multiplies the span by `factor` and rounds down to a whole tick.
    pub fn scaled(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

/// Saturates at time 0.
impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

/// Returns [`Span::ZERO`] if `earlier` is the later of the two.
impl Sub for Time {
    type Output = Span;
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

/// Saturates at [`Span::ZERO`].
impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Mul<u64> for Span {
    type Output = Span;
    fn mul(self, times: u64) -> Span {
        Span(self.0.saturating_mul(times))
    }
}
