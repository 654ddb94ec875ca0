use super::*;
use crate::faulty::{Faults, Faulty};

const WINDOW: u64 = 60_000;

fn open(files: Faulty, now_ms: u64) -> Journal<Faulty> {
    let mut journal = Journal::open(files, 64 << 20).unwrap();
    while journal.recover(now_ms) {}
    journal
}

fn fresh() -> Journal<Faulty> {
    open(Faulty::default(), 0)
}

fn run(journal: &mut Journal<Faulty>, token: &[u8], end: Option<End>, now_ms: u64) -> bool {
    if !journal.begin(token, now_ms + WINDOW, now_ms) || journal.commit(now_ms).is_err() {
        return false;
    }
    if let Some(end) = end {
        journal.ended(token, end, now_ms);
        let _ = journal.commit(now_ms);
    }
    true
}

#[test]
fn after_a_restart_a_repeat_hears_what_is_known() {
    let mut journal = fresh();
    assert!(run(
        &mut journal,
        b"good",
        Some(End::Good(b"42".to_vec())),
        10
    ));
    assert!(run(&mut journal, b"bad", Some(End::Bad), 10));
    assert!(run(&mut journal, b"never", Some(End::NeverRan), 10));
    assert!(run(&mut journal, b"doubt", None, 10));
    assert!(run(
        &mut journal,
        b"long",
        Some(End::Good(vec![1; RESULT + 1])),
        10
    ));
    let told = |journal: &Journal<Faulty>, now: u64| {
        ["good", "bad", "never", "doubt", "long", "new"]
            .map(|token| journal.verdict(token.as_bytes(), now))
    };
    let all = [
        Verdict::Replay(b"42".to_vec()),
        Verdict::Aborted,
        Verdict::Fresh,
        Verdict::Aborted,
        Verdict::Aborted,
        Verdict::Fresh,
    ];
    assert_eq!(told(&journal, 20), all);
    let again = open(journal.into_files().after_cut(1, Faults::default()), 20);
    assert_eq!(told(&again, 20), all);
    // Windows are over at some time.
    assert_eq!(told(&again, 10 + WINDOW), [const { Verdict::Fresh }; 6]);
}

/// A power cut at every operation, with every kind of loss: what ran is never told to be fresh.
#[test]
fn no_token_runs_twice_whenever_the_power_is_cut() {
    let play = |faults: Faults| {
        let mut journal = Journal::open(Faulty::with(faults), 64 << 20).unwrap();
        // Tokens whose run began, and the results that were told.
        let (mut ran, mut told) = (Vec::new(), Vec::new());
        for number in 0..4u8 {
            if !journal.begin(&[number], 100_000, 0) || journal.commit(0).is_err() {
                continue;
            }
            ran.push(number);
            journal.ended(&[number], End::Good(vec![number]), 0);
            if journal.commit(0).is_ok() {
                told.push(number);
            }
        }
        (journal.into_files(), ran, told)
    };
    let steps = play(Faults::default()).0.steps;
    assert!(steps > 15);
    for cut in 0..=steps {
        for seed in 0..60 {
            let (files, ran, told) = play(Faults {
                cut: Some(cut),
                ..Faults::default()
            });
            let journal = open(files.after_cut(seed, Faults::default()), 10);
            for number in ran {
                let verdict = journal.verdict(&[number], 10);
                assert_ne!(verdict, Verdict::Fresh, "{cut} {seed} {number}");
                if told.contains(&number) {
                    assert_eq!(
                        verdict,
                        Verdict::Replay(vec![number]),
                        "{cut} {seed} {number}"
                    );
                }
            }
        }
    }
}

#[test]
fn a_run_begins_only_after_its_commit_and_commits_are_gathered() {
    let mut journal = fresh();
    assert_eq!(journal.due(), None);
    assert!(journal.begin(b"a", 1_000, 100));
    assert_eq!(journal.due(), Some(105));
    (1..GATHER).for_each(|number| assert!(journal.begin(&[number as u8], 1_000, 101)));
    assert_eq!(journal.due(), Some(100));
    let steps = journal.files().steps;
    journal.commit(102).unwrap();
    // One write and one sync for all, and a segment that is made first.
    assert_eq!((journal.files().steps - steps, journal.due()), (5, None));
}

#[test]
fn segments_follow_each_other_and_go_whole_once_their_windows_are_over() {
    let mut journal = fresh();
    let result = vec![7; RESULT];
    for number in 0..2_500u32 {
        assert!(run(
            &mut journal,
            &number.to_le_bytes(),
            Some(End::Good(result.clone())),
            u64::from(number)
        ));
    }
    let files = journal.files().list().unwrap();
    assert!(files.len() >= 3, "{files:?}");
    // One whose record of the end stands in another segment than that of its beginning.
    assert!(journal.begin(b"straddles", 200_000, 3_000));
    journal.commit(3_000).unwrap();
    for number in 0..1_200u32 {
        assert!(run(
            &mut journal,
            &(number + 5_000).to_le_bytes(),
            Some(End::Good(result.clone())),
            3_000
        ));
    }
    journal.ended(b"straddles", End::Good(b"here".to_vec()), 3_000);
    journal.commit(3_000).unwrap();
    let mut again = open(journal.into_files().after_cut(3, Faults::default()), 3_000);
    assert_eq!(
        again.verdict(b"straddles", 3_000),
        Verdict::Replay(b"here".to_vec())
    );
    assert_eq!(
        again.verdict(&7u32.to_le_bytes(), 3_000),
        Verdict::Replay(result)
    );
    let (known, bytes) = again.size();
    assert!(known > 3_000 && bytes > 3 * SEGMENT, "{known} {bytes}");
    again.expire(250_000);
    let (known, bytes) = again.size();
    assert!(known == 0 && bytes <= SEGMENT, "{known} {bytes}");
    assert_eq!(again.files().list().unwrap().len(), 1);
}

#[test]
fn a_repeat_that_comes_while_recovery_reads_waits() {
    let mut journal = fresh();
    assert!(run(&mut journal, b"a", Some(End::Good(b"1".to_vec())), 0));
    let mut again = Journal::open(journal.into_files(), 64 << 20).unwrap();
    assert_eq!(again.verdict(b"a", 10), Verdict::Wait);
    assert!(
        !again.begin(b"b", 1_000, 10),
        "nothing begins before all is known"
    );
    assert!(!again.recover(10));
    assert_eq!(again.verdict(b"a", 10), Verdict::Replay(b"1".to_vec()));
}

#[test]
fn a_disk_that_is_full_or_fails_turns_to_unprotected_and_back_and_never_stalls() {
    let mut journal = fresh();
    assert!(run(&mut journal, b"a", Some(End::Bad), 0));
    journal.files().faults.room = Some(0);
    assert!(journal.begin(b"b", 1_000, 10));
    assert!(matches!(journal.commit(10), Err(Event::Unprotected(_))));
    assert!(!journal.begin(b"c", 1_000, 11) && !journal.protected());
    assert_eq!(journal.events().len(), 1);
    journal.files().faults.room = None;
    journal.expire(20);
    assert!(!journal.protected(), "it is left alone for a while");
    journal.expire(10 + AGAIN_MS);
    assert!(journal.protected() && journal.events() == [Event::Protected]);
    assert!(run(
        &mut journal,
        b"d",
        Some(End::Good(b"4".to_vec())),
        6_000
    ));
    // What came behind a torn record is read all the same.
    let again = open(journal.into_files().after_cut(1, Faults::default()), 6_010);
    assert_eq!(again.verdict(b"d", 6_010), Verdict::Replay(b"4".to_vec()));
    // The room that was agreed on is a bound, too.
    let mut small = Journal::open(Faulty::default(), 200).unwrap();
    assert!((0..50u8).any(|number| !small.begin(&[number], 1_000, 0) || small.commit(0).is_err()));
    assert!(small.size().1 <= 200);
}

#[test]
fn a_later_version_is_left_alone_and_spoilt_bytes_are_told() {
    let mut journal = fresh();
    let result = vec![7; RESULT];
    for number in 0..2_000u32 {
        assert!(run(
            &mut journal,
            &number.to_le_bytes(),
            Some(End::Good(result.clone())),
            0
        ));
    }
    let mut files = journal.into_files();
    let first = files.list().unwrap()[0].clone();
    files.spoil(&first, |bytes| bytes[40] ^= 1);
    let later = name(0xffff);
    files.create(&later).unwrap();
    files
        .append(&later, &frame::head(Kind::Tokens, VERSION + 1))
        .unwrap();
    let mut again = open(files, 10);
    let events = again.events();
    assert!(
        events
            .iter()
            .any(|event| matches!(event, Event::Spoilt(file, lost) if *file == first && *lost > 0))
    );
    assert!(events.contains(&Event::Later(later.clone(), VERSION + 1)));
    assert_eq!(
        again.verdict(&9u32.to_le_bytes(), 10),
        Verdict::Replay(result)
    );
    again.expire(WINDOW * 2);
    assert!(again.files().list().unwrap().contains(&later));
}
