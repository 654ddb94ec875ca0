//! Where the decisions of a [`crate::Scheduler`] go.
use crate::circuit_breaker::BreakerTransition;
use crate::event::Event;
use crate::request::RpcId;
use crate::time::Span;

/// Carries out decisions, each at once. An implementation leaves out what it has no use for.
#[allow(unused_variables)]
pub trait Actions {
    /// Begins the run of a request.
    fn admit(&mut self, rpc: RpcId) {}
    /// Answers a request with a rejection: it has not run, or is idempotent, so it may run elsewhere. The
    /// caller may come back after `retry_after`, and should not try another server where the rejection is
    /// `is_final`.
    fn reject(&mut self, rpc: RpcId, retry_after: Span, is_final: bool) {}
    /// Answers a request, whose run may have had an effect, with an error.
    fn fail(&mut self, rpc: RpcId) {}
    /// Makes a run's call to the dependency, and waits for it at most for `timeout`.
    fn call(&mut self, rpc: RpcId, timeout: Span) {}
    /// Lets a run go on without its call.
    fn skip_call(&mut self, rpc: RpcId) {}
    /// Cancels or pauses running work, as [`crate::SchedulerConfig::preemption`] says.
    fn preempt(&mut self, rpc: RpcId) {}
    /// Asks whether a run whose request is answered still goes on. Where it provably ended,
    /// [`crate::Scheduler::handle_completion`] is to say so.
    fn query_run(&mut self, rpc: RpcId) {}
    /// Keeps the idempotency key of a request for `span`.
    fn retain_key(&mut self, rpc: RpcId, span: Span) {}
    /// Forgets the idempotency key of a request.
    fn release_key(&mut self, rpc: RpcId) {}
    /// Answers a request with the result of its earlier attempt, and reports
    /// [`crate::Scheduler::handle_completion`].
    fn replay(&mut self, rpc: RpcId) {}
    /// Sets what the health check answers.
    fn set_health(&mut self, healthy: bool) {}
    /// Sets the load report; [`crate::LoadReportKind`] says how callers read the value.
    fn report_load(&mut self, value: f64) {}
    /// Closes connections that carried nothing for `span`.
    fn set_idle_timeout(&mut self, span: Span) {}
    /// Asks for [`crate::Scheduler::handle_timeout`] after `span`, in place of what was asked for before.
    fn set_timer(&mut self, span: Span) {}
    /// Logs an event.
    fn log(&mut self, event: Event) {}
    /// The circuit breaker changed its state. Logs that, unless an implementation does otherwise.
    fn breaker_transition(&mut self, transition: BreakerTransition) {
        self.log(Event::BreakerChanged(transition));
    }
    /// The scheduler is done with this index.
    fn release_id(&mut self, rpc: RpcId) {}
}
