//! What runs the RPCs. Here: where they run, as an RPC's course sees it. Two make it: the link to an engine, and a pool of SCGI applications.
pub mod applications;
pub mod course;
pub mod engine;
pub mod ledger;

use std::collections::VecDeque;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use crate::base::lines::Ref;
use crate::decisions::facade::RunEnd;

#[derive(Debug)]
pub enum Notice {
    /// The run waits for a call with this body.
    Need(Vec<u8>),
    Done(RunEnd),
}

/// What a run is told at its start.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    pub method: &'a str,
    pub tenant: Option<&'a str>,
    pub token: Option<&'a [u8]>,
    pub body: &'a [u8],
    /// A second run would do no harm.
    pub idempotent: bool,
    /// When its RPC is due.
    pub due: Instant,
}

/// One RPC's place; given back when dropped.
pub trait Run {
    fn start(&self, order: &Order<'_>);

    /// The answer to the call that the run waits for.
    fn feed(&self, answer: &[u8]);

    /// The RPC has its answer.
    fn answered(&self);

    /// Stops the run, where that can be.
    fn halt(&self);

    /// The RPC has long had its answer: whether the run goes on is to be found out, where that can be.
    fn inquire(&self, order: &Order<'_>);

    /// The next notice, each once.
    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Notice>;
}

pub trait Runs {
    /// A place for an RPC; `None` where one of this id is here.
    fn open(self: Rc<Self>, id: Ref) -> Option<Box<dyn Run>>;
}

/// Notices of one run, until its course takes them.
#[derive(Default)]
pub struct Notices {
    queue: VecDeque<Notice>,
    waker: Option<Waker>,
}

impl Notices {
    pub fn put(&mut self, notice: Notice) {
        self.queue.push_back(notice);
        self.waker.take().inspect(Waker::wake_by_ref);
    }

    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Notice> {
        match self.queue.pop_front() {
            Some(notice) => Poll::Ready(notice),
            None => {
                self.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}
