//! Exclusion: while the fleet excludes this server, it admits no RPC.
use std::rc::Rc;

use coralstep::{DegradationLevel, Span};

use crate::decisions::handle::SchedulerHandle;

/// Returns the time for which this server admits nothing, or `None` if it is not excluded.
pub type ExclusionCheck = Rc<dyn Fn() -> Option<Span>>;

impl SchedulerHandle {
    /// Sets the check that decides whether this server is excluded. It is called before each RPC.
    pub fn set_exclusion_check(&self, check: ExclusionCheck) {
        *self.exclusion_check.borrow_mut() = Some(check);
    }

    /// Updates whether this server is excluded. While it is, queued RPCs are rejected at once, and
    /// current runs continue to their end.
    pub fn update_exclusion(&self) {
        let Some(check) = self.exclusion_check.borrow().clone() else {
            return;
        };
        let excluded_for = check();
        if excluded_for.is_none() && !self.excluded.get() {
            return;
        }
        self.excluded.set(excluded_for.is_some());
        let level = match excluded_for {
            Some(retry_after) => DegradationLevel {
                reject_all: true,
                excluded: true,
                retry_after,
                ..DegradationLevel::default()
            },
            // Guards against admitting every RPC until the degradation level is applied again.
            None => self.degradation_level(),
        };
        self.drive(|scheduler, now, actions| scheduler.set_degradation(now, level, actions));
    }

    fn degradation_level(&self) -> DegradationLevel {
        self.degradation()
            .map_or_else(DegradationLevel::default, |degradation| {
                degradation.degradation_level()
            })
    }
}
