//! Persists the active version and the audit chain across restarts, if the site file configures a state directory.
//!
//! A dedicated thread writes the record, so that a slow disk delays neither RPCs nor datagrams.
use std::fmt::Display;
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use coralstep_state::fleet_record::{self, FleetRecord, LoadedFleetRecord};
use coralstep_state::{DirStorage, StorageError};

use crate::note;

/// Subdirectory of the state directory that holds the record.
const RECORD_DIRECTORY: &str = "fleet";
const THREAD_NAME: &str = "record";

/// Sends records to the writer thread.
pub(super) struct Recorder(SyncSender<FleetRecord>);

impl Recorder {
    /// Opens the directory, loads its record and starts the writer thread. Logs an error and returns `None` on failure.
    pub(super) fn start(state_dir: &Path) -> Option<(Recorder, FleetRecord)> {
        let path = state_dir.join(RECORD_DIRECTORY);
        let log = |error: &dyn Display| {
            note!(
                "fleet: {}: {error}; fleet state is not persisted",
                path.display()
            );
        };
        let log_storage_error = |error: StorageError| log(&error);
        let storage = DirStorage::open(&path).map_err(log_storage_error).ok()?;
        let loaded = fleet_record::load(&storage)
            .map_err(log_storage_error)
            .ok()?;
        let record = loaded.map(discard_if_corrupt).unwrap_or_default();
        let (sender, receiver) = sync_channel::<FleetRecord>(1);
        std::thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(move || write_records(storage, &receiver))
            .map_err(|error| log(&error))
            .ok()?;
        Some((Recorder(sender), record))
    }

    /// Queues a record for writing. Returns `false` if another record is still queued; the caller must then retry.
    pub(super) fn save(&self, record: FleetRecord) -> bool {
        !matches!(self.0.try_send(record), Err(TrySendError::Full(_)))
    }
}

/// Returns the loaded record, or an empty one if any of it is corrupt.
fn discard_if_corrupt(loaded: LoadedFleetRecord) -> FleetRecord {
    let corrupt_bytes = loaded.corrupt_bytes;
    if corrupt_bytes == 0 {
        return loaded.record;
    }
    note!("fleet: discarded the stored record, {corrupt_bytes} bytes are corrupt");
    FleetRecord::default()
}

/// Writes records until the sender is dropped. Logs only the first of consecutive errors.
fn write_records(mut storage: DirStorage, receiver: &Receiver<FleetRecord>) {
    let mut failed = false;
    while let Ok(record) = receiver.recv() {
        match fleet_record::save(&mut storage, &record) {
            Ok(()) if failed => {
                failed = false;
                note!("fleet: writing the record succeeded again");
            }
            Err(error) if !failed => {
                failed = true;
                note!("fleet: failed to write the record: {error}; will retry at the next change");
            }
            _ => {}
        }
    }
}
