//! Keeps the version that this server acts on, and its record, over a restart, where the site file names a folder. A thread of its own
//! writes: a slow disk costs neither an RPC nor a word to the others.
use std::fmt::Display;
use std::path::Path;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};

use coralstep_state::fleet_record::{self, FleetRecord, LoadedFleetRecord};
use coralstep_state::{DirStorage, StorageError};

use crate::note;

/// In the folder of the site file, a folder of its own.
const FOLDER: &str = "fleet";

pub struct Recorder(SyncSender<FleetRecord>);

impl Recorder {
    /// Opens the folder; with what was kept there. None where it can't be had, which is told.
    pub fn start(folder: &Path) -> Option<(Recorder, FleetRecord)> {
        let path = folder.join(FOLDER);
        let tell = |why: &dyn Display| note!("fleet: {}: {why}; no record is kept", path.display());
        let told = |why: StorageError| tell(&why);
        let mut files = DirStorage::open(&path).map_err(told).ok()?;
        let found = match fleet_record::load(&files).map_err(told).ok()? {
            Some(LoadedFleetRecord {
                record,
                corrupt_bytes: 0,
            }) => record,
            Some(LoadedFleetRecord {
                corrupt_bytes: lost,
                ..
            }) => {
                note!("fleet: {lost} bytes of the record are spoilt; nothing of it is believed");
                FleetRecord::default()
            }
            None => FleetRecord::default(),
        };
        let (works, inbox) = sync_channel::<FleetRecord>(1);
        let write = move || {
            let mut failed = false;
            while let Ok(record) = inbox.recv() {
                match fleet_record::save(&mut files, &record) {
                    Err(why) if !std::mem::replace(&mut failed, true) => {
                        note!("fleet: no record: {why}; tried again at the next change")
                    }
                    Ok(()) if std::mem::take(&mut failed) => {
                        note!("fleet: the record is written again")
                    }
                    _ => {}
                }
            }
        };
        let thread = std::thread::Builder::new()
            .name("record".to_owned())
            .spawn(write);
        thread.map_err(|why| tell(&why)).ok()?;
        Some((Recorder(works), found))
    }

    /// Hands a record over; false where the one before is still on its way, and this one is to be handed over again.
    pub fn save(&self, record: FleetRecord) -> bool {
        !matches!(self.0.try_send(record), Err(TrySendError::Full(_)))
    }
}
