//! The Unix clock, which tests may step.
use std::cell::Cell;
use std::time::SystemTime;

use coralstep_fleet::UnixMillis;

/// The site file does not let the clock be stepped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the site file's fleet.clock_steps is not set")]
pub struct ClockStepsDisabledError;

/// The Unix clock, for people and for the order across servers.
pub(super) struct WallClock {
    may_be_stepped: bool,
    offset_ms: Cell<i64>,
}

/// Returns the machine's own Unix time.
pub(super) fn unix_ms() -> UnixMillis {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |since| since.as_millis() as UnixMillis)
}

impl WallClock {
    pub(super) fn new(may_be_stepped: bool) -> WallClock {
        WallClock {
            may_be_stepped,
            offset_ms: Cell::new(0),
        }
    }

    pub(super) fn now_ms(&self) -> UnixMillis {
        unix_ms().saturating_add_signed(self.offset_ms.get())
    }

    /// Sets the clock off from the machine's own by `offset_ms` milliseconds.
    pub(super) fn step(&self, offset_ms: i64) -> Result<(), ClockStepsDisabledError> {
        if !self.may_be_stepped {
            return Err(ClockStepsDisabledError);
        }
        self.offset_ms.set(offset_ms);
        Ok(())
    }
}
