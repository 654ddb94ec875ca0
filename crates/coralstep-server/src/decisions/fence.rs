//! The fence: while the fleet excludes this server, it admits nothing.
use std::rc::Rc;

use coralstep::{DegradationLevel, Span};

use crate::decisions::handle::SchedulerHandle;

/// Says for how long nothing is to be admitted; none while this server is not excluded.
pub type FenceCheck = Rc<dyn Fn() -> Option<Span>>;

impl SchedulerHandle {
    /// Sets who may exclude this server; asked before each RPC.
    pub fn set_fence_check(&self, check: FenceCheck) {
        *self.fence_check.borrow_mut() = Some(check);
    }

    /// Asks whether this server is excluded, and sets or lifts the fence. Queued RPCs are then answered at once, what has run
    /// goes on to its end.
    pub fn update_fence(&self) {
        let Some(check) = self.fence_check.borrow().clone() else {
            return;
        };
        let excluded_for = check();
        if excluded_for.is_none() && !self.fenced.get() {
            return;
        }
        self.fenced.set(excluded_for.is_some());
        let level = match excluded_for {
            Some(retry_after) => DegradationLevel {
                reject_all: true,
                excluded: true,
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
                degradation.effect()
            })
    }
}
