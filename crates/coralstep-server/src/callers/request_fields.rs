//! Limits on request fields, common to all protocols.
use std::time::Duration;

use coralstep::Span;

use crate::decisions::MAX_READ_DELAY;

/// Exclusive upper bound of the memory that one request may reserve, in KB.
pub const MAX_MEMORY_KB: f64 = 2_000.0;
/// Maximum length of an idempotency key in bytes. A key is stored for the whole retry window.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// Maximum age of a request on arrival. The retry window of an idempotency key depends on it.
pub const MAX_AGE: Span = MAX_READ_DELAY;
/// Maximum time by which a sender's clock may be ahead of the server's.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);
/// Maximum timeout that a caller may state, in milliseconds: one hour.
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
