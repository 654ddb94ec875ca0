//! Which calls are made again.
use crate::config::Idempotency;
use crate::request::Outcome;
use crate::request_table::TrackedRequest;
use crate::shared_state::SharedState;

/// The first call and one retry.
const MAX_CALL_ATTEMPTS: u32 = 2;

/// Whether a call that ended with `outcome` may be made again: where a second one does no harm, or the
/// first provably never ran.
pub(crate) fn may_retry_call(
    shared: &SharedState,
    request: &TrackedRequest,
    outcome: Outcome,
) -> bool {
    let is_safe =
        shared.method(request).idempotency == Idempotency::Idempotent || outcome.proves_never_ran();
    is_safe && request.call_attempts < MAX_CALL_ATTEMPTS
}
