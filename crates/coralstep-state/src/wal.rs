//! A write-ahead log of idempotency keys.
//!
//! A run starts only after its key is durable, and its outcome is recorded with a result of bounded
//! length. After a restart, a key has either never run, ended with a known outcome, or has an
//! unknown outcome; in the last case it is never run again.
//!
//! Entries are committed in batches. [`WriteAheadLog::commit_due_ms`] returns when the next commit is
//! due, so that no run waits for longer than [`MAX_COMMIT_DELAY_MS`]. Entries are written to
//! segments, each of which is removed when all its keys have expired. If the storage fails or is
//! full, keys are no longer protected against a second run. This is reported as a [`WalEvent`] and
//! never blocks.
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

/// Format version of segments.
pub const FORMAT_VERSION: u16 = 1;
/// Maximum time that a run waits for its commit, in ms.
pub const MAX_COMMIT_DELAY_MS: u64 = 5;
/// Number of records in a batch from which its commit is due at once.
pub const MAX_BATCH_RECORDS: usize = 64;
/// Maximum length of a segment, in bytes; further records go to a new segment.
pub const MAX_SEGMENT_BYTES: usize = 4 << 20;
/// Maximum length of a recorded result, in bytes; a run with a longer one is recorded without its
/// result.
pub const MAX_RESULT_BYTES: usize = 4 << 10;
/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Maximum length of a segment file that is read, in bytes.
const MAX_READ_BYTES: usize = MAX_SEGMENT_BYTES * 2;
/// Time from a failed write until the next attempt, in ms.
const RETRY_DELAY_MS: u64 = 5_000;

/// Outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// It succeeded with this result.
    Succeeded(Vec<u8>),
    /// It failed and may have had an effect.
    Failed,
    /// It certainly never started.
    NeverStarted,
}

/// How to handle a request whose idempotency key may have been seen before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplayDecision {
    /// The key has not been seen: the request may run.
    NotSeen,
    /// The run succeeded: answer with this result.
    Replay(Vec<u8>),
    /// The run failed, or its outcome or result is unknown: answer with an error.
    Aborted,
    /// Recovery is in progress: try again later.
    Wait,
}

/// An error of writing or reading the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WalError {
    /// All segments together have reached their maximum length.
    #[error("the write-ahead log has reached its maximum length of {max_bytes} bytes")]
    Full {
        /// Maximum length that was passed to [`WriteAheadLog::open`], in bytes.
        max_bytes: usize,
    },
    /// The storage failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// An event of the log that is reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WalEvent {
    /// Keys are no longer protected against a second run.
    Unprotected {
        /// Cause of the event.
        error: WalError,
    },
    /// Keys are protected again.
    Protected,
    /// A segment is partly or wholly corrupt; the entries in its corrupt bytes are lost.
    Corrupt {
        /// Name of the segment's file.
        file: String,
        /// Number of corrupt bytes.
        corrupt_bytes: usize,
    },
    /// A segment of another format version is ignored and kept.
    UnsupportedVersion {
        /// Name of the segment's file.
        file: String,
        /// Format version in its header.
        version: u16,
    },
}

/// Size of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WalSize {
    /// Number of known keys.
    pub keys: usize,
    /// Total length of all segments, in bytes.
    pub bytes: usize,
}

/// A write-ahead log on a storage. All times are in ms of one clock and passed by the caller.
#[derive(Debug)]
pub struct WriteAheadLog<S> {
    segments: SegmentStore<S>,
    /// Segments that recovery has not read yet.
    unread: VecDeque<SegmentFile>,
    index: KeyIndex,
    batch: Batch,
    /// Latest expiry of the keys that were started since the last successful write, in ms.
    unwritten_expires_at_ms: u64,
    /// Time of the next attempt to write while keys are unprotected, in ms; otherwise `None`.
    retry_at_ms: Option<u64>,
    events: Vec<WalEvent>,
}

impl<S: Storage> WriteAheadLog<S> {
    /// Opens the log of a storage. All segments together have at most `max_bytes` bytes.
    ///
    /// Call [`WriteAheadLog::recover`] until it returns `false` to read the existing segments.
    ///
    /// # Errors
    ///
    /// Returns a [`StorageError`] if the files of the storage cannot be listed.
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

    /// Reads the next segment and returns whether there are more. It reads one segment per call, so
    /// that the caller can serve requests in between.
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
            // Guards against a second run of a key whose entry cannot be read.
            Err(error) => self.mark_unprotected(error.into(), now_ms),
        }
        !self.is_recovered()
    }

    /// Returns whether all segments have been read.
    pub fn is_recovered(&self) -> bool {
        self.unread.is_empty()
    }

    /// Returns how to handle a request with this key.
    pub fn replay_decision(&self, key: &[u8], now_ms: u64) -> ReplayDecision {
        match self.index.decide(key, now_ms) {
            Some(decision) => decision,
            None if self.is_recovered() => ReplayDecision::NotSeen,
            None => ReplayDecision::Wait,
        }
    }

    /// Records the start of a run, which may start after the next successful commit.
    ///
    /// Returns `false` and records nothing if keys are unprotected, the key is too long or recovery
    /// is in progress.
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

    /// Records the outcome of a run. Has no effect if the key is unknown.
    pub fn record_outcome(&mut self, key: &[u8], outcome: RecordedOutcome, now_ms: u64) {
        if !self.index.contains(key) {
            return;
        }
        let entry = LogEntry::from_outcome(key, outcome);
        if self.is_protected() {
            self.batch.push(&entry, now_ms);
        }
        self.index.apply(entry, now_ms);
    }

    /// Returns when the next commit is due, in ms; `None` if there is nothing to commit.
    pub fn commit_due_ms(&self) -> Option<u64> {
        self.batch.commit_due_ms()
    }

    /// Makes all recorded entries durable.
    ///
    /// # Errors
    ///
    /// Returns a [`WalError`] if the entries are not durable. The runs that wait for
    /// this commit must not start then, and keys become unprotected.
    pub fn commit(&mut self, now_ms: u64) -> Result<(), WalError> {
        if self.batch.is_empty() {
            return Ok(());
        }
        let records = self.batch.take();
        let written = self.write_records(&records);
        if let Err(error) = &written {
            self.mark_unprotected(error.clone(), now_ms);
        }
        written
    }

    /// Removes expired keys and segments, and retries the storage some time after a failure. Call it
    /// regularly.
    pub fn maintain(&mut self, now_ms: u64) {
        self.index.remove_expired(now_ms);
        if self.is_recovered() {
            self.segments.remove_expired(now_ms);
        }
        if self
            .retry_at_ms
            .is_some_and(|retry_at_ms| now_ms >= retry_at_ms)
        {
            self.retry_write(now_ms);
        }
    }

    /// Returns whether keys are protected against a second run, so that runs may start.
    pub fn is_protected(&self) -> bool {
        self.retry_at_ms.is_none()
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<WalEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the size of the log.
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
                // The end of the last segment is not reported: a power cut may tear it, and the runs
                // recorded there had not started.
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

    /// Applies entries in order and returns their latest expiry, in ms.
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

    fn write_records(&mut self, records: &[u8]) -> Result<(), WalError> {
        let force_new_segment = !self.is_protected();
        self.segments
            .append(records, self.unwritten_expires_at_ms, force_new_segment)?;
        self.unwritten_expires_at_ms = 0;
        Ok(())
    }

    fn mark_unprotected(&mut self, error: WalError, now_ms: u64) {
        if self.is_protected() {
            self.events.push(WalEvent::Unprotected { error });
        }
        self.retry_at_ms = Some(now_ms + RETRY_DELAY_MS);
    }

    fn retry_write(&mut self, now_ms: u64) {
        let mut record = Vec::new();
        let payload = LogEntry::no_op().encode().unwrap_or_default();
        framing::append_record(&mut record, &payload);
        match self.write_records(&record) {
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
