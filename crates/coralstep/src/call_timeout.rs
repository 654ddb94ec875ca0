//! Timeouts of calls to the dependency.
use crate::config::Idempotency;
use crate::deadline::RESPONSE_MARGIN;
use crate::measurements::DEFAULT_DURATION;
use crate::request_table::TrackedRequest;
use crate::shared_state::SharedState;
use crate::time::Span;

/// Timeout as a multiple of the median call time; almost all calls end sooner.
const TIMEOUT_MEDIAN_FACTOR: u64 = 8;
/// Minimum timeout; allows for a short pause of the dependency.
pub(crate) const MIN_CALL_TIMEOUT: Span = Span::ms(300);

/// Returns the timeout of a request's call.
///
/// Guards against lost calls that occupy all permits until the deadlines of their requests. A call that may
/// have had an effect is awaited for as long as the response can meet the latency objective.
pub(crate) fn call_timeout(shared: &SharedState, request: &TrackedRequest) -> Span {
    let method = shared.method(request);
    let until_deadline = (request.deadline - shared.now) - RESPONSE_MARGIN;
    let run_time = shared.measurements.mean_run_time(request.method);
    let latest_useful_end = request.arrived_at + method.latency_objective - run_time;
    let useful_time = latest_useful_end - shared.now;
    let typical = shared.measurements.call_times.median(DEFAULT_DURATION) * TIMEOUT_MEDIAN_FACTOR;
    let timeout = if method.idempotency == Idempotency::Idempotent {
        typical.min(useful_time)
    } else {
        typical.max(useful_time)
    };
    until_deadline.min(timeout.max(MIN_CALL_TIMEOUT))
}
