//! Calls and runs that have no end, or whose end is never told. Guards against places taken for good.
//! What can't be proven ended is asked after, then counted as lost, under a bound: it keeps its memory, its
//! token and its part of the crowd, and its late end only takes it off the books. One that stands at a call
//! which is over is stranded: nobody feeds it any more, so it can't come back to the cores and has no part.
use crate::actions::*;
use crate::constants::*;
use crate::request::*;
use crate::site::{Place, Site};
use crate::time::*;

/// How many runs may be counted as lost.
pub(crate) fn most(ceiling: usize) -> usize {
    ((ceiling as f64 * LOST_MOST) as usize).max(1)
}

/// How long the call of `id` has taken, where its end can't be waited for any more.
pub(crate) fn call(site: &Site, id: RpcId) -> Option<Span> {
    let rpc = site.get(id).filter(|rpc| rpc.place == Place::Calling)?;
    (site.now > rpc.patience + CALL_LOST).then(|| site.now - rpc.since)
}

/// Asks after the run of `id` where that is due, and counts it as lost or stranded where it is time.
pub(crate) fn run(site: &mut Site, id: RpcId, ceiling: usize, out: &mut dyn Actions) {
    let (now, lost) = (site.now, site.count(Place::Lost));
    let Some(rpc) = site.get_mut(id).filter(|rpc| rpc.answered) else {
        return;
    };
    let (place, late) = (rpc.place, now - rpc.answered_at);
    if !matches!(
        place,
        Place::Running | Place::Waiting | Place::Lost | Place::Stranded
    ) {
        return;
    }
    if now - rpc.asked_at >= ASK_AFTER {
        rpc.asked_at = now;
        out.query_run(id);
    }
    let most = most(ceiling);
    if place == Place::Waiting && late >= STRANDED_AFTER {
        site.put(id, Place::Stranded);
        let count = site.count(Place::Stranded);
        out.log(format_args!(
            "a run is stranded: no end {} ms after its answer, {count} of {most}",
            late.0 / 10
        ));
    } else if place == Place::Running && late >= LOST_AFTER && lost < most {
        site.put(id, Place::Lost);
        let lost = lost + 1;
        out.log(format_args!(
            "a run is lost: no end {} ms after its answer, {lost} of {most}",
            late.0 / 10
        ));
    }
}
