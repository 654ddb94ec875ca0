//! Moments and lengths of time, in ticks of a tenth of a millisecond.
use std::ops::{Add, Mul, Sub};

/// A moment, in ticks of 0.1 ms on the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A length of time, in ticks of 0.1 ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// A span of so many milliseconds.
    pub const fn ms(ms: u64) -> Span {
        Span(ms * 10)
    }

    /// This span times `factor`, rounded down to a tick.
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

/// Stops at the start of the clock.
impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

/// [`Span::ZERO`] where `earlier` is in fact the later one.
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

/// Stops at [`Span::ZERO`].
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
