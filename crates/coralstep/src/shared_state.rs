//! State shared by all rules: the time, settings, requests, measurements and degradation level.
use nanorand::WyRand;

use crate::config::{GoalWeights, Method, Preemption, SchedulerConfig};
use crate::degradation::{DegradationLevel, VersionedDegradation};
use crate::measurements::Measurements;
use crate::request::{Outcome, Request, RpcId};
use crate::request_table::{Phase, RequestTable, TrackedRequest};
use crate::time::{Span, Time};

/// Settings that several rules read.
#[derive(Debug)]
pub(crate) struct Settings {
    pub(crate) methods: Vec<Method>,
    /// Fleet-wide quotas in requests per second.
    pub(crate) tenant_quotas: Vec<f64>,
    pub(crate) fleet_size: f64,
    pub(crate) over_quota_weight: f64,
    pub(crate) goal: GoalWeights,
    pub(crate) weight_per_work: bool,
    pub(crate) may_preempt: bool,
    pub(crate) cores: usize,
    pub(crate) memory_kb: f64,
}

impl Settings {
    fn new(config: &SchedulerConfig) -> Settings {
        Settings {
            methods: config.methods.clone(),
            tenant_quotas: config.tenant_quotas.clone(),
            fleet_size: f64::from(config.fleet_size.max(1)),
            over_quota_weight: config.over_quota_weight,
            goal: config.goal.or_overall(),
            weight_per_work: config.weight_per_work,
            may_preempt: config.preemption != Preemption::Off,
            cores: config.cores.max(1) as usize,
            memory_kb: if config.memory_kb > 0.0 {
                config.memory_kb
            } else {
                f64::MAX
            },
        }
    }
}

/// State that all rules read and update.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) now: Time,
    pub(crate) settings: Settings,
    pub(crate) requests: RequestTable,
    pub(crate) measurements: Measurements,
    pub(crate) degradation: VersionedDegradation,
    /// Whether a fault appears to affect only this server.
    pub(crate) fault_is_local: bool,
    pub(crate) rng: WyRand,
}

impl SharedState {
    pub(crate) fn new(config: &SchedulerConfig, seed: u64, now: Time) -> SharedState {
        SharedState {
            now,
            settings: Settings::new(config),
            requests: RequestTable::new(config.run_memory_factor.max(1.0)),
            measurements: Measurements::new(config, now),
            degradation: VersionedDegradation::default(),
            fault_is_local: config.warming_up,
            rng: WyRand::new_seed(seed),
        }
    }

    pub(crate) fn get(&self, id: RpcId) -> Option<&TrackedRequest> {
        self.requests.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: RpcId) -> Option<&mut TrackedRequest> {
        self.requests.get_mut(id)
    }

    pub(crate) fn method(&self, request: &TrackedRequest) -> &Method {
        &self.settings.methods[request.method]
    }

    /// Returns whether runs of a request's method must call the dependency.
    pub(crate) fn must_call(&self, request: &TrackedRequest) -> bool {
        let method = self.method(request);
        method.calls && method.skip_value == 0.0
    }

    /// Returns the degradation level that applies to a request.
    pub(crate) fn level_of(&self, request: &TrackedRequest) -> &DegradationLevel {
        self.degradation.level_for(request.config_version)
    }

    pub(crate) fn move_to(&mut self, id: RpcId, phase: Phase) {
        self.requests.move_to(self.now, id, phase);
    }

    pub(crate) fn mark_answered(&mut self, id: RpcId) {
        self.requests.mark_answered(self.now, id);
    }

    /// Adds a request that was just read to the admission queue.
    pub(crate) fn enqueue(&mut self, request: &Request) {
        let default_deadline = self.settings.methods[request.method].deadline;
        let version = self.degradation.version();
        let mut tracked = TrackedRequest::queued(self.now, request, default_deadline, version);
        let tenants = self.measurements.tenants.len();
        tracked.tenant = request.tenant.filter(|tenant| *tenant < tenants);
        if !request.is_retry {
            self.measurements
                .record_request(tracked.method, tracked.tenant);
        }
        self.measurements.attempts.requested += 1.0;
        if !request.untrusted_age {
            self.measurements.read_delays.record(request.age);
        }
        self.requests.insert(request.id, tracked);
    }

    /// Records the measurements of a successful run that ended in `phase`.
    pub(crate) fn record_completion(&mut self, id: RpcId, phase: Phase, outcome: Outcome) {
        let Some(request) = self.requests.get(id).filter(|_| outcome == Outcome::Ok) else {
            return;
        };
        let objective = self.method(request).latency_objective;
        let in_time = !request.answered && self.now - request.arrived_at <= objective;
        if phase == Phase::Running {
            self.measurements.run_times[request.method].record(request.time_on_cores);
        }
        if in_time {
            self.measurements
                .record_served(request.method, request.tenant);
        }
    }

    /// Sets the time at which the call of a request times out.
    pub(crate) fn set_call_timeout(&mut self, id: RpcId, timeout: Span) {
        let at = self.now + timeout;
        if let Some(request) = self.get_mut(id) {
            request.call_timeout_at = at;
        }
    }
}
