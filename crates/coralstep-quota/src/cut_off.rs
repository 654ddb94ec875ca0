//! What a server admits of a limit that no leader grants it anything of.
use crate::Millis;
use crate::config::CutOff;
use crate::lease::TOKEN_LIFETIME_MS;

/// A server that was granted nothing for longer than this counts as cut off, in milliseconds.
pub const CUT_OFF_AFTER_MS: Millis = TOKEN_LIFETIME_MS + 1_000;
/// RPCs of a rate that a server that is cut off admits at once. Guards against the allowance of all servers coming in
/// one moment.
const MAX_TOKENS: f64 = 1.0;

/// RPCs of a limit that one server may admit while it is cut off, beyond the units that it holds: RPCs a second of a
/// rate, in all its RPCs in flight otherwise.
///
/// Any server, cut off or not, admits by the units that it holds until their lease ends. After that it admits:
///
/// - under [`CutOff::Strict`] nothing, so the limit holds always;
/// - under [`CutOff::Open`], once no leader has granted it anything for [`CUT_OFF_AFTER_MS`] or ever,
///   `per_server`, or `fleet_total` divided by `members` if that is less. `members` are the most members that this
///   server ever knew, itself among them.
///
/// Of a rate the allowance comes in evenly and at most one RPC is admitted at once (`CutOffBucket`). What all servers
/// together may admit is [`crate::guarantees::max_excess_while_cut_off`].
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

/// Tokens of a rate that a server which is cut off has of its allowance.
#[derive(Clone, Debug)]
pub(crate) struct CutOffBucket {
    tokens: f64,
    refilled: Millis,
}

impl CutOffBucket {
    /// A full bucket.
    pub(crate) fn new(now: Millis) -> CutOffBucket {
        CutOffBucket {
            tokens: MAX_TOKENS,
            refilled: now,
        }
    }

    /// Refills by `allowance` RPCs a second.
    pub(crate) fn refill(&mut self, now: Millis, allowance: f64) {
        let elapsed = now.saturating_sub(self.refilled) as f64;
        self.tokens = (self.tokens + allowance * elapsed / 1000.0).min(MAX_TOKENS);
        self.refilled = now;
    }

    /// Whether an RPC may be admitted.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of an RPC that is admitted.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
