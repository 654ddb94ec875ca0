use super::*;

#[test]
fn only_synced_writes_and_names_survive_a_power_cut() {
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
    // A rename that was not followed by a sync of the folder may be undone.
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
    storage.faults.syncs_lie = true;
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
fn a_full_disk_takes_a_part_and_reports_an_error() {
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
