//! What a [`crate::Scheduler`] is told of requests, their runs and their calls.
use crate::time::{Span, Time};

/// A request's small index. The caller may give it to another request once [`crate::Actions::release_id`]
/// named it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RpcId(pub u32);

/// The earlier attempt that an arriving request repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EarlierAttempt {
    /// There is none.
    #[default]
    None,
    /// The request with this index.
    Known(RpcId),
    /// There is one, but the caller no longer holds its index.
    Forgotten,
}

/// A request that has been read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// The index that its caller gave it.
    pub id: RpcId,
    /// The index of its method in [`crate::SchedulerConfig::methods`].
    pub method: usize,
    /// The index of its tenant in [`crate::SchedulerConfig::tenant_quotas`]; one that is not there counts
    /// as none.
    pub tenant: Option<usize>,
    /// When its caller stops waiting, where that is stated.
    pub deadline: Option<Time>,
    /// The memory it takes while it is queued, in kilobytes.
    pub queued_kb: f64,
    /// Whether it is not its caller's first attempt.
    pub is_retry: bool,
    /// How long ago it reached the machine.
    pub age: Span,
    /// The age is only what an unknown caller states: nothing about the load is learned from it.
    pub untrusted_age: bool,
    /// The attempt that it repeats.
    pub earlier_attempt: EarlierAttempt,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Well.
    Ok,
    /// With an error from what ran it.
    Error,
    /// It was rejected before it began.
    Rejected,
    /// Nothing came back within its timeout.
    TimedOut,
    /// Nothing could be sent, so it never began.
    Unreachable,
    /// The connection was lost after it was sent.
    ConnectionLost,
    /// It was cancelled from here.
    Cancelled,
    /// It was no longer needed and never began.
    NoLongerNeeded,
}

impl Outcome {
    /// Whether it is certain that nothing ran, so that another attempt is safe for any method.
    pub fn proves_never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::Unreachable | Outcome::NoLongerNeeded
        )
    }
}

/// The server's own readings; a reading is `None` where there is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// The part of the cores that is busy, from 0 to 1.
    pub cpu_busy: Option<f64>,
    /// Open connections from callers.
    pub open_connections: Option<f64>,
}
