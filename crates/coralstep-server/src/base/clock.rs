//! Monotonic clock for local events, and the age of timestamps that other machines took from the Unix clock.
use std::time::{Duration, Instant, SystemTime};

use coralstep::{Span, Time};

/// Scheduler time at process start. Far above 0, so that the start time of an older engine can be represented.
const START_TIME: Time = Time(1 << 40);
/// Microseconds per unit of [`Span`] and [`Time`].
const MICROS_PER_UNIT: u128 = 100;
/// Units of [`Span`] and [`Time`] per millisecond.
const UNITS_PER_MS: u64 = 10;

/// Monotonic clock of the scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// Returns the time at `instant`, or the start time if `instant` is earlier.
    pub fn at(&self, instant: Instant) -> Time {
        let elapsed = instant.saturating_duration_since(self.0);
        START_TIME + Span((elapsed.as_micros() / MICROS_PER_UNIT) as u64)
    }
}

/// Returns the age of a Unix timestamp in ms.
///
/// A timestamp up to `max_skew` in the future has age 0; `None` if it is further in the future.
pub fn age_of_timestamp(timestamp_ms: u64, max_skew: Duration) -> Option<Span> {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    if u128::from(timestamp_ms) > (now + max_skew).as_millis() {
        return None;
    }
    let now_units = now.as_micros().div_ceil(MICROS_PER_UNIT) as u64;
    let timestamp_units = timestamp_ms.saturating_mul(UNITS_PER_MS);
    Some(Span(now_units.saturating_sub(timestamp_units)))
}

/// Converts `duration` to a scheduler span, rounding up so that a wait is never too short.
pub fn span(duration: Duration) -> Span {
    Span(duration.as_micros().div_ceil(MICROS_PER_UNIT) as u64)
}

/// Converts a scheduler span to a duration.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0.saturating_mul(MICROS_PER_UNIT as u64))
}

/// Converts a scheduler span to milliseconds, rounding up.
pub fn millis_rounded_up(span: Span) -> u64 {
    span.0.div_ceil(UNITS_PER_MS)
}

#[cfg(test)]
mod tests;
