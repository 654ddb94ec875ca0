//! What limits promise, as formulas; `docs/limits.md` has them in words.
//!
//! Tests and checkers go by these alone. They are stated apart from the rules that keep them, so that a fault in a
//! rule is found.
use crate::Millis;
use crate::election::{BALLOT_INTERVAL_MS, TERM_MS};
use crate::lease::{MAX_CLOCK_DRIFT, lengthen_by_drift};
use crate::limit::LimitKind;

/// RPCs that all servers together admit in a window of `window` milliseconds, at most, where no server is cut off
/// under an open policy.
///
/// Of a rate: `burst + rps * window`, the leader's clock running fast by [`MAX_CLOCK_DRIFT`]. Of RPCs in flight: at
/// any moment.
pub fn max_admitted(kind: LimitKind, window: Millis) -> f64 {
    match kind {
        LimitKind::Rate { rps, burst } => {
            f64::from(burst) + rps * (1.0 + MAX_CLOCK_DRIFT) * window as f64 / 1000.0
        }
        LimitKind::InFlight(max) => f64::from(max),
    }
}

/// RPCs beyond [`max_admitted`] that `servers` that are cut off under an open policy admit in `window` milliseconds,
/// at most.
///
/// `per_server` and `fleet_total` are the policy's figures for a limit of a rate, in RPCs a second; `members` the most
/// members that each server ever knew. One more may come at once at each server.
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

/// Milliseconds until units of a server that died, or was cut off, are held by others again, at most: its lease on
/// the leader's clock, and one round of requests.
pub fn max_reclaim_time(lease: Millis, round: Millis) -> Millis {
    lengthen_by_drift(lease) + round
}

/// Milliseconds until another server leads after the leader died or was cut off, at most: its term as the voters
/// count it, and three ballots.
///
/// Reported RPCs in flight are confirmed from then on, and more are granted after a lease; tokens of a rate come in
/// after [`crate::lease::TOKEN_LIFETIME_MS`].
pub fn max_failover_time() -> Millis {
    lengthen_by_drift(TERM_MS) + 3 * BALLOT_INTERVAL_MS
}
