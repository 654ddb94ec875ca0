//! The bytes of a state folder, held still by the files under `tests/golden`. `GOLDEN_WRITE=1` writes these
//! anew, in one thread (`--test-threads=1`), since other tests read them.
use std::path::{Path, PathBuf};

use coralstep::LearnedState;
use coralstep_fleet::fleet::{Publication, Snapshot};
use coralstep_fleet::rollout::RpcCounts;
use coralstep_fleet::{Fleet, FleetConfig, Member, VersionId};
use coralstep_state::faulty::Faulty;
use coralstep_state::files::Look;
use coralstep_state::journal::{End, Event, Journal, RESULT, Verdict};
use coralstep_state::record::{self, Record};
use coralstep_state::snapshot::{self, Found};
use coralstep_state::trust::{self, Fingerprint};
use coralstep_state::{Files, Folder};

/// Snapshots were written at these seconds, and are read at `NOW_S`.
const WRITTEN_S: [u64; 2] = [1_790_000_000, 1_790_000_300];
const NOW_S: u64 = 1_790_003_900;
const NOW_MS: u64 = NOW_S * 1_000;
const UNTIL_MS: u64 = NOW_MS + 90_000;
const NUMBERS: [u64; 2] = [(1 << 40) + 200, (1 << 40) + 201];
const JOURNAL_MOST: usize = 64 << 20;
const READ_MOST: usize = 1 << 20;

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// `bytes` have to be what the golden file holds.
fn same_as_golden(name: &str, bytes: &[u8]) {
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(golden(name), bytes).unwrap();
    }
    assert!(
        std::fs::read(golden(name)).unwrap() == bytes,
        "{name} is written otherwise: {bytes:02x?}"
    );
}

/// A folder of its own that holds copies of the golden files; it goes with its guard.
struct Copied(PathBuf);

impl Copied {
    fn new(test: &str, from: &str) -> (Copied, Folder) {
        let path =
            std::env::temp_dir().join(format!("coralstep-golden-{test}-{}", std::process::id()));
        let folder = Folder::open(&path).unwrap();
        for file in std::fs::read_dir(golden(from)).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), path.join(file.file_name())).unwrap();
        }
        (Copied(path), folder)
    }
}

impl Drop for Copied {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn fingerprint() -> Fingerprint {
    Fingerprint {
        server: "server-17.alps".to_owned(),
        cores: 144,
        methods: ["search", "order/place", "grüße"]
            .map(str::to_owned)
            .to_vec(),
        dependency: Some(0.375),
        tenants: ["north", "south-östlich"].map(str::to_owned).to_vec(),
    }
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
        tenants: vec![[4096.5, 2048.25], [1.0e9, 0.0]],
    }
}

fn nothing_optional() -> (LearnedState, Fingerprint) {
    let learned = LearnedState {
        concurrency_limit: None,
        call_permits: None,
        best_call_time: None,
        ..learned(0)
    };
    (
        learned,
        Fingerprint {
            dependency: None,
            ..fingerprint()
        },
    )
}

fn fleet() -> Fleet {
    let terms = FleetConfig {
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
    Fleet::new(terms, 0, WRITTEN_S[0] * 1_000)
}

/// The version that a server acts on after it published and took two, and its record of the earlier ones.
fn fleet_record() -> (Record, VersionId) {
    let mut fleet = fleet();
    for second in 1..=2 {
        let (now, wall_ms) = (second * 1_000, (WRITTEN_S[0] + second) * 1_000);
        fleet.tick(
            now,
            wall_ms,
            RpcCounts {
                decided: second << 33,
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
    let kept = fleet.snapshot();
    let record = Record {
        acts_on: kept.active_version,
        entries: kept.audit_entries,
    };
    (record, fleet.active_version())
}

/// A run of each end, each known from then on as the verdict says.
fn runs() -> Vec<(&'static [u8], Option<End>, Verdict)> {
    let result: Vec<u8> = (0..200).collect();
    vec![
        (
            b"good",
            Some(End::Good(result.clone())),
            Verdict::Replay(result),
        ),
        (
            b"good without a result",
            Some(End::Good(Vec::new())),
            Verdict::Replay(Vec::new()),
        ),
        (
            b"good, its result too long",
            Some(End::Good(vec![1; RESULT + 1])),
            Verdict::Aborted,
        ),
        (b"bad", Some(End::Bad), Verdict::Aborted),
        (b"never ran", Some(End::NeverRan), Verdict::Fresh),
        (&[0xfe; 150], None, Verdict::Aborted),
    ]
}

/// Two segments: each kind of record in the first, the second begun after a disk was full.
fn write_journal(files: Faulty) -> Faulty {
    let mut journal = Journal::open(files, JOURNAL_MOST).unwrap();
    for (token, end, _) in runs() {
        assert!(journal.begin(token, UNTIL_MS, NOW_MS));
        journal.commit(NOW_MS).unwrap();
        if let Some(end) = end {
            journal.ended(token, end, NOW_MS);
            journal.commit(NOW_MS).unwrap();
        }
    }
    journal.files().faults.room = Some(0);
    assert!(journal.begin(b"lost", UNTIL_MS, NOW_MS) && journal.commit(NOW_MS).is_err());
    journal.files().faults.room = None;
    journal.expire(NOW_MS + 5_000);
    assert!(journal.protected());
    assert!(journal.begin(b"second segment", UNTIL_MS + 1, NOW_MS + 5_000));
    journal.commit(NOW_MS + 5_000).unwrap();
    journal.into_files()
}

fn write_folder() -> Faulty {
    let mut files = Faulty::default();
    let (older, of) = nothing_optional();
    snapshot::save(&mut files, &older, &of, NUMBERS[0], WRITTEN_S[0]).unwrap();
    snapshot::save(
        &mut files,
        &learned(300),
        &fingerprint(),
        NUMBERS[1],
        WRITTEN_S[1],
    )
    .unwrap();
    record::save(&mut files, &fleet_record().0).unwrap();
    write_journal(files)
}

fn believed(learned: LearnedState, written_s: u64, number: u64) -> Found {
    let trust = trust::by_age((NOW_S - written_s) as f64);
    Found {
        learned: Some((learned, trust)),
        number,
        refused: Vec::new(),
    }
}

/// Guards against a field, variant or frame that is written in another order or width than before.
#[test]
fn a_state_folder_is_written_to_the_same_bytes() {
    let files = write_folder();
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
        same_as_golden(
            &format!("folder/{name}"),
            &files.read(&name, READ_MOST).unwrap(),
        );
    }
}

/// Guards against a start that believes less, or other things, of a folder that an earlier program left.
#[test]
fn a_state_folder_of_before_is_read_whole_and_believed_the_same() {
    let (_copied, mut folder) = Copied::new("whole", "folder");
    assert_eq!(
        snapshot::load(&folder, &fingerprint(), NOW_S),
        believed(learned(300), WRITTEN_S[1], NUMBERS[1])
    );
    let (expected, acts_on) = fleet_record();
    let (read, spoilt) = record::load(&folder).unwrap().unwrap();
    assert_eq!((&read, spoilt), (&expected, 0));
    let mut restarted = fleet();
    let kept = Snapshot {
        active_version: read.acts_on,
        audit_entries: read.entries,
    };
    assert_eq!(restarted.restore(&kept), Some(acts_on));
    // Its chain of entries hangs together, else there were an event.
    assert_eq!(
        (restarted.take_events(), restarted.snapshot().audit_entries),
        (Vec::new(), expected.entries)
    );
    // The older generation counts where the newer one is gone.
    folder.remove("learned.1").unwrap();
    let (older, of) = nothing_optional();
    assert_eq!(
        snapshot::load(&folder, &of, NOW_S),
        believed(older, WRITTEN_S[0], NUMBERS[0])
    );

    let mut journal = Journal::open(folder, JOURNAL_MOST).unwrap();
    while journal.recover(NOW_MS) {}
    for (token, _, verdict) in runs() {
        assert_eq!(
            journal.verdict(token, NOW_MS),
            verdict,
            "{}",
            token.escape_ascii()
        );
    }
    assert_eq!(
        journal.verdict(b"second segment", UNTIL_MS),
        Verdict::Aborted
    );
    assert_eq!(
        journal.verdict(b"second segment", UNTIL_MS + 1),
        Verdict::Fresh
    );
    assert_eq!(
        journal.verdict(b"good", UNTIL_MS),
        Verdict::Fresh,
        "its window is over"
    );
    assert_eq!(journal.events(), [] as [Event; 0]);
}

/// Guards against a server that starts from nothing after an update from the program that wrote version 1.
#[test]
fn a_snapshot_of_version_1_is_believed_without_tenants() {
    let (_copied, folder) = Copied::new("version_1", "version_1");
    let expected = LearnedState {
        tenants: vec![[0.0; 2]; 2],
        ..learned(300)
    };
    assert_eq!(
        snapshot::load(&folder, &fingerprint(), NOW_S),
        believed(expected, WRITTEN_S[1], NUMBERS[1])
    );
}

/// Guards against JSON keys that are renamed with the fields: operators' tools read these.
#[test]
fn what_operators_are_shown_of_a_folder_keeps_its_keys() {
    let look = Look::new(&golden("folder")).unwrap();
    let views = serde_json::to_string_pretty(&snapshot::views(&look, NOW_S)).unwrap();
    same_as_golden("views.json", views.as_bytes());
    for name in ["learned.0", "learned.1"] {
        let export = snapshot::export(&look, name).unwrap();
        same_as_golden(&format!("{name}.json"), export.as_bytes());
    }
}
