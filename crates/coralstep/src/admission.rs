//! Admission to the queue: rejects requests as soon as they are read.
use crate::deadline::would_miss_deadline;
use crate::drain::Drain;
use crate::memory_limit;
use crate::request_table::TrackedRequest;
use crate::retry_after::{self, DEFAULT_RETRY_AFTER, UNAVAILABLE_RETRY_AFTER};
use crate::shared_state::SharedState;
use crate::time::Span;

/// Returns the Retry-After of a request that is not admitted to the queue, or `None` if it is admitted.
pub(crate) fn rejection(
    shared: &SharedState,
    request: &TrackedRequest,
    drain: &Drain,
    stalled: bool,
) -> Option<Span> {
    if drain.is_too_late(request.arrived_at) || stalled || drain.must_answer_all(shared.now) {
        return Some(UNAVAILABLE_RETRY_AFTER);
    }
    if shared.degradation.current().rejects(shared.method(request)) {
        return Some(retry_after::for_degradation(shared));
    }
    if would_miss_deadline(shared, request) || memory_limit::is_full_for_queueing(shared) {
        return Some(DEFAULT_RETRY_AFTER);
    }
    None
}
