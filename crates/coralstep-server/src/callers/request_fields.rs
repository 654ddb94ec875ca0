//! Bounds on the fields of a request, whichever protocol carries them.
use std::time::Duration;

use coralstep::Span;

use crate::decisions::MAX_READ_DELAY;

/// The most memory that one request may reserve, in KB.
pub const MAX_MEMORY_KB: f64 = 2_000.0;
/// The longest idempotency key, in bytes: a key is stored for the whole retry window.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// The greatest age of a request on arrival; how long an idempotency key is stored depends on it.
pub const MAX_AGE: Span = MAX_READ_DELAY;
/// How far a sender's clock may be ahead of ours.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);
/// The longest timeout that a caller may state, in milliseconds: an hour.
pub const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Parses a number from 0 up to, but not including, `limit`.
pub fn parse_below(value: &str, limit: f64) -> Option<f64> {
    value
        .parse()
        .ok()
        .filter(|number: &f64| *number >= 0.0 && *number < limit)
}

#[cfg(test)]
mod tests;
