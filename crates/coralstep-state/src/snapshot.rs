//! Snapshots of the scheduler's learned state, in two generations.
//!
//! A new snapshot is written to a temporary file, synced and renamed over the older generation, and
//! the directory is synced, so that a complete snapshot exists at any time. Files of a later format
//! version or of another server are never overwritten.
use std::{fmt, io};

use coralstep::LearnedState;
use serde::{Deserialize, Serialize};

use crate::confidence;
use crate::fingerprint::{ConfigFingerprint, applicable_part};
use crate::storage::{Storage, StorageError};

mod format;
mod inspection;

pub use inspection::{SnapshotSummary, export_json, list_snapshots};

use format::Stored;

/// Format version of written snapshots. Version 1 had no tenants.
pub const FORMAT_VERSION: u16 = 2;
/// Maximum length of a file that is read or written, in bytes; many times the length of a snapshot
/// with a thousand methods and tenants.
pub const MAX_FILE_BYTES: usize = 1 << 20;

const GENERATIONS: [&str; 2] = ["learned.0", "learned.1"];
const TEMPORARY_FILE: &str = "learned.part";

/// Sequence number of a server's snapshots; the newest has the highest number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SequenceNumber(pub u64);

impl SequenceNumber {
    /// Returns the sequence number of the next snapshot.
    #[must_use]
    pub fn next(self) -> SequenceNumber {
        SequenceNumber(self.0 + 1)
    }
}

impl fmt::Display for SequenceNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The reason why a snapshot file is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The file cannot be read.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// There is no such file.
    #[error("no such file")]
    NotFound,
    /// The file has a later format version; it is kept.
    #[error("unsupported format version {version}")]
    UnsupportedVersion {
        /// Format version in its header.
        version: u16,
    },
    /// The file is corrupt.
    #[error("corrupt: {0}")]
    Corrupt(#[from] Corruption),
    /// Another server wrote the file.
    #[error("written by another server, {server}")]
    OtherServer {
        /// Name of that server.
        server: String,
    },
    /// The file is too old, or too far in the future.
    #[error("untrusted age of {age_s} s")]
    UntrustedAge {
        /// Seconds since it was written; negative if it is from the future.
        age_s: i64,
    },
}

/// How a snapshot file is corrupt.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// It does not begin with the header of a snapshot.
    #[error("missing snapshot header")]
    Header,
    /// The header is not followed by an intact record.
    #[error("no intact record after the header")]
    Record,
    /// The record is followed by this number of bytes.
    #[error("{0} trailing bytes after the record")]
    TrailingBytes(usize),
    /// The record cannot be decoded to a snapshot.
    #[error("cannot decode the record: {0}")]
    Payload(#[source] postcard::Error),
}

/// The reason why a snapshot was not written.
#[derive(Debug, thiserror::Error)]
pub enum SaveError {
    /// No generation may be overwritten.
    #[error("both snapshot files belong to a later format version or another server")]
    NoFreeGeneration,
    /// The snapshot cannot be encoded.
    #[error("cannot encode the snapshot: {0}")]
    Encode(#[from] postcard::Error),
    /// The snapshot is longer than [`MAX_FILE_BYTES`].
    #[error("snapshot of {bytes} bytes exceeds the maximum of {MAX_FILE_BYTES} bytes")]
    TooLarge {
        /// Its length in bytes.
        bytes: usize,
    },
    /// A storage operation failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// Learned state that was restored, and the confidence in it.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredState {
    /// The part that applies under the current configuration.
    pub learned: LearnedState,
    /// Confidence from 0 (none) to 1 (full).
    pub confidence: f64,
}

/// A snapshot file that was rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct RejectedSnapshot {
    /// Name of the file.
    pub file: &'static str,
    /// Reason for the rejection.
    pub error: SnapshotError,
}

/// Result of reading all generations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedSnapshots {
    /// The newest trusted snapshot, if there is one.
    pub restored: Option<RestoredState>,
    /// Highest sequence number of all intact files, trusted or not; 0 if there is none.
    pub last_sequence_number: SequenceNumber,
    /// Rejected files.
    pub rejected: Vec<RejectedSnapshot>,
}

/// Reads all generations and restores the newest one that is trusted under the `current`
/// configuration. `now_s` is in seconds since the Unix epoch.
pub fn load(storage: &impl Storage, current: &ConfigFingerprint, now_s: u64) -> LoadedSnapshots {
    let mut loaded = LoadedSnapshots::default();
    let mut newest: Option<Stored> = None;
    for file in GENERATIONS {
        let checked = read_generation(storage, file).and_then(|stored| {
            let number = stored.base.sequence_number;
            loaded.last_sequence_number = loaded.last_sequence_number.max(number);
            validate_origin_and_age(&stored, current, now_s).map(|()| stored)
        });
        match checked {
            Ok(stored) if is_newer(&stored, newest.as_ref()) => newest = Some(stored),
            Ok(_) | Err(SnapshotError::NotFound) => {}
            Err(error) => loaded.rejected.push(RejectedSnapshot { file, error }),
        }
    }
    loaded.restored = newest.and_then(|stored| {
        let learned = applicable_part(&stored.learned(), &stored.fingerprint(), current)?;
        Some(RestoredState {
            learned,
            confidence: confidence::from_age(stored.age_s(now_s) as f64),
        })
    });
    loaded
}

/// Writes a snapshot and replaces a corrupt or the older generation, but never one of a later format
/// version or of another server.
///
/// `sequence_number` has to be higher than all previous ones; `now_s` is in seconds since the Unix
/// epoch.
///
/// # Errors
///
/// Returns a [`SaveError`]. The old generation is then still in place, unless the last operation
/// failed.
pub fn save(
    storage: &mut impl Storage,
    learned: &LearnedState,
    fingerprint: &ConfigFingerprint,
    sequence_number: SequenceNumber,
    now_s: u64,
) -> Result<(), SaveError> {
    let replaced =
        generation_to_replace(storage, &fingerprint.server).ok_or(SaveError::NoFreeGeneration)?;
    let file = Stored::new(learned, fingerprint, sequence_number, now_s).encode()?;
    if file.len() > MAX_FILE_BYTES {
        return Err(SaveError::TooLarge { bytes: file.len() });
    }
    storage.create(TEMPORARY_FILE)?;
    storage.append(TEMPORARY_FILE, &file)?;
    storage.sync(TEMPORARY_FILE)?;
    storage.rename(TEMPORARY_FILE, replaced)?;
    storage.sync_directory()?;
    Ok(())
}

fn read_generation(storage: &impl Storage, file: &str) -> Result<Stored, SnapshotError> {
    match storage.read(file, MAX_FILE_BYTES) {
        Ok(bytes) => Stored::decode(&bytes),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Err(SnapshotError::NotFound),
        Err(error) => Err(error.into()),
    }
}

/// Rejects a snapshot that another server wrote, or whose age leaves no confidence in it.
fn validate_origin_and_age(
    stored: &Stored,
    current: &ConfigFingerprint,
    now_s: u64,
) -> Result<(), SnapshotError> {
    if stored.base.server != current.server {
        return Err(SnapshotError::OtherServer {
            server: stored.base.server.clone(),
        });
    }
    let age_s = stored.age_s(now_s);
    if confidence::from_age(age_s as f64) == 0.0 {
        return Err(SnapshotError::UntrustedAge { age_s });
    }
    Ok(())
}

fn is_newer(stored: &Stored, newest: Option<&Stored>) -> bool {
    newest.is_none_or(|newest| stored.base.sequence_number > newest.base.sequence_number)
}

/// Returns the oldest generation that may be overwritten; a missing or corrupt one counts as the
/// oldest.
fn generation_to_replace(storage: &impl Storage, server: &str) -> Option<&'static str> {
    let replacement_order = |file: &&'static str| match read_generation(storage, file) {
        Ok(stored) if stored.base.server == server => Some(stored.base.sequence_number),
        Err(SnapshotError::NotFound | SnapshotError::Corrupt(_)) => Some(SequenceNumber::default()),
        _ => None,
    };
    GENERATIONS
        .into_iter()
        .filter_map(|file| Some((replacement_order(&file)?, file)))
        .min()
        .map(|(_, file)| file)
}

#[cfg(test)]
mod tests;
