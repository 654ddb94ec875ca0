//! How far the memory is filled by what; reading needs the rest.
use crate::request_table::TrackedRequest;
use crate::shared_state::SharedState;

/// The part of the memory beyond which nothing more is queued.
const MAX_TO_QUEUE: f64 = 0.82;
/// The part of the memory beyond which nothing more is started and no idempotency key is added.
const MAX_TO_START: f64 = 0.9;
/// The part of the memory that idempotency keys may take.
const MAX_KEYS: f64 = 0.75;
/// The part of the memory beyond which nothing is started that may add to the runs orphaned at their calls.
const MAX_TO_PROBE_CALLS: f64 = 0.5;

/// Whether too much is booked to queue another request.
pub(crate) fn is_full_for_queueing(shared: &SharedState) -> bool {
    shared.requests.used_kb > shared.settings.memory_kb * MAX_TO_QUEUE
}

/// Whether a queued request may start: its run takes more memory than it does.
pub(crate) fn may_start(shared: &SharedState, request: &TrackedRequest) -> bool {
    let free_kb = shared.settings.memory_kb * MAX_TO_START - shared.requests.used_kb;
    request.queued_kb * (shared.requests.run_memory_factor - 1.0) <= free_kb
}

/// Whether there is no room for one more idempotency key beside `keys` others of `key_kb` kilobytes each.
pub(crate) fn is_full_for_keys(shared: &SharedState, keys: usize, key_kb: f64) -> bool {
    let memory_kb = shared.settings.memory_kb;
    shared.requests.used_kb + key_kb > memory_kb * MAX_TO_START
        || (keys + 1) as f64 * key_kb > memory_kb * MAX_KEYS
}

/// Whether there is room for a run that may end up orphaned at its call.
pub(crate) fn may_probe_calls(shared: &SharedState) -> bool {
    shared.requests.used_kb < shared.settings.memory_kb * MAX_TO_PROBE_CALLS
}
