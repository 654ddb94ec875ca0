//! The hybrid clock, and the servers whose clocks are too far ahead.
use crate::UnixMillis;
use crate::clock::HybridClock;

/// Maximum number of remembered servers with skewed clocks.
const MAX_SKEWED: usize = 1_024;

/// Hybrid clock that reports each server with a skewed clock once.
#[derive(Debug)]
pub(super) struct PeerClock {
    clock: HybridClock,
    /// Names of servers whose clocks are too far ahead.
    skewed: Vec<String>,
}

impl PeerClock {
    pub(super) fn new(seed: u64) -> PeerClock {
        PeerClock {
            clock: HybridClock::new(seed),
            skewed: Vec::new(),
        }
    }

    pub(super) fn timestamp(&self, wall_ms: UnixMillis) -> UnixMillis {
        self.clock.timestamp(wall_ms)
    }

    /// Advances the clock to a timestamp of server `name`. Returns true if that server's clock is too
    /// far ahead and was not reported before.
    pub(super) fn observe(
        &mut self,
        wall_ms: UnixMillis,
        name: &str,
        timestamp_ms: UnixMillis,
    ) -> bool {
        let is_accepted = self.clock.observe(wall_ms, timestamp_ms);
        if is_accepted || self.skewed.iter().any(|known| known == name) {
            return false;
        }
        if self.skewed.len() >= MAX_SKEWED {
            self.skewed.clear();
        }
        self.skewed.push(name.to_owned());
        true
    }
}
