//! The fence: while the fleet excludes this server, it admits nothing.
use std::rc::Rc;

use coralstep::{DegradationLevel, Span};

use crate::decisions::handle::SchedulerHandle;

/// Says for how long nothing is to be admitted; none while this server is not excluded.
pub type ExclusionCheck = Rc<dyn Fn() -> Option<Span>>;

impl SchedulerHandle {
    /// Sets who may exclude this server; asked before each RPC.
    pub fn set_exclusion_check(&self, check: ExclusionCheck) {
        *self.exclusion_check.borrow_mut() = Some(check);
    }

    /// Asks whether this server is excluded, and sets or lifts the fence. Queued RPCs are then answered at once, what has run
    /// goes on to its end.
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
                fenced: true,
                retry_after,
                ..DegradationLevel::default()
            },
            // Guards against a moment of full service before the degradation level that holds takes
            // over.
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
