//! The whole state of a server as one figure: for what plays many histories and wants to know which it has met before. Nothing here
//! is decided, and no decision reads it.
use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hasher};

use super::Server;

/// Hashes what is written to it.
struct Sink(DefaultHasher);

impl Write for Sink {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl Server {
    /// The same for servers that will act alike from now on; almost never the same for others.
    pub fn digest(&self) -> u64 {
        let mut sink = Sink(DefaultHasher::new());
        let (guard, cores, bulkhead) = (&self.guard, &self.cores, &self.bulkhead);
        // A sink takes all that it is given.
        let _ = write!(
            sink,
            "{:?} {:?}",
            self.site,
            (self.repeats.key_kb, self.repeats.kept)
        );
        let _ = write!(sink, "{:?}", (guard.grace, guard.noticed, guard.stop));
        let _ = write!(
            sink,
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
            sink,
            "{:?}",
            (bulkhead.permits, bulkhead.share, bulkhead.range)
        );
        let _ = write!(sink, "{:?}", (&bulkhead.hand, bulkhead.best));
        let _ = write!(
            sink,
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
            sink,
            "{:?}",
            (
                self.unread,
                self.drowned,
                self.worn,
                self.beat,
                self.reviewed
            )
        );
        sink.0.finish()
    }
}

#[cfg(test)]
#[path = "state/tests.rs"]
mod tests;
