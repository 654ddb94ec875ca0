//! Memory limits for queueing, starting and idempotency keys; reading requests needs the remainder.
use crate::request_table::TrackedRequest;
use crate::shared_state::SharedState;

/// Fraction of the memory beyond which no request is queued.
const MAX_FRACTION_TO_QUEUE: f64 = 0.82;
/// Fraction of the memory beyond which no request is started and no idempotency key is added.
const MAX_FRACTION_TO_START: f64 = 0.9;
/// Maximum fraction of the memory for idempotency keys.
const MAX_KEY_FRACTION: f64 = 0.75;
/// Fraction of the memory beyond which no request is started that may be orphaned at its call.
const MAX_FRACTION_TO_RISK_ORPHAN: f64 = 0.5;

/// Returns whether too much memory is reserved to queue another request.
pub(crate) fn is_full_for_queueing(shared: &SharedState) -> bool {
    shared.requests.used_kb > shared.settings.memory_kb * MAX_FRACTION_TO_QUEUE
}

/// Returns whether the additional memory of a queued request's run is available.
pub(crate) fn may_start(shared: &SharedState, request: &TrackedRequest) -> bool {
    let free_kb = shared.settings.memory_kb * MAX_FRACTION_TO_START - shared.requests.used_kb;
    request.queued_kb * (shared.requests.run_memory_factor - 1.0) <= free_kb
}

/// Returns whether there is no room for another idempotency key in addition to `keys` keys of `key_kb`
/// kilobytes each.
pub(crate) fn is_full_for_keys(shared: &SharedState, keys: usize, key_kb: f64) -> bool {
    let memory_kb = shared.settings.memory_kb;
    shared.requests.used_kb + key_kb > memory_kb * MAX_FRACTION_TO_START
        || (keys + 1) as f64 * key_kb > memory_kb * MAX_KEY_FRACTION
}

/// Returns whether there is room for a run that may be orphaned at its call.
pub(crate) fn may_risk_orphan(shared: &SharedState) -> bool {
    shared.requests.used_kb < shared.settings.memory_kb * MAX_FRACTION_TO_RISK_ORPHAN
}
