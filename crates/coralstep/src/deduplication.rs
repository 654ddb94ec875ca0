//! Runs a keyed request at most once: a repeat of one that may have run is answered with its result.
use crate::actions::Actions;
use crate::config::{Idempotency, SchedulerConfig};
use crate::flow::Flow;
use crate::memory_limit;
use crate::request::{EarlierAttempt, RpcId};
use crate::request_table::Phase;
use crate::retry_after::DEFAULT_RETRY_AFTER;
use crate::shared_state::SharedState;
use crate::time::Span;

/// Extra time for which a key is retained after its retry window, because times are rounded to ticks.
const RETENTION_MARGIN: Span = Span::ms(50);

/// Memory accounting of the retained idempotency keys.
#[derive(Debug)]
pub(crate) struct Deduplication {
    key_kb: f64,
    retained: usize,
}

impl Deduplication {
    pub(crate) fn new(config: &SchedulerConfig) -> Deduplication {
        Deduplication {
            key_kb: config.key_kb,
            retained: 0,
        }
    }

    /// Retains the key of a request that was read, or replays the result of its earlier attempt.
    ///
    /// A repeat of an attempt that has not run supersedes that attempt.
    pub(crate) fn check(
        &mut self,
        shared: &mut SharedState,
        id: RpcId,
        earlier: EarlierAttempt,
        out: &mut dyn Actions,
    ) -> Flow {
        let Some(request) = shared.get(id) else {
            return Flow::Reject;
        };
        let method = shared.method(request);
        if method.idempotency != Idempotency::Keyed {
            return Flow::Continue;
        }
        let until = request.arrived_at + method.retry_window + RETENTION_MARGIN;
        let superseded = match shared.requests.latest_attempt(earlier) {
            EarlierAttempt::None => None,
            EarlierAttempt::Known(old) if has_not_run(shared, old) => Some(old),
            _ => {
                // Guards against a second run: the earlier attempt ran, or may have run.
                shared.move_to(id, Phase::Replaying);
                out.replay(id);
                return Flow::Wait;
            }
        };
        if !self.take_over_key(shared, superseded) && !self.reserve_key(shared) {
            // Guards against a run whose repeats could not be recognized.
            shared.reject(id, DEFAULT_RETRY_AFTER, out);
            return Flow::Reject;
        }
        out.retain_key(id, until - shared.now);
        if let Some(request) = shared.get_mut(id) {
            request.key_until = Some(until);
        }
        if let Some(old) = superseded {
            if let Some(request) = shared.get_mut(old) {
                request.superseded_by = Some(id);
            }
            // The client waits only for its newest attempt.
            shared.reject(old, Span::ZERO, out);
        }
        Flow::Continue
    }

    /// Takes the key of the superseded attempt; returns false if there is none.
    fn take_over_key(&self, shared: &mut SharedState, superseded: Option<RpcId>) -> bool {
        superseded
            .and_then(|old| shared.get_mut(old)?.key_until.take())
            .is_some()
    }

    /// Reserves memory for another key; returns false if there is too little.
    fn reserve_key(&mut self, shared: &mut SharedState) -> bool {
        if memory_limit::is_full_for_keys(shared, self.retained, self.key_kb) {
            return false;
        }
        self.retained += 1;
        shared.requests.used_kb += self.key_kb;
        true
    }

    /// Releases the key of a request that never ran or whose retry window has ended.
    pub(crate) fn release_key(
        &mut self,
        shared: &mut SharedState,
        id: RpcId,
        out: &mut dyn Actions,
    ) {
        let key = shared
            .get_mut(id)
            .and_then(|request| request.key_until.take());
        if key.is_some() {
            out.release_key(id);
            self.retained -= 1;
            shared.requests.used_kb -= self.key_kb;
        }
    }
}

fn has_not_run(shared: &SharedState, id: RpcId) -> bool {
    shared.get(id).is_some_and(|request| !request.has_run)
}
