//! Input types of a [`crate::Scheduler`]: requests, outcomes of runs and calls, and gauges.
use crate::time::{Span, Time};

/// A small index that identifies a request. The caller may reuse it for another request after
/// [`crate::Actions::release_id`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RpcId(pub u32);

/// The earlier attempt that an arriving request repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EarlierAttempt {
    /// The request is not a repeat.
    #[default]
    None,
    /// The request repeats the one with this id.
    Known(RpcId),
    /// The request repeats one whose id is no longer known.
    Forgotten,
}

/// A request that has been read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Id assigned by the scheduler's caller.
    pub id: RpcId,
    /// Index of its method in [`crate::SchedulerConfig::methods`].
    pub method: usize,
    /// Index of its tenant in [`crate::SchedulerConfig::tenant_quotas`]; an index out of range counts as
    /// `None`.
    pub tenant: Option<usize>,
    /// Time at which its client stops waiting, if stated.
    pub deadline: Option<Time>,
    /// Memory while queued, in kilobytes.
    pub queued_kb: f64,
    /// Whether it is a retry, not the client's first attempt.
    pub is_retry: bool,
    /// Time since its arrival at the machine.
    pub age: Span,
    /// Whether the age was stated by an untrusted client and must not affect load measurements.
    pub untrusted_age: bool,
    /// Earlier attempt that it repeats.
    pub earlier_attempt: EarlierAttempt,
}

/// Outcome of a run or a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// The server that ran it answered with an error.
    Error,
    /// It was rejected before it started.
    Rejected,
    /// No response arrived within the timeout.
    TimedOut,
    /// It could not be sent, so it never started.
    Unreachable,
    /// The connection was lost after it was sent.
    ConnectionLost,
    /// It was cancelled by this server.
    Cancelled,
    /// It was no longer needed and never started.
    NoLongerNeeded,
}

impl Outcome {
    /// Returns whether the outcome proves that nothing ran, so that a retry is safe for any method.
    pub fn proves_never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::Unreachable | Outcome::NoLongerNeeded
        )
    }
}

/// Gauges of the server; a value is `None` if unknown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// CPU utilization, from 0 to 1.
    pub cpu_busy: Option<f64>,
    /// Number of open connections from clients.
    pub open_connections: Option<f64>,
}
