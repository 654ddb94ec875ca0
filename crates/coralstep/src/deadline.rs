//! Deadlines: a request is not run if its client will stop waiting before the run ends.
use crate::request_table::{Phase, TrackedRequest};
use crate::shared_state::SharedState;
use crate::time::{Span, Time};

/// Time before the deadline at which a response is sent; allows for the timer period and transmission.
pub(crate) const RESPONSE_MARGIN: Span = Span::ms(50);

/// Returns whether a response must be sent now to meet `deadline`.
pub(crate) fn is_due(now: Time, deadline: Time) -> bool {
    now + RESPONSE_MARGIN >= deadline
}

/// Returns whether a request would end after its deadline.
///
/// Guards against work whose result nobody waits for. Idle cores run the request regardless, so that a
/// method that was slow can be measured as fast again.
pub(crate) fn would_miss_deadline(shared: &SharedState, request: &TrackedRequest) -> bool {
    let cores_are_idle = shared.requests.count(Phase::Running) < shared.settings.cores;
    let run_time = if cores_are_idle {
        Span::ZERO
    } else {
        shared.measurements.run_times[request.method].median(Span::ZERO)
    };
    shared.now + RESPONSE_MARGIN.max(run_time) >= request.deadline
}
