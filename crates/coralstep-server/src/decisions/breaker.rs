//! State of the store's circuit breaker, as exchanged with the other servers of the fleet.
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::base::clock;
use crate::decisions::handle::SchedulerHandle;

/// Maximum age of the calls that are reported to other servers.
const RECENT_CALLS_SPAN: Duration = Duration::from_secs(2);
const MAX_RECENT_CALLS: usize = 64;

struct RecentCall {
    ended: Instant,
    failed: bool,
}

/// The latest calls to the store.
#[derive(Default)]
pub(super) struct RecentCalls(VecDeque<RecentCall>);

impl RecentCalls {
    pub(super) fn push(&mut self, failed: bool) {
        if self.0.len() >= MAX_RECENT_CALLS {
            self.0.pop_front();
        }
        let ended = Instant::now();
        self.0.push_back(RecentCall { ended, failed });
    }

    fn forget_old(&mut self) {
        let is_old = |call: &RecentCall| call.ended.elapsed() > RECENT_CALLS_SPAN;
        while self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
    }
}

/// State of a breaker, and the number of recent calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerStatus {
    /// Name of the breaker's state.
    pub state: &'static str,
    /// Number of recent calls that failed.
    pub failures: u32,
    /// Number of recent calls that ended, including failures.
    pub calls: u32,
}

impl SchedulerHandle {
    /// Returns the state of the store's breaker and the calls of the last two seconds, or `None`
    /// before the scheduler is started.
    pub fn breaker_status(&self) -> Option<BreakerStatus> {
        let state = self
            .inner
            .borrow()
            .scheduler
            .as_ref()?
            .breaker()
            .state()
            .as_str();
        let mut recent = self.recent_calls.borrow_mut();
        recent.forget_old();
        let failures = recent.0.iter().filter(|call| call.failed).count();
        Some(BreakerStatus {
            state,
            failures: failures as u32,
            calls: recent.0.len() as u32,
        })
    }

    /// Applies other servers' reports on the store: the breaker may open after `min_outcomes` own
    /// outcomes, and a current cooldown ends after `cooldown_left`.
    pub fn apply_peer_reports(&self, min_outcomes: u32, cooldown_left: Option<Duration>) {
        let cooldown_left = cooldown_left.map(clock::span);
        self.drive(|scheduler, now, _| {
            scheduler.apply_peer_reports(now, min_outcomes, cooldown_left);
        });
    }
}
