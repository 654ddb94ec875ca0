//! Retry-After values of rejected requests.
use crate::circuit_breaker::CircuitBreaker;
use crate::request_table::TrackedRequest;
use crate::shared_state::SharedState;
use crate::time::Span;

/// Default Retry-After; long enough for a few runs to end.
pub(crate) const DEFAULT_RETRY_AFTER: Span = Span::ms(250);
/// Retry-After while the server drains or is stalled, and after a timed-out wait for a permit.
pub(crate) const UNAVAILABLE_RETRY_AFTER: Span = Span::ms(5_000);

/// Returns the Retry-After of a request that the degradation level rejects: at least the time until the
/// level can change.
pub(crate) fn for_degradation(shared: &SharedState) -> Span {
    shared
        .degradation
        .current()
        .retry_after
        .max(DEFAULT_RETRY_AFTER)
}

/// Returns the Retry-After of a request that expired in the queue. If it must call the dependency, that is
/// at least the remaining cooldown of the circuit breaker.
pub(crate) fn for_expired(
    shared: &SharedState,
    breaker: &CircuitBreaker,
    request: &TrackedRequest,
) -> Span {
    let cooldown = breaker
        .cooldown_left(shared.now)
        .filter(|left| shared.must_call(request) && *left > DEFAULT_RETRY_AFTER);
    cooldown.unwrap_or(DEFAULT_RETRY_AFTER)
}
