//! The pool's promises, from its outside and in virtual time.
use std::collections::HashMap;

use coralstep::{Span, Time};
use coralstep_balancer::{Attempt, AttemptOutcome, Pool, PoolConfig};
use proptest::prelude::*;

const KEYS: [&str; 4] = ["a", "b", "c", "d"];

fn ms(ms: u64) -> Time {
    Time(1_000_000) + Span::ms(ms)
}

fn pool(keys: &[&'static str]) -> Pool<&'static str> {
    let mut pool = Pool::new(PoolConfig::default(), 1);
    pool.set_applications(ms(0), keys);
    pool
}

fn pick(pool: &mut Pool<&'static str>, at: u64) -> Attempt {
    pool.start_attempt(ms(at), None).expect("an application")
}

/// Lets twenty attempts fail.
fn open(pool: &mut Pool<&'static str>, at: u64) {
    for _ in 0..20 {
        let pick = pick(pool, at);
        pool.finish_attempt(ms(at), pick, AttemptOutcome::Interrupted);
    }
}

fn turns(pool: &mut Pool<&'static str>) -> Vec<String> {
    pool.take_breaker_transitions()
        .iter()
        .map(|(key, turn)| format!("{key} {turn}"))
        .collect()
}

#[test]
fn the_same_seed_chooses_the_same() {
    let play = || {
        let mut pool = pool(&KEYS);
        let mut chosen = Vec::new();
        for at in 0..200 {
            let pick = pick(&mut pool, at);
            chosen.push(*pool.key(&pick));
            if at % 3 > 0 {
                pool.finish_attempt(ms(at + 1), pick, AttemptOutcome::Answered);
            }
        }
        chosen
    };
    assert_eq!(play(), play());
}

#[test]
fn the_less_loaded_and_the_quicker_get_more() {
    let mut pool = pool(&["slow", "quick"]);
    let mut count: HashMap<&str, u32> = HashMap::new();
    for at in 0..400 {
        let pick = pick(&mut pool, at * 100);
        let key = *pool.key(&pick);
        *count.entry(key).or_default() += 1;
        pool.finish_attempt(
            ms(at * 100 + if key == "slow" { 90 } else { 10 }),
            pick,
            AttemptOutcome::Answered,
        );
    }
    assert!(count["quick"] > 300, "{count:?}");
    // With nine in hand the quick one is no longer the better choice.
    let held: Vec<_> = (0..12)
        .map(|_| *{
            let pick = pick(&mut pool, 50_000);
            pool.key(&pick)
        })
        .collect();
    assert!(
        held.iter().filter(|key| **key == "slow").count() >= 1,
        "{held:?}"
    );
}

#[test]
fn a_failing_application_is_shut_and_one_trial_a_cooldown_decides() {
    let mut pool = pool(&["a"]);
    open(&mut pool, 0);
    assert_eq!(turns(&mut pool), ["a closed -> open, failed 1.00"]);
    let wait = pool.start_attempt(ms(1), None).unwrap_err();
    assert!(wait > Span::ms(700) && wait <= Span::ms(1_000), "{wait:?}");
    let mut trials = 0;
    for at in 1..15_000 {
        if let Ok(trial) = pool.start_attempt(ms(at), None) {
            trials += 1;
            assert!(pool.start_attempt(ms(at), None).is_err(), "one at a time");
            pool.finish_attempt(ms(at), trial, AttemptOutcome::NotSent);
        }
    }
    // After 1, 2, 4, 8 seconds, each less a chance quarter.
    assert!((4..=5).contains(&trials), "{trials}");
    let last = turns(&mut pool);
    assert_eq!(
        last.last().map(String::as_str),
        Some("a half-open -> open, failed 1.00")
    );
    let trial = (15_000..60_000)
        .find_map(|at| pool.start_attempt(ms(at), None).ok())
        .unwrap();
    pool.finish_attempt(ms(60_000), trial, AttemptOutcome::Answered);
    assert_eq!(
        turns(&mut pool).last().map(String::as_str),
        Some("a half-open -> closed, failed 0.00")
    );
}

#[test]
fn an_application_that_says_nothing_has_failed_when_the_time_is_over_and_keeps_what_it_holds() {
    let mut pool = pool(&["a"]);
    let mut held: Vec<Attempt> = (0..20).map(|_| pick(&mut pool, 0)).collect();
    for pick in &mut held {
        pool.time_out_attempt(ms(500), pick);
        pool.time_out_attempt(ms(501), pick);
    }
    assert_eq!(turns(&mut pool), ["a closed -> open, failed 1.00"]);
    assert_eq!(pool.in_flight(), 20);
    // Its trial hangs as well, and that is an outcome.
    let mut trial = pick(&mut pool, 1_600);
    pool.time_out_attempt(ms(2_000), &mut trial);
    assert_eq!(
        turns(&mut pool).last().map(String::as_str),
        Some("a half-open -> open, failed 1.00")
    );
    // Late ends only give back what was in hand.
    held.into_iter()
        .chain([trial])
        .for_each(|pick| pool.finish_attempt(ms(9_000), pick, AttemptOutcome::Answered));
    assert_eq!((pool.in_flight(), turns(&mut pool).len()), (0, 0));
}

#[test]
fn a_trial_that_nobody_waits_for_leaves_its_part_to_the_next() {
    let mut pool = pool(&["a"]);
    open(&mut pool, 0);
    let trial = pick(&mut pool, 1_100);
    pool.finish_attempt(ms(1_110), trial, AttemptOutcome::Abandoned);
    let next = pick(&mut pool, 1_110);
    pool.finish_attempt(ms(1_120), next, AttemptOutcome::Answered);
    assert_eq!(
        turns(&mut pool).last().map(String::as_str),
        Some("a half-open -> closed, failed 0.00")
    );
}

#[test]
fn who_returns_starts_slowly() {
    let mut pool = pool(&["a", "b"]);
    let share = |pool: &mut Pool<&'static str>, from: u64| {
        // One after another, each as quick, two in hand throughout.
        let mut held = Vec::new();
        let mut count = 0;
        for at in 0..1_000 {
            let next = pool.start_attempt(ms(from + at), None).unwrap();
            count += u32::from(*pool.key(&next) == "b");
            held.push(next);
            if held.len() > 8 {
                let first = held.remove(0);
                pool.finish_attempt(ms(from + at), first, AttemptOutcome::Answered);
            }
        }
        held.into_iter()
            .for_each(|pick| pool.finish_attempt(ms(from + 1_000), pick, AttemptOutcome::Answered));
        count
    };
    let before = share(&mut pool, 0);
    pool.set_applications(ms(2_000), &["a"]);
    pool.set_applications(ms(2_000), &["a", "b"]);
    let slow = share(&mut pool, 2_100);
    let later = share(&mut pool, 20_000);
    assert!(
        slow * 3 < before && later * 10 > before * 8,
        "{before} {slow} {later}"
    );
}

#[test]
fn who_is_taken_away_gets_nothing_new_and_keeps_what_is_open() {
    let mut pool = pool(&["a", "b"]);
    let mut open = Vec::new();
    while !open.iter().any(|pick| *pool.key(pick) == "a") {
        open.push(pick(&mut pool, 0));
    }
    pool.set_applications(ms(1), &["b"]);
    for at in 2..50 {
        let next = pick(&mut pool, at);
        assert_eq!(*pool.key(&next), "b");
        pool.finish_attempt(ms(at), next, AttemptOutcome::Answered);
    }
    assert!(
        pool.status(ms(0))
            .iter()
            .any(|view| view.draining && view.key == "a" && view.in_flight > 0)
    );
    open.into_iter()
        .for_each(|pick| pool.finish_attempt(ms(60), pick, AttemptOutcome::Answered));
    assert_eq!(
        pool.status(ms(0))
            .iter()
            .map(|view| view.key)
            .collect::<Vec<_>>(),
        ["b"]
    );
    pool.set_applications(ms(70), &[]);
    assert!(pool.start_attempt(ms(71), None).is_err());
}

#[test]
fn the_one_that_failed_is_not_chosen_again_where_there_is_another() {
    let mut pool = pool(&["a", "b"]);
    for at in 0..50 {
        let first = pick(&mut pool, at);
        let (slot, key) = (first.slot(), *pool.key(&first));
        pool.finish_attempt(ms(at), first, AttemptOutcome::Answered);
        let second = pool.start_attempt(ms(at), Some(slot)).unwrap();
        assert_ne!(*pool.key(&second), key);
        pool.finish_attempt(ms(at), second, AttemptOutcome::Answered);
    }
}

#[test]
fn repeats_only_where_that_does_no_harm_in_time_and_within_the_budget() {
    let mut pool = pool(&["a"]);
    let due = ms(1_000);
    for (end, idempotent, made, at, good) in [
        (AttemptOutcome::NotSent, false, 1, 0, true),
        (AttemptOutcome::Interrupted, false, 1, 0, false),
        (AttemptOutcome::Failed, false, 1, 0, false),
        (AttemptOutcome::Interrupted, true, 1, 0, true),
        (AttemptOutcome::Interrupted, true, 3, 0, false),
        (AttemptOutcome::NotSent, true, 1, 1_000, false),
        (AttemptOutcome::Answered, true, 1, 0, false),
        (AttemptOutcome::Abandoned, true, 1, 0, false),
    ] {
        (0..10).for_each(|_| pool.record_request());
        assert_eq!(
            pool.try_retry(ms(at), end, idempotent, made, due),
            good,
            "{end:?} {idempotent} {made} {at}"
        );
    }
    // 1000 first tries that all fail get a tenth more, and what was saved.
    let repeats = (0..1000)
        .filter(|_| {
            pool.record_request();
            pool.try_retry(ms(0), AttemptOutcome::NotSent, true, 1, due)
        })
        .count();
    assert!((100..=110).contains(&repeats), "{repeats}");
}

#[test]
fn what_others_saw_of_an_application_lets_two_failures_do_and_ends_a_cooldown_sooner() {
    let shut_after = |need: Option<u32>| {
        let mut pool = Pool::new(PoolConfig::default(), 3);
        pool.set_applications(ms(0), &["a"]);
        let mut failed = 0;
        while pool.status(ms(failed))[0].state == "closed" {
            need.into_iter()
                .for_each(|need| pool.apply_peer_reports(&"a", need, None));
            let pick = pool.start_attempt(ms(failed), None).unwrap();
            failed += 1;
            pool.finish_attempt(ms(failed), pick, AttemptOutcome::Failed);
        }
        (pool, failed)
    };
    assert_eq!(
        (
            shut_after(None).1,
            shut_after(Some(2)).1,
            shut_after(Some(0)).1
        ),
        (20, 2, 2)
    );
    let (mut pool, _) = shut_after(Some(2));
    let view = &pool.status(ms(100))[0];
    assert_eq!(
        (view.recent_attempts, view.recent_failures, view.state),
        (2, 2, "open")
    );
    assert_eq!(pool.status(ms(9_000))[0].recent_attempts, 0);
    assert!(pool.start_attempt(ms(300), None).is_err(), "it cools down");
    // Later than its own end changes nothing; sooner does.
    pool.apply_peer_reports(&"a", 20, Some(ms(60_000)));
    pool.apply_peer_reports(&"a", 20, Some(ms(400)));
    pool.apply_peer_reports(&"b", 2, Some(ms(400)));
    let trial = pool.start_attempt(ms(400), None).unwrap();
    pool.finish_attempt(ms(420), trial, AttemptOutcome::Answered);
    assert_eq!(pool.status(ms(420))[0].state, "closed");
}

#[test]
fn nobody_holds_more_than_the_bound() {
    let mut pool = Pool::new(
        PoolConfig {
            max_in_flight: 3,
            ..PoolConfig::default()
        },
        1,
    );
    pool.set_applications(ms(0), &["a", "b"]);
    let mut held: Vec<Attempt> = (0..6)
        .map(|_| pool.start_attempt(ms(0), None).unwrap())
        .collect();
    assert!(pool.start_attempt(ms(0), None).is_err());
    pool.finish_attempt(ms(1), held.pop().unwrap(), AttemptOutcome::Answered);
    assert!(pool.start_attempt(ms(1), None).is_ok());
    // Other terms hold at once, for what was full and for a repeat, and leave what is in hand.
    pool.finish_attempt(ms(1), held.pop().unwrap(), AttemptOutcome::Answered);
    pool.set_config(PoolConfig {
        max_in_flight: 2,
        retry_ratio: 0.0,
        ..PoolConfig::default()
    });
    assert!(
        pool.start_attempt(ms(1), None).is_err()
            && !pool.try_retry(ms(1), AttemptOutcome::NotSent, true, 1, ms(9))
    );
    pool.set_config(PoolConfig {
        max_in_flight: 4,
        ..PoolConfig::default()
    });
    held.extend((0..3).map(|_| pool.start_attempt(ms(1), None).unwrap()));
    assert!(
        pool.start_attempt(ms(1), None).is_err()
            && pool.try_retry(ms(1), AttemptOutcome::NotSent, true, 1, ms(9))
    );
    assert_eq!(pool.in_flight(), 8);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Any history of choices, ends, lateness and changes of the pool: what is in hand is what is out, and once all
    /// answer well again for a minute, each application is served by.
    #[test]
    fn whatever_happened_the_pool_comes_free(steps in prop::collection::vec((0u8..8, 0u8..8, 1u64..3_000), 1..120), seed in any::<u64>()) {
        let mut pool = Pool::new(PoolConfig { max_in_flight: 4, ..PoolConfig::default() }, seed);
        pool.set_applications(ms(0), &KEYS);
        let (mut now, mut out): (u64, Vec<Attempt>) = (0, Vec::new());
        for (what, which, wait) in steps {
            match what {
                0..=2 => out.extend(pool.start_attempt(ms(now), None)),
                3 | 4 if !out.is_empty() => {
                    let pick = out.swap_remove(which as usize % out.len());
                    let end = [AttemptOutcome::Answered, AttemptOutcome::Failed, AttemptOutcome::NotSent, AttemptOutcome::Interrupted, AttemptOutcome::Abandoned][which as usize % 5];
                    pool.finish_attempt(ms(now), pick, end);
                }
                5 if !out.is_empty() => {
                    let at = which as usize % out.len();
                    pool.time_out_attempt(ms(now), &mut out[at]);
                }
                6 => pool.set_applications(ms(now), &KEYS[..1 + which as usize % 4]),
                _ => now += wait,
            }
            prop_assert_eq!(pool.in_flight() as usize, out.len());
        }
        out.into_iter().for_each(|pick| pool.finish_attempt(ms(now), pick, AttemptOutcome::Answered));
        pool.set_applications(ms(now), &KEYS);
        for _ in 0..6_000 {
            now += 10;
            if let Ok(pick) = pool.start_attempt(ms(now), None) {
                pool.finish_attempt(ms(now + 1), pick, AttemptOutcome::Answered);
            }
        }
        let view = pool.status(ms(0));
        prop_assert_eq!(view.len(), 4);
        prop_assert!(view.iter().all(|view| view.state == "closed" && view.in_flight == 0), "{:?}", view);
    }
}
