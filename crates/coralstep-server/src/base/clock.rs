//! Both clocks: a monotonic one for what happens here, the system's Unix clock for timestamps of others.
use std::time::{Duration, Instant, SystemTime};

use coralstep::{Span, Time};

/// The scheduler's time when the process starts: far from 0, so that an engine may have started long before.
const START_TIME: Time = Time(1 << 40);
/// Microseconds in a unit of [`Span`] and [`Time`].
const MICROS_PER_UNIT: u128 = 100;
/// Units of [`Span`] and [`Time`] in a millisecond.
const UNITS_PER_MS: u64 = 10;

/// The monotonic clock by which the scheduler decides.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// The time at `moment`; the start for moments before it.
    pub fn at(&self, moment: Instant) -> Time {
        let elapsed = moment.saturating_duration_since(self.0);
        START_TIME + Span((elapsed.as_micros() / MICROS_PER_UNIT) as u64)
    }
}

/// The age of a Unix timestamp in ms: 0 for one that is at most `max_skew` ahead, `None` for one that is further ahead.
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

/// `duration` as the scheduler's span, rounded up: whoever waits so long has waited long enough.
pub fn span(duration: Duration) -> Span {
    Span(duration.as_micros().div_ceil(MICROS_PER_UNIT) as u64)
}

/// The scheduler's span as a duration.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0.saturating_mul(MICROS_PER_UNIT as u64))
}

/// The scheduler's span in ms, rounded up.
pub fn millis_rounded_up(span: Span) -> u64 {
    span.0.div_ceil(UNITS_PER_MS)
}

#[cfg(test)]
mod tests;
