//! What a server admits while it is cut off: no leader grants it units of a limit.
use crate::Millis;
use crate::config::CutOff;
use crate::lease::TOKEN_LIFETIME_MS;

/// A server is cut off if the leader has not answered for longer than this, in milliseconds.
pub const CUT_OFF_AFTER_MS: Millis = TOKEN_LIFETIME_MS + 1_000;
/// Maximum burst of a server that is cut off. Guards against all such servers admitting a burst at the same time.
const BUCKET_CAPACITY: f64 = 1.0;

/// Returns what a server that is cut off may admit beyond the units that it holds: RPCs per second for a rate limit,
/// the total number of RPCs in flight otherwise.
///
/// Every server may use the units that it holds until their lease ends. After that it admits:
///
/// - under [`CutOff::Strict`]: nothing, so the limit always holds;
/// - under [`CutOff::Open`], if no leader has answered for [`CUT_OFF_AFTER_MS`] or ever: the lower of `per_server`
///   and `fleet_total` divided by `members`. `members` is the largest number of members that this server has known,
///   including itself.
///
/// The allowance of a rate limit is refilled evenly and admits at most one RPC at a time (`CutOffBucket`).
/// [`crate::guarantees::max_excess_while_cut_off`] bounds what all servers together admit.
pub fn cut_off_allowance(
    policy: CutOff,
    last_grant: Option<Millis>,
    now: Millis,
    members: usize,
) -> f64 {
    let CutOff::Open {
        per_server,
        fleet_total,
    } = policy
    else {
        return 0.0;
    };
    let is_cut_off =
        last_grant.is_none_or(|granted| now.saturating_sub(granted) > CUT_OFF_AFTER_MS);
    if !is_cut_off {
        return 0.0;
    }
    per_server.min(fleet_total / members.max(1) as f64)
}

/// Token bucket for the allowance of a server that is cut off.
#[derive(Clone, Debug)]
pub(crate) struct CutOffBucket {
    tokens: f64,
    refilled: Millis,
}

impl CutOffBucket {
    /// Creates a full bucket.
    pub(crate) fn new(now: Millis) -> CutOffBucket {
        CutOffBucket {
            tokens: BUCKET_CAPACITY,
            refilled: now,
        }
    }

    /// Refills the bucket at `allowance` RPCs per second.
    pub(crate) fn refill(&mut self, now: Millis, allowance: f64) {
        let elapsed = now.saturating_sub(self.refilled) as f64;
        self.tokens = (self.tokens + allowance * elapsed / 1000.0).min(BUCKET_CAPACITY);
        self.refilled = now;
    }

    /// Returns whether an RPC may be admitted.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of an admitted RPC.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
