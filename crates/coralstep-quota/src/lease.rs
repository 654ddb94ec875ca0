//! Leases of granted units, measured on the clocks of client and leader without comparing them.
//!
//! The client measures a lease from the time at which it sent its request and shortens it by the maximum clock drift;
//! the leader measures it from the time of the grant and lengthens it. So the leader never grants a unit again before
//! the client has stopped using it.
use crate::Millis;
use crate::limit::LimitKind;

/// Maximum relative drift between the monotonic clocks of two servers.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;
/// Lifetime of a rate limit's tokens, measured from their request, in milliseconds. A new leader grants no tokens for
/// this long, as those of the previous leader may still be in use.
pub const TOKEN_LIFETIME_MS: Millis = 2_000;

/// Returns the longest time that another server's clock may show for `span`, in milliseconds.
pub fn lengthen_by_drift(span: Millis) -> Millis {
    (span as f64 * (1.0 + 2.0 * MAX_CLOCK_DRIFT)).ceil() as Millis + 1
}

/// Returns the shortest time that this server's clock may show for another server's `span`, in milliseconds.
pub fn shorten_by_drift(span: Millis) -> Millis {
    (span as f64 * (1.0 - MAX_CLOCK_DRIFT)) as Millis
}

/// Returns the lease of a unit: [`TOKEN_LIFETIME_MS`] for tokens, the configured lease for RPCs in flight.
pub(crate) fn lease_of(kind: LimitKind, in_flight_lease: Millis) -> Millis {
    match kind {
        LimitKind::Rate { .. } => TOKEN_LIFETIME_MS,
        LimitKind::InFlight(_) => in_flight_lease,
    }
}
