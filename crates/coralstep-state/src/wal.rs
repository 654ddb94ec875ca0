//! A write-ahead log of idempotency keys.
//!
//! A run under a key starts only once that is durable, and its outcome is recorded with a result of
//! bounded length. After a restart a key never ran, ended with a known outcome, or nobody knows; in
//! the last case it never runs again.
//!
//! Entries are committed in batches: [`WriteAheadLog::commit_due_ms`] says when, so that no run
//! waits for longer than [`MAX_COMMIT_DELAY_MS`]. They go to segments, each of which is removed
//! once all its keys have expired. A storage that fails or is full leaves the keys unprotected,
//! which is reported as a [`WalEvent`]; it never blocks.
use std::collections::VecDeque;

use crate::framing;
use crate::storage::{Storage, StorageError};

mod batch;
mod entry;
mod index;
mod segment;

use batch::Batch;
use entry::LogEntry;
use index::KeyIndex;
use segment::{Segment, SegmentContents, SegmentFile, SegmentStore};

/// The format version of segments.
pub const FORMAT_VERSION: u16 = 1;
/// A run waits this long for its commit, in ms.
pub const MAX_COMMIT_DELAY_MS: u64 = 5;
/// A commit is due at once when this many records wait for it.
pub const MAX_BATCH_RECORDS: usize = 64;
/// A new segment begins when the last one would be longer, in bytes.
pub const MAX_SEGMENT_BYTES: usize = 4 << 20;
/// Longest result that is kept, in bytes; a run with a longer one counts as ended without a known
/// result.
pub const MAX_RESULT_BYTES: usize = 4 << 10;
/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Longest segment file that is read, in bytes.
const MAX_READ_BYTES: usize = MAX_SEGMENT_BYTES * 2;
/// After a failed write the storage is left alone for this long, in ms.
const RETRY_DELAY_MS: u64 = 5_000;

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// It succeeded with this result.
    Succeeded(Vec<u8>),
    /// It failed, and may have had an effect.
    Failed,
    /// It provably never started.
    NeverStarted,
}

/// What is to be done with a request whose idempotency key may have been seen before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplayDecision {
    /// The key was not seen: the request may run.
    NotSeen,
    /// It ran: answer with this result.
    Replay(Vec<u8>),
    /// It ran without a known result, or nobody knows whether it did: answer with an error.
    Aborted,
    /// Recovery is still reading: ask again later.
    Wait,
}

/// Why the log was not written or read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WalError {
    /// All segments together have reached their bound.
    #[error("the write-ahead log has reached its bound of {max_bytes} bytes")]
    Full {
        /// The bound that was given to [`WriteAheadLog::open`], in bytes.
        max_bytes: usize,
    },
    /// The storage failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// What an operator should know of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WalEvent {
    /// Keys are no longer protected.
    Unprotected {
        /// The failure that led to it.
        error: WalError,
    },
    /// Keys are protected again.
    Protected,
    /// A segment has corrupt bytes, and what they held is lost.
    Corrupt {
        /// Name of the segment's file.
        file: String,
        /// How many bytes are corrupt.
        corrupt_bytes: usize,
    },
    /// A segment of another format version is left alone.
    UnsupportedVersion {
        /// Name of the segment's file.
        file: String,
        /// The version that it states.
        version: u16,
    },
}

/// How much a log holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WalSize {
    /// Keys that are known.
    pub keys: usize,
    /// Length of all segments together, in bytes.
    pub bytes: usize,
}

/// The log over a storage. All times are in ms of one clock, passed by the caller.
#[derive(Debug)]
pub struct WriteAheadLog<S> {
    segments: SegmentStore<S>,
    /// Segments that recovery has yet to read.
    unread: VecDeque<SegmentFile>,
    index: KeyIndex,
    batch: Batch,
    /// When the last key expires that was started since the last successful write, in ms.
    unwritten_expires_at_ms: u64,
    /// While keys are unprotected: when the storage is tried again, in ms.
    retry_at_ms: Option<u64>,
    events: Vec<WalEvent>,
}

impl<S: Storage> WriteAheadLog<S> {
    /// Opens the log of a storage, whose segments may have `max_bytes` bytes together.
    ///
    /// Call [`WriteAheadLog::recover`] until it returns `false` to read what is there.
    ///
    /// # Errors
    ///
    /// A [`StorageError`] if the storage cannot be listed.
    pub fn open(storage: S, max_bytes: usize) -> Result<WriteAheadLog<S>, StorageError> {
        let unread = segment::list_files(&storage)?;
        Ok(WriteAheadLog {
            segments: SegmentStore::new(storage, max_bytes),
            unread: unread.into(),
            index: KeyIndex::default(),
            batch: Batch::default(),
            unwritten_expires_at_ms: 0,
            retry_at_ms: None,
            events: Vec::new(),
        })
    }

    /// Reads the next segment, one a call so that serving goes on meanwhile; returns whether there
    /// are more.
    pub fn recover(&mut self, now_ms: u64) -> bool {
        let Some(file) = self.unread.pop_front() else {
            return false;
        };
        match self.segments.storage.read(&file.name, MAX_READ_BYTES) {
            Ok(bytes) => {
                self.replay_segment(file, &bytes, now_ms);
                if self.is_recovered() {
                    self.maintain(now_ms);
                }
            }
            // Guards against a second run of a key whose entry cannot be read: nothing is promised
            // any more.
            Err(error) => self.lose_protection(error.into(), now_ms),
        }
        !self.is_recovered()
    }

    /// Whether all segments were read.
    pub fn is_recovered(&self) -> bool {
        self.unread.is_empty()
    }

    /// Decides what a request under this key is to be told.
    pub fn replay_decision(&self, key: &[u8], now_ms: u64) -> ReplayDecision {
        match self.index.decide(key, now_ms) {
            Some(decision) => decision,
            None if self.is_recovered() => ReplayDecision::NotSeen,
            None => ReplayDecision::Wait,
        }
    }

    /// Records that a run is about to start; it may once the next commit has succeeded.
    ///
    /// Returns `false` and records nothing if keys are unprotected, the key is too long or recovery
    /// still reads.
    pub fn record_start(&mut self, key: &[u8], expires_at_ms: u64, now_ms: u64) -> bool {
        if !self.is_protected() || key.len() > MAX_KEY_BYTES || !self.is_recovered() {
            return false;
        }
        let entry = LogEntry::Started {
            key: key.to_vec(),
            expires_at_ms,
        };
        self.batch.push(&entry, now_ms);
        self.unwritten_expires_at_ms = self.unwritten_expires_at_ms.max(expires_at_ms);
        self.index.insert_started(key.to_vec(), expires_at_ms);
        true
    }

    /// Records how a run ended; nothing happens if the key is not known.
    pub fn record_outcome(&mut self, key: &[u8], outcome: RecordedOutcome, now_ms: u64) {
        if !self.index.contains(key) {
            return;
        }
        let entry = LogEntry::of_outcome(key, outcome);
        if self.is_protected() {
            self.batch.push(&entry, now_ms);
        }
        self.index.apply(entry, now_ms);
    }

    /// When the next commit is due, in ms; `None` if there is nothing to commit.
    pub fn commit_due_ms(&self) -> Option<u64> {
        self.batch.commit_due_ms()
    }

    /// Makes all recorded entries durable.
    ///
    /// # Errors
    ///
    /// A [`WalError`] if the entries are not durable: runs that wait for this commit must not
    /// start. Keys are unprotected from then on.
    pub fn commit(&mut self, now_ms: u64) -> Result<(), WalError> {
        if self.batch.is_empty() {
            return Ok(());
        }
        let records = self.batch.take();
        let written = self.write(&records);
        if let Err(error) = &written {
            self.lose_protection(error.clone(), now_ms);
        }
        written
    }

    /// Removes what has expired, and tries the storage again some time after a failure. To be
    /// called regularly.
    pub fn maintain(&mut self, now_ms: u64) {
        self.index.remove_expired(now_ms);
        if self.is_recovered() {
            self.segments.remove_expired(now_ms);
        }
        if self
            .retry_at_ms
            .is_some_and(|retry_at_ms| now_ms >= retry_at_ms)
        {
            self.probe_storage(now_ms);
        }
    }

    /// Whether runs may start under keys of this log.
    pub fn is_protected(&self) -> bool {
        self.retry_at_ms.is_none()
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<WalEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns how much the log holds.
    pub fn size(&self) -> WalSize {
        WalSize {
            keys: self.index.len(),
            bytes: self.segments.total_bytes(),
        }
    }

    /// Closes the log without a commit and returns its storage.
    pub fn into_storage(self) -> S {
        self.segments.storage
    }

    /// Returns the storage, for tests that make it fail.
    pub fn storage_mut(&mut self) -> &mut S {
        &mut self.segments.storage
    }

    fn replay_segment(&mut self, file: SegmentFile, bytes: &[u8], now_ms: u64) {
        let mut segment = Segment {
            number: file.number,
            bytes: bytes.len(),
            expires_at_ms: 0,
        };
        match segment::parse_contents(bytes) {
            SegmentContents::Records(scanned) => {
                // The end of the last segment may be torn by a power cut; the runs recorded there
                // had not started.
                if scanned.corrupt_bytes > 0 && !self.is_recovered() {
                    self.report_corrupt(file.name, scanned.corrupt_bytes);
                }
                segment.expires_at_ms = self.replay_entries(&scanned.payloads, now_ms);
            }
            SegmentContents::UnsupportedVersion(version) => {
                self.events.push(WalEvent::UnsupportedVersion {
                    file: file.name,
                    version,
                });
                return;
            }
            SegmentContents::Torn => {}
            SegmentContents::Corrupt => self.report_corrupt(file.name, bytes.len()),
        }
        self.segments.push(segment);
    }

    /// Applies entries in their order and returns when the last of them expires, in ms.
    fn replay_entries(&mut self, payloads: &[&[u8]], now_ms: u64) -> u64 {
        let mut expires_at_ms = 0;
        for payload in payloads {
            if let Ok(entry) = LogEntry::decode(payload) {
                expires_at_ms = expires_at_ms.max(self.index.apply(entry, now_ms));
            }
        }
        expires_at_ms
    }

    fn report_corrupt(&mut self, file: String, corrupt_bytes: usize) {
        self.events.push(WalEvent::Corrupt {
            file,
            corrupt_bytes,
        });
    }

    fn write(&mut self, records: &[u8]) -> Result<(), WalError> {
        let force_new_segment = !self.is_protected();
        self.segments
            .append(records, self.unwritten_expires_at_ms, force_new_segment)?;
        self.unwritten_expires_at_ms = 0;
        Ok(())
    }

    fn lose_protection(&mut self, error: WalError, now_ms: u64) {
        if self.is_protected() {
            self.events.push(WalEvent::Unprotected { error });
        }
        self.retry_at_ms = Some(now_ms + RETRY_DELAY_MS);
    }

    fn probe_storage(&mut self, now_ms: u64) {
        let mut record = Vec::new();
        let payload = LogEntry::probe().encode().unwrap_or_default();
        framing::append_record(&mut record, &payload);
        match self.write(&record) {
            Ok(()) => {
                self.retry_at_ms = None;
                self.events.push(WalEvent::Protected);
            }
            Err(_) => self.retry_at_ms = Some(now_ms + RETRY_DELAY_MS),
        }
    }
}

#[cfg(test)]
mod tests;
