//! The lifecycle of one RPC, from the moment it is read to its end.
//!
//! An RPC passes four stages before it runs, each a function of [`RequestHandler`]: its id is
//! claimed, its run is registered at the backend, its quota permit is acquired, and the scheduler
//! decides on it. From then on an `ActiveRequest` executes the scheduler's decisions, one event at a
//! time. The handler is independent of the callers' protocols.
use std::hash::{BuildHasher, RandomState};
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use coralstep::Idempotency;
use coralstep_quota::QuotaExhausted;

use crate::base::clock;
use crate::base::limits::{Limits, request_memory};
use crate::base::memory_budget::{MemoryBudget, Reservation};
use crate::base::request_id::RequestId;
use crate::decisions::{
    AdmissionError, Decision, EarlierAttempts, QuotaGuard, RequestTicket, RpcRequest,
    SchedulerHandle,
};
use crate::dependency::store::StoreClient;
use crate::note;
use crate::runs::active_request::ActiveRequest;
use crate::runs::reply::Reply;
use crate::runs::request_ids::{ClaimError, IdClaim, RequestIds};
use crate::runs::{Backend, Run, RunRequest};

/// Delay in ms that a rejection on a closing connection advises: the least there is, since the server can be asked again at
/// once on another connection.
const CLOSING_RETRY_AFTER_MS: u64 = 1;

/// Error for which an RPC is answered without a decision by the scheduler.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error("the id is in use, or its RPC may have run")]
    DuplicateId,
    #[error("the table of request ids is full")]
    RequestIdsFull,
    #[error("the memory for requests is exhausted")]
    MemoryExhausted,
    #[error("a run with this id is already registered")]
    RunRegistered,
    #[error(transparent)]
    Quota(#[from] QuotaExhausted),
    #[error(transparent)]
    Admission(#[from] AdmissionError),
}

impl RequestError {
    fn reply<'a>(&self, earlier: &'a EarlierAttempts) -> Reply<'a> {
        match self {
            RequestError::DuplicateId
            | RequestError::RunRegistered
            | RequestError::Admission(AdmissionError::KeyConflict) => Reply::Failed,
            RequestError::RequestIdsFull
            | RequestError::MemoryExhausted
            | RequestError::Admission(AdmissionError::TableFull) => reject_unless_known(0, earlier),
            RequestError::Quota(QuotaExhausted { retry_after_ms }) => {
                reject_unless_known(*retry_after_ms, earlier)
            }
        }
    }

    fn log(&self, id: RequestId) {
        match self {
            RequestError::DuplicateId => note!(client: rpc_id = %id, "duplicate request id"),
            RequestError::RequestIdsFull => note!(rpc_id = %id, "request id table full"),
            RequestError::MemoryExhausted => {
                note!(rpc_id = %id, "memory for requests exhausted");
            }
            RequestError::Admission(AdmissionError::TableFull) => {
                note!(rpc_id = %id, "request table full");
            }
            RequestError::Admission(AdmissionError::KeyConflict) => {
                note!(client: rpc_id = %id, "idempotency key conflict");
            }
            RequestError::RunRegistered | RequestError::Quota(_) => {}
        }
    }
}

/// Rejects an RPC of which no attempt is known; answers a repeat with the result of that attempt.
///
/// Guards against a rejection, which promises that the RPC never ran, of one that has run.
fn reject_unless_known(retry_after_ms: u64, earlier: &EarlierAttempts) -> Reply<'_> {
    match earlier {
        EarlierAttempts::None => Reply::Rejected {
            retry_after_ms,
            is_final: false,
        },
        EarlierAttempts::Succeeded(result) => Reply::Ok(result),
        EarlierAttempts::WithoutResult => Reply::Failed,
    }
}

/// The body of a request, as received.
#[derive(Debug)]
pub struct ReceivedBody {
    /// The body.
    pub bytes: Vec<u8>,
    /// Memory of the receive buffer, which counts until the request is admitted.
    pub receive_memory: Option<Reservation>,
}

impl From<Vec<u8>> for ReceivedBody {
    fn from(bytes: Vec<u8>) -> ReceivedBody {
        ReceivedBody {
            bytes,
            receive_memory: None,
        }
    }
}

/// Handles RPCs of all protocols.
pub struct RequestHandler {
    scheduler: Rc<SchedulerHandle>,
    backend: Rc<dyn Backend>,
    store: StoreClient,
    request_ids: Rc<RequestIds>,
    /// Memory of all requests that have not ended.
    memory: Rc<MemoryBudget>,
    /// Random keys, so that the digest of a body is unpredictable.
    digest_keys: RandomState,
}

/// An RPC that was submitted to the scheduler. Fields are dropped in this order.
struct SubmittedRpc {
    ticket: RequestTicket,
    quota: QuotaGuard,
    run: Box<dyn Run>,
    memory: Reservation,
    claim: IdClaim,
    first_decision: Decision,
}

impl RequestHandler {
    /// Creates a handler that runs RPCs on `backend` and makes their calls to `store`.
    pub fn new(
        scheduler: Rc<SchedulerHandle>,
        backend: Rc<dyn Backend>,
        store: StoreClient,
        limits: &Limits,
    ) -> RequestHandler {
        RequestHandler {
            scheduler,
            backend,
            store,
            request_ids: Rc::new(RequestIds::new(limits.request_ids)),
            memory: Rc::new(MemoryBudget::new(limits.request_bytes)),
            digest_keys: RandomState::new(),
        }
    }

    /// Returns the id for a caller's text, or a new unique id without one.
    pub fn request_id(&self, text: Option<&str>) -> RequestId {
        text.map_or_else(
            || self.request_ids.generate(),
            |text| self.request_ids.id_of(text),
        )
    }

    /// Serves one RPC to its end. `reply` is called at most once, with the answer.
    /// `caller_disconnected` completes when the caller disconnects.
    pub async fn handle(
        &self,
        mut request: RpcRequest,
        id: RequestId,
        body: impl Into<ReceivedBody>,
        caller_disconnected: impl Future<Output = ()>,
        reply: impl FnOnce(Reply<'_>),
    ) {
        let ReceivedBody {
            bytes: body,
            receive_memory,
        } = body.into();
        let (method, tenant) = (request.method, request.tenant);
        let idempotency_key = request.idempotency_key.clone();
        let remaining_time = clock::duration(self.scheduler.remaining_time(&request));
        let deadline = Instant::now() + remaining_time;
        let idempotency = self.scheduler.idempotency(method);
        // Looked up before any limit is checked, since a limit must not reject a repeat.
        let earlier = self.look_up_earlier_attempts(&mut request, &body);
        let admitted = self.admit(request, id, &body, receive_memory).await;
        let submitted = match admitted {
            Ok(submitted) => submitted,
            Err(error) => return reply(error.reply(&earlier)),
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
            claim_duration: (idempotency == Idempotency::NonIdempotent)
                .then(|| self.scheduler.deadline(method)),
            call_body: Vec::new(),
            call: None,
            reply: Some(reply),
            ticket: submitted.ticket,
            quota: Some(submitted.quota),
            run: submitted.run,
            claim: submitted.claim,
            _memory: submitted.memory,
        };
        active
            .serve(submitted.first_decision, pin!(caller_disconnected))
            .await;
    }

    /// Answers an RPC that must not be started, as its connection is closing: rejects it unless an
    /// attempt of it is known. The caller may retry on another server at once.
    pub fn reject(&self, mut request: RpcRequest, body: &[u8], reply: impl FnOnce(Reply<'_>)) {
        let earlier = self.look_up_earlier_attempts(&mut request, body);
        reply(reject_unless_known(CLOSING_RETRY_AFTER_MS, &earlier));
    }

    /// Adds the digest of `body` to `request` and looks up its idempotency key.
    fn look_up_earlier_attempts(&self, request: &mut RpcRequest, body: &[u8]) -> EarlierAttempts {
        if request.idempotency_key.is_some() {
            request.body_digest = self.digest_keys.hash_one(body);
        }
        self.scheduler.earlier_attempts(request)
    }

    async fn admit(
        &self,
        request: RpcRequest,
        id: RequestId,
        body: &[u8],
        receive_memory: Option<Reservation>,
    ) -> Result<SubmittedRpc, RequestError> {
        let claim = self
            .claim_id(&request, id)
            .inspect_err(|error| error.log(id))?;
        let id = claim.id();
        let memory = self
            .reserve_memory(body)
            .inspect_err(|error| error.log(id))?;
        drop(receive_memory);
        let run = self.register_run(id)?;
        let quota = self.acquire_quota(&request)?;
        let (ticket, first_decision) = self
            .submit(request)
            .await
            .inspect_err(|error| error.log(id))?;
        Ok(SubmittedRpc {
            ticket,
            quota,
            run,
            memory,
            claim,
            first_decision,
        })
    }

    /// Guards against a second run with the same id, even if it arrives by another protocol.
    fn claim_id(&self, request: &RpcRequest, id: RequestId) -> Result<IdClaim, RequestError> {
        let now = Instant::now();
        let mut claim = self.request_ids.claim(now, id);
        // With `accepts_new_id`, callers use one id for all attempts: the idempotency key, not the
        // id, identifies a repeat.
        let may_assign_new_id = request.accepts_new_id
            && self.scheduler.idempotency(request.method) != Idempotency::NonIdempotent;
        if may_assign_new_id && matches!(claim, Err(ClaimError::Duplicate)) {
            claim = self.request_ids.claim(now, self.request_ids.generate());
        }
        claim.map_err(|error| match error {
            ClaimError::Duplicate => RequestError::DuplicateId,
            ClaimError::Full => RequestError::RequestIdsFull,
        })
    }

    /// Guards against bodies of open requests that together exceed the memory.
    fn reserve_memory(&self, body: &[u8]) -> Result<Reservation, RequestError> {
        let reservation = self.memory.try_reserve(request_memory(body.len()));
        reservation.ok_or(RequestError::MemoryExhausted)
    }

    fn register_run(&self, id: RequestId) -> Result<Box<dyn Run>, RequestError> {
        let backend = self.backend.clone();
        backend.register(id).ok_or(RequestError::RunRegistered)
    }

    /// Acquires the quota permit before the RPC is submitted, so that the scheduler never sees an
    /// RPC that exceeds the fleet-wide quotas.
    fn acquire_quota(&self, request: &RpcRequest) -> Result<QuotaGuard, RequestError> {
        Ok(self.scheduler.acquire_quota(request)?)
    }

    async fn submit(&self, request: RpcRequest) -> Result<(RequestTicket, Decision), RequestError> {
        Ok(self.scheduler.submit(request).await?)
    }
}

#[cfg(test)]
pub(crate) mod tests;
