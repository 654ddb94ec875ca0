//! Slow start of an application that has returned, across all sending processes.
//!
//! No process knows what the others send. Each one therefore admits attempts at random instead of rounding its share up, so
//! that the sum over any number of processes stays within the limits except for random variation. Two limits apply, both
//! described in `docs/scgi.md`:
//!
//! - The fraction of its attempts that the application receives grows from [`MIN_FRACTION`] to 1 over the slow start; each
//!   process applies it to its own attempts.
//! - If an initial rate is configured, all processes together start at that rate, and each one may use its share of it.
use coralstep::{Span, Time};
use nanorand::{Rng, WyRand};

/// Fraction of its regular attempts that an application receives at first, so that it is observed to work at all.
pub const MIN_FRACTION: f64 = 0.1;
/// Time for which unused credit accumulates. Guards against processes that are idle, accumulate credit and then send a burst
/// all at once.
const MAX_CREDIT_TIME: Span = Span::ms(250);

/// Configuration of the slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// Time from the return of an application until it receives its full load.
    pub duration: Span,
    /// Attempts per second that an application accepts at first, from all processes together; 0 for no limit.
    pub initial_rate: f64,
    /// Number of sending processes.
    pub processes: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct SlowStart {
    started_at: Time,
    /// Attempts that the initial rate allows now.
    credit: f64,
    credit_updated_at: Time,
}

impl SlowStart {
    pub fn new(started_at: Time) -> SlowStart {
        SlowStart {
            started_at,
            credit: 0.0,
            credit_updated_at: started_at,
        }
    }

    /// Returns the fraction of its regular attempts that the application receives now.
    pub fn fraction(&self, now: Time, config: &SlowStartConfig) -> f64 {
        ((now - self.started_at).0 as f64 / config.duration.0.max(1) as f64)
            .clamp(MIN_FRACTION, 1.0)
    }

    pub fn is_complete(&self, now: Time, config: &SlowStartConfig) -> bool {
        now - self.started_at >= config.duration
    }

    /// Whether this process's share of the initial rate allows an attempt now.
    pub fn try_admit(&mut self, now: Time, config: &SlowStartConfig, rng: &mut WyRand) -> bool {
        if config.initial_rate <= 0.0 {
            return true;
        }
        let rate = config.initial_rate * self.fraction(now, config)
            / MIN_FRACTION
            / f64::from(config.processes.max(1));
        let allowed = |span: Span| rate * span.0 as f64 / 10_000.0;
        self.credit =
            (self.credit + allowed(now - self.credit_updated_at)).min(allowed(MAX_CREDIT_TIME));
        self.credit_updated_at = now;
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return true;
        }
        // A credit below 1 is the probability of an attempt, and is spent in either case.
        let probability = std::mem::take(&mut self.credit);
        draw(probability, rng)
    }
}

/// Returns `true` with the given probability.
pub(crate) fn draw(probability: f64, rng: &mut WyRand) -> bool {
    f64::from(rng.generate::<u32>()) < probability * 4_294_967_296.0
}
