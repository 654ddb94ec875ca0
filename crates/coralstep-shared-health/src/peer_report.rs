//! A peer's report on one dependency with current ages, and the summary of all peer reports.
use coralstep_fleet::Millis;

use crate::report::{MAX_REPORT_AGE_MS, ReportedBreakerState};

/// Identifies a peer process. All reports of a process have the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PeerId(pub u64);

/// A peer's report on one dependency. Ages are relative to the current time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PeerReport {
    /// The reporting peer.
    pub peer: PeerId,
    /// State of the peer's breaker.
    pub state: ReportedBreakerState,
    /// Number of its recent calls that failed.
    pub failures: u32,
    /// Number of its calls that ended recently.
    pub calls: u32,
    /// Time since its last call ended, in ms.
    pub since_call_ms: Millis,
    /// Time since a probe call closed its breaker, in ms; `None` if there was none.
    pub since_recovery_ms: Option<Millis>,
}

impl PeerReport {
    /// Returns whether at least half of its recent calls failed or its breaker is not closed.
    pub fn reports_failure(&self) -> bool {
        self.is_open() || (self.calls > 0 && self.failures * 2 >= self.calls)
    }

    /// Returns whether the report is based on recent calls of the peer or on its open breaker.
    pub fn is_informed(&self) -> bool {
        self.is_open() || (self.calls > 0 && self.since_call_ms <= MAX_REPORT_AGE_MS)
    }

    /// Returns whether its breaker is open or half-open.
    pub fn is_open(&self) -> bool {
        self.state != ReportedBreakerState::Closed
    }
}

/// Summary of the peer reports on one dependency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// Number of peers whose report is [informed](PeerReport::is_informed).
    pub informed: usize,
    /// Number of informed peers that report failure.
    pub failing: usize,
    /// Number of peers whose breaker is open or half-open.
    pub open: usize,
}

impl PeerCounts {
    /// Counts the reports, which must contain one report for each peer.
    pub fn from_reports(reports: &[PeerReport]) -> PeerCounts {
        let informed = reports.iter().filter(|report| report.is_informed());
        PeerCounts {
            informed: informed.clone().count(),
            failing: informed.filter(|report| report.reports_failure()).count(),
            open: reports.iter().filter(|report| report.is_open()).count(),
        }
    }

    /// Returns the fraction of informed peers that report failure, from 0 to 1.
    pub fn failing_fraction(self) -> f64 {
        self.failing as f64 / self.informed.max(1) as f64
    }
}
