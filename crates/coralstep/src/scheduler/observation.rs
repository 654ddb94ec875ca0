//! What a scheduler tells of itself, and what it is told by others.
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
    /// Another degradation level holds from now on. What is queued and not admitted under it is rejected at
    /// once; what has run is untouched.
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

    /// Another version of the configuration holds for what is read from now on; what was read before is
    /// decided under the one it was read under.
    pub fn begin_config_version(&mut self) {
        self.shared.degradation.begin_version();
    }

    /// The circuit breaker, for reports to peers.
    pub fn breaker(&self) -> &CircuitBreaker {
        &self.breaker
    }

    /// What peers saw of the dependency: `min_outcomes` of one's own suffice to open the circuit breaker,
    /// and a cooldown that runs ends after `cooldown_left`, where that is stated.
    pub fn apply_peer_reports(
        &mut self,
        now: Time,
        min_outcomes: u32,
        cooldown_left: Option<Span>,
    ) {
        let until = cooldown_left.map(|left| now + left);
        self.breaker.apply_peer_reports(min_outcomes, until);
    }

    /// What the decisions observe of themselves.
    pub fn signals(&self) -> Signals {
        let shared = &self.shared;
        let running = shared.requests.count(Phase::Running) as f64;
        let is_warming_up = self.concurrency.is_warming_up(shared.now);
        Signals {
            queue_wait: Some(queue::longest_waited_part(shared)),
            rejected: Some(1.0 - self.begun_part()),
            concurrency: Some(running / self.concurrency.limit().max(1) as f64),
            breaker_open: Some(flag(!self.breaker.is_closed())),
            call_slowness: self.call_slowness(),
            memory: Some(shared.requests.used_kb / shared.settings.memory_kb),
            read_delay: Some(self.health.read_delay()),
            warming_up: Some(flag(is_warming_up)),
        }
    }

    /// The part of the attempts of late that was begun; while nothing is requested, nothing is rejected.
    fn begun_part(&self) -> f64 {
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

    /// What was learned so far, for [`Scheduler::restore`] in a later process.
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

    /// Takes in what an earlier process learned, with `confidence` from 0 (as if nothing were known) to 1
    /// (as if it had been learned here). To be called before the first request.
    ///
    /// The circuit breaker starts closed, whatever it was: an open one's cooldown is over long before
    /// anybody could know.
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
        if let Some(permits) = learned.sound_call_permits() {
            self.bulkhead.restore_permits(permits, confidence);
        }
        let best_call_time = learned.believed_best_call_time(confidence);
        self.bulkhead
            .restore_best_call_time(best_call_time.unwrap_or(0));
    }

    /// The whole state as one figure: the same for schedulers that will decide alike from now on, almost
    /// never the same for others. No decision reads it.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        hasher.write(self.state_text().as_bytes());
        hasher.finish()
    }

    /// The whole state, for diagnosis and tests; its form may change with any version.
    pub fn state_text(&self) -> String {
        format!("{self:?}")
    }
}

/// 1 where `is_set`, else 0.
fn flag(is_set: bool) -> f64 {
    f64::from(u8::from(is_set))
}
