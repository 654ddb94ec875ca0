//! Enforces deadlines, wait limits and a changed degradation level on known requests.
use super::Scheduler;
use crate::actions::Actions;
use crate::bulkhead::MAX_PERMIT_WAIT;
use crate::deadline;
use crate::queue;
use crate::request::RpcId;
use crate::request_table::{Phase, TrackedRequest};
use crate::retry_after::{self, UNAVAILABLE_RETRY_AFTER};
use crate::time::Span;

/// Action for a request that has expired.
enum Expiry {
    Reject { retry_after: Span },
    Fail,
    FailAtCall,
    SkipCall { retry_after: Span },
}

impl Scheduler {
    /// Answers a request that has reached its deadline, its queue limit or the limit of its wait for a
    /// permit, or that the degradation level or a drain no longer admits. Removes it if it is finished.
    pub(super) fn enforce_deadlines(&mut self, id: RpcId, out: &mut dyn Actions) {
        let Some(request) = self.shared.get(id) else {
            return;
        };
        if request.phase != Phase::Finished && !request.answered {
            let Some(expiry) = self.expiry(request) else {
                return;
            };
            self.expire(id, expiry, out);
        }
        self.remove_if_finished(id, out);
    }

    /// Returns the action for an unanswered request, or `None` while it may continue.
    fn expiry(&self, request: &TrackedRequest) -> Option<Expiry> {
        let now = self.shared.now;
        if request.phase == Phase::Queued
            && let Some(retry_after) = self.queue_expiry(request)
        {
            return Some(Expiry::Reject { retry_after });
        }
        if deadline::is_due(now, request.deadline) || self.drain.must_answer_all(now) {
            return Some(match request.phase {
                Phase::Calling => Expiry::FailAtCall,
                _ => Expiry::Fail,
            });
        }
        if request.phase != Phase::AwaitingCall {
            return None;
        }
        let waited_too_long = now - request.phase_since >= MAX_PERMIT_WAIT;
        let retry_after = self
            .breaker
            .cooldown_left(now)
            .or(waited_too_long.then_some(UNAVAILABLE_RETRY_AFTER))?;
        Some(Expiry::SkipCall { retry_after })
    }

    /// Returns the Retry-After of a queued request that must be rejected, or `None` while it may wait.
    fn queue_expiry(&self, request: &TrackedRequest) -> Option<Span> {
        let shared = &self.shared;
        if self.drain.must_answer_all(shared.now) || self.health.is_stalled() {
            return Some(UNAVAILABLE_RETRY_AFTER);
        }
        if shared.level_of(request).rejects(shared.method(request)) {
            return Some(retry_after::for_degradation(shared));
        }
        let is_expired = deadline::would_miss_deadline(shared, request)
            || queue::waited_fraction(shared, request) >= 1.0;
        is_expired.then(|| retry_after::for_expired(shared, &self.breaker, request))
    }

    fn expire(&mut self, id: RpcId, expiry: Expiry, out: &mut dyn Actions) {
        match expiry {
            Expiry::Reject { retry_after } => self.shared.reject(id, retry_after, out),
            Expiry::Fail => self.shared.fail(id, out),
            Expiry::FailAtCall => {
                if let Some(request) = self.shared.get_mut(id) {
                    request.expired_at_call = true;
                }
                self.shared.fail(id, out);
            }
            Expiry::SkipCall { retry_after } => {
                self.skip_call_or_reject(id, retry_after, out);
            }
        }
    }

    /// Skips the call of a run if its method allows that. Otherwise rejects the request, or fails it if its
    /// run may have had an effect.
    pub(super) fn skip_call_or_reject(
        &mut self,
        id: RpcId,
        retry_after: Span,
        out: &mut dyn Actions,
    ) {
        let Some(request) = self.shared.get(id) else {
            return;
        };
        if self.shared.method(request).skip_value > 0.0 {
            out.skip_call(id);
            self.shared.move_to(id, Phase::Running);
        } else {
            self.shared.reject(id, retry_after, out);
        }
    }

    /// Removes a finished request and releases its id, once its idempotency key need not be retained.
    pub(super) fn remove_if_finished(&mut self, id: RpcId, out: &mut dyn Actions) {
        let Some(request) = self.shared.get(id) else {
            return;
        };
        let key_is_needed = request.has_run
            && request
                .key_until
                .is_some_and(|until| until > self.shared.now);
        if request.phase == Phase::Finished && !key_is_needed {
            self.deduplication.release_key(&mut self.shared, id, out);
            self.shared.requests.remove(id);
            out.release_id(id);
        }
    }
}
