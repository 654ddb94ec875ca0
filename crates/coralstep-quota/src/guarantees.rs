//! Guarantees of the limits as formulas; `docs/limits.md` describes them.
//!
//! Tests and model checkers rely on these formulas alone. They are stated independently of the rules that implement
//! the limits, so that a bug in a rule is detected.
use crate::Millis;
use crate::election::{BALLOT_INTERVAL_MS, TERM_MS};
use crate::lease::{MAX_CLOCK_DRIFT, lengthen_by_drift};
use crate::limit::LimitKind;

/// Returns the maximum number of RPCs that all servers together admit in `window` milliseconds while no server is cut
/// off under an open policy.
///
/// For a rate limit this is `burst + rps * window`, as if the leader's clock ran fast by [`MAX_CLOCK_DRIFT`]. For a
/// limit on RPCs in flight it is the maximum at any moment.
pub fn max_admitted(kind: LimitKind, window: Millis) -> f64 {
    match kind {
        LimitKind::Rate { rps, burst } => {
            f64::from(burst) + rps * (1.0 + MAX_CLOCK_DRIFT) * window as f64 / 1000.0
        }
        LimitKind::InFlight(max) => f64::from(max),
    }
}

/// Returns the maximum number of RPCs beyond [`max_admitted`] that `servers` admit in `window` milliseconds while they
/// are cut off under an open policy.
///
/// `per_server` and `fleet_total` are the policy's values for a rate limit, in RPCs per second; `members` is the
/// largest number of members that each server has known. Each server may admit one more RPC at once, its burst.
pub fn max_excess_while_cut_off(
    servers: usize,
    per_server: f64,
    fleet_total: f64,
    members: usize,
    window: Millis,
) -> f64 {
    let allowance = per_server.min(fleet_total / members.max(1) as f64);
    servers as f64 * (allowance * window as f64 / 1000.0 + 1.0)
}

/// Returns the maximum time until other servers hold the units of a server that crashed or was cut off, in
/// milliseconds: its lease on the leader's clock, plus one round of requests.
pub fn max_reclaim_time(lease: Millis, round: Millis) -> Millis {
    lengthen_by_drift(lease) + round
}

/// Returns the maximum time until another server leads after the leader crashed or was cut off, in milliseconds: its
/// term on the voters' clocks, plus three ballots.
///
/// The new leader confirms the reported units for RPCs in flight at once and grants further ones after a lease. It
/// grants tokens after [`crate::lease::TOKEN_LIFETIME_MS`].
pub fn max_failover_time() -> Millis {
    lengthen_by_drift(TERM_MS) + 3 * BALLOT_INTERVAL_MS
}
