//! When a version is activated: stage by stage, and no further where an earlier stage rejected it
//! or does worse with it.
use std::fmt;

use statrs::distribution::{ContinuousCDF, Normal};

use crate::Millis;
use crate::status::{NodeStatus, NodeStatuses};
use crate::versions::{VersionId, VersionStore};

/// RPCs on either side before a stage is compared with the rest.
const MIN_COMPARED_RPCS: u64 = 100;
/// Probability at which a stage's being worse is no longer put down to chance.
const MAX_CHANCE_PROBABILITY: f64 = 0.001;

/// RPCs that were decided, and those of them that got their result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RpcCounts {
    /// RPCs that were decided.
    pub decided: u64,
    /// Those of them that got their result.
    pub succeeded: u64,
}

impl RpcCounts {
    /// Returns the counts since `earlier` ones of the same server.
    pub fn since(self, earlier: RpcCounts) -> RpcCounts {
        let decided = self.decided.saturating_sub(earlier.decided);
        let succeeded = self.succeeded.saturating_sub(earlier.succeeded);
        RpcCounts {
            decided,
            succeeded: succeeded.min(decided),
        }
    }

    fn add(&mut self, status: &NodeStatus) {
        self.decided += status.rpcs;
        self.succeeded += status.succeeded;
    }
}

/// Why a rollout goes no further here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HaltReason {
    /// So many servers rejected the version.
    Rejected {
        /// Servers that rejected it.
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
            HaltReason::Rejected { servers } => write!(f, "{servers} turned it down"),
            HaltReason::WorseResults { here, elsewhere } => write!(
                f,
                "{} of {} ok, elsewhere {} of {}",
                here.succeeded, here.decided, elsewhere.succeeded, elsewhere.decided
            ),
        }
    }
}

/// Returns whether the stage of server `own` of a held version has come.
///
/// It has come by the time since the version arrived here (wall clocks may be an hour apart), or
/// because a server of the same or a later stage has the version active. The latter guards
/// against a server that was away, and would begin to count where all others are done.
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

/// Returns why the stages after the first must not activate the version `id`, if they must not.
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

/// Returns whether fewer RPCs succeed `here` than `elsewhere`, by more than chance explains: a
/// one-sided test of two proportions.
pub fn is_significantly_worse(here: RpcCounts, elsewhere: RpcCounts) -> bool {
    if here.decided < MIN_COMPARED_RPCS || elsewhere.decided < MIN_COMPARED_RPCS {
        return false;
    }
    let (decided_here, decided_elsewhere) = (here.decided as f64, elsewhere.decided as f64);
    let rate_here = here.succeeded as f64 / decided_here;
    let rate_elsewhere = elsewhere.succeeded as f64 / decided_elsewhere;
    let succeeded = (here.succeeded + elsewhere.succeeded) as f64;
    let rate = succeeded / (here.decided + elsewhere.decided) as f64;
    let variance = rate * (1.0 - rate) * (1.0 / decided_here + 1.0 / decided_elsewhere);
    let standard_error = variance.sqrt();
    let score = (rate_here - rate_elsewhere) / standard_error;
    standard_error > 0.0 && Normal::standard().cdf(score) < MAX_CHANCE_PROBABILITY
}

#[cfg(test)]
mod tests;
