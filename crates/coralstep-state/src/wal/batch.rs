//! Entries that wait for a commit, so that many entries share one sync.
use super::entry::LogEntry;
use super::{MAX_BATCH_RECORDS, MAX_COMMIT_DELAY_MS};
use crate::framing;

#[derive(Debug, Default)]
pub(super) struct Batch {
    framed: Vec<u8>,
    records: usize,
    first_at_ms: u64,
}

impl Batch {
    pub(super) fn push(&mut self, entry: &LogEntry, now_ms: u64) {
        let Ok(payload) = entry.encode() else {
            return;
        };
        if self.records == 0 {
            self.first_at_ms = now_ms;
        }
        self.records += 1;
        framing::append_record(&mut self.framed, &payload);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.records == 0
    }

    /// Returns when the batch has to be committed: at once if it is full, otherwise after
    /// [`MAX_COMMIT_DELAY_MS`].
    pub(super) fn commit_due_ms(&self) -> Option<u64> {
        match self.records {
            0 => None,
            records if records >= MAX_BATCH_RECORDS => Some(self.first_at_ms),
            _ => Some(self.first_at_ms + MAX_COMMIT_DELAY_MS),
        }
    }

    /// Empties the batch and returns its framed records.
    pub(super) fn take(&mut self) -> Vec<u8> {
        std::mem::take(self).framed
    }
}
