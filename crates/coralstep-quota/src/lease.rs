//! How long granted units are valid, on two clocks that are never compared.
//!
//! The client counts a lease from when it sent its request, on its own clock and shortened by the drift; the leader
//! counts it from when it granted, lengthened. So a unit is never free at the leader before the client has stopped
//! using it.
use crate::Millis;
use crate::limit::LimitKind;

/// Two servers' monotonic clocks run apart by less than this part.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;
/// Tokens of a rate are worth nothing this long after they were requested, in milliseconds. A new leader grants none
/// for as long.
pub const TOKEN_LIFETIME_MS: Millis = 2_000;

/// How long a span of this server's may last on the clock of another, in milliseconds: the longest.
pub fn lengthen_by_drift(span: Millis) -> Millis {
    (span as f64 * (1.0 + 2.0 * MAX_CLOCK_DRIFT)).ceil() as Millis + 1
}

/// How much of a span that another server counts is safe to use on this server's clock, in milliseconds: the shortest.
pub fn shorten_by_drift(span: Millis) -> Millis {
    (span as f64 * (1.0 - MAX_CLOCK_DRIFT)) as Millis
}

/// Lease of a unit: tokens have their own lifetime, RPCs in flight the one that operators set.
pub(crate) fn lease_of(kind: LimitKind, in_flight_lease: Millis) -> Millis {
    match kind {
        LimitKind::Rate { .. } => TOKEN_LIFETIME_MS,
        LimitKind::InFlight(_) => in_flight_lease,
    }
}
