//! The active configuration version of a server and its audit of earlier ones, in one file that is
//! replaced at each change. The payloads are opaque here. A corrupt file is rejected as a whole.
use std::io;

use crate::framing::{self, FileKind, HEADER_BYTES};
use crate::storage::{Storage, StorageError};

const RECORD_FILE: &str = "fleet";
const TEMPORARY_FILE: &str = "fleet.new";
const FORMAT_VERSION: u16 = 1;
/// Maximum length of a file that is read, in bytes.
const MAX_FILE_BYTES: usize = 2 << 20;

/// The active version and the audit of a fleet's configuration, encoded by the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetRecord {
    /// Active version of the server.
    pub active_version: Vec<u8>,
    /// Audit entries of earlier active versions, in the order in which they are written.
    pub audit_entries: Vec<Vec<u8>>,
}

/// A record that was read from a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedFleetRecord {
    /// The record; empty if the file is corrupt.
    pub record: FleetRecord,
    /// Number of corrupt bytes; 0 if the record is complete.
    pub corrupt_bytes: usize,
}

/// Writes the record to a temporary file and renames it into place, so that a complete record exists
/// at any time.
///
/// # Errors
///
/// Returns the [`StorageError`] of the operation that failed. The old record is then still in place,
/// unless it was the last operation.
pub fn save(storage: &mut impl Storage, record: &FleetRecord) -> Result<(), StorageError> {
    let mut bytes = framing::file_header(FileKind::Fleet, FORMAT_VERSION);
    framing::append_record(&mut bytes, &record.active_version);
    for entry in &record.audit_entries {
        framing::append_record(&mut bytes, entry);
    }
    storage.create(TEMPORARY_FILE)?;
    storage.append(TEMPORARY_FILE, &bytes)?;
    storage.sync(TEMPORARY_FILE)?;
    storage.rename(TEMPORARY_FILE, RECORD_FILE)?;
    storage.sync_directory()
}

/// Reads the record. Returns `None` if there is no file or it has another kind or format version.
///
/// # Errors
///
/// Returns a [`StorageError`] if the file exists and cannot be read.
pub fn load(storage: &impl Storage) -> Result<Option<LoadedFleetRecord>, StorageError> {
    let bytes = match storage.read(RECORD_FILE, MAX_FILE_BYTES) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    if framing::read_version(&bytes, FileKind::Fleet) != Some(FORMAT_VERSION) {
        return Ok(None);
    }
    let scanned = framing::scan_records(&bytes[HEADER_BYTES..]);
    let Some((active_version, audit_entries)) = scanned
        .payloads
        .split_first()
        .filter(|_| scanned.corrupt_bytes == 0)
    else {
        // The active version is the first record. If bytes are corrupt, it cannot be told apart
        // from the other records.
        return Ok(Some(LoadedFleetRecord {
            record: FleetRecord::default(),
            corrupt_bytes: scanned.corrupt_bytes.max(1),
        }));
    };
    Ok(Some(LoadedFleetRecord {
        record: FleetRecord {
            active_version: active_version.to_vec(),
            audit_entries: audit_entries.iter().map(|entry| entry.to_vec()).collect(),
        },
        corrupt_bytes: 0,
    }))
}

#[cfg(test)]
mod tests;
