//! Messages between network code and the scheduler about one RPC.
use std::rc::Rc;
use std::time::Duration;

use coralstep::{Outcome, Span};

use crate::decisions::idempotency_keys::{IdempotencyKey, PayloadFingerprint};

/// An RPC as read from a client.
#[derive(Debug, Default)]
pub struct RpcRequest {
    /// Index of its method in the settings.
    pub method: usize,
    /// Index of its tenant in the settings, or `None` if it names none.
    pub tenant: Option<usize>,
    /// Memory that its run needs, in KB.
    pub memory_kb: f64,
    /// Whether the caller marked it as a retry.
    pub retry: bool,
    /// Time since it arrived at this machine.
    pub age: Span,
    /// Whether the age was stated by an untrusted caller.
    pub age_unverified: bool,
    /// The key that identifies repeats of it.
    pub idempotency_key: Option<Box<[u8]>>,
    /// Digest of the body, which is the same for a repeat; 0 without an idempotency key.
    pub body_digest: u64,
    /// How long its caller waits, counted from its arrival at this machine.
    pub timeout: Option<Span>,
    /// Whether another id may be assigned if its id is in use. Set for protocols whose callers use
    /// one id for all attempts of a request.
    pub accepts_new_id: bool,
}

impl RpcRequest {
    /// Returns the idempotency key together with the method, or `None` without a key.
    pub(super) fn method_key(&self) -> Option<IdempotencyKey> {
        self.idempotency_key.clone().map(|key| IdempotencyKey {
            method: self.method,
            key,
        })
    }

    /// Returns the fingerprint that is the same for all attempts of the RPC.
    pub(super) fn fingerprint(&self) -> PayloadFingerprint {
        PayloadFingerprint {
            body_digest: self.body_digest,
            tenant: self.tenant,
        }
    }
}

/// The next step of an RPC.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start its run.
    Run,
    /// Make the call that its run is waiting for.
    Call {
        /// Maximum duration of the call.
        timeout: Duration,
    },
    /// Cancel its run.
    CancelRun,
    /// Ask the backend whether its run is still in progress.
    QueryRun,
    /// Reject it.
    Reject {
        /// Time after which the caller may retry on this server, in milliseconds.
        retry_after_ms: u64,
        /// Whether another server would reject it as well.
        is_final: bool,
    },
    /// Answer it with an error.
    Fail,
    /// Answer with the result of the RPC that it repeats.
    Replay(Rc<[u8]>),
    /// The scheduler is done with it; no decision follows.
    Finished,
}

/// Error returned when an RPC is not submitted to the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The RPC table is full.
    #[error("the request table is full")]
    TableFull,
    /// The idempotency key belongs to another RPC, or it has run and this attempt arrived within
    /// the retry window. The RPC must not run.
    #[error("the idempotency key belongs to another request or has already run")]
    KeyConflict,
}

/// What is known about the earlier attempts of an RPC with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EarlierAttempts {
    /// None is in progress or has run.
    None,
    /// One has run with this result.
    Succeeded(Rc<[u8]>),
    /// One is in progress or has run, and no result is available; or the key belongs to another RPC.
    WithoutResult,
}

/// How a call to the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The store replied with a result.
    Ok,
    /// The store failed the call.
    Error,
    /// The store rejected the call without starting it.
    Rejected,
    /// No reply arrived in time.
    TimedOut,
    /// No byte of the call was sent.
    Unreachable,
    /// The connection was lost after the call was sent.
    ConnectionLost,
    /// No run was waiting for the call.
    NoLongerNeeded,
}

impl From<CallOutcome> for Outcome {
    fn from(outcome: CallOutcome) -> Outcome {
        match outcome {
            CallOutcome::Ok => Outcome::Ok,
            CallOutcome::Error => Outcome::Error,
            CallOutcome::Rejected => Outcome::Rejected,
            CallOutcome::TimedOut => Outcome::TimedOut,
            CallOutcome::Unreachable => Outcome::Unreachable,
            CallOutcome::ConnectionLost => Outcome::ConnectionLost,
            CallOutcome::NoLongerNeeded => Outcome::NoLongerNeeded,
        }
    }
}

/// How a run ended.
#[derive(Clone, Debug)]
pub enum RunOutcome {
    /// The run succeeded with this result.
    Ok(Rc<[u8]>),
    /// The run failed, or its outcome is unknown.
    Error,
    /// The run was cancelled.
    Cancelled,
    /// The RPC was already answered, so the run was not started.
    NoLongerNeeded,
    /// The backend knows no such RPC, so the run never started.
    Refused,
    /// The run is known not to have started.
    NeverStarted {
        /// Minimum time before this server can try it again.
        retry_after: Duration,
    },
}

impl RunOutcome {
    /// Returns whether the run is known not to have started.
    pub fn never_started(&self) -> bool {
        matches!(self, RunOutcome::Refused | RunOutcome::NeverStarted { .. })
    }

    /// Returns the minimum time before this server can try the run again.
    pub(super) fn retry_after(&self) -> Duration {
        match self {
            RunOutcome::NeverStarted { retry_after } => *retry_after,
            _ => Duration::ZERO,
        }
    }

    pub(super) fn as_scheduler_outcome(&self) -> Outcome {
        match self {
            RunOutcome::Ok(_) => Outcome::Ok,
            RunOutcome::Error => Outcome::Error,
            RunOutcome::Cancelled => Outcome::Cancelled,
            RunOutcome::NoLongerNeeded => Outcome::NoLongerNeeded,
            RunOutcome::Refused | RunOutcome::NeverStarted { .. } => Outcome::Unreachable,
        }
    }
}

/// Progress of an RPC, as reported to the scheduler.
#[derive(Debug)]
pub enum Progress {
    /// Its run needs the result of a call.
    CallNeeded,
    /// The call that its run needs has ended.
    CallEnded {
        /// Outcome of the call.
        outcome: CallOutcome,
        /// Duration of the call.
        elapsed: Duration,
    },
    /// Its run has ended.
    RunEnded(RunOutcome),
    /// The caller disconnected before the answer.
    CallerDisconnected,
}

/// State of this server that is attached to each answer.
#[derive(Clone, Debug, Default)]
pub struct ServerStatus {
    /// The load report, if one was made.
    pub value: Option<f64>,
    /// Name of the degradation level, if levels are configured.
    pub level: Option<String>,
}
