//! Retries of failed calls.
use crate::config::Idempotency;
use crate::request::Outcome;
use crate::request_table::TrackedRequest;
use crate::shared_state::SharedState;

/// The first attempt and one retry.
const MAX_CALL_ATTEMPTS: u32 = 2;

/// Returns whether a call that ended with `outcome` may be retried: the method is idempotent, or the
/// outcome proves that the call never ran.
pub(crate) fn may_retry_call(
    shared: &SharedState,
    request: &TrackedRequest,
    outcome: Outcome,
) -> bool {
    let is_safe =
        shared.method(request).idempotency == Idempotency::Idempotent || outcome.proves_never_ran();
    is_safe && request.call_attempts < MAX_CALL_ATTEMPTS
}
