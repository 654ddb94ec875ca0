//! The admission queue: requests wait for a core up to the queue limit, a maximum wait, and start by
//! priority.
use crate::priority::{max_by_value, priority};
use crate::request::RpcId;
use crate::request_table::{Phase, TrackedRequest};
use crate::shared_state::SharedState;
use crate::time::Span;

/// Queue limit as a fraction of the latency objective; the remaining time lets the client try another
/// server.
pub(crate) const MAX_WAIT_FRACTION: f64 = 0.25;
/// Minimum factor that a degradation level applies to the queue limit.
const MIN_LIMIT_FACTOR: f64 = 0.01;

/// Returns `span` as a fraction of a request's queue limit.
pub(crate) fn fraction_of_limit(shared: &SharedState, request: &TrackedRequest, span: Span) -> f64 {
    let objective = shared.method(request).latency_objective.0.max(1) as f64;
    let factor = shared.level_of(request).queue_limit_factor;
    span.0 as f64 / (objective * MAX_WAIT_FRACTION * factor.max(MIN_LIMIT_FACTOR))
}

/// Returns how long a request has waited, as a fraction of its queue limit; from 1 on it has expired.
///
/// The median read delay, up to the limit, does not count. Guards against immediately rejecting requests
/// whose read delay is typical.
pub(crate) fn waited_fraction(shared: &SharedState, request: &TrackedRequest) -> f64 {
    let read_delay = request.phase_since - request.arrived_at;
    let typical_read_delay = shared.measurements.read_delays.median(Span::ZERO);
    let limit = shared
        .method(request)
        .latency_objective
        .scaled(MAX_WAIT_FRACTION);
    let uncounted = read_delay.min(typical_read_delay).min(limit);
    let waited = shared.now - request.arrived_at;
    fraction_of_limit(shared, request, waited - uncounted)
}

/// Returns the longest wait in the queue as a fraction of the queue limit; 0 if the queue is empty.
pub(crate) fn longest_waited_fraction(shared: &SharedState) -> f64 {
    shared
        .requests
        .unanswered_in(Phase::Queued)
        .map(|(_, request)| waited_fraction(shared, request))
        .fold(0.0, f64::max)
}

/// Returns the queued request with the highest priority among those that `may_start`.
pub(crate) fn next_to_start(
    shared: &SharedState,
    may_start: impl Fn(&TrackedRequest) -> bool,
) -> Option<RpcId> {
    let candidates = shared
        .requests
        .unanswered_in(Phase::Queued)
        .filter(|(_, request)| may_start(request));
    max_by_value(candidates.map(|(id, request)| (priority(shared, request), id)))
}
