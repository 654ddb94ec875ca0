//! Hybrid logical clock, which orders events across servers. It stays close to the wall clock and
//! is monotonic even if the wall clock is set back.
use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use uhlc::{HLC, HLCBuilder, ID, NTP64, Timestamp};

use crate::UnixMillis;

/// Maximum lead of a peer's timestamp over this server's wall clock. Timestamps beyond it are
/// rejected. Guards against one clock that is an hour ahead and advances those of all servers.
pub const MAX_CLOCK_LEAD: Duration = Duration::from_secs(2);
/// Compensates for the library's representation of fractions of a second, which is rounded to
/// slightly less than the millisecond.
const ROUNDING: Duration = Duration::from_micros(500);

thread_local! {
    /// Wall time passed in by the caller, in Unix milliseconds. The library obtains the time by
    /// calling a function without arguments.
    static WALL_MS: Cell<UnixMillis> = const { Cell::new(0) };
}

/// A hybrid logical clock. Wall time is passed in with each call.
pub struct HybridClock(HLC);

impl HybridClock {
    /// Returns a clock with the identity `seed`, which must be unique among the servers.
    #[expect(clippy::missing_panics_doc, reason = "an identity is never zero")]
    pub fn new(seed: u64) -> HybridClock {
        let id = ID::try_from(seed.max(1).to_le_bytes()).expect("an identity is never zero");
        let wall_clock = || NTP64::from(Duration::from_millis(WALL_MS.get()));
        let builder = HLCBuilder::new()
            .with_id(id)
            .with_max_delta(MAX_CLOCK_LEAD)
            .with_clock(wall_clock);
        HybridClock(builder.build())
    }

    /// Returns the next timestamp. It is never lower than any returned or accepted before.
    pub fn timestamp(&self, wall_ms: UnixMillis) -> UnixMillis {
        WALL_MS.set(wall_ms);
        unix_ms(self.0.new_timestamp().get_time())
    }

    /// Advances the clock to a peer's timestamp. Returns false, without any change, if the timestamp
    /// is ahead of the wall clock by more than [`MAX_CLOCK_LEAD`].
    pub fn observe(&self, wall_ms: UnixMillis, timestamp_ms: UnixMillis) -> bool {
        WALL_MS.set(wall_ms);
        let time = NTP64::from(Duration::from_millis(timestamp_ms));
        let timestamp = Timestamp::new(time, *self.0.get_id());
        self.0.update_with_timestamp(&timestamp).is_ok()
    }
}

impl fmt::Debug for HybridClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("HybridClock").finish()
    }
}

fn unix_ms(time: &NTP64) -> UnixMillis {
    (time.to_duration() + ROUNDING).as_millis() as UnixMillis
}

#[cfg(test)]
mod tests;
