//! The lifecycle of one RPC, from the moment it is read to its end.
//!
//! An RPC passes four stages before anything runs, each a function of [`RequestHandler`]: its id is claimed, its run is
//! registered at the backend, its quota is reserved, and the scheduler admits it. From then on [`ActiveRequest`] carries out
//! the scheduler's decisions, one event at a time. No gateway protocol shows here, so any front can use it.
use std::future::poll_fn;
use std::hash::{BuildHasher, RandomState};
use std::ops::ControlFlow;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use coralstep::Idempotency;
use futures_lite::FutureExt;

use crate::base::clock;
use crate::base::config::Limits;
use crate::base::lines::Ref;
use crate::decisions::{
    AdmissionError, Decision, Progress, QuotaGuard, RequestTicket, RpcRequest, RunOutcome,
    SchedulerHandle,
};
use crate::dependency::store::{self, Call, Store};
use crate::note;
use crate::runs::request_ids::{ClaimError, IdClaim, RequestIds};
use crate::runs::{Backend, Run, RunEvent, RunRequest};

/// The final answer to an RPC.
#[derive(Debug, PartialEq)]
pub enum Reply<'a> {
    /// The result of its run.
    Ok(&'a [u8]),
    /// Not served here.
    Rejected {
        /// How long the caller is to wait before it asks this server again, in milliseconds.
        retry_after_ms: u64,
        /// Another server would reject it as well.
        is_final: bool,
    },
    /// It failed, or must not run.
    Aborted,
}

/// Why an RPC was answered before the scheduler decided anything about it.
#[derive(Debug, thiserror::Error)]
enum NotAdmitted {
    #[error("the id is in use, or its RPC may have run")]
    DuplicateId,
    #[error("the table of request ids is full")]
    RequestIdsFull,
    #[error("a run of this id is registered")]
    RunRegistered,
    #[error("a quota is used up")]
    QuotaExhausted { retry_after_ms: u64 },
    #[error(transparent)]
    Admission(#[from] AdmissionError),
}

impl NotAdmitted {
    fn reply(&self) -> Reply<'static> {
        let retry_after_ms = match self {
            NotAdmitted::DuplicateId
            | NotAdmitted::RunRegistered
            | NotAdmitted::Admission(AdmissionError::KeyConflict) => return Reply::Aborted,
            NotAdmitted::RequestIdsFull | NotAdmitted::Admission(AdmissionError::TableFull) => 0,
            NotAdmitted::QuotaExhausted { retry_after_ms } => *retry_after_ms,
        };
        Reply::Rejected {
            retry_after_ms,
            is_final: false,
        }
    }

    fn log(&self, id: Ref) {
        match self {
            NotAdmitted::DuplicateId => note!(client: rpc_id = %id, "duplicate request id"),
            NotAdmitted::RequestIdsFull => note!(rpc_id = %id, "request id table full"),
            NotAdmitted::Admission(AdmissionError::TableFull) => {
                note!(rpc_id = %id, "request table full");
            }
            NotAdmitted::Admission(AdmissionError::KeyConflict) => {
                note!(client: rpc_id = %id, "idempotency key conflict");
            }
            NotAdmitted::RunRegistered | NotAdmitted::QuotaExhausted { .. } => {}
        }
    }
}

/// Handles the RPCs of all fronts.
pub struct RequestHandler {
    scheduler: Rc<SchedulerHandle>,
    backend: Rc<dyn Backend>,
    store: Store,
    request_ids: Rc<RequestIds>,
    /// Keyed, so that nobody can foresee the digest of a body.
    digest_keys: RandomState,
}

/// An RPC that the scheduler has taken in. Fields are released in this order.
struct Admitted {
    ticket: RequestTicket,
    quota: QuotaGuard,
    run: Box<dyn Run>,
    claim: IdClaim,
    first_decision: Decision,
}

impl RequestHandler {
    /// A handler that runs RPCs on `backend` and makes their calls to `store`.
    pub fn new(
        scheduler: Rc<SchedulerHandle>,
        backend: Rc<dyn Backend>,
        store: Store,
        limits: &Limits,
    ) -> RequestHandler {
        RequestHandler {
            scheduler,
            backend,
            store,
            request_ids: Rc::new(RequestIds::new(limits.ids)),
            digest_keys: RandomState::new(),
        }
    }

    /// The id that a caller's text stands for; without a text, one that no other RPC has.
    pub fn request_id(&self, text: Option<&str>) -> Ref {
        text.map_or_else(
            || self.request_ids.generate(),
            |text| self.request_ids.id_of(text),
        )
    }

    /// Serves one RPC to its end. `reply` is called at most once, with the answer; `caller_gone` ends when the caller has left.
    pub async fn handle(
        &self,
        mut request: RpcRequest,
        id: Ref,
        body: Vec<u8>,
        caller_gone: impl Future<Output = ()>,
        reply: impl FnOnce(Reply<'_>),
    ) {
        if request.idempotency_key.is_some() {
            request.body_digest = self.digest_keys.hash_one(&body);
        }
        let (method, tenant) = (request.method, request.tenant);
        let idempotency_key = request.idempotency_key.clone();
        let deadline = Instant::now() + self.time_left(&request);
        let idempotency = self.scheduler.idempotency(method);
        let admitted = match self.admit(request, id).await {
            Ok(admitted) => admitted,
            Err(error) => return reply(error.reply()),
        };
        let run_request = RunRequest {
            method: self.scheduler.method_name(method),
            tenant: tenant.and_then(|tenant| self.scheduler.tenant_name(tenant)),
            idempotency_key: idempotency_key.as_deref(),
            body: &body,
            idempotent: idempotency == Idempotency::Idempotent,
            deadline,
        };
        let active = ActiveRequest {
            store: &self.store,
            run_request,
            claim_after_start: (idempotency == Idempotency::NonIdempotent)
                .then(|| self.scheduler.deadline(method)),
            call_body: Vec::new(),
            call: None,
            reply: Some(reply),
            ticket: admitted.ticket,
            quota: Some(admitted.quota),
            run: admitted.run,
            claim: admitted.claim,
        };
        let first_event = Event::Decision(admitted.first_decision);
        active.serve(first_event, pin!(caller_gone)).await;
    }

    /// How long the caller of `request` still waits.
    fn time_left(&self, request: &RpcRequest) -> Duration {
        let method_deadline = self.scheduler.deadline(request.method);
        let timeout = request.timeout.map_or(method_deadline, |timeout| {
            clock::duration(timeout).min(method_deadline)
        });
        timeout.saturating_sub(clock::duration(request.age))
    }

    async fn admit(&self, request: RpcRequest, id: Ref) -> Result<Admitted, NotAdmitted> {
        let claim = self
            .claim_id(&request, id)
            .inspect_err(|error| error.log(id))?;
        let id = claim.id();
        let run = self.register_run(id)?;
        let quota = self.reserve_quota(&request)?;
        let (ticket, first_decision) = self
            .submit(request)
            .await
            .inspect_err(|error| error.log(id))?;
        Ok(Admitted {
            ticket,
            quota,
            run,
            claim,
            first_decision,
        })
    }

    /// Guards against a second run under one id, by whichever front it comes.
    fn claim_id(&self, request: &RpcRequest, id: Ref) -> Result<IdClaim, NotAdmitted> {
        let now = Instant::now();
        let mut claim = self.request_ids.claim(now, id);
        // Such a front keeps an id over its attempts: the idempotency key, not the id, tells whether it has run.
        let may_take_another = request.accepts_new_id
            && self.scheduler.idempotency(request.method) != Idempotency::NonIdempotent;
        if may_take_another && matches!(claim, Err(ClaimError::Duplicate)) {
            claim = self.request_ids.claim(now, self.request_ids.generate());
        }
        claim.map_err(|error| match error {
            ClaimError::Duplicate => NotAdmitted::DuplicateId,
            ClaimError::Full => NotAdmitted::RequestIdsFull,
        })
    }

    fn register_run(&self, id: Ref) -> Result<Box<dyn Run>, NotAdmitted> {
        let backend = self.backend.clone();
        backend.register(id).ok_or(NotAdmitted::RunRegistered)
    }

    /// Comes before the scheduler: an RPC beyond the fleet's quotas is not the scheduler's to weigh.
    fn reserve_quota(&self, request: &RpcRequest) -> Result<QuotaGuard, NotAdmitted> {
        self.scheduler
            .reserve_quota(request)
            .map_err(|retry_after_ms| NotAdmitted::QuotaExhausted { retry_after_ms })
    }

    async fn submit(&self, request: RpcRequest) -> Result<(RequestTicket, Decision), NotAdmitted> {
        Ok(self.scheduler.submit(request).await?)
    }
}

/// What an RPC in service waits for.
enum Event {
    Decision(Decision),
    Run(RunEvent),
    CallEnded(store::Ended),
    CallerGone,
}

/// An RPC in service: admitted, and not yet finished. Fields are released in this order.
struct ActiveRequest<'a, R> {
    store: &'a Store,
    run_request: RunRequest<'a>,
    /// For so long after its start a run's id stays claimed, where a second run would do harm.
    claim_after_start: Option<Duration>,
    /// What the run has asked the store; sent again should the call be repeated.
    call_body: Vec<u8>,
    call: Option<Call>,
    /// `None` once the RPC is answered.
    reply: Option<R>,
    ticket: RequestTicket,
    /// Given back with the answer.
    quota: Option<QuotaGuard>,
    run: Box<dyn Run>,
    claim: IdClaim,
}

impl<R: FnOnce(Reply<'_>)> ActiveRequest<'_, R> {
    async fn serve(
        mut self,
        first_event: Event,
        mut caller_gone: Pin<&mut impl Future<Output = ()>>,
    ) {
        let mut caller_present = true;
        let mut event = first_event;
        while self.apply(event).is_continue() {
            let gone = async {
                if !caller_present {
                    std::future::pending::<()>().await;
                }
                caller_gone.as_mut().await;
            };
            event = self.next_event(gone).await;
            caller_present &= !matches!(event, Event::CallerGone);
        }
    }

    /// The next event; decisions come first where several are ready.
    async fn next_event(&mut self, caller_gone: impl Future<Output = ()>) -> Event {
        let (ticket, run) = (&self.ticket, &self.run);
        let call = &mut self.call;
        let decision = async { Event::Decision(ticket.next_decision().await) };
        let run_event = async { Event::Run(poll_fn(|cx| run.poll_event(cx)).await) };
        let call_ended = async { Event::CallEnded(store::ended(call).await) };
        let caller_gone = async {
            caller_gone.await;
            Event::CallerGone
        };
        decision.or(run_event).or(call_ended).or(caller_gone).await
    }

    fn apply(&mut self, event: Event) -> ControlFlow<()> {
        match event {
            Event::Decision(Decision::Finished) => return ControlFlow::Break(()),
            Event::Decision(decision) => self.carry_out(decision),
            Event::Run(RunEvent::CallNeeded(body)) => self.on_call_needed(body),
            Event::Run(RunEvent::Ended(outcome)) => self.on_run_ended(outcome),
            Event::CallEnded(ended) => self.on_call_ended(ended),
            Event::CallerGone => self.on_caller_gone(),
        }
        ControlFlow::Continue(())
    }

    fn carry_out(&mut self, decision: Decision) {
        match decision {
            Decision::Run => self.start_run(),
            Decision::Call { timeout } => {
                let call = self.store.call(self.claim.id(), timeout, &self.call_body);
                self.call = Some(call);
            }
            Decision::CancelRun => self.run.cancel(),
            Decision::ProbeRun => self.run.probe(&self.run_request),
            Decision::Reject {
                retry_after_ms,
                is_final,
            } => self.answer(Reply::Rejected {
                retry_after_ms,
                is_final,
            }),
            Decision::Abort => self.answer(Reply::Aborted),
            Decision::Replay(result) => self.answer(Reply::Ok(&result)),
            Decision::Finished => {}
        }
    }

    fn start_run(&mut self) {
        if let Some(span) = self.claim_after_start {
            self.claim.mark_started(Instant::now() + span);
        }
        self.run.start(&self.run_request);
    }

    fn on_call_needed(&mut self, body: Vec<u8>) {
        self.call_body = body;
        self.ticket.report(Progress::CallNeeded);
    }

    fn on_call_ended(&mut self, ended: store::Ended) {
        self.call = None;
        if let Some(result) = &ended.answer {
            self.run.resume(result);
        }
        self.ticket.report(Progress::CallEnded {
            outcome: ended.end,
            elapsed: ended.took,
        });
    }

    fn on_run_ended(&mut self, outcome: RunOutcome) {
        // Nobody waits for its call any more.
        self.call = None;
        match &outcome {
            RunOutcome::Ok(result) => self.answer(Reply::Ok(result)),
            RunOutcome::Error => self.answer(Reply::Aborted),
            RunOutcome::NeverStarted { .. } => self.claim.mark_never_started(),
            RunOutcome::Cancelled | RunOutcome::NoLongerNeeded => {}
        }
        self.ticket.report(Progress::RunEnded(outcome));
    }

    fn on_caller_gone(&mut self) {
        self.answer(Reply::Aborted);
        self.ticket.report(Progress::CallerGone);
    }

    /// The first answer is the only one; with it the RPC counts no longer against its quotas.
    fn answer(&mut self, reply: Reply<'_>) {
        if let Some(send) = self.reply.take() {
            send(reply);
            self.run.mark_answered();
            self.quota = None;
        }
    }
}
