//! Health reports of a server on its dependencies: the state of its breaker, the results of its calls
//! and their ages.
//!
//! The order of fields and variants is part of the wire format, because postcard encodes them by
//! position.
use coralstep_fleet::gossip::Gossip;
use coralstep_fleet::membership::MAX_NAME_BYTES;
use coralstep_fleet::{Member, Millis};
use serde::{Deserialize, Serialize};

/// Maximum age of a report, in ms. Older reports are ignored.
pub const MAX_REPORT_AGE_MS: Millis = 6_000;
/// Maximum number of dependencies in the reports of one server.
pub const MAX_DEPENDENCIES: usize = 8;

/// State of a circuit breaker in a health report.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ReportedBreakerState {
    /// Calls are allowed.
    #[default]
    Closed,
    /// Calls are rejected until the cooldown ends.
    Open,
    /// One probe call is allowed. Its outcome closes or reopens the breaker.
    HalfOpen,
}

impl ReportedBreakerState {
    /// Returns the name that the scheduler and its log use for the state.
    pub fn name(self) -> &'static str {
        match self {
            ReportedBreakerState::Closed => "closed",
            ReportedBreakerState::Open => "open",
            ReportedBreakerState::HalfOpen => "half-open",
        }
    }
}

/// Health of a dependency according to this server's own recent calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth {
    /// State of this server's breaker.
    pub state: ReportedBreakerState,
    /// Number of recent calls that failed.
    pub failures: u32,
    /// Number of calls that ended recently.
    pub calls: u32,
}

/// Report of a server on one dependency. Ages are relative to the time of the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Name of the dependency.
    pub dependency: String,
    /// State of the server's breaker.
    pub state: ReportedBreakerState,
    /// Number of recent calls that failed.
    pub failures: u8,
    /// Number of calls that ended recently.
    pub calls: u8,
    /// Time since the last call ended, in ms.
    pub since_call_ms: u32,
    /// Time since a probe call closed the breaker, in ms; `None` if there was none.
    pub since_recovery_ms: Option<u32>,
}

impl HealthReport {
    /// Returns whether the report is well-formed.
    fn is_valid(&self) -> bool {
        !self.dependency.is_empty()
            && self.dependency.len() <= MAX_NAME_BYTES
            && self.failures <= self.calls
    }
}

/// All reports of one server, as disseminated by gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeHealth {
    /// The reporting server.
    pub origin: Member,
    /// Sequence number, which increases with each value that a process publishes.
    pub sequence: u64,
    /// One report for each dependency.
    pub reports: Vec<HealthReport>,
}

impl Gossip for NodeHealth {
    const MAX_AGE_MS: Millis = MAX_REPORT_AGE_MS;

    fn origin(&self) -> &Member {
        &self.origin
    }

    fn sequence(&self) -> u64 {
        self.sequence
    }

    fn is_valid(&self) -> bool {
        self.origin.is_valid()
            && self.reports.len() <= MAX_DEPENDENCIES
            && self.reports.iter().all(HealthReport::is_valid)
    }
}
