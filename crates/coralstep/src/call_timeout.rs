//! How long a call to the dependency may take.
use crate::config::Idempotency;
use crate::deadline::RESPONSE_MARGIN;
use crate::measurements::ASSUMED_TIME;
use crate::request_table::TrackedRequest;
use crate::shared_state::SharedState;
use crate::time::Span;

/// In multiples of the median call: almost all end sooner.
const TIMEOUT_IN_MEDIANS: u64 = 8;
/// A short pause of the dependency fits in.
pub(crate) const MIN_CALL_TIMEOUT: Span = Span::ms(300);

/// The timeout of a request's call.
///
/// Guards against lost calls that hold all permits until the deadlines of their requests. Where a call may
/// have had an effect it is worth waiting for as long as the answer can be within the latency objective.
pub(crate) fn call_timeout(shared: &SharedState, request: &TrackedRequest) -> Span {
    let method = shared.method(request);
    let until_deadline = (request.deadline - shared.now) - RESPONSE_MARGIN;
    let run_time = shared.measurements.mean_run_time(request.method);
    let last_useful = request.arrived_at + method.latency_objective - run_time;
    let useful = last_useful - shared.now;
    let usual = shared.measurements.call_times.median(ASSUMED_TIME) * TIMEOUT_IN_MEDIANS;
    let timeout = if method.idempotency == Idempotency::Idempotent {
        usual.min(useful)
    } else {
        usual.max(useful)
    };
    until_deadline.min(timeout.max(MIN_CALL_TIMEOUT))
}
