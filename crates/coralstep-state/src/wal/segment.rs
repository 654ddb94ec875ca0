//! Segment files of the log. Entries are appended to the last segment; old segments are removed.
use std::collections::VecDeque;

use super::{FORMAT_VERSION, MAX_SEGMENT_BYTES, WalError};
use crate::framing::{self, FileKind, HEADER_BYTES};
use crate::storage::{Storage, StorageError};

const FILE_PREFIX: &str = "tokens.";

/// A segment file; ordered by number, which is the order of writing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SegmentFile {
    pub(super) number: u64,
    pub(super) name: String,
}

pub(super) fn file_name(number: u64) -> String {
    format!("{FILE_PREFIX}{number:016x}")
}

fn parse_file_name(name: String) -> Option<SegmentFile> {
    let digits = name.strip_prefix(FILE_PREFIX)?;
    let number = u64::from_str_radix(digits, 16).ok()?;
    Some(SegmentFile { number, name })
}

/// Returns all segment files of a storage in the order of writing.
pub(super) fn list_files(storage: &impl Storage) -> Result<Vec<SegmentFile>, StorageError> {
    let names = storage.list()?;
    let mut files: Vec<SegmentFile> = names.into_iter().filter_map(parse_file_name).collect();
    files.sort();
    Ok(files)
}

/// A segment that is part of the log.
#[derive(Clone, Debug)]
pub(super) struct Segment {
    pub(super) number: u64,
    pub(super) bytes: usize,
    /// Latest expiry of its keys, in ms.
    pub(super) expires_at_ms: u64,
}

/// Parsed contents of a segment file.
#[derive(Debug)]
pub(super) enum SegmentContents<'a> {
    Records(framing::ScannedRecords<'a>),
    UnsupportedVersion(u16),
    /// The header is incomplete, so no entry was ever committed.
    Torn,
    /// The file is not a segment.
    Corrupt,
}

pub(super) fn parse_contents(file: &[u8]) -> SegmentContents<'_> {
    match framing::read_version(file, FileKind::IdempotencyKeys) {
        Some(FORMAT_VERSION) => {
            SegmentContents::Records(framing::scan_records(&file[HEADER_BYTES..]))
        }
        Some(version) => SegmentContents::UnsupportedVersion(version),
        None if file.len() < HEADER_BYTES => SegmentContents::Torn,
        None => SegmentContents::Corrupt,
    }
}

/// The segments of the log; entries are appended to the last one.
#[derive(Debug)]
pub(super) struct SegmentStore<S> {
    pub(super) storage: S,
    segments: VecDeque<Segment>,
    /// Maximum total length of all segments, in bytes.
    max_bytes: usize,
}

impl<S: Storage> SegmentStore<S> {
    pub(super) fn new(storage: S, max_bytes: usize) -> SegmentStore<S> {
        SegmentStore {
            storage,
            segments: VecDeque::new(),
            max_bytes,
        }
    }

    pub(super) fn total_bytes(&self) -> usize {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// Adds a recovered segment after the others.
    pub(super) fn push(&mut self, segment: Segment) {
        self.segments.push_back(segment);
    }

    /// Appends records whose latest expiry is `expires_at_ms`, and makes them durable.
    ///
    /// `force_new` begins a new segment, as a failed write may have left a torn record in the last
    /// one.
    pub(super) fn append(
        &mut self,
        records: &[u8],
        expires_at_ms: u64,
        force_new: bool,
    ) -> Result<(), WalError> {
        if self.total_bytes() + records.len() > self.max_bytes {
            return Err(WalError::Full {
                max_bytes: self.max_bytes,
            });
        }
        if force_new || !self.last_segment_has_space(records.len()) {
            self.create_segment()?;
        }
        let Some(last) = self.segments.back_mut() else {
            return Ok(());
        };
        last.bytes += records.len();
        last.expires_at_ms = last.expires_at_ms.max(expires_at_ms);
        let file = file_name(last.number);
        self.storage.append(&file, records)?;
        self.storage.sync(&file)?;
        Ok(())
    }

    /// Removes the oldest segments whose keys have all expired, but never the last one.
    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        while self.segments.len() > 1 {
            let Some(oldest) = self
                .segments
                .pop_front_if(|oldest| oldest.expires_at_ms <= now_ms)
            else {
                return;
            };
            if self.storage.remove(&file_name(oldest.number)).is_err() {
                // The file is read again after a restart, when its keys are still expired.
                return;
            }
        }
    }

    fn last_segment_has_space(&self, bytes: usize) -> bool {
        self.segments.back().is_some_and(|last| {
            last.bytes >= HEADER_BYTES && last.bytes + bytes <= MAX_SEGMENT_BYTES
        })
    }

    fn create_segment(&mut self) -> Result<(), StorageError> {
        let number = self.segments.back().map_or(0, |last| last.number + 1);
        let file = file_name(number);
        let header = framing::file_header(FileKind::IdempotencyKeys, FORMAT_VERSION);
        self.storage.create(&file)?;
        self.segments.push_back(Segment {
            number,
            bytes: header.len(),
            expires_at_ms: 0,
        });
        self.storage.append(&file, &header)?;
        self.storage.sync_directory()
    }
}
