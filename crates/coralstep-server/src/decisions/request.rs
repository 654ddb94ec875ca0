//! What network code and the decisions tell each other about one RPC.
use std::rc::Rc;
use std::time::Duration;

use coralstep::{Outcome, Span};

/// What is known of an RPC once it is read.
#[derive(Debug, Default)]
pub struct RpcRequest {
    /// Index of its method in the settings.
    pub method: usize,
    /// Index of its tenant in the settings, where it names one.
    pub tenant: Option<usize>,
    /// Memory that its run takes, in KB.
    pub memory_kb: f64,
    /// Its caller says that this is a further attempt.
    pub retry: bool,
    /// Time since it came to the machine.
    pub age: Span,
    /// The age is only what an untrusted caller says.
    pub age_unverified: bool,
    /// The key by which a repeat is known.
    pub idempotency_key: Option<Box<[u8]>>,
    /// Digest of the body: a repeat has the same. 0 without an idempotency key.
    pub body_digest: u64,
    /// How long its caller said that it waits, from when it came to the machine.
    pub timeout: Option<Span>,
    /// Where its id is taken another will do: callers of such a front keep an id over their
    /// attempts.
    pub accepts_new_id: bool,
}

/// What is to be done next with an RPC.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start its run.
    Run,
    /// Make the call that its run waits for.
    Call {
        /// The call ends as timed out after this.
        timeout: Duration,
    },
    /// Stop its run.
    CancelRun,
    /// Find out whether its run goes on.
    QueryRun,
    /// Answer that it is not served here.
    Reject {
        /// How long its caller is to wait before it asks here again, in milliseconds.
        retry_after_ms: u64,
        /// Another server would reject it as well.
        is_final: bool,
    },
    /// Answer that it failed.
    Fail,
    /// Answer with the result of the RPC that it repeats.
    Replay(Rc<[u8]>),
    /// Nothing more will come of it.
    Finished,
}

/// Why an RPC was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The table of requests is full.
    #[error("the request table is full")]
    TableFull,
    /// Its idempotency key is another RPC's, or ran and came again within its window; it must not
    /// run.
    #[error("the idempotency key is another request's, or has run")]
    KeyConflict,
}

/// How a call to the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// With a result.
    Ok,
    /// The store failed.
    Error,
    /// The store would not begin it.
    Rejected,
    /// Nothing came in time.
    TimedOut,
    /// It never left this machine.
    Unreachable,
    /// It left, and nothing came back.
    ConnectionLost,
    /// No run waited for it.
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
    /// With this result.
    Ok(Rc<[u8]>),
    /// It failed, or may have.
    Error,
    /// It was stopped.
    Cancelled,
    /// The RPC was over, so nothing was begun.
    NoLongerNeeded,
    /// It provably never began.
    NeverStarted {
        /// It cannot be tried again here before this.
        retry_after: Duration,
    },
}

impl RunOutcome {
    pub(super) fn as_scheduler_outcome(&self) -> Outcome {
        match self {
            RunOutcome::Ok(_) => Outcome::Ok,
            RunOutcome::Error => Outcome::Error,
            RunOutcome::Cancelled => Outcome::Cancelled,
            RunOutcome::NoLongerNeeded => Outcome::NoLongerNeeded,
            RunOutcome::NeverStarted { .. } => Outcome::Unreachable,
        }
    }
}

/// What has happened to an RPC.
#[derive(Debug)]
pub enum Progress {
    /// Its run waits for a call.
    CallNeeded,
    /// The call that its run waits for has ended.
    CallEnded {
        /// How.
        outcome: CallOutcome,
        /// How long it took.
        elapsed: Duration,
    },
    /// Its run has ended.
    RunEnded(RunOutcome),
    /// Nobody waits for its answer any more.
    CallerDisconnected,
}

/// What answers carry of this server beside their own content.
#[derive(Clone, Debug, Default)]
pub struct ServerStatus {
    /// The load report, where one was made.
    pub value: Option<f64>,
    /// Name of the degradation level, where there are levels.
    pub level: Option<String>,
}
