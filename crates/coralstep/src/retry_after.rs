//! How long the caller of a rejected request is told to stay away (Retry-After).
use crate::circuit_breaker::CircuitBreaker;
use crate::request_table::TrackedRequest;
use crate::shared_state::SharedState;
use crate::time::Span;

/// Long enough for a few runs to end.
pub(crate) const DEFAULT_RETRY_AFTER: Span = Span::ms(250);
/// Where the server stops or stands still, or a call waited for a permit in vain.
pub(crate) const UNAVAILABLE_RETRY_AFTER: Span = Span::ms(5_000);

/// Of a request that the degradation level rejects: until the level may change, where that is known.
pub(crate) fn of_degradation(shared: &SharedState) -> Span {
    shared
        .degradation
        .current()
        .retry_after
        .max(DEFAULT_RETRY_AFTER)
}

/// Of a request that waited too long: one that must call is told when the breaker may let it through.
pub(crate) fn of_expired(
    shared: &SharedState,
    breaker: &CircuitBreaker,
    request: &TrackedRequest,
) -> Span {
    let cooldown = breaker
        .cooldown_left(shared.now)
        .filter(|left| shared.must_call(request) && *left > DEFAULT_RETRY_AFTER);
    cooldown.unwrap_or(DEFAULT_RETRY_AFTER)
}
