//! The configuration of a [`crate::Scheduler`].
use crate::time::Span;

/// Whether a method may run twice for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A second run has no further effect.
    #[default]
    Idempotent,
    /// Requests carry an idempotency key; a repeat of one that may have run is answered with its result.
    Keyed,
    /// A second run repeats the effect, and repeats cannot be distinguished from new requests.
    NonIdempotent,
}

/// Settings of one method.
#[derive(Clone, Copy, Debug, Default)]
pub struct Method {
    /// Whether the method may run twice for one request.
    pub idempotency: Idempotency,
    /// Time from arrival within which a response counts as served.
    pub latency_objective: Span,
    /// Time from arrival after which the client stops waiting, unless the request states a deadline.
    pub deadline: Span,
    /// Time from arrival during which a keyed request may be retried.
    pub retry_window: Span,
    /// Value of a response within the latency objective, relative to other methods.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response after the latency objective earns. Unused by the
    /// rules.
    pub late_value: f64,
    /// Fraction of the priority weight that a response without the dependency call earns; 0 if the call
    /// can't be skipped.
    pub skip_value: f64,
    /// Whether runs of the method call the dependency.
    pub calls: bool,
}

/// The dependency that runs call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Dependency {
    /// Runs call no dependency.
    #[default]
    None,
    /// One dependency shared by all servers. The field is this server's share of the concurrent calls that
    /// the dependency sustains, 0 if unknown.
    Shared(f64),
    /// A tier of servers that run this scheduler themselves.
    Tier,
}

impl Dependency {
    /// Returns this server's share of the concurrent calls to a shared dependency, if known.
    pub fn share(self) -> Option<f64> {
        match self {
            Dependency::Shared(share) if share > 0.0 => Some(share),
            _ => None,
        }
    }
}

/// Meaning of the value passed to [`crate::Actions::report_load`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportKind {
    /// No load is reported.
    #[default]
    Off,
    /// Clients send only requests whose rank exceeds the value, from 0 to 1.
    Threshold,
    /// Maximum number of concurrent requests that each client sends.
    Credit,
    /// Probability, from 0 to 1, with which a client that selects this server sends to it.
    Weight,
}

/// How a run whose client stopped waiting may be preempted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// Runs are not preempted.
    #[default]
    Off,
    /// Runs may be cancelled.
    Cancel,
    /// Runs may be paused.
    Pause,
}

/// Settings of one server. A default value imposes no limit.
#[derive(Clone, Debug, Default)]
pub struct SchedulerConfig {
    /// Methods, indexed by [`crate::Request::method`].
    pub methods: Vec<Method>,
    /// Fleet-wide quota of each tenant in requests per second, indexed by [`crate::Request::tenant`].
    pub tenant_quotas: Vec<f64>,
    /// Number of servers that share the traffic.
    pub fleet_size: u32,
    /// Fraction of the priority weight that applies to traffic beyond a tenant's quota.
    pub over_quota_weight: f64,
    /// Number of cores available to runs.
    pub cores: u32,
    /// Memory for requests and idempotency keys, in kilobytes.
    pub memory_kb: f64,
    /// Memory of a started request as a multiple of its memory while queued.
    pub run_memory_factor: f64,
    /// Memory of a retained idempotency key, in kilobytes.
    pub key_kb: f64,
    /// Whether the server starts cold and has to warm up.
    pub warming_up: bool,
    /// Speed at the start of the warm-up, as a fraction of full speed.
    pub cold_speed: f64,
    /// Duration of the warm-up.
    pub warm_up_time: Span,
    /// Maximum number of started requests per core that a warm server sustains.
    pub max_started_per_core: f64,
    /// Time after the start of a drain during which arriving requests are still served.
    pub drain_grace: Span,
    /// The dependency that runs call.
    pub dependency: Dependency,
    /// Time for which the dependency may continue to execute an abandoned call.
    pub abandoned_call_time: Span,
    /// Number of clients that send to this server.
    pub callers: u32,
    /// How load is reported to clients.
    pub load_report: LoadReportKind,
    /// How a run whose client stopped waiting may be preempted.
    pub preemption: Preemption,
    /// Maximum time for which clients keep an idle connection open.
    pub max_idle_time: Span,
    /// Whether priority weights state a value per unit of work instead of per request.
    pub weight_per_work: bool,
    /// Weights of the service goals that the queue priority serves.
    pub goal: GoalWeights,
}

/// Weights of the service goals; if all are 0, only the overall goal counts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GoalWeights {
    /// Weight of the overall rate of requests served in time.
    pub overall: f64,
    /// Weight of the service ratio of the worst-served method.
    pub worst_method: f64,
    /// Weight of the service ratio of the worst-served tenant. Unused by the rules.
    pub worst_tenant: f64,
}

impl GoalWeights {
    /// Returns these weights, or the overall goal alone if all are 0.
    pub(crate) fn or_overall(self) -> GoalWeights {
        if self.overall + self.worst_method + self.worst_tenant > 0.0 {
            self
        } else {
            GoalWeights {
                overall: 1.0,
                ..GoalWeights::default()
            }
        }
    }
}
