//! The hybrid clock, and the servers whose clocks are not believed.
use crate::UnixMillis;
use crate::clock::HybridClock;

/// Names of servers with skewed clocks that are remembered.
const MAX_SKEWED: usize = 1_024;

/// The hybrid clock, and the servers whose clocks are too far ahead of it.
#[derive(Debug)]
pub(super) struct PeerClock {
    clock: HybridClock,
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

    /// Takes in the timestamp of server `name`. Returns true where its clock is newly found to be
    /// too far ahead.
    pub(super) fn observe(
        &mut self,
        wall_ms: UnixMillis,
        name: &str,
        timestamp_ms: UnixMillis,
    ) -> bool {
        let is_believed = self.clock.observe(wall_ms, timestamp_ms);
        if is_believed || self.skewed.iter().any(|known| known == name) {
            return false;
        }
        if self.skewed.len() >= MAX_SKEWED {
            self.skewed.clear();
        }
        self.skewed.push(name.to_owned());
        true
    }
}
