//! What a [`crate::Scheduler`] is configured with at its start.
use crate::time::Span;

/// What may happen when a method runs twice for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A second run does no harm.
    #[default]
    Idempotent,
    /// Requests carry an idempotency key, by which a repeat of one that may have run is answered with its
    /// result.
    Keyed,
    /// A second run does harm, and nothing tells a repeat from a new request.
    NonIdempotent,
}

/// The settings of one method.
#[derive(Clone, Copy, Debug, Default)]
pub struct Method {
    /// What may happen when it runs twice.
    pub idempotency: Idempotency,
    /// When an answer is wanted, from the request's arrival.
    pub latency_objective: Span,
    /// When its caller stops waiting, from the request's arrival, unless the request says otherwise.
    pub deadline: Span,
    /// How long after its arrival a keyed request may be sent again.
    pub retry_window: Span,
    /// What an answer within the latency objective is worth, beside other methods.
    pub priority_weight: f64,
    /// The part of the priority weight that an answer past the latency objective still earns. No rule uses
    /// it.
    pub late_value: f64,
    /// The part of the priority weight that an answer without the dependency call earns; 0 where the call
    /// can't be skipped.
    pub skip_value: f64,
    /// Whether its runs call the dependency.
    pub calls: bool,
}

/// What the runs call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Dependency {
    /// Nothing.
    #[default]
    None,
    /// One dependency that all servers share; the field is the part of the concurrent calls it survives
    /// that is this server's, 0 where it is not known.
    Shared(f64),
    /// Servers that run this code.
    Tier,
}

impl Dependency {
    /// The concurrent calls to a shared dependency that are this server's, where that is known.
    pub fn share(self) -> Option<f64> {
        match self {
            Dependency::Shared(share) if share > 0.0 => Some(share),
            _ => None,
        }
    }
}

/// How callers read the value of [`crate::Actions::report_load`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportKind {
    /// No load is reported.
    #[default]
    Off,
    /// Callers send only requests whose rank is above the value, from 0 to 1.
    Threshold,
    /// Each caller sends at most so many requests at once.
    Credit,
    /// The probability, from 0 to 1, that a caller doesn't pass this server over.
    Weight,
}

/// What may be done to running work that nobody waits for any more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// Nothing.
    #[default]
    Off,
    /// It may be cancelled.
    Cancel,
    /// It may be paused.
    Pause,
}

/// The settings of one server. A value that is left at its default limits nothing.
#[derive(Clone, Debug, Default)]
pub struct SchedulerConfig {
    /// The methods, in the order of [`crate::Request::method`].
    pub methods: Vec<Method>,
    /// The quota of each tenant over all servers, in requests a second, in the order of
    /// [`crate::Request::tenant`].
    pub tenant_quotas: Vec<f64>,
    /// How many servers share the traffic.
    pub fleet_size: u32,
    /// What a request beyond its tenant's quota is worth, as a part of its priority weight.
    pub over_quota_weight: f64,
    /// Cores that the runs may use.
    pub cores: u32,
    /// Memory for requests and idempotency keys, in kilobytes.
    pub memory_kb: f64,
    /// The memory of a started request, in multiples of what it took while it was queued.
    pub run_memory_factor: f64,
    /// The memory of a retained idempotency key, in kilobytes.
    pub key_kb: f64,
    /// Whether the server has just started and is still warming up.
    pub warming_up: bool,
    /// The speed of a server that starts to warm up, as a part of its full one.
    pub cold_speed: f64,
    /// How long warming up takes.
    pub warm_up_time: Span,
    /// Started requests for each core that a warm server survives.
    pub max_started_per_core: f64,
    /// For how long after the notice of a shutdown requests that arrive are still served.
    pub drain_grace: Span,
    /// What the runs call.
    pub dependency: Dependency,
    /// How long the dependency may go on with a call that was abandoned.
    pub abandoned_call_time: Span,
    /// How many callers send to this server.
    pub callers: u32,
    /// How the load is reported to callers.
    pub load_report: LoadReportKind,
    /// What may be done to running work that nobody waits for.
    pub preemption: Preemption,
    /// How long callers keep an idle connection at the most.
    pub max_idle_time: Span,
    /// Whether priority weights are a worth per unit of work rather than per request.
    pub weight_per_work: bool,
    /// What is to be kept high.
    pub goal: GoalWeights,
}

/// The weights of what a server is judged by; all 0 counts the whole alone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GoalWeights {
    /// Of all that is served in time.
    pub overall: f64,
    /// Of the service of the worst-served method.
    pub worst_method: f64,
    /// Of the service of the worst-served tenant. No rule uses it.
    pub worst_tenant: f64,
}

impl GoalWeights {
    /// These weights, or those that count the whole alone where all are 0.
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
