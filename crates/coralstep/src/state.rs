//! The whole state of a server as one figure: for what plays many histories and wants to know which it has met before. Nothing here
//! is decided, and no decision reads it.
use std::fmt::Write;
use std::hash::{DefaultHasher, Hasher};

use super::Scheduler;

impl Scheduler {
    /// The same for servers that will act alike from now on; almost never the same for others.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        hasher.write(self.state_text().as_bytes());
        hasher.finish()
    }

    /// The whole state, for diagnosis and for tests; its form may change with any version.
    pub fn state_text(&self) -> String {
        let mut text = String::new();
        let (guard, cores, bulkhead) = (&self.guard, &self.cores, &self.bulkhead);
        // Writing to a String can't fail.
        let _ = write!(
            text,
            "{:?} {:?}",
            self.site,
            (self.repeats.key_kb, self.repeats.kept)
        );
        let _ = write!(text, "{:?}", (guard.grace, guard.noticed, guard.stop));
        let _ = write!(
            text,
            "{:?}",
            (
                cores.limit,
                cores.crowd,
                cores.cold_until,
                cores.lack,
                cores.moved,
                cores.stalled
            )
        );
        let _ = write!(
            text,
            "{:?}",
            (bulkhead.permits, bulkhead.share, bulkhead.range)
        );
        let _ = write!(text, "{:?}", (&bulkhead.hand, bulkhead.best));
        let _ = write!(
            text,
            "{:?}",
            (
                &self.breaker,
                self.advert,
                self.callers,
                self.shed,
                self.idle,
                self.max_idle
            )
        );
        let _ = write!(
            text,
            "{:?}",
            (
                self.unread,
                self.drowned,
                self.worn,
                self.beat,
                self.reviewed
            )
        );
        text
    }
}

#[cfg(test)]
#[path = "state/tests.rs"]
mod tests;
