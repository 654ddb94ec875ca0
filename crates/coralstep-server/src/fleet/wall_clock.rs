//! Unix wall clock, which tests may shift.
use std::cell::Cell;
use std::time::SystemTime;

use coralstep_fleet::UnixMillis;

/// Error of shifting the clock while the site file does not enable `fleet.clock_steps`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the site file's fleet.clock_steps is not set")]
pub struct ClockStepsDisabledError;

/// Unix wall clock for timestamps shown to operators and compared across servers.
pub(super) struct WallClock {
    allows_offset: bool,
    offset_ms: Cell<i64>,
}

/// Returns the system's Unix time.
pub(super) fn unix_ms() -> UnixMillis {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |since| since.as_millis() as UnixMillis)
}

impl WallClock {
    pub(super) fn new(allows_offset: bool) -> WallClock {
        WallClock {
            allows_offset,
            offset_ms: Cell::new(0),
        }
    }

    pub(super) fn now_ms(&self) -> UnixMillis {
        unix_ms().saturating_add_signed(self.offset_ms.get())
    }

    /// Shifts this clock from the system clock by `offset_ms` milliseconds.
    pub(super) fn set_offset(&self, offset_ms: i64) -> Result<(), ClockStepsDisabledError> {
        if !self.allows_offset {
            return Err(ClockStepsDisabledError);
        }
        self.offset_ms.set(offset_ms);
        Ok(())
    }
}
