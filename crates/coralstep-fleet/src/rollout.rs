//! Staged rollout of a version.
//!
//! Servers activate a version stage by stage. The rollout halts if a server rejects the version or
//! if significantly fewer RPCs succeed under it.
use std::fmt;

use statrs::distribution::{ContinuousCDF, Normal};

use crate::Millis;
use crate::status::{NodeStatus, NodeStatuses};
use crate::versions::{VersionId, VersionStore};

/// Minimum number of RPCs on each side of the comparison between a stage and the other servers.
const MIN_COMPARED_RPCS: u64 = 100;
/// Significance level: below this p-value a stage counts as worse than the other servers.
const SIGNIFICANCE_LEVEL: f64 = 0.001;

/// Numbers of submitted and of successful RPCs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RpcCounts {
    /// Number of RPCs submitted for admission.
    pub submitted: u64,
    /// Number of those RPCs that returned their result.
    pub succeeded: u64,
}

impl RpcCounts {
    /// Returns the difference from `earlier` counts of the same server.
    pub fn since(self, earlier: RpcCounts) -> RpcCounts {
        let submitted = self.submitted.saturating_sub(earlier.submitted);
        let succeeded = self.succeeded.saturating_sub(earlier.succeeded);
        RpcCounts {
            submitted,
            succeeded: succeeded.min(submitted),
        }
    }

    fn add(&mut self, status: &NodeStatus) {
        self.submitted += status.rpcs;
        self.succeeded += status.succeeded;
    }
}

/// Reason why a rollout was halted on this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HaltReason {
    /// Servers rejected the version.
    Rejected {
        /// Number of servers that rejected it.
        servers: u32,
    },
    /// Significantly fewer RPCs succeed under the version than elsewhere.
    WorseResults {
        /// RPCs under the version.
        here: RpcCounts,
        /// RPCs under other versions.
        elsewhere: RpcCounts,
    },
}

impl fmt::Display for HaltReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HaltReason::Rejected { servers } => write!(f, "rejected by {servers} servers"),
            HaltReason::WorseResults { here, elsewhere } => write!(
                f,
                "{} of {} RPCs succeeded under this version, {} of {} under other versions",
                here.succeeded, here.submitted, elsewhere.succeeded, elsewhere.submitted
            ),
        }
    }
}

/// Returns whether server `own` may activate the version `id` according to its rollout stage.
///
/// The stage is due once its delay has passed since the version arrived here (measured locally,
/// because wall clocks may differ by an hour), or once a server of the same or a later stage has
/// activated the version. The latter guards against a server that was paused or unreachable and
/// waits out the full delay after all others have activated the version.
pub fn is_stage_due(
    versions: &VersionStore,
    statuses: &NodeStatuses,
    own: &str,
    id: VersionId,
    now: Millis,
) -> bool {
    let (Some(version), Some(received_at)) = (versions.get(id), versions.received_at(id)) else {
        return false;
    };
    let Some(stage) = version.stage(own) else {
        return false;
    };
    let was_restored = received_at == 0;
    let delay = version.stage_delay_ms(own).unwrap_or(0);
    let has_reached_stage = |status: &NodeStatus| {
        let other_stage = version.stage(&status.member.name);
        status.active_version == id && other_stage.is_some_and(|other| other >= stage)
    };
    was_restored
        || now >= received_at.saturating_add(delay)
        || statuses
            .iter()
            .any(|received| has_reached_stage(&received.value))
}

/// Returns the reason why the stages after the first must not activate the version `id`, or
/// `None` if they may.
pub fn halt_reason(statuses: &NodeStatuses, id: VersionId) -> Option<HaltReason> {
    let (mut here, mut elsewhere) = (RpcCounts::default(), RpcCounts::default());
    let mut rejecting_servers = 0;
    for status in statuses.iter().map(|received| &received.value) {
        if status.active_version == id {
            here.add(status);
        } else {
            elsewhere.add(status);
        }
        let has_rejected = status
            .rejected
            .as_ref()
            .is_some_and(|rejection| rejection.version == id);
        rejecting_servers += u32::from(has_rejected);
    }
    if rejecting_servers > 0 {
        return Some(HaltReason::Rejected {
            servers: rejecting_servers,
        });
    }
    is_significantly_worse(here, elsewhere).then_some(HaltReason::WorseResults { here, elsewhere })
}

/// Returns whether the success rate `here` is significantly lower than `elsewhere`, by a one-sided
/// two-proportion z-test.
pub fn is_significantly_worse(here: RpcCounts, elsewhere: RpcCounts) -> bool {
    if here.submitted < MIN_COMPARED_RPCS || elsewhere.submitted < MIN_COMPARED_RPCS {
        return false;
    }
    let (submitted_here, submitted_elsewhere) = (here.submitted as f64, elsewhere.submitted as f64);
    let rate_here = here.succeeded as f64 / submitted_here;
    let rate_elsewhere = elsewhere.succeeded as f64 / submitted_elsewhere;
    let succeeded = (here.succeeded + elsewhere.succeeded) as f64;
    let rate = succeeded / (here.submitted + elsewhere.submitted) as f64;
    let variance = rate * (1.0 - rate) * (1.0 / submitted_here + 1.0 / submitted_elsewhere);
    let standard_error = variance.sqrt();
    let score = (rate_here - rate_elsewhere) / standard_error;
    standard_error > 0.0 && Normal::standard().cdf(score) < SIGNIFICANCE_LEVEL
}

#[cfg(test)]
mod tests;
