//! What may be believed of what callers say, whichever protocol they speak.
use std::time::Duration;

use coralstep::Span;

use crate::decisions::MAX_UNREAD_SPAN;

/// The most that one RPC may be said to book, in KB.
pub const ROOM_MOST: f64 = 2_000.0;
/// The longest token: kept for as long as the window, so it is bounded more closely than a message.
pub const TOKEN_MOST: usize = 256;
/// The age of a request may be anything up to this; what is older, nobody waits for. A machine's pause is shorter.
/// What a token is remembered for goes by it.
pub const AGE_MOST: Span = MAX_UNREAD_SPAN;
/// How far ahead of ours the clock of a sender's stamps may be.
pub const AHEAD_MOST: Duration = Duration::from_millis(500);
/// The longest patience that a caller may state, in milliseconds: an hour.
pub const PATIENCE_MOST_MS: u64 = 3_600_000;

/// A figure from 0 to under `most`.
pub fn within(value: &str, most: f64) -> Option<f64> {
    value
        .parse()
        .ok()
        .filter(|figure: &f64| *figure >= 0.0 && *figure < most)
}

#[cfg(test)]
mod tests;
