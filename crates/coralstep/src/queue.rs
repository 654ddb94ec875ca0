//! The admission queue: what waits for a core, not longer than its limit, and served by priority.
use crate::priority::{greatest, priority};
use crate::request::RpcId;
use crate::request_table::{Phase, TrackedRequest};
use crate::shared_state::SharedState;
use crate::time::Span;

/// How long a request may be queued, as a part of its latency objective: its caller needs time for another
/// server.
pub(crate) const MAX_WAIT_PART: f64 = 0.25;
/// The least part of the queue limit that a degradation level leaves.
const MIN_LIMIT_FACTOR: f64 = 0.01;

/// `span` as a part of a request's queue limit.
pub(crate) fn part_of_limit(shared: &SharedState, request: &TrackedRequest, span: Span) -> f64 {
    let objective = shared.method(request).latency_objective.0.max(1) as f64;
    let factor = shared.level_of(request).queue_limit_factor;
    span.0 as f64 / (objective * MAX_WAIT_PART * factor.max(MIN_LIMIT_FACTOR))
}

/// How long a request has waited, as a part of its queue limit; it waited too long from 1 on.
///
/// The usual wait unread, up to the limit, does not count. Guards against rejecting at once what took as
/// long to read as most requests.
pub(crate) fn waited_part(shared: &SharedState, request: &TrackedRequest) -> f64 {
    let read_delay = request.phase_since - request.arrived_at;
    let usual_read_delay = shared.measurements.read_delays.median(Span::ZERO);
    let limit = shared
        .method(request)
        .latency_objective
        .scaled(MAX_WAIT_PART);
    let uncounted = read_delay.min(usual_read_delay).min(limit);
    let waited = shared.now - request.arrived_at;
    part_of_limit(shared, request, waited - uncounted)
}

/// The longest wait in the queue, as a part of its limit; 0 where nothing is queued.
pub(crate) fn longest_waited_part(shared: &SharedState) -> f64 {
    shared
        .requests
        .unanswered_in(Phase::Queued)
        .map(|(_, request)| waited_part(shared, request))
        .fold(0.0, f64::max)
}

/// The queued request with the highest priority among those that `may_start`.
pub(crate) fn next_to_start(
    shared: &SharedState,
    may_start: impl Fn(&TrackedRequest) -> bool,
) -> Option<RpcId> {
    let candidates = shared
        .requests
        .unanswered_in(Phase::Queued)
        .filter(|(_, request)| may_start(request));
    greatest(candidates.map(|(id, request)| (priority(shared, request), id)))
}
