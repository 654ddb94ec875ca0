//! Interfaces to other components: degradation levels, peer reports, signals and learned state.
use std::hash::{DefaultHasher, Hasher};

use super::Scheduler;
use crate::actions::Actions;
use crate::circuit_breaker::CircuitBreaker;
use crate::degradation::DegradationLevel;
use crate::learned_state::{LearnedState, TenantService};
use crate::measurements::Histogram;
use crate::queue;
use crate::request::RpcId;
use crate::request_table::Phase;
use crate::signals::{MAX_CALL_AGE, Signals};
use crate::time::{Span, Time};

impl Scheduler {
    /// Applies a degradation level. Queued requests that it does not admit are rejected at once; requests
    /// that have started are unaffected.
    pub fn set_degradation(&mut self, now: Time, level: DegradationLevel, out: &mut dyn Actions) {
        self.shared.now = now;
        if !self.shared.degradation.set(level) {
            return;
        }
        let queued: Vec<RpcId> = self
            .shared
            .requests
            .unanswered_in(Phase::Queued)
            .map(|(id, _)| id)
            .collect();
        for id in queued {
            self.enforce_deadlines(id, out);
        }
    }

    /// Begins a new configuration version for requests read from now on. Requests read earlier keep the
    /// degradation level of their own version.
    pub fn begin_config_version(&mut self) {
        self.shared.degradation.begin_version();
    }

    /// Returns the circuit breaker, for reports to peers.
    pub fn breaker(&self) -> &CircuitBreaker {
        &self.breaker
    }

    /// Applies the health of the dependency as reported by peers: `min_outcomes` local outcomes suffice to
    /// open the circuit breaker, and `cooldown_left`, if given, replaces a running cooldown.
    pub fn apply_peer_reports(
        &mut self,
        now: Time,
        min_outcomes: u32,
        cooldown_left: Option<Span>,
    ) {
        let until = cooldown_left.map(|left| now + left);
        self.breaker.apply_peer_reports(min_outcomes, until);
    }

    /// Returns the current load signals.
    pub fn signals(&self) -> Signals {
        let shared = &self.shared;
        let running = shared.requests.count(Phase::Running) as f64;
        let is_warming_up = self.concurrency.is_warming_up(shared.now);
        Signals {
            queue_wait: Some(queue::longest_waited_fraction(shared)),
            rejected: Some(1.0 - self.started_fraction()),
            concurrency: Some(running / self.concurrency.limit().max(1) as f64),
            breaker_open: Some(signal_value(!self.breaker.is_closed())),
            call_slowness: self.call_slowness(),
            memory: Some(shared.requests.used_kb / shared.settings.memory_kb),
            read_delay: Some(self.health.read_delay()),
            warming_up: Some(signal_value(is_warming_up)),
        }
    }

    /// Returns the fraction of recent attempts that were started; 1 without attempts, as none is rejected.
    fn started_fraction(&self) -> f64 {
        let attempts = &self.shared.measurements.attempts;
        if attempts.requested < 1.0 {
            1.0
        } else {
            (attempts.served / attempts.requested).min(1.0)
        }
    }

    fn call_slowness(&self) -> Option<f64> {
        let measured = &self.shared.measurements;
        let is_known = measured.call_times.samples() > 0
            && self.shared.now - measured.last_call_end <= MAX_CALL_AGE;
        is_known
            .then(|| self.bulkhead.slowness(&self.shared))
            .flatten()
    }

    /// Returns the learned state, for [`Scheduler::restore`] in a later process.
    pub fn learned_state(&self) -> LearnedState {
        let measured = &self.shared.measurements;
        LearnedState {
            run_times: measured.run_times.iter().map(Histogram::bins).collect(),
            call_times: measured.call_times.bins(),
            concurrency_limit: Some(self.concurrency.limit() as u32),
            call_permits: Some(self.bulkhead.permits()),
            best_call_time: self.bulkhead.best_call_time(),
            tenants: measured
                .tenants
                .iter()
                .map(|ratio| TenantService {
                    requested: ratio.requested,
                    served: ratio.served,
                })
                .collect(),
        }
    }

    /// Restores the learned state of an earlier process with a `confidence` from 0 (ignored) to 1 (as if
    /// learned here). Must be called before the first request.
    ///
    /// The circuit breaker always starts closed: the cooldown of an earlier open state has ended by then.
    pub fn restore(&mut self, learned: &LearnedState, confidence: f64) {
        let confidence = if confidence.is_finite() {
            confidence.clamp(0.0, 1.0)
        } else {
            0.0
        };
        self.shared.measurements.restore(learned, confidence);
        if let Some(limit) = learned.concurrency_limit {
            let cores = self.shared.settings.cores;
            self.concurrency.restore(cores, limit, confidence);
        }
        if let Some(permits) = learned.plausible_call_permits() {
            self.bulkhead.restore_permits(permits, confidence);
        }
        let best_call_time = learned.trusted_best_call_time(confidence);
        self.bulkhead
            .restore_best_call_time(best_call_time.unwrap_or(0));
    }

    /// Returns a hash of the whole state. Schedulers with equal hashes almost certainly make the same
    /// decisions from now on. No decision depends on it.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        hasher.write(self.state_text().as_bytes());
        hasher.finish()
    }

    /// Returns the whole state as text, for diagnosis and tests. The format is not stable.
    pub fn state_text(&self) -> String {
        format!("{self:?}")
    }
}

/// Returns 1 if `is_set`, otherwise 0.
fn signal_value(is_set: bool) -> f64 {
    f64::from(u8::from(is_set))
}
