//! The clock that orders acts of several servers: hybrid logical, so it stays near wall time and never runs back, also where wall time does.
use std::cell::Cell;
use std::time::Duration;

use uhlc::{HLC, HLCBuilder, ID, NTP64, Timestamp};

/// A stamp further ahead of this server's own wall time than that doesn't move its clock: one clock an hour off drags nobody along.
pub const MAX_CLOCK_LEAD: Duration = Duration::from_secs(2);

thread_local! {
    /// Wall time as it was passed in: the library asks a function for it.
    static WALL: Cell<u64> = const { Cell::new(0) };
}

pub struct HybridClock(HLC);

impl HybridClock {
    /// `seed`: any figure that no other server has.
    pub fn new(seed: u64) -> HybridClock {
        let id =
            ID::try_from(seed.max(1).to_le_bytes()).expect("eight bytes that are not all nought");
        let builder = HLCBuilder::new().with_id(id).with_max_delta(MAX_CLOCK_LEAD);
        HybridClock(
            builder
                .with_clock(|| NTP64::from(Duration::from_millis(WALL.get())))
                .build(),
        )
    }

    /// The next stamp, in Unix milliseconds: never less than one given or heard before.
    pub fn timestamp(&self, wall_ms: u64) -> u64 {
        WALL.set(wall_ms);
        ms(self.0.new_timestamp().get_time())
    }

    /// Another server's stamp was heard; false where it is too far ahead to be believed.
    pub fn observe(&self, wall_ms: u64, stamp_ms: u64) -> bool {
        WALL.set(wall_ms);
        let stamp = Timestamp::new(
            NTP64::from(Duration::from_millis(stamp_ms)),
            *self.0.get_id(),
        );
        self.0.update_with_timestamp(&stamp).is_ok()
    }
}

fn ms(time: &NTP64) -> u64 {
    let time = time.to_duration();
    // The library's fractions are a little under the millisecond that went in.
    (time + Duration::from_micros(500)).as_millis() as u64
}

#[cfg(test)]
mod tests;
