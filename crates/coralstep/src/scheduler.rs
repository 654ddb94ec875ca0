//! The scheduler: evaluates the rules for each event and invokes the resulting [`Actions`].
use crate::actions::Actions;
use crate::admission;
use crate::bulkhead::Bulkhead;
use crate::call_retry::may_retry_call;
use crate::call_timeout::MIN_CALL_TIMEOUT;
use crate::circuit_breaker::CircuitBreaker;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::config::{Idempotency, SchedulerConfig};
use crate::connection_limit::ConnectionLimit;
use crate::deduplication::Deduplication;
use crate::drain::Drain;
use crate::flow::Flow;
use crate::health::Health;
use crate::load_report::LoadReport;
use crate::orphans;
use crate::queue;
use crate::request::{Gauges, Outcome, Request, RpcId};
use crate::request_table::Phase;
use crate::retry_after::DEFAULT_RETRY_AFTER;
use crate::shared_state::SharedState;
use crate::time::{Span, Time};
use crate::timer::{TIMER_PERIOD, Timer};

mod dispatch;
mod enforcement;
mod observation;

/// Decides which requests of one server are admitted, queued, run, rejected or cancelled, and which calls
/// they make and retry.
///
/// A request passes deduplication, admission, the queue and the concurrency limit, and for a call the
/// bulkhead and the circuit breaker. Each event is reported with the time at which it happened; times must
/// not decrease.
#[derive(Debug)]
pub struct Scheduler {
    shared: SharedState,
    deduplication: Deduplication,
    drain: Drain,
    concurrency: ConcurrencyLimit,
    bulkhead: Bulkhead,
    breaker: CircuitBreaker,
    health: Health,
    load_report: LoadReport,
    connections: ConnectionLimit,
    timer: Timer,
}

impl Scheduler {
    /// Creates a scheduler and sets its first timer. The same `seed` and events lead to the same decisions.
    pub fn start(
        config: &SchedulerConfig,
        seed: u64,
        now: Time,
        out: &mut dyn Actions,
    ) -> Scheduler {
        out.set_timer(TIMER_PERIOD);
        Scheduler {
            shared: SharedState::new(config, seed, now),
            deduplication: Deduplication::new(config),
            drain: Drain::new(config),
            concurrency: ConcurrencyLimit::new(config, now),
            bulkhead: Bulkhead::new(config, now),
            breaker: CircuitBreaker::new(now),
            health: Health::new(now),
            load_report: LoadReport::new(config),
            connections: ConnectionLimit::new(config),
            timer: Timer::new(now),
        }
    }

    /// Handles a request that was read.
    pub fn handle_request(&mut self, now: Time, request: Request, out: &mut dyn Actions) {
        self.shared.now = now;
        if let Some(span) = self.timer.bring_forward(now) {
            out.set_timer(span);
        }
        self.shared.enqueue(&request);
        self.record_read_delay(&request);
        let flow =
            self.deduplication
                .check(&mut self.shared, request.id, request.earlier_attempt, out);
        if flow == Flow::Continue {
            self.check_admission(request.id, out);
        }
        self.remove_if_finished(request.id, out);
        self.dispatch(out);
    }

    /// Guards against untrusted clients whose stated ages would make the server look unhealthy.
    fn record_read_delay(&mut self, request: &Request) {
        if request.untrusted_age {
            return;
        }
        if let Some(tracked) = self.shared.get(request.id) {
            let waited = queue::fraction_of_limit(&self.shared, tracked, request.age);
            self.health.record_read_delay(waited);
        }
    }

    fn check_admission(&mut self, id: RpcId, out: &mut dyn Actions) {
        let Some(request) = self.shared.get(id) else {
            return;
        };
        let stalled = self.health.is_stalled();
        let rejection = admission::rejection(&self.shared, request, &self.drain, stalled);
        if let Some(retry_after) = rejection {
            self.shared.reject(id, retry_after, out);
        }
    }

    /// Handles the end of a run or a replay.
    pub fn handle_completion(
        &mut self,
        now: Time,
        id: RpcId,
        outcome: Outcome,
        out: &mut dyn Actions,
    ) {
        self.shared.now = now;
        let Some(request) = self.shared.get(id) else {
            return;
        };
        let phase = request.phase;
        if phase == Phase::Calling {
            self.abandon_call(id, out);
        }
        self.shared.move_to(id, Phase::Finished);
        self.health.record_progress(now);
        self.shared.record_completion(id, phase, outcome);
        match outcome {
            Outcome::Ok | Outcome::Error => self.shared.mark_answered(id),
            Outcome::Unreachable => self.reject_unstarted(id, out),
            _ => self.shared.fail(id, out),
        }
        self.remove_if_finished(id, out);
        self.dispatch(out);
    }

    /// Handles a run that ended during its call, whose outcome stays unknown.
    ///
    /// Guards against a dependency that hangs until the deadlines: a call that was cut short by the deadline
    /// of its request counts as failed.
    fn abandon_call(&mut self, id: RpcId, out: &mut dyn Actions) {
        self.bulkhead.record_end(&self.shared, true);
        let Some(request) = self.shared.get(id) else {
            return;
        };
        let started_at = request.phase_since;
        let is_conclusive =
            self.breaker.is_probe(id) || self.shared.now - started_at >= MIN_CALL_TIMEOUT;
        if request.expired_at_call && is_conclusive {
            self.record_call_outcome(id, started_at, true, out);
        } else {
            self.breaker.abandon_probe(id);
        }
    }

    /// Rejects a request whose run provably never started, so that it may go to another server and its
    /// idempotency key may be reused.
    fn reject_unstarted(&mut self, id: RpcId, out: &mut dyn Actions) {
        if let Some(request) = self.shared.get_mut(id) {
            request.has_run = false;
        }
        self.shared.reject(id, DEFAULT_RETRY_AFTER, out);
    }

    /// Handles a run that needs its call to continue.
    pub fn handle_call_needed(&mut self, now: Time, id: RpcId, out: &mut dyn Actions) {
        self.shared.now = now;
        self.health.record_progress(now);
        let running = self
            .shared
            .get_mut(id)
            .filter(|request| request.phase == Phase::Running);
        let Some(request) = running else { return };
        request.call_attempts = 0;
        self.shared.move_to(id, Phase::AwaitingCall);
        if self.degradation_skips_call(id) {
            self.skip_call_or_reject(id, DEFAULT_RETRY_AFTER, out);
        }
        self.enforce_deadlines(id, out);
        self.dispatch(out);
    }

    fn degradation_skips_call(&self, id: RpcId) -> bool {
        self.shared.get(id).is_some_and(|request| {
            self.shared.level_of(request).skip_calls && self.shared.method(request).skip_value > 0.0
        })
    }

    /// Handles a call that ended after `duration`. Unless it succeeded, its run still needs a call.
    pub fn handle_call_result(
        &mut self,
        now: Time,
        id: RpcId,
        outcome: Outcome,
        duration: Span,
        out: &mut dyn Actions,
    ) {
        self.shared.now = now;
        let calling = self
            .shared
            .get(id)
            .filter(|request| request.phase == Phase::Calling);
        let Some(request) = calling else { return };
        let succeeded = outcome == Outcome::Ok;
        let needs_answer =
            !succeeded && !request.answered && !may_retry_call(&self.shared, request, outcome);
        if !outcome.proves_never_ran() {
            self.shared.measurements.record_call(now, duration);
        }
        // Rejected calls and lost connections are failures, too: the dependency did not serve them.
        self.record_call_outcome(id, now - duration, !succeeded, out);
        self.bulkhead
            .record_end(&self.shared, outcome == Outcome::TimedOut);
        let phase = if succeeded {
            Phase::Running
        } else {
            Phase::AwaitingCall
        };
        self.shared.move_to(id, phase);
        if needs_answer {
            let cooldown = self.breaker.cooldown_left(now);
            self.skip_call_or_reject(id, cooldown.unwrap_or(DEFAULT_RETRY_AFTER), out);
        }
        self.enforce_deadlines(id, out);
        self.dispatch(out);
    }

    fn record_call_outcome(
        &mut self,
        id: RpcId,
        started_at: Time,
        failed: bool,
        out: &mut dyn Actions,
    ) {
        let now = self.shared.now;
        let rng = &mut self.shared.rng;
        if let Some(transition) = self.breaker.record_call(now, id, started_at, failed, rng) {
            out.breaker_transition(transition);
        }
    }

    /// Handles a request that its client has cancelled.
    pub fn handle_cancellation(&mut self, now: Time, id: RpcId, out: &mut dyn Actions) {
        self.shared.now = now;
        let Some(request) = self.shared.get(id) else {
            return;
        };
        let is_safe = self.shared.method(request).idempotency == Idempotency::Idempotent;
        if request.phase == Phase::Running && is_safe && self.shared.settings.may_preempt {
            out.preempt(id);
        }
        self.shared.mark_answered(id);
        self.remove_if_finished(id, out);
        self.dispatch(out);
    }

    /// Begins a drain: the process stops at `stop_at`. Requests that arrive after the grace period are
    /// rejected, all others are answered.
    pub fn begin_drain(&mut self, now: Time, stop_at: Time, out: &mut dyn Actions) {
        self.shared.now = now;
        self.drain.begin(now, stop_at);
        out.set_health(false);
    }

    /// Handles the expiry of the timer that was set last.
    pub fn handle_timeout(&mut self, now: Time, gauges: Gauges, out: &mut dyn Actions) {
        if !self.timer.is_due(now) {
            return;
        }
        self.shared.now = now;
        self.health
            .update(&mut self.shared, &self.concurrency, &self.drain, out);
        for id in self.shared.requests.ids() {
            self.reap_orphan(id, out);
            self.enforce_deadlines(id, out);
        }
        self.shared.measurements.halve_if_due(now);
        if self.timer.begin_adjustment(now) {
            self.adjust_limits(gauges, out);
        }
        let is_idle = self.shared.requests.is_empty();
        out.set_timer(self.timer.schedule(now, is_idle));
        self.dispatch(out);
    }

    /// Adjusts the limits and the load report.
    fn adjust_limits(&mut self, gauges: Gauges, out: &mut dyn Actions) {
        self.bulkhead.adjust(&mut self.shared);
        let cpu_busy = gauges.cpu_busy.unwrap_or(1.0);
        self.concurrency
            .adjust(&self.shared, cpu_busy, self.health.read_delay());
        self.health.decay_read_delay();
        let available = !self.drain.is_draining() && !self.health.is_stalled();
        if let Some(value) = self.load_report.update(&self.shared, available) {
            out.report_load(value);
        }
        let max_started = self.concurrency.max_started(&self.shared);
        let idle_timeout = self.connections.adjust(
            gauges.open_connections.unwrap_or(0.0),
            max_started,
            &mut self.shared.measurements.attempts,
        );
        if let Some(timeout) = idle_timeout {
            out.set_idle_timeout(timeout);
        }
    }

    /// Guards against calls and runs that never end and would occupy permits and cores permanently.
    fn reap_orphan(&mut self, id: RpcId, out: &mut dyn Actions) {
        if let Some(duration) = orphans::lost_call_time(&self.shared, id) {
            self.handle_call_result(self.shared.now, id, Outcome::TimedOut, duration, out);
        }
        let max_started = self.concurrency.max_started(&self.shared);
        orphans::query_run(&mut self.shared, id, out);
        orphans::mark_orphaned(&mut self.shared, id, max_started, out);
    }
}
