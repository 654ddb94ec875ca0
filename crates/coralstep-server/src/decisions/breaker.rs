//! The circuit breaker of the store, as the fleet's shared health sees it.
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::base::clock;
use crate::decisions::handle::SchedulerHandle;

/// Calls that other servers are told of: those of so long, the last ones.
const RECENT_CALLS_SPAN: Duration = Duration::from_secs(2);
const MAX_RECENT_CALLS: usize = 64;

struct RecentCall {
    ended: Instant,
    failed: bool,
}

/// The last calls to the store.
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

/// State of the breaker, and the calls of the last two seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerStatus {
    /// Name of the state.
    pub state: &'static str,
    /// Calls that failed.
    pub failures: u32,
    /// Calls that ended, failed or not.
    pub calls: u32,
}

impl SchedulerHandle {
    /// The state of the store's breaker; none before the start.
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

    /// What other servers saw of the store: a breaker may open on `min_outcomes` of its own; a
    /// cooldown that runs ends after `cooldown_left`.
    pub fn apply_peer_reports(&self, min_outcomes: u32, cooldown_left: Option<Duration>) {
        let cooldown_left = cooldown_left.map(clock::span);
        self.drive(|scheduler, now, _| {
            scheduler.apply_peer_reports(now, min_outcomes, cooldown_left);
        });
    }
}
