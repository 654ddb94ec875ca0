//! Submits RPCs to the scheduler, reports their progress and waits for decisions on them.
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use coralstep::{EarlierAttempt, Outcome, Request, RpcId, Span};

use crate::base::clock;
use crate::decisions::handle::SchedulerHandle;
use crate::decisions::idempotency_keys::Lookup;
use crate::decisions::request::{
    AdmissionError, CallOutcome, Decision, EarlierAttempts, Progress, RpcRequest, RunOutcome,
};
use crate::decisions::rpc_table::RpcEntry;

/// Maximum read delay of an attempt. A key that ran is remembered for this long after its release,
/// so that an attempt that arrived within the retry window and is read later does not run again.
pub const MAX_READ_DELAY: Span = Span::ms(60_000);

/// The entry of an RPC in the scheduler's table; abandoned when dropped.
pub struct RequestTicket {
    scheduler: Rc<SchedulerHandle>,
    pub(super) id: RpcId,
}

impl Drop for RequestTicket {
    fn drop(&mut self) {
        let mut inner = self.scheduler.inner.borrow_mut();
        inner.actions.rpcs.abandon(self.id);
    }
}

impl SchedulerHandle {
    /// Submits an RPC and waits for the first decision on it.
    ///
    /// # Errors
    ///
    /// Returns an error if the RPC table is full, or if the RPC must not run because of its
    /// idempotency key.
    pub async fn submit(
        self: &Rc<Self>,
        request: RpcRequest,
    ) -> Result<(RequestTicket, Decision), AdmissionError> {
        let ticket = self.enqueue(request)?;
        let decision = ticket.next_decision().await;
        Ok((ticket, decision))
    }

    pub(super) fn enqueue(
        self: &Rc<Self>,
        request: RpcRequest,
    ) -> Result<RequestTicket, AdmissionError> {
        self.start(None, Duration::ZERO);
        let (id, repeat_of) = self.insert(&request)?;
        let scheduler_request = self.scheduler_request(&request, id, repeat_of);
        self.update_exclusion();
        self.submitted.set(self.submitted.get() + 1);
        self.drive(|scheduler, now, actions| {
            scheduler.handle_request(now, scheduler_request, actions);
        });
        Ok(RequestTicket {
            scheduler: self.clone(),
            id,
        })
    }

    /// Adds an RPC to the table. Returns its id and the id of the RPC that it repeats, if any.
    fn insert(&self, request: &RpcRequest) -> Result<(RpcId, Option<RpcId>), AdmissionError> {
        let repeat_of = match self.look_up(request) {
            Lookup::Unknown => None,
            Lookup::RepeatOf(repeated) => Some(repeated),
            Lookup::Conflict => return Err(AdmissionError::KeyConflict),
        };
        let entry = RpcEntry::new(request.method_key(), request.fingerprint(), repeat_of);
        let id = self.inner.borrow_mut().actions.rpcs.insert(entry)?;
        Ok((id, repeat_of))
    }

    fn look_up(&self, request: &RpcRequest) -> Lookup {
        let Some(key) = request.method_key() else {
            return Lookup::Unknown;
        };
        let arrived = self.clock.now() - request.age;
        let keys = &self.inner.borrow().actions.idempotency_keys;
        keys.lookup(&key, request.fingerprint(), arrived)
    }

    /// Returns what is known about the earlier attempts of `request`. Unlike submitting it, this needs
    /// no entry in the RPC table.
    pub fn earlier_attempts(&self, request: &RpcRequest) -> EarlierAttempts {
        let repeated = match self.look_up(request) {
            Lookup::Unknown => return EarlierAttempts::None,
            Lookup::RepeatOf(repeated) => repeated,
            Lookup::Conflict => return EarlierAttempts::WithoutResult,
        };
        let result = self.inner.borrow().actions.rpcs.kept_result(repeated);
        result.map_or(EarlierAttempts::WithoutResult, EarlierAttempts::Succeeded)
    }

    fn scheduler_request(
        &self,
        request: &RpcRequest,
        id: RpcId,
        repeat_of: Option<RpcId>,
    ) -> Request {
        let arrived = self.clock.now() - request.age;
        let deadline = request.timeout.map(|_| arrived + self.timeout(request));
        Request {
            id,
            method: request.method,
            deadline,
            tenant: request.tenant,
            queued_kb: request.memory_kb,
            is_retry: request.retry,
            age: request.age,
            untrusted_age: request.age_unverified,
            earlier_attempt: repeat_of.map_or(EarlierAttempt::None, EarlierAttempt::Known),
        }
    }

    /// Returns how long the caller of `request` waits, counted from its arrival at this machine.
    ///
    /// A caller's timeout can only shorten the method's deadline, because state about the RPC may be
    /// discarded after that deadline.
    fn timeout(&self, request: &RpcRequest) -> Span {
        let deadline = self.method(request.method).deadline;
        request
            .timeout
            .map_or(deadline, |timeout| timeout.min(deadline))
    }

    /// Returns the time for which the caller of `request` still waits.
    pub fn remaining_time(&self, request: &RpcRequest) -> Span {
        Span(self.timeout(request).0.saturating_sub(request.age.0))
    }

    fn report_call(&self, id: RpcId, outcome: CallOutcome, elapsed: Duration) {
        self.recent_calls
            .borrow_mut()
            .push(outcome != CallOutcome::Ok);
        self.drive(|scheduler, now, actions| {
            let (outcome, elapsed) = (Outcome::from(outcome), clock::span(elapsed));
            scheduler.handle_call_result(now, id, outcome, elapsed, actions);
        });
    }

    fn report_run(&self, id: RpcId, outcome: &RunOutcome) {
        let succeeded = u64::from(matches!(outcome, RunOutcome::Ok(_)));
        self.succeeded.set(self.succeeded.get() + succeeded);
        self.drive(|scheduler, now, actions| {
            let entry = actions.rpcs.get_mut(id).filter(|_| outcome.never_started());
            if let Some(entry) = entry {
                entry.retry_after = clock::span(outcome.retry_after());
                if let Some(key) = &entry.idempotency_key {
                    actions.idempotency_keys.mark_never_started(key, id);
                }
            }
            actions.rpcs.record_result(id, outcome);
            scheduler.handle_completion(now, id, outcome.as_scheduler_outcome(), actions);
        });
    }
}

impl RequestTicket {
    /// Reports progress of the RPC to the scheduler, which acts on it at once.
    pub fn report(&self, progress: Progress) {
        let (scheduler, id) = (&self.scheduler, self.id);
        match progress {
            Progress::CallNeeded => {
                scheduler.drive(|scheduler, now, actions| {
                    scheduler.handle_call_needed(now, id, actions);
                });
            }
            Progress::CallEnded { outcome, elapsed } => {
                scheduler.report_call(id, outcome, elapsed);
            }
            Progress::RunEnded(outcome) => scheduler.report_run(id, &outcome),
            Progress::CallerDisconnected => {
                scheduler.drive(|scheduler, now, actions| {
                    scheduler.handle_cancellation(now, id, actions);
                });
            }
        }
    }

    /// Waits for the next decision on the RPC. Returns each decision once, except
    /// [`Decision::Finished`], which is returned from then on.
    pub async fn next_decision(&self) -> Decision {
        poll_fn(|cx| {
            let mut inner = self.scheduler.inner.borrow_mut();
            inner.actions.rpcs.poll_decision(self.id, cx)
        })
        .await
    }
}
