//! What a peer reports of one dependency, as it stands now, and the counts over all peers.
use coralstep_fleet::Millis;

use crate::report::{MAX_REPORT_AGE_MS, ReportedBreakerState};

/// Identifies a peer process: the same for all its reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PeerId(pub u64);

/// A peer's report of one dependency, with the ages of now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PeerReport {
    /// Who reports.
    pub peer: PeerId,
    /// State of the peer's breaker.
    pub state: ReportedBreakerState,
    /// How many of its recent calls failed.
    pub failures: u32,
    /// How many of its calls ended recently.
    pub calls: u32,
    /// Time since its last call ended, in ms.
    pub since_call_ms: Millis,
    /// Time since a probe call closed its breaker, in ms.
    pub since_recovery_ms: Option<Millis>,
}

impl PeerReport {
    /// Whether half of its recent calls failed, or its breaker is not closed.
    pub fn reports_failure(&self) -> bool {
        self.is_open() || (self.calls > 0 && self.failures * 2 >= self.calls)
    }

    /// Whether the peer knows the dependency by recent calls of its own.
    pub fn is_informed(&self) -> bool {
        self.is_open() || (self.calls > 0 && self.since_call_ms <= MAX_REPORT_AGE_MS)
    }

    /// Whether its breaker is open or half-open.
    pub fn is_open(&self) -> bool {
        self.state != ReportedBreakerState::Closed
    }
}

/// How many peers report what of one dependency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// Peers that know it by recent calls of their own.
    pub informed: usize,
    /// Those of the informed that report failure.
    pub failing: usize,
    /// Peers whose breaker is open or half-open.
    pub open: usize,
}

impl PeerCounts {
    /// Counts reports, of which each peer has one.
    pub fn of(reports: &[PeerReport]) -> PeerCounts {
        let informed = reports.iter().filter(|report| report.is_informed());
        PeerCounts {
            informed: informed.clone().count(),
            failing: informed.filter(|report| report.reports_failure()).count(),
            open: reports.iter().filter(|report| report.is_open()).count(),
        }
    }

    /// Part of the informed peers that report failure, 0 to 1.
    pub fn failing_part(self) -> f64 {
        self.failing as f64 / self.informed.max(1) as f64
    }
}
