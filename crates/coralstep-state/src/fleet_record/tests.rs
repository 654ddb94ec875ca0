use super::*;
use crate::DirStorage;

#[test]
fn saved_record_is_loaded_and_corrupt_record_is_rejected() {
    let path = std::env::temp_dir().join(format!("coralstep-record-{}", std::process::id()));
    let mut storage = DirStorage::open(&path).unwrap();
    assert_eq!(load(&storage).unwrap(), None);
    let record = FleetRecord {
        active_version: vec![7; 40],
        audit_entries: vec![vec![1, 2], vec![3]],
    };
    let complete = LoadedFleetRecord {
        record: record.clone(),
        corrupt_bytes: 0,
    };
    save(&mut storage, &record).unwrap();
    assert_eq!(load(&storage).unwrap(), Some(complete.clone()));
    let bytes = storage.read(RECORD_FILE, MAX_FILE_BYTES).unwrap();
    for at in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[at] ^= 1;
        std::fs::write(path.join(RECORD_FILE), &corrupt).unwrap();
        let loaded = load(&storage).unwrap();
        assert!(
            loaded.is_none_or(
                |loaded| loaded.record == FleetRecord::default() && loaded.corrupt_bytes > 0
            ),
            "byte {at}"
        );
    }
    // After a power cut while the next record is written, the old one is loaded.
    save(&mut storage, &record).unwrap();
    storage.create(TEMPORARY_FILE).unwrap();
    storage.append(TEMPORARY_FILE, &bytes[..20]).unwrap();
    assert_eq!(load(&storage).unwrap(), Some(complete));
    std::fs::remove_dir_all(&path).unwrap();
}
