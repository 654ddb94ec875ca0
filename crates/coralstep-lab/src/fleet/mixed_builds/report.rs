//! What the scenario of two builds measured, and why it failed where it did.
use std::time::Duration;

use serde::Serialize;

/// A figure for each of the two builds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PerBuild {
    pub primary: usize,
    pub other: usize,
}

/// A settings version that all members acted on.
#[derive(Clone, Debug, Serialize)]
pub struct Published {
    pub id: String,
    /// The member that it was published at.
    pub member: usize,
    /// From its publication until all members acted on it, in milliseconds.
    pub all_on_ms: u64,
}

/// The process of the primary build on the state directory of one of the other build.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Successor {
    pub member: usize,
    /// The version that it acted on before it heard any other member.
    pub acted_on: String,
    /// Numbers of the last snapshot of its predecessor, and of the first one seen of its own.
    pub predecessor_snapshot: u64,
    pub own_snapshot: u64,
    /// From the end of its isolation until all members saw all others, in milliseconds.
    pub rejoined_ms: u64,
}

/// The measurements of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// From the last start until all members saw all others, in milliseconds.
    pub met_ms: u64,
    pub versions: Vec<Published>,
    /// RPCs that the fleet's limit admitted, and that were rejected.
    pub admitted: PerBuild,
    pub rejected: PerBuild,
    /// The most that any window had beyond the limit, in RPCs; at or below zero where the limit held.
    pub limit_excess: f64,
    /// Verdicts of the named build that every member of the opposite build received: of calls, and of failures.
    pub verdicts_received: PerBuild,
    pub successor: Successor,
    /// Datagrams that some member did not accept; all of them.
    pub refused_datagrams: u64,
}

/// Why a run ended before its end.
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
