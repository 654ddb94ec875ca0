use super::*;
use crate::faulty_storage::{Faults, FaultyStorage};
use crate::framing::FileKind;

const WINDOW_MS: u64 = 60_000;

fn open(storage: FaultyStorage, now_ms: u64) -> WriteAheadLog<FaultyStorage> {
    let mut log = WriteAheadLog::open(storage, 64 << 20).unwrap();
    while log.recover(now_ms) {}
    log
}

fn fresh() -> WriteAheadLog<FaultyStorage> {
    open(FaultyStorage::default(), 0)
}

fn run(
    log: &mut WriteAheadLog<FaultyStorage>,
    key: &[u8],
    end: Option<RecordedOutcome>,
    now_ms: u64,
) -> bool {
    if !log.record_start(key, now_ms + WINDOW_MS, now_ms) || log.commit(now_ms).is_err() {
        return false;
    }
    if let Some(end) = end {
        log.record_outcome(key, end, now_ms);
        let _ = log.commit(now_ms);
    }
    true
}

#[test]
fn after_a_restart_a_repeat_is_told_what_is_known() {
    let mut log = fresh();
    assert!(run(
        &mut log,
        b"good",
        Some(RecordedOutcome::Succeeded(b"42".to_vec())),
        10
    ));
    assert!(run(&mut log, b"bad", Some(RecordedOutcome::Failed), 10));
    assert!(run(
        &mut log,
        b"never",
        Some(RecordedOutcome::NeverStarted),
        10
    ));
    assert!(run(&mut log, b"doubt", None, 10));
    assert!(run(
        &mut log,
        b"long",
        Some(RecordedOutcome::Succeeded(vec![1; MAX_RESULT_BYTES + 1])),
        10
    ));
    let decisions = |log: &WriteAheadLog<FaultyStorage>, now: u64| {
        ["good", "bad", "never", "doubt", "long", "new"]
            .map(|key| log.replay_decision(key.as_bytes(), now))
    };
    let all = [
        ReplayDecision::Replay(b"42".to_vec()),
        ReplayDecision::Aborted,
        ReplayDecision::NotSeen,
        ReplayDecision::Aborted,
        ReplayDecision::Aborted,
        ReplayDecision::NotSeen,
    ];
    assert_eq!(decisions(&log, 20), all);
    let again = open(log.into_storage().after_power_cut(1, Faults::default()), 20);
    assert_eq!(decisions(&again, 20), all);
    // Keys expire.
    assert_eq!(
        decisions(&again, 10 + WINDOW_MS),
        [const { ReplayDecision::NotSeen }; 6]
    );
}

/// A power cut at every operation, with every kind of loss: a key that ran never counts as not seen.
#[test]
fn no_key_runs_twice_whenever_the_power_is_cut() {
    let play = |faults: Faults| {
        let mut log = WriteAheadLog::open(FaultyStorage::with_faults(faults), 64 << 20).unwrap();
        // Keys whose run started, and those whose result was committed.
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
    let steps = play(Faults::default()).0.operations;
    assert!(steps > 15);
    for cut in 0..=steps {
        for seed in 0..60 {
            let (storage, started, committed) = play(Faults {
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
fn entries_are_committed_in_batches_within_the_commit_delay() {
    let mut log = fresh();
    assert_eq!(log.commit_due_ms(), None);
    assert!(log.record_start(b"a", 1_000, 100));
    assert_eq!(log.commit_due_ms(), Some(105));
    (1..MAX_BATCH_RECORDS)
        .for_each(|number| assert!(log.record_start(&[number as u8], 1_000, 101)));
    assert_eq!(log.commit_due_ms(), Some(100));
    let steps = log.storage_mut().operations;
    log.commit(102).unwrap();
    // One write and one sync for all, and a segment that is made first.
    assert_eq!(
        (log.storage_mut().operations - steps, log.commit_due_ms()),
        (5, None)
    );
}

#[test]
fn segments_are_removed_once_all_their_keys_have_expired() {
    let mut log = fresh();
    let result = vec![7; MAX_RESULT_BYTES];
    for number in 0..2_500u32 {
        assert!(run(
            &mut log,
            &number.to_le_bytes(),
            Some(RecordedOutcome::Succeeded(result.clone())),
            u64::from(number)
        ));
    }
    let storage = log.storage_mut().list().unwrap();
    assert!(storage.len() >= 3, "{storage:?}");
    // A key whose outcome is in another segment than its start.
    assert!(log.record_start(b"straddles", 200_000, 3_000));
    log.commit(3_000).unwrap();
    for number in 0..1_200u32 {
        assert!(run(
            &mut log,
            &(number + 5_000).to_le_bytes(),
            Some(RecordedOutcome::Succeeded(result.clone())),
            3_000
        ));
    }
    log.record_outcome(
        b"straddles",
        RecordedOutcome::Succeeded(b"here".to_vec()),
        3_000,
    );
    log.commit(3_000).unwrap();
    let mut again = open(
        log.into_storage().after_power_cut(3, Faults::default()),
        3_000,
    );
    assert_eq!(
        again.replay_decision(b"straddles", 3_000),
        ReplayDecision::Replay(b"here".to_vec())
    );
    assert_eq!(
        again.replay_decision(&7u32.to_le_bytes(), 3_000),
        ReplayDecision::Replay(result)
    );
    let WalSize { keys, bytes } = again.size();
    assert!(
        keys > 3_000 && bytes > 3 * MAX_SEGMENT_BYTES,
        "{keys} {bytes}"
    );
    again.maintain(250_000);
    let WalSize { keys, bytes } = again.size();
    assert!(keys == 0 && bytes <= MAX_SEGMENT_BYTES, "{keys} {bytes}");
    assert_eq!(again.storage_mut().list().unwrap().len(), 1);
}

#[test]
fn a_repeat_waits_while_recovery_reads() {
    let mut log = fresh();
    assert!(run(
        &mut log,
        b"a",
        Some(RecordedOutcome::Succeeded(b"1".to_vec())),
        0
    ));
    let mut again = WriteAheadLog::open(log.into_storage(), 64 << 20).unwrap();
    assert_eq!(again.replay_decision(b"a", 10), ReplayDecision::Wait);
    assert!(
        !again.record_start(b"b", 1_000, 10),
        "nothing begins before all is known"
    );
    assert!(!again.recover(10));
    assert_eq!(
        again.replay_decision(b"a", 10),
        ReplayDecision::Replay(b"1".to_vec())
    );
}

#[test]
fn a_full_or_failing_disk_leaves_keys_unprotected_until_it_recovers() {
    let mut log = fresh();
    assert!(run(&mut log, b"a", Some(RecordedOutcome::Failed), 0));
    log.storage_mut().faults.capacity_bytes = Some(0);
    assert!(log.record_start(b"b", 1_000, 10));
    assert!(matches!(log.commit(10), Err(WalError::Storage(_))));
    assert!(!log.record_start(b"c", 1_000, 11) && !log.is_protected());
    assert_eq!(log.take_events().len(), 1);
    log.storage_mut().faults.capacity_bytes = None;
    log.maintain(20);
    assert!(!log.is_protected(), "it is left alone for a while");
    log.maintain(10 + RETRY_DELAY_MS);
    assert!(log.is_protected() && log.take_events() == [WalEvent::Protected]);
    assert!(run(
        &mut log,
        b"d",
        Some(RecordedOutcome::Succeeded(b"4".to_vec())),
        6_000
    ));
    // What came behind a torn record is read all the same.
    let again = open(
        log.into_storage().after_power_cut(1, Faults::default()),
        6_010,
    );
    assert_eq!(
        again.replay_decision(b"d", 6_010),
        ReplayDecision::Replay(b"4".to_vec())
    );
    // The room that was agreed on is a bound, too.
    let mut small = WriteAheadLog::open(FaultyStorage::default(), 200).unwrap();
    assert!(
        (0..50u8)
            .any(|number| !small.record_start(&[number], 1_000, 0) || small.commit(0).is_err())
    );
    assert!(small.size().bytes <= 200);
}

#[test]
fn a_later_version_is_left_alone_and_corrupt_bytes_are_reported() {
    let mut log = fresh();
    let result = vec![7; MAX_RESULT_BYTES];
    for number in 0..2_000u32 {
        assert!(run(
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
    let mut again = open(storage, 10);
    let events = again.take_events();
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
        again.replay_decision(&9u32.to_le_bytes(), 10),
        ReplayDecision::Replay(result)
    );
    again.maintain(WINDOW_MS * 2);
    assert!(again.storage_mut().list().unwrap().contains(&later));
}
