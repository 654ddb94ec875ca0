use super::*;

#[test]
fn unsynced_writes_and_names_may_be_lost_at_power_cut() {
    let mut storage = FaultyStorage::default();
    storage.create("a").unwrap();
    storage.append("a", b"safe").unwrap();
    storage.sync("a").unwrap();
    storage.sync_directory().unwrap();
    storage.append("a", b"not").unwrap();
    let after: std::collections::BTreeSet<Vec<u8>> = (0..200)
        .map(|seed| {
            storage
                .after_power_cut(seed, Faults::default())
                .read("a", 99)
                .unwrap()
        })
        .collect();
    assert!(
        after
            .iter()
            .all(|bytes| bytes.starts_with(b"safe") && b"safenot".starts_with(&bytes[..]))
    );
    assert!(
        after.contains(&b"safe"[..])
            && after.contains(&b"safenot"[..])
            && after.contains(&b"safen"[..])
    );
    // A rename may be undone unless a sync of the directory follows.
    storage.rename("a", "b").unwrap();
    let names: std::collections::BTreeSet<String> = (0..50)
        .flat_map(|seed| {
            storage
                .after_power_cut(seed, Faults::default())
                .list()
                .unwrap()
        })
        .collect();
    assert_eq!(names.len(), 2);
    storage.faults.ignore_syncs = true;
    storage.sync("b").unwrap();
    assert!((0..50).any(|seed| {
        storage
            .after_power_cut(seed, Faults::default())
            .list()
            .unwrap()
            == ["a"]
    }));
}

#[test]
fn append_to_full_disk_writes_a_part_and_fails() {
    let mut storage = FaultyStorage {
        faults: Faults {
            capacity_bytes: Some(5),
            ..Faults::default()
        },
        ..FaultyStorage::default()
    };
    storage.create("a").unwrap();
    assert_eq!(
        storage.append("a", b"0123456789").unwrap_err().kind(),
        io::ErrorKind::StorageFull
    );
    assert_eq!(storage.read("a", 99).unwrap(), b"01234");
}
