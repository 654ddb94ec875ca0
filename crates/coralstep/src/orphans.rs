//! Calls and runs that have no end, or whose end is never reported. Guards against capacity that is taken
//! for good.
//!
//! What can't be proven ended is asked after, then counted as orphaned, up to a bound: another may run in
//! its place, while its memory, its idempotency key and its part of the started requests stay booked. A
//! late end only removes it. A run at a call that is over is orphaned at its call: nothing can bring it
//! back to the cores.
use crate::actions::Actions;
use crate::event::{Event, OrphanedRun};
use crate::request::RpcId;
use crate::request_table::{Phase, TrackedRequest};
use crate::shared_state::SharedState;
use crate::time::Span;

/// So long after its answer a run without an end is asked after, and again each time that this has passed.
const QUERY_PERIOD: Span = Span::ms(2_000);
/// So long after its answer a run counts as orphaned: longer than most pauses of a machine.
const ORPHANED_AFTER: Span = Span::ms(10_000);
/// So long after its answer a run at a call that is over counts as orphaned: it was asked after twice.
const ORPHANED_AT_CALL_AFTER: Span = Span::ms(4_500);
/// The part of the started requests that orphans may be; beyond it they keep their places.
const MAX_ORPHAN_PART: f64 = 0.5;
/// A call counts as lost when nothing is reported so long after its timeout.
const CALL_LOST_AFTER: Span = Span::ms(1_000);

/// How many runs may count as orphaned.
pub(crate) fn max_orphans(max_started: usize) -> usize {
    ((max_started as f64 * MAX_ORPHAN_PART) as usize).max(1)
}

/// How long a request's call has taken, where its end can't be waited for any more.
pub(crate) fn lost_call_time(shared: &SharedState, id: RpcId) -> Option<Span> {
    let request = shared
        .get(id)
        .filter(|request| request.phase == Phase::Calling)?;
    let is_lost = shared.now > request.call_timeout_at + CALL_LOST_AFTER;
    is_lost.then(|| shared.now - request.phase_since)
}

/// Whether a request is answered while its run has no end.
fn has_no_end(request: &TrackedRequest) -> bool {
    request.answered
        && matches!(
            request.phase,
            Phase::Running | Phase::AwaitingCall | Phase::Orphaned | Phase::OrphanedAtCall
        )
}

/// Asks after a run without an end, where that is due.
pub(crate) fn query_run(shared: &mut SharedState, id: RpcId, out: &mut dyn Actions) {
    let now = shared.now;
    let Some(request) = shared.get_mut(id).filter(|request| has_no_end(request)) else {
        return;
    };
    if now - request.queried_at >= QUERY_PERIOD {
        request.queried_at = now;
        out.query_run(id);
    }
}

/// Counts a run without an end as orphaned, where it is time.
pub(crate) fn mark_orphaned(
    shared: &mut SharedState,
    id: RpcId,
    max_started: usize,
    out: &mut dyn Actions,
) {
    let Some(request) = shared.get(id).filter(|request| has_no_end(request)) else {
        return;
    };
    let (phase, since_answer) = (request.phase, shared.now - request.answered_at);
    let max_orphaned = max_orphans(max_started);
    let orphaned_as = |orphaned| OrphanedRun {
        since_answer,
        orphaned,
        max_orphaned,
    };
    if phase == Phase::AwaitingCall && since_answer >= ORPHANED_AT_CALL_AFTER {
        shared.move_to(id, Phase::OrphanedAtCall);
        let orphaned = shared.requests.count(Phase::OrphanedAtCall);
        out.log(Event::RunOrphanedAtCall(orphaned_as(orphaned)));
    } else if phase == Phase::Running
        && since_answer >= ORPHANED_AFTER
        && shared.requests.count(Phase::Orphaned) < max_orphaned
    {
        shared.move_to(id, Phase::Orphaned);
        let orphaned = shared.requests.count(Phase::Orphaned);
        out.log(Event::RunOrphaned(orphaned_as(orphaned)));
    }
}
