//! Where RPCs run. A [`Backend`] registers a [`Run`] for each RPC; there are two, the link to an
//! engine and a pool of SCGI applications. [`request_handler`] leads an RPC through its life
//! without knowing which of them it is on.
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

/// What a run has to say to its RPC.
#[derive(Debug)]
pub enum RunEvent {
    /// It waits for the result of a call with this body.
    CallNeeded(Vec<u8>),
    /// It has ended.
    Ended(RunOutcome),
}

/// What a run is started with.
#[derive(Clone, Copy, Debug)]
pub struct RunRequest<'a> {
    /// Name of the method.
    pub method: &'a str,
    /// Name of the tenant, where one is known.
    pub tenant: Option<&'a str>,
    /// The key by which a repeat is known.
    pub idempotency_key: Option<&'a [u8]>,
    /// What the caller sent.
    pub body: &'a [u8],
    /// A second run would do no harm.
    pub idempotent: bool,
    /// When nobody waits for the answer any more.
    pub deadline: Instant,
}

/// One RPC's run at a backend; unregistered when dropped.
pub trait Run {
    /// Begins the run.
    fn start(&self, request: &RunRequest<'_>);

    /// Gives the run the result of the call that it waits for.
    fn resume(&self, call_result: &[u8]);

    /// Notes that the RPC has its answer.
    fn mark_answered(&self);

    /// Stops the run, where the backend can.
    fn cancel(&self);

    /// Finds out whether a run goes on whose RPC was answered long ago, where the backend can.
    fn query_status(&self, request: &RunRequest<'_>);

    /// The next event, each once.
    fn poll_event(&self, cx: &mut Context<'_>) -> Poll<RunEvent>;
}

/// What runs RPCs.
pub trait Backend {
    /// A run for the RPC `id`; `None` where one of this id is registered.
    fn register(self: Rc<Self>, id: RequestId) -> Option<Box<dyn Run>>;
}

/// Events of one run that its RPC has not taken yet.
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

    /// The oldest event; wakes the task of `cx` at the next one where there is none.
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
