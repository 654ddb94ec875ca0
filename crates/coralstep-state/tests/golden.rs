//! Compares the files of a state directory with the golden files in `tests/golden`.
//! `GOLDEN_WRITE=1` rewrites these; use one thread (`--test-threads=1`), as other tests read them.
use std::path::{Path, PathBuf};

use coralstep::LearnedState;
use coralstep_fleet::fleet::{Publication, Snapshot};
use coralstep_fleet::rollout::RpcCounts;
use coralstep_fleet::{Fleet, FleetConfig, Member, VersionId};
use coralstep_state::confidence;
use coralstep_state::faulty_storage::FaultyStorage;
use coralstep_state::fingerprint::ConfigFingerprint;
use coralstep_state::fleet_record::{self, FleetRecord, LoadedFleetRecord};
use coralstep_state::snapshot::{self, LoadedSnapshots, RestoredState, SequenceNumber};
use coralstep_state::storage::ReadOnlyDir;
use coralstep_state::wal::{
    MAX_RESULT_BYTES, RecordedOutcome, ReplayDecision, WalEvent, WriteAheadLog,
};
use coralstep_state::{DirStorage, Storage};

/// Times at which the snapshots were written, in seconds since the Unix epoch.
const WRITTEN_S: [u64; 2] = [1_790_000_000, 1_790_000_300];
/// Time at which they are read, in seconds since the Unix epoch.
const NOW_S: u64 = 1_790_003_900;
const NOW_MS: u64 = NOW_S * 1_000;
const EXPIRES_AT_MS: u64 = NOW_MS + 90_000;
const SEQUENCE_NUMBERS: [SequenceNumber; 2] = [
    SequenceNumber((1 << 40) + 200),
    SequenceNumber((1 << 40) + 201),
];
const MAX_LOG_BYTES: usize = 64 << 20;
const MAX_READ_BYTES: usize = 1 << 20;

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Asserts that the golden file contains `bytes`.
fn assert_golden(name: &str, bytes: &[u8]) {
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(golden(name), bytes).unwrap();
    }
    assert!(
        std::fs::read(golden(name)).unwrap() == bytes,
        "{name} differs from the golden file: {bytes:02x?}"
    );
}

/// A temporary directory with copies of golden files, which is removed on drop.
struct GoldenCopy(PathBuf);

impl GoldenCopy {
    fn new(test: &str, from: &str) -> (GoldenCopy, DirStorage) {
        let path =
            std::env::temp_dir().join(format!("coralstep-golden-{test}-{}", std::process::id()));
        let directory = DirStorage::open(&path).unwrap();
        for file in std::fs::read_dir(golden(from)).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), path.join(file.file_name())).unwrap();
        }
        (GoldenCopy(path), directory)
    }
}

impl Drop for GoldenCopy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn fingerprint() -> ConfigFingerprint {
    ConfigFingerprint {
        server: "server-17.alps".to_owned(),
        cores: 144,
        methods: ["search", "order/place", "grüße"]
            .map(str::to_owned)
            .to_vec(),
        dependency_share: Some(0.375),
        tenants: ["north", "south-östlich"].map(str::to_owned).to_vec(),
    }
}

fn tenant(requested: f64, served: f64) -> coralstep::TenantService {
    coralstep::TenantService { requested, served }
}

fn learned(limit: u32) -> LearnedState {
    LearnedState {
        run_times: (0..3)
            .map(|method| std::array::from_fn(|bin| (method * 12 + bin as u32) * 131))
            .collect(),
        call_times: std::array::from_fn(|bin| 1 << (bin * 2)),
        concurrency_limit: Some(limit),
        call_permits: Some(3.625),
        best_call_time: Some((1 << 33) + 7),
        tenants: vec![tenant(4096.5, 2048.25), tenant(1.0e9, 0.0)],
    }
}

fn learned_without_optional_values() -> (LearnedState, ConfigFingerprint) {
    let learned = LearnedState {
        concurrency_limit: None,
        call_permits: None,
        best_call_time: None,
        ..learned(0)
    };
    (
        learned,
        ConfigFingerprint {
            dependency_share: None,
            ..fingerprint()
        },
    )
}

fn fleet() -> Fleet {
    let config = FleetConfig {
        name: "alps".to_owned(),
        own: Member::new(
            "server-17.alps",
            "10.1.2.200:7300".parse().unwrap(),
            1_790_000_000_123,
        ),
        peers: Vec::new(),
        max_lag: 10_000,
        max_silence: 10_000,
        exclude_when_isolated: false,
        seed: 7,
    };
    Fleet::new(config, 0, WRITTEN_S[0] * 1_000)
}

/// Returns the record of a server after it published and activated two versions, and its active
/// version.
fn fleet_record() -> (FleetRecord, VersionId) {
    let mut fleet = fleet();
    for second in 1..=2 {
        let (now, wall_ms) = (second * 1_000, (WRITTEN_S[0] + second) * 1_000);
        fleet.handle_timeout(
            now,
            wall_ms,
            RpcCounts {
                submitted: second << 33,
                succeeded: second * 200,
            },
        );
        let publication = Publication {
            content: format!("{{\"limits\":[],\"größe\":{second}}}"),
            mandatory: second == 2,
            stages: vec![0.25, 1.0],
            stage_pause_ms: 70_000,
        };
        let id = fleet.publish(now, wall_ms, publication).unwrap();
        fleet.activate(now, wall_ms, id);
    }
    let snapshot = fleet.snapshot();
    let record = FleetRecord {
        active_version: snapshot.active_version,
        audit_entries: snapshot.audit_entries,
    };
    (record, fleet.active_version())
}

/// Returns a key for each outcome of a run, and the decision on a repeated request with the key.
fn runs() -> Vec<(&'static [u8], Option<RecordedOutcome>, ReplayDecision)> {
    let result: Vec<u8> = (0..200).collect();
    vec![
        (
            b"good",
            Some(RecordedOutcome::Succeeded(result.clone())),
            ReplayDecision::Replay(result),
        ),
        (
            b"good without a result",
            Some(RecordedOutcome::Succeeded(Vec::new())),
            ReplayDecision::Replay(Vec::new()),
        ),
        (
            b"good, its result too long",
            Some(RecordedOutcome::Succeeded(vec![1; MAX_RESULT_BYTES + 1])),
            ReplayDecision::Aborted,
        ),
        (
            b"bad",
            Some(RecordedOutcome::Failed),
            ReplayDecision::Aborted,
        ),
        (
            b"never ran",
            Some(RecordedOutcome::NeverStarted),
            ReplayDecision::NotSeen,
        ),
        (&[0xfe; 150], None, ReplayDecision::Aborted),
    ]
}

/// Writes two segments: the first with each kind of record, the second after the disk was full.
fn write_log(files: FaultyStorage) -> FaultyStorage {
    let mut log = WriteAheadLog::open(files, MAX_LOG_BYTES).unwrap();
    for (key, outcome, _) in runs() {
        assert!(log.record_start(key, EXPIRES_AT_MS, NOW_MS));
        log.commit(NOW_MS).unwrap();
        if let Some(outcome) = outcome {
            log.record_outcome(key, outcome, NOW_MS);
            log.commit(NOW_MS).unwrap();
        }
    }
    log.storage_mut().faults.capacity_bytes = Some(0);
    assert!(log.record_start(b"lost", EXPIRES_AT_MS, NOW_MS) && log.commit(NOW_MS).is_err());
    log.storage_mut().faults.capacity_bytes = None;
    log.maintain(NOW_MS + 5_000);
    assert!(log.is_protected());
    assert!(log.record_start(b"second segment", EXPIRES_AT_MS + 1, NOW_MS + 5_000));
    log.commit(NOW_MS + 5_000).unwrap();
    log.into_storage()
}

fn write_state_directory() -> FaultyStorage {
    let mut files = FaultyStorage::default();
    let (older, older_config) = learned_without_optional_values();
    snapshot::save(
        &mut files,
        &older,
        &older_config,
        SEQUENCE_NUMBERS[0],
        WRITTEN_S[0],
    )
    .unwrap();
    snapshot::save(
        &mut files,
        &learned(300),
        &fingerprint(),
        SEQUENCE_NUMBERS[1],
        WRITTEN_S[1],
    )
    .unwrap();
    fleet_record::save(&mut files, &fleet_record().0).unwrap();
    write_log(files)
}

fn loaded(learned: LearnedState, written_s: u64, number: SequenceNumber) -> LoadedSnapshots {
    let confidence = confidence::from_age((NOW_S - written_s) as f64);
    LoadedSnapshots {
        restored: Some(RestoredState {
            learned,
            confidence,
        }),
        last_sequence_number: number,
        rejected: Vec::new(),
    }
}

/// Guards against a change of the order or width of fields, variants or frames.
#[test]
fn encoding_of_state_directory_is_unchanged() {
    let files = write_state_directory();
    let names = files.list().unwrap();
    assert_eq!(
        names,
        [
            "fleet",
            "learned.0",
            "learned.1",
            "tokens.0000000000000000",
            "tokens.0000000000000001"
        ]
    );
    for name in names {
        assert_golden(
            &format!("folder/{name}"),
            &files.read(&name, MAX_READ_BYTES).unwrap(),
        );
    }
}

fn assert_recorded_decisions(storage: DirStorage) {
    let mut log = WriteAheadLog::open(storage, MAX_LOG_BYTES).unwrap();
    while log.recover(NOW_MS) {}
    for (key, _, decision) in runs() {
        assert_eq!(
            log.replay_decision(key, NOW_MS),
            decision,
            "{}",
            key.escape_ascii()
        );
    }
    assert_eq!(
        log.replay_decision(b"second segment", EXPIRES_AT_MS),
        ReplayDecision::Aborted
    );
    assert_eq!(
        log.replay_decision(b"second segment", EXPIRES_AT_MS + 1),
        ReplayDecision::NotSeen
    );
    assert_eq!(
        log.replay_decision(b"good", EXPIRES_AT_MS),
        ReplayDecision::NotSeen,
        "the key has expired"
    );
    assert_eq!(log.take_events(), [] as [WalEvent; 0]);
}

/// Guards against restoring less or other state from the directory of an earlier release.
#[test]
fn state_directory_of_earlier_release_is_restored_completely() {
    let (_copy, mut directory) = GoldenCopy::new("whole", "folder");
    assert_eq!(
        snapshot::load(&directory, &fingerprint(), NOW_S),
        loaded(learned(300), WRITTEN_S[1], SEQUENCE_NUMBERS[1])
    );
    let (expected, active_version) = fleet_record();
    let LoadedFleetRecord {
        record,
        corrupt_bytes,
    } = fleet_record::load(&directory).unwrap().unwrap();
    assert_eq!((&record, corrupt_bytes), (&expected, 0));
    let mut restarted = fleet();
    let snapshot = Snapshot {
        active_version: record.active_version,
        audit_entries: record.audit_entries,
    };
    assert_eq!(restarted.restore(&snapshot), Some(active_version));
    // A broken chain of audit entries would be reported as an event.
    assert_eq!(
        (restarted.take_events(), restarted.snapshot().audit_entries),
        (Vec::new(), expected.audit_entries)
    );
    // The older generation is restored if the newer one is missing.
    directory.remove("learned.1").unwrap();
    let (older, older_config) = learned_without_optional_values();
    assert_eq!(
        snapshot::load(&directory, &older_config, NOW_S),
        loaded(older, WRITTEN_S[0], SEQUENCE_NUMBERS[0])
    );
    assert_recorded_decisions(directory);
}

/// Guards against a server losing its learned state after an update from a release with version 1.
#[test]
fn snapshot_of_version_1_is_restored_without_tenants() {
    let (_copy, directory) = GoldenCopy::new("version_1", "version_1");
    let expected = LearnedState {
        tenants: vec![tenant(0.0, 0.0); 2],
        ..learned(300)
    };
    assert_eq!(
        snapshot::load(&directory, &fingerprint(), NOW_S),
        loaded(expected, WRITTEN_S[1], SEQUENCE_NUMBERS[1])
    );
}

/// Guards against JSON keys, which operators' tools read, changing with the names of fields.
#[test]
fn json_keys_of_summaries_and_exports_are_unchanged() {
    let directory = ReadOnlyDir::open(&golden("folder")).unwrap();
    let views = serde_json::to_string_pretty(&snapshot::list_snapshots(&directory, NOW_S)).unwrap();
    assert_golden("views.json", views.as_bytes());
    for name in ["learned.0", "learned.1"] {
        let export = snapshot::export_json(&directory, name).unwrap();
        assert_golden(&format!("{name}.json"), export.as_bytes());
    }
}
