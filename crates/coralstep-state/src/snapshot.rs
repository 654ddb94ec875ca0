//! Snapshots of what the scheduler learned, in two generations.
//!
//! A new snapshot is written to a temporary file, synced and renamed over the older generation, and
//! the directory is synced: at any moment one complete snapshot is there. Files of a later format
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

/// The format version that is written. Version 1 had no tenants.
pub const FORMAT_VERSION: u16 = 2;
/// Longest file that is read or written, in bytes: a thousand methods and tenants fit many times.
pub const MAX_FILE_BYTES: usize = 1 << 20;

const GENERATIONS: [&str; 2] = ["learned.0", "learned.1"];
const TEMPORARY_FILE: &str = "learned.part";

/// Counts the snapshots of a server: the one with the highest number is the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SequenceNumber(pub u64);

impl SequenceNumber {
    /// Returns the number of the snapshot after this one.
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

/// Why a snapshot file is not believed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The file cannot be read.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// There is no such file.
    #[error("no such file")]
    NotFound,
    /// The file is of a later format version and left alone.
    #[error("unsupported format version {version}")]
    UnsupportedVersion {
        /// The version that it states.
        version: u16,
    },
    /// The file is not what was written.
    #[error("corrupt: {0}")]
    Corrupt(#[from] Corruption),
    /// Another server wrote the file.
    #[error("written by another server, {server}")]
    OtherServer {
        /// Name of that server.
        server: String,
    },
    /// The file is too old, or too far in the future.
    #[error("{age_s} s old")]
    UntrustedAge {
        /// Seconds since it was written; negative if it is from the future.
        age_s: i64,
    },
}

/// What of a snapshot file is corrupt.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// It does not begin with the header of a snapshot.
    #[error("no header of a snapshot")]
    Header,
    /// The header is not followed by an intact record.
    #[error("no intact record behind the header")]
    Record,
    /// This many bytes follow the record.
    #[error("{0} bytes behind the record")]
    TrailingBytes(usize),
    /// The record does not hold a snapshot.
    #[error("the record cannot be decoded: {0}")]
    Payload(#[source] postcard::Error),
}

/// Why a snapshot was not written.
#[derive(Debug, thiserror::Error)]
pub enum SaveError {
    /// No generation may be overwritten.
    #[error("both snapshots are another version's or server's")]
    NoFreeGeneration,
    /// The snapshot cannot be encoded.
    #[error("cannot encode the snapshot: {0}")]
    Encode(#[from] postcard::Error),
    /// The snapshot is longer than [`MAX_FILE_BYTES`].
    #[error("the snapshot has {bytes} bytes, over {MAX_FILE_BYTES}")]
    TooLarge {
        /// Its length in bytes.
        bytes: usize,
    },
    /// A step of writing failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// What was learned before, and how far it is believed.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredState {
    /// The part that applies under the current configuration.
    pub learned: LearnedState,
    /// From 0 for none to 1 for complete confidence.
    pub confidence: f64,
}

/// A snapshot file that is not believed.
#[derive(Clone, Debug, PartialEq)]
pub struct RejectedSnapshot {
    /// Name of the file.
    pub file: &'static str,
    /// Why it is not believed.
    pub error: SnapshotError,
}

/// The outcome of reading all generations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedSnapshots {
    /// The newest snapshot that is believed, if any.
    pub restored: Option<RestoredState>,
    /// The highest sequence number of all intact files, believed or not; 0 if there is none.
    pub last_sequence_number: SequenceNumber,
    /// The files that are not believed.
    pub rejected: Vec<RejectedSnapshot>,
}

/// Reads all generations and restores the newest one that is believed under the `current`
/// configuration.
///
/// `now_s`: seconds since the Unix epoch.
pub fn load(storage: &impl Storage, current: &ConfigFingerprint, now_s: u64) -> LoadedSnapshots {
    let mut loaded = LoadedSnapshots::default();
    let mut newest: Option<Stored> = None;
    for file in GENERATIONS {
        let checked = read_generation(storage, file).and_then(|stored| {
            let number = stored.base.sequence_number;
            loaded.last_sequence_number = loaded.last_sequence_number.max(number);
            check_origin(&stored, current, now_s).map(|()| stored)
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

/// Writes a snapshot in place of the older or a corrupt generation, never of one of a later format
/// version or of another server.
///
/// `sequence_number` has to be higher than all before; `now_s`: seconds since the Unix epoch.
///
/// # Errors
///
/// A [`SaveError`]; the generation to be replaced is still in place then, unless the very last step
/// failed.
pub fn save(
    storage: &mut impl Storage,
    learned: &LearnedState,
    learned_under: &ConfigFingerprint,
    sequence_number: SequenceNumber,
    now_s: u64,
) -> Result<(), SaveError> {
    let replaced =
        generation_to_replace(storage, &learned_under.server).ok_or(SaveError::NoFreeGeneration)?;
    let file = Stored::new(learned, learned_under, sequence_number, now_s).encode()?;
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

/// Rejects a snapshot of another server, or of an age without any confidence.
fn check_origin(
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

/// The oldest generation that may be overwritten; a missing or corrupt one counts as older than
/// all.
fn generation_to_replace(storage: &impl Storage, server: &str) -> Option<&'static str> {
    let age_order = |file: &&'static str| match read_generation(storage, file) {
        Ok(stored) if stored.base.server == server => Some(stored.base.sequence_number),
        Err(SnapshotError::NotFound | SnapshotError::Corrupt(_)) => Some(SequenceNumber::default()),
        _ => None,
    };
    GENERATIONS
        .into_iter()
        .filter_map(|file| Some((age_order(&file)?, file)))
        .min()
        .map(|(_, file)| file)
}

#[cfg(test)]
mod tests;
