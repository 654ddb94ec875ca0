//! How long to wait before a peer that could not be reached, or left at once, is tried again. Pure.
use std::time::Duration;

use nanorand::{Rng, WyRand};

/// Doubles from the least to the most, each wait drawn from its upper half: guards against servers that lost the same peer and
/// come back to it together.
pub struct Backoff {
    least: Duration,
    most: Duration,
    next: Duration,
    chance: WyRand,
}

impl Backoff {
    pub fn new(least: Duration, most: Duration, seed: u64) -> Backoff {
        Backoff {
            least,
            most,
            next: least,
            chance: WyRand::new_seed(seed),
        }
    }

    pub fn wait(&mut self) -> Duration {
        let whole = self.next;
        self.next = (whole * 2).min(self.most);
        whole / 2
            + (whole / 2).mul_f64(f64::from(self.chance.generate::<u32>()) / f64::from(u32::MAX))
    }

    /// It was reached, and spoke.
    pub fn fresh(&mut self) {
        self.next = self.least;
    }
}

#[cfg(test)]
mod tests;
