//! Calls and runs that never end, or whose end is never reported. Guards against leaking their capacity.
//!
//! An answered run without an end is queried for its status, then counted as orphaned, up to a limit. An
//! orphaned run no longer counts against the concurrency limit, but its memory and its idempotency key stay
//! reserved and it still counts as started. If it ends later, it is only removed. A run whose call has
//! ended is orphaned at its call: it cannot return to the cores, and does not count as started.
use crate::actions::Actions;
use crate::event::{Event, OrphanedRun};
use crate::request::RpcId;
use crate::request_table::{Phase, TrackedRequest};
use crate::shared_state::SharedState;
use crate::time::Span;

/// Interval between status queries of a run without an end, counted from its answer.
const QUERY_PERIOD: Span = Span::ms(2_000);
/// Time after its answer at which a run counts as orphaned; longer than most pauses of a machine.
const ORPHANED_AFTER: Span = Span::ms(10_000);
/// Time after its answer at which a run whose call has ended counts as orphaned; long enough for two
/// status queries.
const ORPHANED_AT_CALL_AFTER: Span = Span::ms(4_500);
/// Maximum fraction of the started requests that may be orphaned; further runs still count against the
/// concurrency limit.
const MAX_ORPHAN_FRACTION: f64 = 0.5;
/// Time after its timeout at which an unreported call counts as lost.
const CALL_LOST_AFTER: Span = Span::ms(1_000);

/// Returns the maximum number of orphaned runs.
pub(crate) fn max_orphans(max_started: usize) -> usize {
    ((max_started as f64 * MAX_ORPHAN_FRACTION) as usize).max(1)
}

/// Returns the time since the start of a request's call if the call counts as lost.
pub(crate) fn lost_call_time(shared: &SharedState, id: RpcId) -> Option<Span> {
    let request = shared
        .get(id)
        .filter(|request| request.phase == Phase::Calling)?;
    let is_lost = shared.now > request.call_timeout_at + CALL_LOST_AFTER;
    is_lost.then(|| shared.now - request.phase_since)
}

/// Returns whether a request is answered while its run has not ended.
fn is_answered_without_end(request: &TrackedRequest) -> bool {
    request.answered
        && matches!(
            request.phase,
            Phase::Running | Phase::AwaitingCall | Phase::Orphaned | Phase::OrphanedAtCall
        )
}

/// Queries the status of an answered run without an end, if a query is due.
pub(crate) fn query_run(shared: &mut SharedState, id: RpcId, out: &mut dyn Actions) {
    let now = shared.now;
    let Some(request) = shared
        .get_mut(id)
        .filter(|request| is_answered_without_end(request))
    else {
        return;
    };
    if now - request.queried_at >= QUERY_PERIOD {
        request.queried_at = now;
        out.query_run(id);
    }
}

/// Marks an answered run without an end as orphaned, if it is old enough and the limit permits.
pub(crate) fn mark_orphaned(
    shared: &mut SharedState,
    id: RpcId,
    max_started: usize,
    out: &mut dyn Actions,
) {
    let Some(request) = shared
        .get(id)
        .filter(|request| is_answered_without_end(request))
    else {
        return;
    };
    let (phase, since_answer) = (request.phase, shared.now - request.answered_at);
    let max_orphaned = max_orphans(max_started);
    let orphaned_run = |orphaned| OrphanedRun {
        since_answer,
        orphaned,
        max_orphaned,
    };
    if phase == Phase::AwaitingCall && since_answer >= ORPHANED_AT_CALL_AFTER {
        shared.move_to(id, Phase::OrphanedAtCall);
        let orphaned = shared.requests.count(Phase::OrphanedAtCall);
        out.log(Event::RunOrphanedAtCall(orphaned_run(orphaned)));
    } else if phase == Phase::Running
        && since_answer >= ORPHANED_AFTER
        && shared.requests.count(Phase::Orphaned) < max_orphaned
    {
        shared.move_to(id, Phase::Orphaned);
        let orphaned = shared.requests.count(Phase::Orphaned);
        out.log(Event::RunOrphaned(orphaned_run(orphaned)));
    }
}
