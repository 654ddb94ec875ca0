//! The hybrid logical clock that orders events of several servers: it stays near wall time and
//! never runs back, even where wall time does.
use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use uhlc::{HLC, HLCBuilder, ID, NTP64, Timestamp};

use crate::UnixMillis;

/// A peer's timestamp further ahead of this server's wall time does not move its clock. Guards
/// against one clock that is an hour off and drags all others along.
pub const MAX_CLOCK_LEAD: Duration = Duration::from_secs(2);
/// Makes up for the clock's fractions of a second, which round a little below the millisecond.
const ROUNDING: Duration = Duration::from_micros(500);

thread_local! {
    /// Wall time in Unix milliseconds as it was passed in: the library asks a function for it.
    static WALL_MS: Cell<UnixMillis> = const { Cell::new(0) };
}

/// A hybrid logical clock. Wall time is passed in with each call.
pub struct HybridClock(HLC);

impl HybridClock {
    /// Returns a clock under the identity `seed`, which no other server may have.
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

    /// Returns the next timestamp, which is never below one returned or observed before.
    pub fn timestamp(&self, wall_ms: UnixMillis) -> UnixMillis {
        WALL_MS.set(wall_ms);
        unix_ms(self.0.new_timestamp().get_time())
    }

    /// Takes in a peer's timestamp; false where it is further ahead than [`MAX_CLOCK_LEAD`].
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
