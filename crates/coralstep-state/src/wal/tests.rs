use super::*;
use crate::faulty_storage::{Faults, FaultyStorage};
use crate::framing::FileKind;

const WINDOW_MS: u64 = 60_000;

fn open(storage: FaultyStorage, now_ms: u64) -> WriteAheadLog<FaultyStorage> {
    let mut log = WriteAheadLog::open(storage, 64 << 20).unwrap();
    while log.recover(now_ms) {}
    log
}

fn empty_log() -> WriteAheadLog<FaultyStorage> {
    open(FaultyStorage::default(), 0)
}

fn record_run(
    log: &mut WriteAheadLog<FaultyStorage>,
    key: &[u8],
    outcome: Option<RecordedOutcome>,
    now_ms: u64,
) -> bool {
    if !log.record_start(key, now_ms + WINDOW_MS, now_ms) || log.commit(now_ms).is_err() {
        return false;
    }
    if let Some(outcome) = outcome {
        log.record_outcome(key, outcome, now_ms);
        let _ = log.commit(now_ms);
    }
    true
}

#[test]
fn decision_on_repeated_key_survives_restart() {
    let mut log = empty_log();
    assert!(record_run(
        &mut log,
        b"ok",
        Some(RecordedOutcome::Succeeded(b"42".to_vec())),
        10
    ));
    assert!(record_run(
        &mut log,
        b"failed",
        Some(RecordedOutcome::Failed),
        10
    ));
    assert!(record_run(
        &mut log,
        b"never",
        Some(RecordedOutcome::NeverStarted),
        10
    ));
    assert!(record_run(&mut log, b"unknown", None, 10));
    assert!(record_run(
        &mut log,
        b"long",
        Some(RecordedOutcome::Succeeded(vec![1; MAX_RESULT_BYTES + 1])),
        10
    ));
    let decisions = |log: &WriteAheadLog<FaultyStorage>, now: u64| {
        ["ok", "failed", "never", "unknown", "long", "new"]
            .map(|key| log.replay_decision(key.as_bytes(), now))
    };
    let expected = [
        ReplayDecision::Replay(b"42".to_vec()),
        ReplayDecision::Aborted,
        ReplayDecision::NotSeen,
        ReplayDecision::Aborted,
        ReplayDecision::Aborted,
        ReplayDecision::NotSeen,
    ];
    assert_eq!(decisions(&log, 20), expected);
    let reopened = open(log.into_storage().after_power_cut(1, Faults::default()), 20);
    assert_eq!(decisions(&reopened, 20), expected);
    // Keys expire.
    assert_eq!(
        decisions(&reopened, 10 + WINDOW_MS),
        [const { ReplayDecision::NotSeen }; 6]
    );
}

/// Guards against a second run of a key after a power cut at any operation.
#[test]
fn no_key_runs_twice_after_power_cut_at_any_operation() {
    let run_workload = |faults: Faults| {
        let mut log = WriteAheadLog::open(FaultyStorage::with_faults(faults), 64 << 20).unwrap();
        // Keys whose run started, and keys whose result was committed.
        let (mut started, mut committed) = (Vec::new(), Vec::new());
        for number in 0..4u8 {
            if !log.record_start(&[number], 100_000, 0) || log.commit(0).is_err() {
                continue;
            }
            started.push(number);
            log.record_outcome(&[number], RecordedOutcome::Succeeded(vec![number]), 0);
            if log.commit(0).is_ok() {
                committed.push(number);
            }
        }
        (log.into_storage(), started, committed)
    };
    let operations = run_workload(Faults::default()).0.operations;
    assert!(operations > 15);
    for cut in 0..=operations {
        for seed in 0..60 {
            let (storage, started, committed) = run_workload(Faults {
                power_cut_at: Some(cut),
                ..Faults::default()
            });
            let log = open(storage.after_power_cut(seed, Faults::default()), 10);
            for number in started {
                let decision = log.replay_decision(&[number], 10);
                assert_ne!(decision, ReplayDecision::NotSeen, "{cut} {seed} {number}");
                if committed.contains(&number) {
                    assert_eq!(
                        decision,
                        ReplayDecision::Replay(vec![number]),
                        "{cut} {seed} {number}"
                    );
                }
            }
        }
    }
}

#[test]
fn entries_are_committed_in_batches_within_commit_delay() {
    let mut log = empty_log();
    assert_eq!(log.commit_due_ms(), None);
    assert!(log.record_start(b"a", 1_000, 100));
    assert_eq!(log.commit_due_ms(), Some(105));
    (1..MAX_BATCH_RECORDS)
        .for_each(|number| assert!(log.record_start(&[number as u8], 1_000, 101)));
    assert_eq!(log.commit_due_ms(), Some(100));
    let operations = log.storage_mut().operations;
    log.commit(102).unwrap();
    // One write and one sync for all entries, after three operations that create the segment.
    assert_eq!(
        (
            log.storage_mut().operations - operations,
            log.commit_due_ms()
        ),
        (5, None)
    );
}

#[test]
fn segments_are_removed_after_all_their_keys_have_expired() {
    let mut log = empty_log();
    let result = vec![7; MAX_RESULT_BYTES];
    for number in 0..2_500u32 {
        assert!(record_run(
            &mut log,
            &number.to_le_bytes(),
            Some(RecordedOutcome::Succeeded(result.clone())),
            u64::from(number)
        ));
    }
    let files = log.storage_mut().list().unwrap();
    assert!(files.len() >= 3, "{files:?}");
    // The outcome of this key is in another segment than its start.
    assert!(log.record_start(b"two_segments", 200_000, 3_000));
    log.commit(3_000).unwrap();
    for number in 0..1_200u32 {
        assert!(record_run(
            &mut log,
            &(number + 5_000).to_le_bytes(),
            Some(RecordedOutcome::Succeeded(result.clone())),
            3_000
        ));
    }
    log.record_outcome(
        b"two_segments",
        RecordedOutcome::Succeeded(b"here".to_vec()),
        3_000,
    );
    log.commit(3_000).unwrap();
    let mut reopened = open(
        log.into_storage().after_power_cut(3, Faults::default()),
        3_000,
    );
    assert_eq!(
        reopened.replay_decision(b"two_segments", 3_000),
        ReplayDecision::Replay(b"here".to_vec())
    );
    assert_eq!(
        reopened.replay_decision(&7u32.to_le_bytes(), 3_000),
        ReplayDecision::Replay(result)
    );
    let WalSize { keys, bytes } = reopened.size();
    assert!(
        keys > 3_000 && bytes > 3 * MAX_SEGMENT_BYTES,
        "{keys} {bytes}"
    );
    reopened.maintain(250_000);
    let WalSize { keys, bytes } = reopened.size();
    assert!(keys == 0 && bytes <= MAX_SEGMENT_BYTES, "{keys} {bytes}");
    assert_eq!(reopened.storage_mut().list().unwrap().len(), 1);
}

#[test]
fn repeated_key_waits_until_recovery_is_complete() {
    let mut log = empty_log();
    assert!(record_run(
        &mut log,
        b"a",
        Some(RecordedOutcome::Succeeded(b"1".to_vec())),
        0
    ));
    let mut reopened = WriteAheadLog::open(log.into_storage(), 64 << 20).unwrap();
    assert_eq!(reopened.replay_decision(b"a", 10), ReplayDecision::Wait);
    assert!(
        !reopened.record_start(b"b", 1_000, 10),
        "no run starts before recovery is complete"
    );
    assert!(!reopened.recover(10));
    assert_eq!(
        reopened.replay_decision(b"a", 10),
        ReplayDecision::Replay(b"1".to_vec())
    );
}

#[test]
fn keys_are_unprotected_while_disk_is_full_or_failing() {
    let mut log = empty_log();
    assert!(record_run(&mut log, b"a", Some(RecordedOutcome::Failed), 0));
    log.storage_mut().faults.capacity_bytes = Some(0);
    assert!(log.record_start(b"b", 1_000, 10));
    assert!(matches!(log.commit(10), Err(WalError::Storage(_))));
    assert!(!log.record_start(b"c", 1_000, 11) && !log.is_protected());
    assert_eq!(log.take_events().len(), 1);
    log.storage_mut().faults.capacity_bytes = None;
    log.maintain(20);
    assert!(!log.is_protected(), "the retry delay has not passed");
    log.maintain(10 + RETRY_DELAY_MS);
    assert!(log.is_protected() && log.take_events() == [WalEvent::Protected]);
    assert!(record_run(
        &mut log,
        b"d",
        Some(RecordedOutcome::Succeeded(b"4".to_vec())),
        6_000
    ));
    // Records after a torn record are read.
    let reopened = open(
        log.into_storage().after_power_cut(1, Faults::default()),
        6_010,
    );
    assert_eq!(
        reopened.replay_decision(b"d", 6_010),
        ReplayDecision::Replay(b"4".to_vec())
    );
    // The maximum length of the log is enforced, too.
    let mut small = WriteAheadLog::open(FaultyStorage::default(), 200).unwrap();
    assert!(
        (0..50u8)
            .any(|number| !small.record_start(&[number], 1_000, 0) || small.commit(0).is_err())
    );
    assert!(small.size().bytes <= 200);
}

#[test]
fn later_version_is_kept_and_corrupt_bytes_are_reported() {
    let mut log = empty_log();
    let result = vec![7; MAX_RESULT_BYTES];
    for number in 0..2_000u32 {
        assert!(record_run(
            &mut log,
            &number.to_le_bytes(),
            Some(RecordedOutcome::Succeeded(result.clone())),
            0
        ));
    }
    let mut storage = log.into_storage();
    let first = storage.list().unwrap()[0].clone();
    storage.corrupt(&first, |bytes| bytes[40] ^= 1);
    let later = segment::file_name(0xffff);
    storage.create(&later).unwrap();
    storage
        .append(
            &later,
            &framing::file_header(FileKind::IdempotencyKeys, FORMAT_VERSION + 1),
        )
        .unwrap();
    let mut reopened = open(storage, 10);
    let events = reopened.take_events();
    assert!(
        events
            .iter()
            .any(|event| matches!(event, WalEvent::Corrupt { file, corrupt_bytes } if *file == first && *corrupt_bytes > 0))
    );
    assert!(events.contains(&WalEvent::UnsupportedVersion {
        file: later.clone(),
        version: FORMAT_VERSION + 1
    }));
    assert_eq!(
        reopened.replay_decision(&9u32.to_le_bytes(), 10),
        ReplayDecision::Replay(result)
    );
    reopened.maintain(WINDOW_MS * 2);
    assert!(reopened.storage_mut().list().unwrap().contains(&later));
}
