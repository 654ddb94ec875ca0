use super::*;

#[test]
fn only_what_was_synced_is_sure_to_be_there() {
    let mut files = Faulty::default();
    files.create("a").unwrap();
    files.append("a", b"safe").unwrap();
    files.sync("a").unwrap();
    files.sync_folder().unwrap();
    files.append("a", b"not").unwrap();
    let after: std::collections::BTreeSet<Vec<u8>> = (0..200)
        .map(|seed| {
            files
                .after_cut(seed, Faults::default())
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
    files.rename("a", "b").unwrap();
    let names: std::collections::BTreeSet<String> = (0..50)
        .flat_map(|seed| files.after_cut(seed, Faults::default()).list().unwrap())
        .collect();
    assert_eq!(names.len(), 2);
    files.faults.lies = true;
    files.sync("b").unwrap();
    assert!((0..50).any(|seed| files.after_cut(seed, Faults::default()).list().unwrap() == ["a"]));
}

#[test]
fn a_full_disk_takes_a_part_and_says_so() {
    let mut files = Faulty {
        faults: Faults {
            room: Some(5),
            ..Faults::default()
        },
        ..Faulty::default()
    };
    files.create("a").unwrap();
    assert_eq!(
        files.append("a", b"0123456789").unwrap_err().kind(),
        io::ErrorKind::StorageFull
    );
    assert_eq!(files.read("a", 99).unwrap(), b"01234");
}
