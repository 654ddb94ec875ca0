//! Keeps the active version and the audit chain over a restart, where the site file names a state directory.
//!
//! A thread of its own writes: a slow disk costs neither an RPC nor a datagram.
use std::fmt::Display;
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use coralstep_state::fleet_record::{self, FleetRecord, LoadedFleetRecord};
use coralstep_state::{DirStorage, StorageError};

use crate::note;

/// The record's own directory in the state directory.
const DIRECTORY: &str = "fleet";
const THREAD_NAME: &str = "record";

/// Hands records to the thread that writes them.
pub(super) struct Recorder(SyncSender<FleetRecord>);

impl Recorder {
    /// Opens the directory and returns what was kept there. None where it can't be had, which is logged.
    pub(super) fn start(state_dir: &Path) -> Option<(Recorder, FleetRecord)> {
        let path = state_dir.join(DIRECTORY);
        let log = |error: &dyn Display| {
            note!("fleet: {}: {error}; no record is kept", path.display());
        };
        let log_storage_error = |error: StorageError| log(&error);
        let storage = DirStorage::open(&path).map_err(log_storage_error).ok()?;
        let loaded = fleet_record::load(&storage)
            .map_err(log_storage_error)
            .ok()?;
        let record = loaded.map(intact_record).unwrap_or_default();
        let (sender, receiver) = sync_channel::<FleetRecord>(1);
        std::thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(move || write_records(storage, &receiver))
            .map_err(|error| log(&error))
            .ok()?;
        Some((Recorder(sender), record))
    }

    /// Hands a record over. False where the one before is still being written, and this one has to be handed over again.
    pub(super) fn save(&self, record: FleetRecord) -> bool {
        !matches!(self.0.try_send(record), Err(TrySendError::Full(_)))
    }
}

/// Believes nothing of a record that is corrupt in part.
fn intact_record(loaded: LoadedFleetRecord) -> FleetRecord {
    let corrupt_bytes = loaded.corrupt_bytes;
    if corrupt_bytes == 0 {
        return loaded.record;
    }
    note!("fleet: {corrupt_bytes} bytes of the record are corrupt; nothing of it is believed");
    FleetRecord::default()
}

/// Writes until the server ends. Of errors in a row the first is logged.
fn write_records(mut storage: DirStorage, receiver: &Receiver<FleetRecord>) {
    let mut failed = false;
    while let Ok(record) = receiver.recv() {
        match fleet_record::save(&mut storage, &record) {
            Ok(()) if failed => {
                failed = false;
                note!("fleet: the record is written again");
            }
            Err(error) if !failed => {
                failed = true;
                note!("fleet: no record: {error}; tried again at the next change");
            }
            _ => {}
        }
    }
}
