//! Tests of the pool's public interface in virtual time.
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

fn start(pool: &mut Pool<&'static str>, at: u64) -> Attempt {
    pool.start_attempt(ms(at), None).expect("an application")
}

/// Opens the breaker with twenty failed attempts.
fn open_breaker(pool: &mut Pool<&'static str>, at: u64) {
    for _ in 0..20 {
        let attempt = start(pool, at);
        pool.finish_attempt(ms(at), attempt, AttemptOutcome::Interrupted);
    }
}

fn transitions(pool: &mut Pool<&'static str>) -> Vec<String> {
    pool.take_breaker_transitions()
        .iter()
        .map(|(key, transition)| format!("{key} {transition}"))
        .collect()
}

#[test]
fn same_seed_gives_same_selections() {
    let select = || {
        let mut pool = pool(&KEYS);
        let mut chosen = Vec::new();
        for at in 0..200 {
            let attempt = start(&mut pool, at);
            chosen.push(*pool.key(&attempt));
            if at % 3 > 0 {
                pool.finish_attempt(ms(at + 1), attempt, AttemptOutcome::Answered);
            }
        }
        chosen
    };
    assert_eq!(select(), select());
}

#[test]
fn less_loaded_and_faster_applications_get_more_attempts() {
    let mut pool = pool(&["slow", "fast"]);
    let mut count: HashMap<&str, u32> = HashMap::new();
    for at in 0..400 {
        let attempt = start(&mut pool, at * 100);
        let key = *pool.key(&attempt);
        *count.entry(key).or_default() += 1;
        pool.finish_attempt(
            ms(at * 100 + if key == "slow" { 90 } else { 10 }),
            attempt,
            AttemptOutcome::Answered,
        );
    }
    assert!(count["fast"] > 300, "{count:?}");
    // With nine attempts in flight the fast one is the more loaded of the two.
    let selected: Vec<_> = (0..12)
        .map(|_| *{
            let attempt = start(&mut pool, 50_000);
            pool.key(&attempt)
        })
        .collect();
    assert!(
        selected.iter().filter(|key| **key == "slow").count() >= 1,
        "{selected:?}"
    );
}

#[test]
fn breaker_opens_on_failures_and_sends_one_probe_per_cooldown() {
    let mut pool = pool(&["a"]);
    open_breaker(&mut pool, 0);
    assert_eq!(transitions(&mut pool), ["a closed -> open, failed 1.00"]);
    let wait = pool.start_attempt(ms(1), None).unwrap_err();
    assert!(wait > Span::ms(700) && wait <= Span::ms(1_000), "{wait:?}");
    let mut probes = 0;
    for at in 1..15_000 {
        if let Ok(probe) = pool.start_attempt(ms(at), None) {
            probes += 1;
            assert!(pool.start_attempt(ms(at), None).is_err(), "second probe");
            pool.finish_attempt(ms(at), probe, AttemptOutcome::NotSent);
        }
    }
    // Cooldowns of 1, 2, 4 and 8 s, each shortened by up to a quarter at random.
    assert!((4..=5).contains(&probes), "{probes}");
    let last = transitions(&mut pool);
    assert_eq!(
        last.last().map(String::as_str),
        Some("a half-open -> open, failed 1.00")
    );
    let probe = (15_000..60_000)
        .find_map(|at| pool.start_attempt(ms(at), None).ok())
        .unwrap();
    pool.finish_attempt(ms(60_000), probe, AttemptOutcome::Answered);
    assert_eq!(
        transitions(&mut pool).last().map(String::as_str),
        Some("a half-open -> closed, failed 0.00")
    );
}

#[test]
fn attempts_past_the_deadline_count_as_failed_and_stay_in_flight() {
    let mut pool = pool(&["a"]);
    let mut attempts: Vec<Attempt> = (0..20).map(|_| start(&mut pool, 0)).collect();
    for attempt in &mut attempts {
        pool.time_out_attempt(ms(500), attempt);
        pool.time_out_attempt(ms(501), attempt);
    }
    assert_eq!(transitions(&mut pool), ["a closed -> open, failed 1.00"]);
    assert_eq!(pool.in_flight(), 20);
    // A probe that hangs counts as failed, too.
    let mut probe = start(&mut pool, 1_600);
    pool.time_out_attempt(ms(2_000), &mut probe);
    assert_eq!(
        transitions(&mut pool).last().map(String::as_str),
        Some("a half-open -> open, failed 1.00")
    );
    // Later outcomes are not recorded; they only reduce the number in flight.
    attempts
        .into_iter()
        .chain([probe])
        .for_each(|attempt| pool.finish_attempt(ms(9_000), attempt, AttemptOutcome::Answered));
    assert_eq!((pool.in_flight(), transitions(&mut pool).len()), (0, 0));
}

#[test]
fn next_attempt_becomes_the_probe_after_an_abandoned_one() {
    let mut pool = pool(&["a"]);
    open_breaker(&mut pool, 0);
    let probe = start(&mut pool, 1_100);
    pool.finish_attempt(ms(1_110), probe, AttemptOutcome::Abandoned);
    let next = start(&mut pool, 1_110);
    pool.finish_attempt(ms(1_120), next, AttemptOutcome::Answered);
    assert_eq!(
        transitions(&mut pool).last().map(String::as_str),
        Some("a half-open -> closed, failed 0.00")
    );
}

#[test]
fn returned_application_goes_through_slow_start() {
    let mut pool = pool(&["a", "b"]);
    let attempts_at_b = |pool: &mut Pool<&'static str>, from: u64| {
        // Eight attempts in flight at any time, each equally fast.
        let mut attempts = Vec::new();
        let mut count = 0;
        for at in 0..1_000 {
            let next = pool.start_attempt(ms(from + at), None).unwrap();
            count += u32::from(*pool.key(&next) == "b");
            attempts.push(next);
            if attempts.len() > 8 {
                let first = attempts.remove(0);
                pool.finish_attempt(ms(from + at), first, AttemptOutcome::Answered);
            }
        }
        attempts.into_iter().for_each(|attempt| {
            pool.finish_attempt(ms(from + 1_000), attempt, AttemptOutcome::Answered)
        });
        count
    };
    let before = attempts_at_b(&mut pool, 0);
    pool.set_applications(ms(2_000), &["a"]);
    pool.set_applications(ms(2_000), &["a", "b"]);
    let slow = attempts_at_b(&mut pool, 2_100);
    let later = attempts_at_b(&mut pool, 20_000);
    assert!(
        slow * 3 < before && later * 10 > before * 8,
        "{before} {slow} {later}"
    );
}

#[test]
fn removed_application_gets_no_new_attempts_and_drains() {
    let mut pool = pool(&["a", "b"]);
    let mut open = Vec::new();
    while !open.iter().any(|attempt| *pool.key(attempt) == "a") {
        open.push(start(&mut pool, 0));
    }
    pool.set_applications(ms(1), &["b"]);
    for at in 2..50 {
        let next = start(&mut pool, at);
        assert_eq!(*pool.key(&next), "b");
        pool.finish_attempt(ms(at), next, AttemptOutcome::Answered);
    }
    assert!(
        pool.status(ms(0))
            .iter()
            .any(|status| status.draining && status.key == "a" && status.in_flight > 0)
    );
    open.into_iter()
        .for_each(|attempt| pool.finish_attempt(ms(60), attempt, AttemptOutcome::Answered));
    assert_eq!(
        pool.status(ms(0))
            .iter()
            .map(|status| status.key)
            .collect::<Vec<_>>(),
        ["b"]
    );
    pool.set_applications(ms(70), &[]);
    assert!(pool.start_attempt(ms(71), None).is_err());
}

#[test]
fn retry_avoids_the_last_application_if_there_is_another() {
    let mut pool = pool(&["a", "b"]);
    for at in 0..50 {
        let first = start(&mut pool, at);
        let (slot, key) = (first.slot(), *pool.key(&first));
        pool.finish_attempt(ms(at), first, AttemptOutcome::Answered);
        let second = pool.start_attempt(ms(at), Some(slot)).unwrap();
        assert_ne!(*pool.key(&second), key);
        pool.finish_attempt(ms(at), second, AttemptOutcome::Answered);
    }
}

#[test]
fn retries_only_safe_attempts_before_the_deadline_within_the_budget() {
    let mut pool = pool(&["a"]);
    let deadline = ms(1_000);
    for (outcome, idempotent, attempts_made, at, expected) in [
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
            pool.try_retry(ms(at), outcome, idempotent, attempts_made, deadline),
            expected,
            "{outcome:?} {idempotent} {attempts_made} {at}"
        );
    }
    // 1000 failed requests allow 100 retries, and up to 10 from the accumulated budget.
    let retries = (0..1000)
        .filter(|_| {
            pool.record_request();
            pool.try_retry(ms(0), AttemptOutcome::NotSent, true, 1, deadline)
        })
        .count();
    assert!((100..=110).contains(&retries), "{retries}");
}

#[test]
fn peer_reports_lower_the_outcomes_a_breaker_needs_and_shorten_its_cooldown() {
    let failures_to_open = |min_outcomes: Option<u32>| {
        let mut pool = Pool::new(PoolConfig::default(), 3);
        pool.set_applications(ms(0), &["a"]);
        let mut failed = 0;
        while pool.status(ms(failed))[0].state == "closed" {
            min_outcomes
                .into_iter()
                .for_each(|count| pool.apply_peer_reports(&"a", count, None));
            let attempt = pool.start_attempt(ms(failed), None).unwrap();
            failed += 1;
            pool.finish_attempt(ms(failed), attempt, AttemptOutcome::Failed);
        }
        (pool, failed)
    };
    assert_eq!(
        (
            failures_to_open(None).1,
            failures_to_open(Some(2)).1,
            failures_to_open(Some(0)).1
        ),
        (20, 2, 2)
    );
    let (mut pool, _) = failures_to_open(Some(2));
    let status = &pool.status(ms(100))[0];
    assert_eq!(
        (status.recent_attempts, status.recent_failures, status.state),
        (2, 2, "open")
    );
    assert_eq!(pool.status(ms(9_000))[0].recent_attempts, 0);
    assert!(pool.start_attempt(ms(300), None).is_err(), "in cooldown");
    // Only an earlier end of the cooldown is applied.
    pool.apply_peer_reports(&"a", 20, Some(ms(60_000)));
    pool.apply_peer_reports(&"a", 20, Some(ms(400)));
    pool.apply_peer_reports(&"b", 2, Some(ms(400)));
    let probe = pool.start_attempt(ms(400), None).unwrap();
    pool.finish_attempt(ms(420), probe, AttemptOutcome::Answered);
    assert_eq!(pool.status(ms(420))[0].state, "closed");
}

#[test]
fn in_flight_limit_holds_and_follows_the_configuration() {
    let mut pool = Pool::new(
        PoolConfig {
            max_in_flight: 3,
            ..PoolConfig::default()
        },
        1,
    );
    pool.set_applications(ms(0), &["a", "b"]);
    let mut attempts: Vec<Attempt> = (0..6)
        .map(|_| pool.start_attempt(ms(0), None).unwrap())
        .collect();
    assert!(pool.start_attempt(ms(0), None).is_err());
    pool.finish_attempt(ms(1), attempts.pop().unwrap(), AttemptOutcome::Answered);
    assert!(pool.start_attempt(ms(1), None).is_ok());
    // A new configuration applies at once to the limit and to retries; attempts in flight stay.
    pool.finish_attempt(ms(1), attempts.pop().unwrap(), AttemptOutcome::Answered);
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
    attempts.extend((0..3).map(|_| pool.start_attempt(ms(1), None).unwrap()));
    assert!(
        pool.start_attempt(ms(1), None).is_err()
            && pool.try_retry(ms(1), AttemptOutcome::NotSent, true, 1, ms(9))
    );
    assert_eq!(pool.in_flight(), 8);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// After any sequence of selections, outcomes, timeouts and changes of the pool, the number in flight is right, and after
    /// a minute of successful answers every breaker is closed.
    #[test]
    fn pool_recovers_from_any_history(steps in prop::collection::vec((0u8..8, 0u8..8, 1u64..3_000), 1..120), seed in any::<u64>()) {
        let mut pool = Pool::new(PoolConfig { max_in_flight: 4, ..PoolConfig::default() }, seed);
        pool.set_applications(ms(0), &KEYS);
        let (mut now, mut open): (u64, Vec<Attempt>) = (0, Vec::new());
        for (step, index, wait) in steps {
            match step {
                0..=2 => open.extend(pool.start_attempt(ms(now), None)),
                3 | 4 if !open.is_empty() => {
                    let attempt = open.swap_remove(index as usize % open.len());
                    let outcome = [AttemptOutcome::Answered, AttemptOutcome::Failed, AttemptOutcome::NotSent, AttemptOutcome::Interrupted, AttemptOutcome::Abandoned][index as usize % 5];
                    pool.finish_attempt(ms(now), attempt, outcome);
                }
                5 if !open.is_empty() => {
                    let at = index as usize % open.len();
                    pool.time_out_attempt(ms(now), &mut open[at]);
                }
                6 => pool.set_applications(ms(now), &KEYS[..1 + index as usize % 4]),
                _ => now += wait,
            }
            prop_assert_eq!(pool.in_flight() as usize, open.len());
        }
        open.into_iter().for_each(|attempt| pool.finish_attempt(ms(now), attempt, AttemptOutcome::Answered));
        pool.set_applications(ms(now), &KEYS);
        for _ in 0..6_000 {
            now += 10;
            if let Ok(attempt) = pool.start_attempt(ms(now), None) {
                pool.finish_attempt(ms(now + 1), attempt, AttemptOutcome::Answered);
            }
        }
        let status = pool.status(ms(0));
        prop_assert_eq!(status.len(), 4);
        prop_assert!(status.iter().all(|status| status.state == "closed" && status.in_flight == 0), "{:?}", status);
    }
}
