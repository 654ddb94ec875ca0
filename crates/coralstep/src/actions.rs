//! The actions that a [`crate::Scheduler`] decides on.
use crate::circuit_breaker::BreakerTransition;
use crate::event::Event;
use crate::request::RpcId;
use crate::time::Span;

/// Executes the decisions of a scheduler as they are made. Every method has an empty default, so that an
/// implementation omits the actions that it ignores.
#[allow(unused_variables)]
pub trait Actions {
    /// Starts the run of a request.
    fn admit(&mut self, rpc: RpcId) {}
    /// Rejects a request. It has not run or is idempotent, so it may run elsewhere. The client may retry
    /// after `retry_after`, and should not try another server if the rejection is `is_final`.
    fn reject(&mut self, rpc: RpcId, retry_after: Span, is_final: bool) {}
    /// Answers a request whose run may have had an effect with an error.
    fn fail(&mut self, rpc: RpcId) {}
    /// Makes a run's call to the dependency, with `timeout`.
    fn call(&mut self, rpc: RpcId, timeout: Span) {}
    /// Continues a run without its call.
    fn skip_call(&mut self, rpc: RpcId) {}
    /// Cancels or pauses a run, according to [`crate::SchedulerConfig::preemption`].
    fn preempt(&mut self, rpc: RpcId) {}
    /// Queries the status of a run whose request is already answered. If the run has provably ended, the
    /// implementation must report [`crate::Scheduler::handle_completion`].
    fn query_run(&mut self, rpc: RpcId) {}
    /// Retains the idempotency key of a request for `span`.
    fn retain_key(&mut self, rpc: RpcId, span: Span) {}
    /// Releases the idempotency key of a request.
    fn release_key(&mut self, rpc: RpcId) {}
    /// Answers a request with the result of its earlier attempt. The implementation then reports
    /// [`crate::Scheduler::handle_completion`].
    fn replay(&mut self, rpc: RpcId) {}
    /// Sets the result of the health check.
    fn set_health(&mut self, healthy: bool) {}
    /// Sets the load report; [`crate::LoadReportKind`] defines the meaning of the value.
    fn report_load(&mut self, value: f64) {}
    /// Sets the idle timeout of connections.
    fn set_idle_timeout(&mut self, span: Span) {}
    /// Schedules [`crate::Scheduler::handle_timeout`] after `span`, replacing an earlier timer.
    fn set_timer(&mut self, span: Span) {}
    /// Logs an event.
    fn log(&mut self, event: Event) {}
    /// Handles a state change of the circuit breaker; by default, logs it.
    fn breaker_transition(&mut self, transition: BreakerTransition) {
        self.log(Event::BreakerChanged(transition));
    }
    /// Allows the id to be reused: the scheduler no longer refers to it.
    fn release_id(&mut self, rpc: RpcId) {}
}
