//! Both clocks: one that never goes back for what happens here, the system's Unix clock for others' stamps.
use std::time::{Duration, Instant, SystemTime};

use coralstep::{Span, Time};

/// Where the module's clock stands at our start, so that an engine may have started long before.
const ORIGIN: Time = Time(1 << 40);

#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    pub fn at(&self, moment: Instant) -> Time {
        ORIGIN + Span((moment.saturating_duration_since(self.0).as_micros() / 100) as u64)
    }
}

/// How long ago the Unix clock showed `stamp_ms`; nothing where that is still to come by up to `ahead`, `None` where it
/// is further away.
pub fn age(stamp_ms: u64, ahead: Duration) -> Option<Span> {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let past =
        Span((now.as_micros().div_ceil(100) as u64).saturating_sub(stamp_ms.saturating_mul(10)));
    (u128::from(stamp_ms) <= (now + ahead).as_millis()).then_some(past)
}

/// Rounded up: whoever waits so long has waited long enough.
pub fn span(duration: Duration) -> Span {
    Span(duration.as_micros().div_ceil(100) as u64)
}

pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0.saturating_mul(100))
}

pub fn ms_up(span: Span) -> u64 {
    span.0.div_ceil(10)
}

#[cfg(test)]
mod tests;
