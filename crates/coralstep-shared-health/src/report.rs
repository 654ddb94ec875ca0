//! What a server reports of its dependencies: the state of its own breaker and its own calls, with
//! their ages.
//!
//! The order of fields and variants is the wire format, as postcard encodes by position.
use coralstep_fleet::gossip::Gossip;
use coralstep_fleet::membership::MAX_NAME_BYTES;
use coralstep_fleet::{Member, Millis};
use serde::{Deserialize, Serialize};

/// A report older than this counts for nothing, in ms.
pub const MAX_REPORT_AGE_MS: Millis = 6_000;
/// Dependencies that one server reports at most.
pub const MAX_DEPENDENCIES: usize = 8;

/// State of a circuit breaker.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ReportedBreakerState {
    /// Calls are made.
    #[default]
    Closed,
    /// No calls are made until the cooldown ends.
    Open,
    /// One probe call decides.
    HalfOpen,
}

impl ReportedBreakerState {
    /// Returns the name by which the scheduler and its log know the state.
    pub fn name(self) -> &'static str {
        match self {
            ReportedBreakerState::Closed => "closed",
            ReportedBreakerState::Open => "open",
            ReportedBreakerState::HalfOpen => "half-open",
        }
    }
}

/// What a server knows of a dependency by its own recent calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth {
    /// State of its breaker.
    pub state: ReportedBreakerState,
    /// How many of the recent calls failed.
    pub failures: u32,
    /// How many calls ended recently.
    pub calls: u32,
}

/// What a server reports of one dependency. Ages are those when the report was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Name of the dependency.
    pub dependency: String,
    /// State of the server's breaker.
    pub state: ReportedBreakerState,
    /// How many of the recent calls failed.
    pub failures: u8,
    /// How many calls ended recently.
    pub calls: u8,
    /// Time since the last call ended, in ms.
    pub since_call_ms: u32,
    /// Time since a probe call closed the breaker, in ms; `None` if that did not happen.
    pub since_recovery_ms: Option<u32>,
}

impl HealthReport {
    /// Whether a peer may have sent this.
    fn is_valid(&self) -> bool {
        !self.dependency.is_empty()
            && self.dependency.len() <= MAX_NAME_BYTES
            && self.failures <= self.calls
    }
}

/// All that one server reports, as it is spread by gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeHealth {
    /// The server that reports.
    pub origin: Member,
    /// Rises with each report of one process.
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
