//! What is promised, as formulas; `docs/limits.md` has them in words. Tests and the checkers of plays reckon by these alone.
use crate::Ms;
use crate::terms::Kind;

/// Two servers' monotonic clocks run apart by less than this part.
pub const DRIFT: f64 = 0.02;
/// Tokens of a rate are worth nothing so long after they were asked for; a new keeper gives none for as long.
pub const TOKENS: Ms = 2_000;
/// A keeper's tenure lapses so long after the votes for it were asked for.
pub const TENURE: Ms = 2_000;
/// From one ask for votes to the next, at first and at the most (less a chance part).
pub const ELECTION: Ms = 600;

/// A span of this server's, as the giver's clock may see it at the most.
pub fn stretched(span: Ms) -> Ms {
    (span as f64 * (1.0 + 2.0 * DRIFT)).ceil() as Ms + 1
}

/// A span that another server reckons, as this server's clock must see it at the least.
pub fn shrunk(span: Ms) -> Ms {
    (span as f64 * (1.0 - DRIFT)) as Ms
}

/// The most that all servers together admit in a window of `window`, where none is cut off that is `open`: strict, at any moment.
/// `burst + rps * window`, the clock of the keeper running fast by [`DRIFT`].
pub fn most_in(kind: Kind, window: Ms) -> f64 {
    match kind {
        Kind::Rate { rps, burst } => {
            f64::from(burst) + rps * (1.0 + DRIFT) * window as f64 / 1000.0
        }
        // At any moment.
        Kind::InHand(most) => f64::from(most),
    }
}

/// What servers that are cut off and `open` may admit beyond that: `each` a second (or in hand) and server, and one at once; `most`
/// divided by the members that each knew before.
pub fn open_over(cut_off: usize, each: f64, most: f64, members: usize, window: Ms) -> f64 {
    let floor = each.min(most / members.max(1) as f64);
    cut_off as f64 * (floor * window as f64 / 1000.0 + 1.0)
}

/// Until units of a server that died, or was cut off, are in other hands again: its lease on the keeper's clock, and one round.
pub fn free_after_crash(lease: Ms, round: Ms) -> Ms {
    stretched(lease) + round
}

/// Until somebody gives again after the keeper died or was cut off: its tenure as the voters reckon it, and three rounds of votes. What was
/// reported of RPCs in hand is confirmed from then on, more is given after a lease; tokens of a rate come in after [`TOKENS`].
pub fn keeper_after_crash() -> Ms {
    stretched(TENURE) + 3 * ELECTION
}
