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
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let past = Span((now.as_micros().div_ceil(100) as u64).saturating_sub(stamp_ms.saturating_mul(10)));
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
mod tests {
    use super::*;

    #[test]
    fn times_are_rounded_to_the_safe_side() {
        assert_eq!(span(Duration::from_micros(101)), Span(2));
        assert_eq!(duration(Span(3)), Duration::from_micros(300));
        assert_eq!(ms_up(Span(11)), 2);
    }

    #[test]
    fn a_stamp_from_the_near_future_is_new_and_one_from_the_far_future_is_none() {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64;
        assert_eq!(age(now + 5_000, Duration::from_secs(10)), Some(Span::ZERO));
        assert_eq!(age(now + 5_000, Duration::from_secs(1)), None);
        assert_eq!(age(u64::MAX, Duration::from_secs(1)), None);
        assert!(age(0, Duration::ZERO) > Some(Span::ms(1_000_000_000_000)));
    }
}
