//! An RPC in progress, from the scheduler's first decision on it to its end. Each kind of event has
//! its own handler function.
use std::future::poll_fn;
use std::ops::ControlFlow;
use std::pin::Pin;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;

use crate::base::memory_budget::Reservation;
use crate::decisions::{Decision, Progress, QuotaGuard, RequestTicket, RunOutcome};
use crate::dependency::store::{self, CallResult, StoreCall, StoreClient};
use crate::runs::reply::Reply;
use crate::runs::request_ids::IdClaim;
use crate::runs::{Run, RunEvent, RunRequest};

/// Event of an RPC in progress.
enum Event {
    Decision(Decision),
    Run(RunEvent),
    CallEnded(CallResult),
    CallerDisconnected,
}

/// An RPC that was submitted to the scheduler and is not finished. Fields are dropped in this order.
pub(super) struct ActiveRequest<'a, R> {
    pub(super) store: &'a StoreClient,
    pub(super) run_request: RunRequest<'a>,
    /// Time for which the id stays claimed after the run starts; `None` unless the method is
    /// non-idempotent.
    pub(super) claim_duration: Option<Duration>,
    /// Body of the run's latest call to the store, kept for retries of the call.
    pub(super) call_body: Vec<u8>,
    pub(super) call: Option<StoreCall>,
    /// `None` once the RPC is answered.
    pub(super) reply: Option<R>,
    pub(super) ticket: RequestTicket,
    /// Released when the RPC is answered.
    pub(super) quota: Option<QuotaGuard>,
    pub(super) run: Box<dyn Run>,
    pub(super) claim: IdClaim,
    /// Memory of the request, which counts until it has ended.
    pub(super) _memory: Reservation,
}

impl<R: FnOnce(Reply<'_>)> ActiveRequest<'_, R> {
    /// Serves the RPC until the scheduler is done with it. `caller_disconnected` completes when the
    /// caller disconnects.
    pub(super) async fn serve(
        mut self,
        first_decision: Decision,
        mut caller_disconnected: Pin<&mut impl Future<Output = ()>>,
    ) {
        let mut caller_connected = true;
        let mut event = Event::Decision(first_decision);
        while self.apply(event).is_continue() {
            let disconnected = async {
                if !caller_connected {
                    std::future::pending::<()>().await;
                }
                caller_disconnected.as_mut().await;
            };
            event = self.next_event(disconnected).await;
            caller_connected &= !matches!(event, Event::CallerDisconnected);
        }
    }

    /// Waits for the next event. Decisions take precedence if several events are ready.
    async fn next_event(&mut self, caller_disconnected: impl Future<Output = ()>) -> Event {
        let (ticket, run) = (&self.ticket, &self.run);
        let call = &mut self.call;
        let decision = async { Event::Decision(ticket.next_decision().await) };
        let run_event = async { Event::Run(poll_fn(|cx| run.poll_event(cx)).await) };
        let call_ended = async { Event::CallEnded(store::wait_for_result(call).await) };
        let caller_disconnected = async {
            caller_disconnected.await;
            Event::CallerDisconnected
        };
        decision
            .or(run_event)
            .or(call_ended)
            .or(caller_disconnected)
            .await
    }

    fn apply(&mut self, event: Event) -> ControlFlow<()> {
        match event {
            Event::Decision(Decision::Finished) => return ControlFlow::Break(()),
            Event::Decision(decision) => self.execute(decision),
            Event::Run(RunEvent::CallNeeded(body)) => self.on_call_needed(body),
            Event::Run(RunEvent::Ended(outcome)) => self.on_run_ended(outcome),
            Event::CallEnded(result) => self.on_call_ended(result),
            Event::CallerDisconnected => self.on_caller_disconnected(),
        }
        ControlFlow::Continue(())
    }

    fn execute(&mut self, decision: Decision) {
        match decision {
            Decision::Run => self.start_run(),
            Decision::Call { timeout } => {
                let call = self.store.call(self.claim.id(), timeout, &self.call_body);
                self.call = Some(call);
            }
            Decision::CancelRun => self.run.cancel(),
            Decision::QueryRun => self.run.query_status(&self.run_request),
            Decision::Reject {
                retry_after_ms,
                is_final,
            } => self.answer(Reply::Rejected {
                retry_after_ms,
                is_final,
            }),
            Decision::Fail => self.answer(Reply::Failed),
            Decision::Replay(result) => self.answer(Reply::Ok(&result)),
            Decision::Finished => {}
        }
    }

    fn start_run(&mut self) {
        if let Some(span) = self.claim_duration {
            self.claim.mark_started(Instant::now() + span);
        }
        self.run.start(&self.run_request);
    }

    fn on_call_needed(&mut self, body: Vec<u8>) {
        self.call_body = body;
        self.ticket.report(Progress::CallNeeded);
    }

    fn on_call_ended(&mut self, result: CallResult) {
        self.call = None;
        if let Some(reply) = &result.reply {
            self.run.resume(reply);
        }
        self.ticket.report(Progress::CallEnded {
            outcome: result.outcome,
            elapsed: result.elapsed,
        });
    }

    fn on_run_ended(&mut self, outcome: RunOutcome) {
        // The run no longer needs the result of its call.
        self.call = None;
        if outcome.never_started() {
            self.claim.mark_never_started();
        }
        match &outcome {
            RunOutcome::Ok(result) => self.answer(Reply::Ok(result)),
            RunOutcome::Error | RunOutcome::Refused => self.answer(Reply::Failed),
            RunOutcome::NeverStarted { .. }
            | RunOutcome::Cancelled
            | RunOutcome::NoLongerNeeded => {}
        }
        self.ticket.report(Progress::RunEnded(outcome));
    }

    fn on_caller_disconnected(&mut self) {
        self.answer(Reply::Failed);
        self.ticket.report(Progress::CallerDisconnected);
    }

    /// Sends the answer and releases the quota permit. Does nothing if the RPC is already answered.
    fn answer(&mut self, reply: Reply<'_>) {
        if let Some(send) = self.reply.take() {
            send(reply);
            self.run.mark_answered();
            self.quota = None;
        }
    }
}
