//! Moves on whatever can move: calls first, for they hold memory, then queued requests.
use super::Scheduler;
use crate::actions::Actions;
use crate::bulkhead::{self, Bulkhead};
use crate::call_timeout::call_timeout;
use crate::circuit_breaker::CallDecision;
use crate::flow::Flow;
use crate::memory_limit;
use crate::queue;
use crate::request::RpcId;
use crate::request_table::Phase;
use crate::time::Span;

impl Scheduler {
    pub(super) fn dispatch(&mut self, out: &mut dyn Actions) {
        while let Some(id) = Bulkhead::next_to_call(&self.shared) {
            if !self.start_call(id, out) {
                break;
            }
        }
        while let Some(id) = self.next_to_start() {
            self.shared.move_to(id, Phase::Running);
            self.shared.measurements.attempts.served += 1.0;
            out.admit(id);
        }
    }

    /// Makes the call of a request; false where the bulkhead or the circuit breaker makes it wait.
    fn start_call(&mut self, id: RpcId, out: &mut dyn Actions) -> bool {
        if !self.bulkhead.has_permit(&self.shared) {
            return false;
        }
        let CallDecision { flow, transition } = self.breaker.admit_call(self.shared.now, id);
        if let Some(transition) = transition {
            out.breaker_transition(transition);
        }
        if flow != Flow::Continue {
            return false;
        }
        self.shared.move_to(id, Phase::Calling);
        let timeout = self
            .shared
            .get(id)
            .map_or(Span::ZERO, |request| call_timeout(&self.shared, request));
        self.shared.set_call_timeout(id, timeout);
        out.call(id, timeout);
        true
    }

    /// The queued request that starts next, where one may.
    fn next_to_start(&self) -> Option<RpcId> {
        if self.health.is_stalled() || !self.concurrency.has_capacity(&self.shared) {
            return None;
        }
        let calls_are_held_back = self.calls_are_held_back();
        queue::next_to_start(&self.shared, |request| {
            memory_limit::may_start(&self.shared, request)
                && !(calls_are_held_back && self.shared.must_call(request))
        })
    }

    /// Whether nothing is started that must call: it would only end at an open circuit breaker, or wait at
    /// its call.
    fn calls_are_held_back(&self) -> bool {
        let max_started = self.concurrency.max_started(&self.shared);
        self.breaker.cooldown_left(self.shared.now).is_some()
            || self.breaker.has_probe()
            || self.bulkhead.line_is_full(&self.shared)
            || bulkhead::calls_fill_cores(&self.shared, max_started)
    }
}
