//! Information on shared health for operators: a row for each server and dependency, and an event
//! when the source of a fault changes.
use std::fmt;

use coralstep_fleet::Millis;
use serde::Serialize;

use crate::fault_source::FaultSource;
use crate::peer_report::PeerCounts;
use crate::report::ReportedBreakerState;

/// Report of one server on one dependency. The field names are the keys of the JSON output.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DependencyRow {
    /// Name of the dependency.
    pub dependency: String,
    /// Name of the reporting server.
    pub server: String,
    /// State of that server's breaker.
    pub state: ReportedBreakerState,
    /// Number of its recent calls that failed.
    pub failures: u32,
    /// Number of its calls that ended recently.
    pub calls: u32,
    /// Time since its last call ended, in ms.
    pub age_ms: Millis,
}

/// Event for a change of a dependency's fault source. Its `Display` text is the log message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultSourceChanged {
    /// Name of the dependency.
    pub dependency: String,
    /// The new source.
    pub source: FaultSource,
    /// Summary of the peer reports.
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
                "{dependency} recovered: {failing} of {informed} informed peers report failure"
            ),
            FaultSource::Dependency => write!(
                f,
                "{dependency} fails: {failing} of {informed} informed peers report failure"
            ),
            FaultSource::OwnPath => write!(
                f,
                "this server's path to {dependency} fails: {failing} of {informed} informed peers report failure"
            ),
            FaultSource::Unknown => write!(
                f,
                "{dependency} fails on this server; no peer has called it recently"
            ),
        }
    }
}
