//! A handler with a backend that tests script.
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::block_on;
use coralstep::{Method, SchedulerConfig, Span};
use coralstep_config::Names;
use futures_lite::future::poll_once;

use super::super::*;
use crate::base::descriptors::Descriptors;
use crate::base::endpoints::{Endpoint, Endpoints};
use crate::decisions::RunOutcome;
use crate::runs::{RunEvent, RunEvents};

pub(crate) const RESULT: &[u8] = b"result";
/// Retry window that outlasts every test.
pub(crate) const LONG_WINDOW: Span = Span::ms(60_000);

/// A run that was started.
pub(crate) struct StartedRun {
    pub(crate) key: Box<[u8]>,
    /// `None` while it is in progress.
    pub(crate) outcome: RefCell<Option<RunOutcome>>,
    events: RefCell<RunEvents>,
}

impl StartedRun {
    pub(crate) fn end(&self, outcome: RunOutcome) {
        self.outcome.replace(Some(outcome.clone()));
        self.events.borrow_mut().push(RunEvent::Ended(outcome));
    }

    pub(crate) fn is_in_progress(&self) -> bool {
        self.outcome.borrow().is_none()
    }

    pub(crate) fn may_have_run(&self) -> bool {
        let outcome = self.outcome.borrow();
        !outcome.as_ref().is_some_and(RunOutcome::never_started)
    }
}

/// Backend that records its runs.
pub(crate) struct ScriptedBackend {
    /// How the next runs end at their start; with `None` they stay in progress.
    pub(crate) next_outcome: RefCell<Option<RunOutcome>>,
    pub(crate) started: RefCell<Vec<Rc<StartedRun>>>,
}

struct ScriptedRun {
    backend: Rc<ScriptedBackend>,
    started: RefCell<Option<Rc<StartedRun>>>,
}

impl Backend for ScriptedBackend {
    fn register(self: Rc<Self>, _id: RequestId) -> Option<Box<dyn Run>> {
        Some(Box::new(ScriptedRun {
            backend: self,
            started: RefCell::default(),
        }))
    }
}

impl Run for ScriptedRun {
    fn start(&self, request: &RunRequest<'_>) {
        let run = Rc::new(StartedRun {
            key: request.idempotency_key.unwrap_or_default().into(),
            outcome: RefCell::default(),
            events: RefCell::default(),
        });
        if let Some(outcome) = self.backend.next_outcome.borrow().clone() {
            run.end(outcome);
        }
        self.backend.started.borrow_mut().push(run.clone());
        self.started.replace(Some(run));
    }

    fn resume(&self, _call_result: &[u8]) {}

    fn mark_answered(&self) {}

    fn cancel(&self) {}

    fn query_status(&self, _request: &RunRequest<'_>) {}

    fn poll_event(&self, cx: &mut Context<'_>) -> Poll<RunEvent> {
        match &*self.started.borrow() {
            Some(run) => run.events.borrow_mut().poll(cx),
            None => Poll::Pending,
        }
    }
}

/// A reply that outlives its buffers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Answer {
    Ok(Vec<u8>),
    Rejected,
    Failed,
}

impl From<&Reply<'_>> for Answer {
    fn from(reply: &Reply<'_>) -> Answer {
        match *reply {
            Reply::Ok(result) => Answer::Ok(result.into()),
            Reply::Rejected { .. } => Answer::Rejected,
            Reply::Failed => Answer::Failed,
        }
    }
}

/// An attempt that was sent; its task goes on while the server uses its entries.
pub(crate) struct Attempt<'a> {
    pub(crate) answer: Rc<RefCell<Option<Answer>>>,
    disconnected: Rc<Cell<bool>>,
    /// `None` once it has ended.
    task: Option<Pin<Box<dyn Future<Output = ()> + 'a>>>,
}

impl Attempt<'_> {
    /// Polls the task; returns whether it has ended.
    pub(crate) fn poll(&mut self) -> bool {
        if let Some(task) = &mut self.task
            && block_on(poll_once(task.as_mut())).is_some()
        {
            self.task = None;
        }
        self.task.is_none()
    }

    /// Returns the answer, which must have come by now.
    pub(crate) fn answer(&self) -> Answer {
        let answer = self.answer.borrow().clone();
        answer.expect("the attempt is answered at once")
    }

    pub(crate) fn disconnect(&self) {
        self.disconnected.set(true);
    }
}

/// A handler whose only method has an idempotency key, on two cores.
pub(crate) struct Server {
    pub(crate) scheduler: Rc<SchedulerHandle>,
    pub(crate) handler: Rc<RequestHandler>,
    pub(crate) backend: Rc<ScriptedBackend>,
    next_id: Cell<u64>,
}

impl Server {
    pub(crate) fn new(limits: Limits, retry_window: Span) -> Server {
        let target = Span::ms(60_000);
        let method = Method {
            idempotency: Idempotency::Keyed,
            latency_objective: target,
            deadline: target,
            retry_window,
            ..Method::default()
        };
        let config = SchedulerConfig {
            methods: vec![method],
            cores: 2,
            memory_kb: 1e6,
            ..SchedulerConfig::default()
        };
        let names = Names {
            methods: vec!["pay".to_owned()],
            ..Names::default()
        };
        let scheduler = Rc::new(SchedulerHandle::new(config, names, 1, &limits));
        scheduler.start(Some(false), Duration::ZERO);
        let endpoints = Endpoints {
            engine: Endpoint::new(None),
            store: Endpoint::new(None),
            control_plane: Endpoint::new(None),
            descriptors: Rc::new(Descriptors::new(64)),
        };
        let backend = Rc::new(ScriptedBackend {
            next_outcome: RefCell::new(Some(RunOutcome::Ok(RESULT.into()))),
            started: RefCell::default(),
        });
        let store = StoreClient(Rc::new(endpoints));
        let handler = RequestHandler::new(scheduler.clone(), backend.clone(), store, &limits);
        Server {
            scheduler,
            handler: Rc::new(handler),
            backend,
            next_id: Cell::new(1),
        }
    }

    /// Sends an attempt with `key` and a new id.
    pub(crate) fn send(&self, key: &str) -> Attempt<'_> {
        self.send_with_age(key, Duration::ZERO)
    }

    /// Sends an attempt that arrived at the machine `age` ago.
    pub(crate) fn send_with_age(&self, key: &str, age: Duration) -> Attempt<'_> {
        let request = RpcRequest {
            age: clock::span(age),
            ..request(key)
        };
        let answer = Rc::new(RefCell::new(None));
        let answered = answer.clone();
        let reply = move |reply: Reply<'_>| {
            answered.replace(Some(Answer::from(&reply)));
        };
        let disconnected = Rc::new(Cell::new(false));
        let flag = disconnected.clone();
        let disconnect = std::future::poll_fn(move |_| match flag.get() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        });
        let body = b"body".to_vec();
        let served = self
            .handler
            .handle(request, self.next_id(), body, disconnect, reply);
        let mut attempt = Attempt {
            answer,
            disconnected,
            task: Some(Box::pin(served)),
        };
        attempt.poll();
        attempt
    }

    pub(crate) fn next_id(&self) -> RequestId {
        self.next_id.set(self.next_id.get() + 1);
        RequestId::from_number(self.next_id.get())
    }

    pub(crate) fn runs(&self) -> usize {
        self.backend.started.borrow().len()
    }
}

pub(crate) fn request(key: &str) -> RpcRequest {
    RpcRequest {
        memory_kb: 1.0,
        idempotency_key: Some(key.as_bytes().into()),
        ..RpcRequest::default()
    }
}

/// Limits of small tables. One result fits into the memory for results.
pub(crate) fn limits() -> Limits {
    Limits {
        connections: 1,
        spare_connections: 1,
        receive_bytes: 1 << 20,
        unread_reply_bytes: 1,
        request_bytes: 1 << 20,
        requests: 8,
        result_bytes: RESULT.len(),
        request_ids: 32,
    }
}
