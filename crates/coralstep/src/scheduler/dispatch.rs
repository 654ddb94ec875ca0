//! Starts pending calls and queued requests. Calls come first, because their runs occupy memory.
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

    /// Makes the call of a request; returns false if the bulkhead or the circuit breaker does not permit it.
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

    /// Returns the queued request that starts next, if any may start.
    fn next_to_start(&self) -> Option<RpcId> {
        if self.health.is_stalled() || !self.concurrency.has_capacity(&self.shared) {
            return None;
        }
        let blocks_new_calls = self.blocks_new_calls();
        queue::next_to_start(&self.shared, |request| {
            memory_limit::may_start(&self.shared, request)
                && !(blocks_new_calls && self.shared.must_call(request))
        })
    }

    /// Returns whether requests that must call are not started: they would only fail at an open circuit
    /// breaker or wait for a permit.
    fn blocks_new_calls(&self) -> bool {
        let max_started = self.concurrency.max_started(&self.shared);
        self.breaker.cooldown_left(self.shared.now).is_some()
            || self.breaker.has_probe()
            || self.bulkhead.is_permit_queue_full(&self.shared)
            || bulkhead::is_call_start_limit_reached(&self.shared, max_started)
    }
}
