//! Measurements and failures of the scenario with two builds.
use std::time::Duration;

use serde::Serialize;

/// A count for each of the two builds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PerBuild {
    pub primary: usize,
    pub other: usize,
}

/// A settings version that became active on all members.
#[derive(Clone, Debug, Serialize)]
pub struct Published {
    pub id: String,
    /// The member that it was published at.
    pub member: usize,
    /// Time from publication until the version was active on all members, in milliseconds.
    pub all_on_ms: u64,
}

/// The process of the primary build that took over a state directory of the other build.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Successor {
    pub member: usize,
    /// Version that was active before it received anything from another member.
    pub acted_on: String,
    /// Numbers of the last snapshot of its predecessor and of its own first snapshot.
    pub predecessor_snapshot: u64,
    pub own_snapshot: u64,
    /// Time from the end of its isolation until all members saw all others, in milliseconds.
    pub rejoined_ms: u64,
}

/// The measurements of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Time from the last start until all members saw all others, in milliseconds.
    pub met_ms: u64,
    pub versions: Vec<Published>,
    /// RPCs that were admitted and rejected under the fleet's limit.
    pub admitted: PerBuild,
    pub rejected: PerBuild,
    /// Maximum excess of any time window over the limit, in RPCs; at most zero if the limit held.
    pub limit_excess: f64,
    /// Number of verdicts of each build, on calls and on failures, that every member of the opposite build received.
    pub verdicts_received: PerBuild,
    pub successor: Successor,
    /// Total number of datagrams refused by any member.
    pub refused_datagrams: u64,
}

/// The reason why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    #[error("{step}: {source}")]
    Io {
        step: &'static str,
        source: std::io::Error,
    },
    #[error("{step}: not seen within {} s", limit.as_secs())]
    TimedOut { step: &'static str, limit: Duration },
    #[error("the fleet admitted {excess:.1} RPCs more than its limit in some window")]
    LimitExceeded { excess: f64 },
    #[error("member {member} refused {count} datagrams")]
    RefusedDatagrams { member: usize, count: u64 },
    #[error("the builds read the same snapshot differently: {primary} and {other}")]
    SnapshotMisread { primary: String, other: String },
    #[error("member {member} answered {question} with {answer}")]
    UnexpectedAnswer {
        member: usize,
        question: &'static str,
        answer: String,
    },
    #[error("interrupted")]
    Interrupted,
}
