//! Summaries and exports of snapshots for operators.
use std::io;

use serde::Serialize;

use super::format::Stored;
use super::{GENERATIONS, MAX_FILE_BYTES, SequenceNumber, SnapshotError};
use crate::confidence;
use crate::storage::{ReadOnlyDir, StorageError};

/// Summary of one snapshot file, trusted or not.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SnapshotSummary {
    /// Name of the file.
    #[serde(rename = "name")]
    pub file: String,
    /// Sequence number; `None` if the file is unusable.
    #[serde(rename = "number")]
    pub sequence_number: Option<SequenceNumber>,
    /// Name of the server that wrote it; empty if the file is unusable.
    pub server: String,
    /// Seconds since it was written; 0 if the file is unusable.
    pub age_s: i64,
    /// Confidence in the snapshot, or the reason why the file is unusable.
    #[serde(rename = "told")]
    pub status: String,
}

impl SnapshotSummary {
    fn from_stored(file: &str, stored: Stored, now_s: u64) -> SnapshotSummary {
        let age_s = stored.age_s(now_s);
        SnapshotSummary {
            file: file.to_owned(),
            sequence_number: Some(stored.base.sequence_number),
            server: stored.base.server,
            age_s,
            status: format!("trusted {:.2}", confidence::from_age(age_s as f64)),
        }
    }

    fn from_unusable(file: &str, error: &SnapshotError) -> SnapshotSummary {
        SnapshotSummary {
            file: file.to_owned(),
            sequence_number: None,
            server: String::new(),
            age_s: 0,
            status: status_of_unusable(error),
        }
    }
}

/// Returns the status of an unusable file. Operators' tools match these texts.
fn status_of_unusable(error: &SnapshotError) -> String {
    match error {
        SnapshotError::UnsupportedVersion { version } => {
            format!("of version {version}, later than ours")
        }
        SnapshotError::Storage(StorageError::Io { source, .. }) => source.to_string(),
        SnapshotError::Storage(error) => error.to_string(),
        _ => "spoilt".to_owned(),
    }
}

/// Summarizes all snapshot files that exist in a directory.
pub fn list_snapshots(directory: &ReadOnlyDir, now_s: u64) -> Vec<SnapshotSummary> {
    GENERATIONS
        .into_iter()
        .filter_map(|file| summarize(directory, file, now_s))
        .collect()
}

fn summarize(directory: &ReadOnlyDir, file: &str, now_s: u64) -> Option<SnapshotSummary> {
    let decoded = match directory.read(file, MAX_FILE_BYTES) {
        Ok(bytes) => Stored::decode(&bytes),
        Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
        Err(error) => Err(error.into()),
    };
    Some(match decoded {
        Ok(stored) => SnapshotSummary::from_stored(file, stored, now_s),
        Err(error) => SnapshotSummary::from_unusable(file, &error),
    })
}

/// Returns the contents of a snapshot file as JSON, or `None` if it cannot be read.
pub fn export_json(directory: &ReadOnlyDir, file: &str) -> Option<String> {
    let bytes = directory.read(file, MAX_FILE_BYTES).ok()?;
    Stored::decode(&bytes).ok()?.to_json().ok()
}
