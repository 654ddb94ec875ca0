//! What operators see of shared health: a row for each server and dependency, and an event when the
//! source of a fault changes.
use std::fmt;

use coralstep_fleet::Millis;
use serde::Serialize;

use crate::fault_source::FaultSource;
use crate::peer_report::PeerCounts;
use crate::report::ReportedBreakerState;

/// What one server reports of one dependency; the keys are those of the JSON output.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DependencyRow {
    /// Name of the dependency.
    pub dependency: String,
    /// Name of the server that reports.
    pub server: String,
    /// State of that server's breaker.
    pub state: ReportedBreakerState,
    /// How many of its recent calls failed.
    pub failures: u32,
    /// How many of its calls ended recently.
    pub calls: u32,
    /// Time since its last call ended, in ms.
    pub age_ms: Millis,
}

/// The source of a dependency's fault changed. Its text is the line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultSourceChanged {
    /// Name of the dependency.
    pub dependency: String,
    /// The source from now on.
    pub source: FaultSource,
    /// What peers report.
    pub peers: PeerCounts,
}

impl fmt::Display for FaultSourceChanged {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FaultSourceChanged {
            dependency,
            source,
            peers: PeerCounts {
                informed, failing, ..
            },
        } = self;
        match source {
            FaultSource::NoFault => write!(
                f,
                "{dependency} serves: {failing} of {informed} others say that it fails"
            ),
            FaultSource::Dependency => write!(
                f,
                "{dependency} fails: {failing} of {informed} others say so"
            ),
            FaultSource::OwnPath => write!(
                f,
                "this server's way to {dependency} fails: {failing} of {informed} others say that it does"
            ),
            FaultSource::Unknown => write!(
                f,
                "{dependency} fails here; no other server has called it of late"
            ),
        }
    }
}
