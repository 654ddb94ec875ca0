//! Implements the scheduler's actions: queues decisions for the tasks of RPCs and updates the
//! server's state.
use std::time::Duration;

use coralstep::{Actions, BreakerTransition, Event, RpcId, Span};

use crate::base::clock::{self, Clock};
use crate::decisions::admission::MAX_READ_DELAY;
use crate::decisions::idempotency_keys::IdempotencyKeys;
use crate::decisions::request::Decision;
use crate::decisions::rpc_table::RpcTable;
use crate::note;

/// Results of the scheduler's actions, for network code to read.
pub(super) struct PendingActions {
    pub(super) rpcs: RpcTable,
    pub(super) idempotency_keys: IdempotencyKeys,
    pub(super) healthy: bool,
    pub(super) load_report: Option<f64>,
    pub(super) idle_timeout: Option<Duration>,
    pub(super) next_timeout: Span,
    clock: Clock,
    /// Name of this server, for log lines.
    instance: String,
}

impl PendingActions {
    pub(super) fn new(
        rpcs: RpcTable,
        idempotency_keys: IdempotencyKeys,
        clock: Clock,
        instance: String,
    ) -> PendingActions {
        PendingActions {
            rpcs,
            idempotency_keys,
            healthy: true,
            load_report: None,
            idle_timeout: None,
            next_timeout: Span::ZERO,
            clock,
            instance,
        }
    }
}

impl PendingActions {
    /// Logs each change of the circuit breaker under its own target, without rate limiting.
    fn log_breaker(&self, transition: BreakerTransition) {
        let BreakerTransition {
            from,
            to,
            failure_rate,
        } = transition;
        let instance = self.instance.as_str();
        tracing::info!(
            target: "breaker", dependency = "store", instance,
            from = from.as_str(), to = to.as_str(), rate = failure_rate, "circuit breaker changed state"
        );
    }
}

impl Actions for PendingActions {
    fn admit(&mut self, rpc: RpcId) {
        let entry = self.rpcs.get_mut(rpc);
        if let Some(key) = entry.and_then(|entry| entry.idempotency_key.as_ref()) {
            self.idempotency_keys.mark_started(key, rpc);
        }
        self.rpcs.push_decision(rpc, Decision::Run);
    }

    fn reject(&mut self, rpc: RpcId, retry_after: Span, is_final: bool) {
        // Guards against a retry before the backend accepts the run again.
        let entry = self.rpcs.get_mut(rpc);
        let retry_after = entry.map_or(retry_after, |entry| retry_after.max(entry.retry_after));
        let decision = Decision::Reject {
            retry_after_ms: clock::millis_rounded_up(retry_after),
            is_final,
        };
        self.rpcs.push_decision(rpc, decision);
    }

    fn fail(&mut self, rpc: RpcId) {
        self.rpcs.push_decision(rpc, Decision::Fail);
    }

    fn call(&mut self, rpc: RpcId, timeout: Span) {
        let timeout = clock::duration(timeout);
        self.rpcs.push_decision(rpc, Decision::Call { timeout });
    }

    fn preempt(&mut self, rpc: RpcId) {
        self.rpcs.push_decision(rpc, Decision::CancelRun);
    }

    fn query_run(&mut self, rpc: RpcId) {
        self.rpcs.push_decision(rpc, Decision::QueryRun);
    }

    fn retain_key(&mut self, rpc: RpcId, span: Span) {
        let until = self.clock.now() + span;
        let Some(entry) = self.rpcs.get_mut(rpc) else {
            return;
        };
        if let Some(key) = entry.idempotency_key.clone() {
            let fingerprint = entry.fingerprint;
            self.idempotency_keys.retain(key, fingerprint, rpc, until);
        }
    }

    fn release_key(&mut self, rpc: RpcId) {
        let now = self.clock.now();
        let entry = self.rpcs.get_mut(rpc);
        if let Some(key) = entry.and_then(|entry| entry.idempotency_key.as_ref()) {
            self.idempotency_keys.release(now, key, rpc, MAX_READ_DELAY);
        }
    }

    fn replay(&mut self, rpc: RpcId) {
        self.rpcs.replay(rpc);
    }

    fn set_health(&mut self, good: bool) {
        self.healthy = good;
    }

    fn report_load(&mut self, value: f64) {
        self.load_report = Some(value);
    }

    fn set_idle_timeout(&mut self, span: Span) {
        self.idle_timeout = Some(clock::duration(span));
    }

    fn set_timer(&mut self, span: Span) {
        self.next_timeout = span;
    }

    fn log(&mut self, event: Event) {
        match event {
            Event::BreakerChanged(transition) => self.log_breaker(transition),
            Event::RunOrphaned(run) | Event::RunOrphanedAtCall(run) => note!(
                since_answer_ms = run.since_answer_ms(),
                orphaned = run.orphaned,
                max_orphaned = run.max_orphaned,
                "{}",
                event.message()
            ),
            Event::OrphanLimit {
                reached,
                orphaned,
                max_orphaned,
            } => note!(reached, orphaned, max_orphaned, "{}", event.message()),
            Event::HealthChanged {
                stalled,
                read_backlog,
            } => note!(stalled, read_backlog, "{}", event.message()),
        }
    }

    fn release_id(&mut self, rpc: RpcId) {
        self.rpcs.finish(rpc);
    }
}
