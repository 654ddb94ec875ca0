//! Tests of the handler, and the server that tests of other modules share.
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::block_on;
use coralstep::{Method, SchedulerConfig, Span};
use coralstep_config::Names;
use coralstep_quota::{QuotaPermit, RequestKey};
use futures_lite::future::poll_once;

use super::*;
use crate::base::descriptors::Descriptors;
use crate::base::endpoints::{Endpoint, Endpoints};
use crate::decisions::{QuotaLimiter, RunOutcome};
use crate::runs::{RunEvent, RunEvents};

pub(crate) const RESULT: &[u8] = b"result";
/// Retry window that outlasts every test.
pub(crate) const LONG_WINDOW: Span = Span::ms(60_000);

/// Time until the process stops, which outlasts every test.
const LONG_TIME: Duration = Duration::from_secs(60);

/// Backend whose runs succeed as soon as they are started.
#[derive(Default)]
pub(crate) struct ImmediateBackend {
    started: RefCell<Vec<RequestId>>,
}

struct ImmediateRun {
    backend: Rc<ImmediateBackend>,
    id: RequestId,
    events: RefCell<RunEvents>,
}

impl Backend for ImmediateBackend {
    fn register(self: Rc<Self>, id: RequestId) -> Option<Box<dyn Run>> {
        Some(Box::new(ImmediateRun {
            backend: self,
            id,
            events: RefCell::default(),
        }))
    }
}

impl Run for ImmediateRun {
    fn start(&self, _request: &RunRequest<'_>) {
        self.backend.started.borrow_mut().push(self.id);
        let outcome = RunOutcome::Ok(RESULT.into());
        self.events.borrow_mut().push(RunEvent::Ended(outcome));
    }

    fn resume(&self, _call_result: &[u8]) {}

    fn mark_answered(&self) {}

    fn cancel(&self) {}

    fn query_status(&self, _request: &RunRequest<'_>) {}

    fn poll_event(&self, cx: &mut Context<'_>) -> Poll<RunEvent> {
        self.events.borrow_mut().poll(cx)
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

/// An RPC in progress, or one whose idempotency key is retained.
type RpcTask<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// A handler whose only method has an idempotency key.
pub(crate) struct Server {
    pub(crate) scheduler: Rc<SchedulerHandle>,
    pub(crate) handler: Rc<RequestHandler>,
    backend: Rc<ImmediateBackend>,
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
            cores: 8,
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
        let backend = Rc::new(ImmediateBackend::default());
        let store = StoreClient(Rc::new(endpoints));
        let handler = RequestHandler::new(scheduler.clone(), backend.clone(), store, &limits);
        Server {
            scheduler,
            handler: Rc::new(handler),
            backend,
            next_id: Cell::new(1),
        }
    }

    /// Sends an attempt with `key` and a new id. Returns its answer, which must come at once.
    fn send(&self, key: &str) -> (Answer, RpcTask<'_>) {
        self.send_with_age(key, Duration::ZERO)
    }

    /// Sends an attempt that arrived at the machine `age` ago.
    fn send_with_age(&self, key: &str, age: Duration) -> (Answer, RpcTask<'_>) {
        let request = RpcRequest {
            age: clock::span(age),
            ..request(key)
        };
        let answer = Rc::new(RefCell::new(None));
        let answered = answer.clone();
        let reply = move |reply: Reply<'_>| {
            answered.replace(Some(Answer::from(&reply)));
        };
        let body = b"body".to_vec();
        let served = self
            .handler
            .handle(request, self.next_id(), body, pending(), reply);
        let mut task: RpcTask<'_> = Box::pin(served);
        let _ = block_on(poll_once(task.as_mut()));
        let answer = answer.take().expect("the attempt is answered at once");
        (answer, task)
    }

    /// Runs the scheduler's timers until `task` ends: its idempotency key is released.
    fn run_until_key_is_released(&self, mut task: RpcTask<'_>) {
        while block_on(poll_once(task.as_mut())).is_none() {
            std::thread::sleep(self.scheduler.next_timeout());
            self.scheduler.handle_timeout(&[]);
        }
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
        unread_reply_bytes: 1,
        requests: 8,
        result_bytes: RESULT.len(),
        request_ids: 32,
    }
}

/// Runs two RPCs, after which a table of `limits` is full, and repeats both.
fn assert_full_table_rejects_only_new_rpcs(limits: Limits) {
    let server = Server::new(limits, LONG_WINDOW);
    let (first, _first) = server.send("a");
    let (second, _second) = server.send("b");
    assert_eq!(
        (first, second),
        (Answer::Ok(RESULT.into()), Answer::Ok(RESULT.into()))
    );
    assert_eq!(server.send("c").0, Answer::Rejected, "the table is full");
    assert_eq!(server.send("a").0, Answer::Ok(RESULT.into()));
    // The result of "b" does not fit into the memory for results.
    assert_eq!(server.send("b").0, Answer::Failed);
    assert_eq!(server.runs(), 2);
}

/// Guards against a repeat that is rejected as never run because it gets no entry in the RPC table.
#[test]
fn full_rpc_table_does_not_reject_repeat_of_rpc_that_has_run() {
    assert_full_table_rejects_only_new_rpcs(Limits {
        requests: 2,
        ..limits()
    });
}

/// Guards against a repeat that is rejected as never run because its own id can't be claimed.
#[test]
fn full_table_of_request_ids_does_not_reject_repeat_of_rpc_that_has_run() {
    assert_full_table_rejects_only_new_rpcs(Limits {
        request_ids: 2,
        ..limits()
    });
}

/// Limiter of a quota of one RPC.
#[derive(Default)]
struct OneRpcQuota {
    used: Cell<bool>,
}

impl QuotaLimiter for OneRpcQuota {
    fn acquire(
        &self,
        _request: RequestKey,
        _timeout_ms: u64,
    ) -> Result<QuotaPermit, QuotaExhausted> {
        if self.used.replace(true) {
            return Err(QuotaExhausted { retry_after_ms: 1 });
        }
        Ok(QuotaPermit::default())
    }

    fn release(&self, _permit: QuotaPermit) {}
}

/// Guards against a repeat that is rejected as never run because a quota is exhausted.
#[test]
fn exhausted_quota_does_not_reject_repeat_that_is_read_after_its_retry_window() {
    let server = Server::new(limits(), Span::ms(5));
    let quota = Rc::new(OneRpcQuota::default());
    server.scheduler.set_quota_limiter(quota);
    let sent_at = Instant::now();
    let (first, task) = server.send("a");
    assert_eq!(first, Answer::Ok(RESULT.into()));
    server.run_until_key_is_released(task);
    assert_eq!(
        server.send("b").0,
        Answer::Rejected,
        "the quota is exhausted"
    );
    let (repeat, _repeat) = server.send_with_age("a", sent_at.elapsed());
    assert_eq!(repeat, Answer::Failed);
    assert_eq!(server.runs(), 1);
}

/// Guards against a repeat that is rejected as never run because a server that sheds load asks its limits first.
#[test]
fn draining_or_excluded_server_serves_repeat_of_rpc_that_has_run() {
    let begin_drain: fn(&SchedulerHandle) = |scheduler| scheduler.begin_drain(LONG_TIME);
    let exclude: fn(&SchedulerHandle) =
        |scheduler| scheduler.set_exclusion_check(Rc::new(|| Some(Span::ms(1))));
    for reject_new_rpcs in [begin_drain, exclude] {
        let server = Server::new(limits(), LONG_WINDOW);
        let (first, _first) = server.send("a");
        assert_eq!(first, Answer::Ok(RESULT.into()));
        reject_new_rpcs(&server.scheduler);
        assert_eq!(server.send("b").0, Answer::Rejected);
        assert_eq!(server.send("a").0, Answer::Ok(RESULT.into()));
        assert_eq!(server.runs(), 1);
    }
}
