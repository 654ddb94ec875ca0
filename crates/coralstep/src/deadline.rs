//! Deadlines: nothing is run whose caller has given up by the time it ends.
use crate::request_table::{Phase, TrackedRequest};
use crate::shared_state::SharedState;
use crate::time::{Span, Time};

/// Answers leave so long before their deadline: the timer's period and the sending fit in.
pub(crate) const RESPONSE_MARGIN: Span = Span::ms(50);

/// Whether an answer must leave now to be in time for `deadline`.
pub(crate) fn is_due(now: Time, deadline: Time) -> bool {
    now + RESPONSE_MARGIN >= deadline
}

/// Whether a request would end only after its deadline.
///
/// Guards against work for nobody. On idle cores it is tried all the same, so that a method that was slow
/// is seen to be quick again.
pub(crate) fn would_miss_deadline(shared: &SharedState, request: &TrackedRequest) -> bool {
    let cores_are_idle = shared.requests.count(Phase::Running) < shared.settings.cores;
    let run_time = if cores_are_idle {
        Span::ZERO
    } else {
        shared.measurements.run_times[request.method].median(Span::ZERO)
    };
    shared.now + RESPONSE_MARGIN.max(run_time) >= request.deadline
}
