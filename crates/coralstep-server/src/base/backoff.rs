//! Exponential backoff with jitter for connection attempts. Performs no I/O.
use std::time::Duration;

use nanorand::{Rng, WyRand};

/// Delays that double from a minimum to a maximum, each jittered between half and all of its length.
///
/// Guards against servers that lost the same peer and reconnect to it at the same moment.
#[derive(Debug)]
pub struct Backoff {
    min_delay: Duration,
    max_delay: Duration,
    next: Duration,
    rng: WyRand,
}

impl Backoff {
    /// Creates a backoff whose first delay is at most `min_delay`.
    pub fn new(min_delay: Duration, max_delay: Duration, seed: u64) -> Backoff {
        Backoff {
            min_delay,
            max_delay,
            next: min_delay,
            rng: WyRand::new_seed(seed),
        }
    }

    /// Returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let full = self.next;
        self.next = (full * 2).min(self.max_delay);
        let half = full / 2;
        let jitter = f64::from(self.rng.generate::<u32>()) / f64::from(u32::MAX);
        half + half.mul_f64(jitter)
    }

    /// Resets the delay to the minimum, after a successful attempt.
    pub fn reset(&mut self) {
        self.next = self.min_delay;
    }
}

#[cfg(test)]
mod tests;
