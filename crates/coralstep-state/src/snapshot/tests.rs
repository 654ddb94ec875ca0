use super::format::StoredV1;
use super::*;
use crate::faulty_storage::{Faults, FaultyStorage};
use crate::framing::{self, FileKind};

fn fingerprint() -> ConfigFingerprint {
    ConfigFingerprint {
        server: "n1".to_owned(),
        cores: 4,
        methods: vec!["read".to_owned()],
        dependency_share: Some(8.0),
        tenants: vec!["north".to_owned()],
    }
}

fn learned(limit: u32) -> LearnedState {
    LearnedState {
        run_times: vec![[7; 12]],
        call_times: [1; 12],
        concurrency_limit: Some(limit),
        call_permits: Some(3.5),
        best_call_time: Some(90),
        tenants: vec![coralstep::TenantService {
            requested: 4.0,
            served: 2.0,
        }],
    }
}

/// Saves a snapshot that differs from others in its concurrency limit.
fn save_with_limit(
    storage: &mut FaultyStorage,
    limit: u32,
    number: SequenceNumber,
    now_s: u64,
) -> Result<(), SaveError> {
    save(storage, &learned(limit), &fingerprint(), number, now_s)
}

/// Returns a storage with one snapshot per concurrency limit, saved at the given second.
fn storage_with_snapshots(all: &[(u32, u64)]) -> FaultyStorage {
    let mut storage = FaultyStorage::default();
    for (number, (limit, at)) in all.iter().enumerate() {
        save_with_limit(&mut storage, *limit, SequenceNumber(number as u64 + 1), *at).unwrap();
    }
    storage
}

fn limit(loaded: &LoadedSnapshots) -> Option<u32> {
    loaded
        .restored
        .as_ref()
        .and_then(|restored| restored.learned.concurrency_limit)
}

#[test]
fn newest_snapshot_is_restored_with_confidence_of_its_age() {
    let storage = storage_with_snapshots(&[(5, 100), (6, 160), (7, 220)]);
    let loaded = load(&storage, &fingerprint(), 230);
    assert_eq!(
        (loaded.restored.clone(), loaded.last_sequence_number),
        (
            Some(RestoredState {
                learned: learned(7),
                confidence: 1.0
            }),
            SequenceNumber(3)
        )
    );
    assert_eq!(storage.list().unwrap(), ["learned.0", "learned.1"]);
    let confidence = load(&storage, &fingerprint(), 220 + 3_600)
        .restored
        .unwrap()
        .confidence;
    assert!((0.5..0.6).contains(&confidence), "{confidence}");
    // A snapshot over a week old, then one from the future, as after a clock that was set back.
    let old = load(&storage, &fingerprint(), 220 + 8 * 86_400);
    assert!(
        old.restored.is_none()
            && old
                .rejected
                .iter()
                .all(|rejected| matches!(rejected.error, SnapshotError::UntrustedAge { .. }))
    );
    assert_eq!(limit(&load(&storage, &fingerprint(), 95)), None);
    assert_eq!(limit(&load(&storage, &fingerprint(), 165)), Some(7));
    // Snapshots of another server.
    let other = load(
        &storage,
        &ConfigFingerprint {
            server: "n2".to_owned(),
            ..fingerprint()
        },
        230,
    );
    assert!(other.restored.is_none() && other.rejected.len() == 2);
}

#[test]
fn power_cut_at_any_operation_leaves_a_complete_snapshot() {
    let intact = storage_with_snapshots(&[(5, 100), (6, 110), (7, 120)]);
    assert_eq!(intact.operations, 15);
    for cut in 0..intact.operations {
        for seed in 0..40 {
            let mut storage = FaultyStorage::with_faults(Faults {
                power_cut_at: Some(cut),
                ..Faults::default()
            });
            let (mut number, mut last_saved) = (SequenceNumber::default(), 0);
            for (limit, at) in [(5, 100), (6, 110), (7, 120)] {
                number = number.next();
                if save_with_limit(&mut storage, limit, number, at).is_ok() {
                    last_saved = limit;
                }
            }
            let after = storage.after_power_cut(seed, Faults::default());
            let loaded = load(&after, &fingerprint(), 130);
            // At most the snapshot that was being written is lost; it may also be complete.
            let restored = limit(&loaded).unwrap_or(0);
            assert!(
                restored == last_saved
                    || restored == last_saved + 1
                    || (last_saved == 0 && restored == 5),
                "{cut} {seed}: {restored} {last_saved}"
            );
            assert!(
                loaded
                    .rejected
                    .iter()
                    .all(|rejected| matches!(rejected.error, SnapshotError::Corrupt(_))),
                "{:?}",
                loaded.rejected
            );
            // A later snapshot can be saved.
            let mut after = after;
            save_with_limit(&mut after, 8, loaded.last_sequence_number.next(), 140).unwrap();
            assert_eq!(limit(&load(&after, &fingerprint(), 150)), Some(8));
        }
    }
}

#[test]
fn ignored_syncs_may_lose_snapshots_but_no_corrupt_one_is_restored() {
    for seed in 0..300 {
        let mut storage = FaultyStorage::with_faults(Faults {
            ignore_syncs: true,
            ..Faults::default()
        });
        for (number, last) in [(1, 5), (2, 6), (3, 7)] {
            save_with_limit(&mut storage, last, SequenceNumber(number), 100).unwrap();
        }
        let loaded = load(
            &storage.after_power_cut(seed, Faults::default()),
            &fingerprint(),
            110,
        );
        assert!(
            loaded
                .restored
                .is_none_or(|restored| (5..=7).any(|limit| restored.learned == learned(limit)))
        );
    }
}

#[test]
fn rejects_snapshot_truncated_at_any_byte_or_with_any_flipped_bit() {
    let intact = storage_with_snapshots(&[(5, 100)]);
    let length = intact.read("learned.0", MAX_FILE_BYTES).unwrap().len();
    for cut in 0..length {
        let mut storage = intact.clone();
        storage.corrupt("learned.0", |bytes| bytes.truncate(cut));
        let rejected = load(&storage, &fingerprint(), 110).rejected;
        assert!(
            matches!(
                &rejected[..],
                [RejectedSnapshot {
                    file: "learned.0",
                    error: SnapshotError::Corrupt(_)
                }]
            ),
            "{cut}: {rejected:?}"
        );
    }
    for bit in 0..length * 8 {
        let mut storage = intact.clone();
        storage.corrupt("learned.0", |bytes| bytes[bit / 8] ^= 1 << (bit % 8));
        let loaded = load(&storage, &fingerprint(), 110);
        // A flipped bit in the version may result in a later version, which is rejected, too.
        assert!(loaded.restored.is_none(), "{bit}");
    }
    let mut with_trailing_byte = intact;
    with_trailing_byte.corrupt("learned.0", |bytes| bytes.push(0));
    assert!(
        load(&with_trailing_byte, &fingerprint(), 110)
            .restored
            .is_none()
    );
}

#[test]
fn older_version_is_read_and_later_version_is_kept() {
    let version_1 = Stored::new(&learned(5), &fingerprint(), SequenceNumber(9), 100).base;
    let mut storage = FaultyStorage::default();
    let mut bytes = framing::file_header(FileKind::Learned, 1);
    framing::append_record(&mut bytes, &postcard::to_stdvec(&version_1).unwrap());
    storage.create("learned.0").unwrap();
    storage.append("learned.0", &bytes).unwrap();
    let restored = load(&storage, &fingerprint(), 110).restored.unwrap();
    let read = restored.learned;
    assert_eq!(
        (read.concurrency_limit, read.run_times, read.tenants),
        (
            Some(5),
            vec![[7; 12]],
            vec![coralstep::TenantService::default()]
        )
    );
    let mut later = framing::file_header(FileKind::Learned, FORMAT_VERSION + 1);
    later.extend_from_slice(b"unknown contents");
    storage.create("learned.1").unwrap();
    storage.append("learned.1", &later).unwrap();
    assert_eq!(
        load(&storage, &fingerprint(), 110).rejected,
        [RejectedSnapshot {
            file: "learned.1",
            error: SnapshotError::UnsupportedVersion {
                version: FORMAT_VERSION + 1
            }
        }]
    );
    for number in 10..14 {
        save_with_limit(&mut storage, 6, SequenceNumber(number), 120).unwrap();
    }
    assert_eq!(storage.read("learned.1", MAX_FILE_BYTES).unwrap(), later);
    assert_eq!(limit(&load(&storage, &fingerprint(), 130)), Some(6));
    // If both files have a later version, saving fails.
    storage.corrupt("learned.0", |bytes| bytes.clone_from(&later));
    assert!(matches!(
        save_with_limit(&mut storage, 6, SequenceNumber(20), 140),
        Err(SaveError::NoFreeGeneration)
    ));
}

#[test]
fn full_or_failing_disk_is_reported_and_keeps_older_snapshot() {
    for step in 0..5 {
        let mut storage = storage_with_snapshots(&[(5, 100)]);
        storage.faults.error_at = Some(storage.operations + step);
        assert!(save_with_limit(&mut storage, 6, SequenceNumber(2), 110).is_err());
        assert!(
            limit(&load(&storage, &fingerprint(), 120))
                .is_some_and(|limit| limit == 5 || step == 4)
        );
    }
    let mut full = storage_with_snapshots(&[(5, 100)]);
    full.faults.capacity_bytes = Some(full.read("learned.0", MAX_FILE_BYTES).unwrap().len() + 20);
    assert!(matches!(
        save_with_limit(&mut full, 6, SequenceNumber(2), 110),
        Err(SaveError::Storage(error)) if error.kind() == io::ErrorKind::StorageFull
    ));
    assert_eq!(limit(&load(&full, &fingerprint(), 120)), Some(5));
}

/// Guards against version 1, which is no longer written, changing along with the current version.
#[test]
fn encoding_of_version_1_is_unchanged() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/golden/version_1/learned.0"
    );
    let version_1 = StoredV1 {
        sequence_number: SequenceNumber((1 << 40) + 201),
        written_at_s: 1_790_000_300,
        server: "server-17.alps".to_owned(),
        cores: 144,
        methods: ["search", "order/place", "grüße"]
            .map(str::to_owned)
            .to_vec(),
        dependency_share: Some(0.375),
        run_times: (0..3)
            .map(|method| std::array::from_fn(|bin| (method * 12 + bin as u32) * 131))
            .collect(),
        call_times: std::array::from_fn(|bin| 1 << (bin * 2)),
        concurrency_limit: Some(300),
        call_permits: Some(3.625),
        best_call_time: Some((1 << 33) + 7),
    };
    let mut bytes = framing::file_header(FileKind::Learned, 1);
    framing::append_record(&mut bytes, &postcard::to_stdvec(&version_1).unwrap());
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(path, &bytes).unwrap();
    }
    assert_eq!(std::fs::read(path).unwrap(), bytes);
}
