//! Backends that run RPCs. A [`Backend`] registers a [`Run`] for each RPC. There are two backends:
//! the link to an engine and a pool of SCGI applications. [`request_handler`] serves an RPC from
//! arrival to end, independently of the backend.
mod active_request;
pub mod applications;
pub mod engine;
pub mod reply;
pub mod request_handler;
pub mod request_ids;

use std::collections::VecDeque;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use crate::base::request_id::RequestId;
use crate::decisions::RunOutcome;

/// Event of a run, delivered to the task of its RPC.
#[derive(Debug)]
pub enum RunEvent {
    /// The run needs the result of a call with this body.
    CallNeeded(Vec<u8>),
    /// The run has ended.
    Ended(RunOutcome),
}

/// Data with which a run is started.
#[derive(Clone, Copy, Debug)]
pub struct RunRequest<'a> {
    /// Name of the method.
    pub method: &'a str,
    /// Name of the tenant, if known.
    pub tenant: Option<&'a str>,
    /// The key that identifies repeats of the RPC.
    pub idempotency_key: Option<&'a [u8]>,
    /// The request's body.
    pub body: &'a [u8],
    /// Whether the method may run twice.
    pub idempotent: bool,
    /// When the caller stops waiting for the answer.
    pub deadline: Instant,
}

/// The run of one RPC at a backend; unregistered when dropped.
pub trait Run {
    /// Starts the run.
    fn start(&self, request: &RunRequest<'_>);

    /// Resumes the run with the result of the call that it needs.
    fn resume(&self, call_result: &[u8]);

    /// Records that the RPC has been answered.
    fn mark_answered(&self);

    /// Cancels the run, if the backend supports it.
    fn cancel(&self);

    /// Asks the backend whether the run of an RPC that was answered long ago is still in progress,
    /// if the backend supports it.
    fn query_status(&self, request: &RunRequest<'_>);

    /// Polls for the next event. Each event is returned once.
    fn poll_event(&self, cx: &mut Context<'_>) -> Poll<RunEvent>;
}

/// A backend that runs RPCs.
pub trait Backend {
    /// Registers a run for the RPC `id`. Returns `None` if one is registered already.
    fn register(self: Rc<Self>, id: RequestId) -> Option<Box<dyn Run>>;
}

/// Queue of events of one run that its RPC has not received yet.
#[derive(Default)]
pub struct RunEvents {
    queue: VecDeque<RunEvent>,
    waker: Option<Waker>,
}

impl RunEvents {
    /// Adds an event and wakes the RPC's task.
    pub fn push(&mut self, event: RunEvent) {
        self.queue.push_back(event);
        self.waker.take().inspect(Waker::wake_by_ref);
    }

    /// Returns the oldest event. If there is none, wakes the task of `cx` when one is added.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<RunEvent> {
        match self.queue.pop_front() {
            Some(event) => Poll::Ready(event),
            None => {
                self.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}
