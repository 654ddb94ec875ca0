//! Total attempts that a returned application receives from many processes, in virtual time. Each process has a pool of its own
//! and does not know the others. N expected attempts may be exceeded by random variation, up to 2 * sqrt(N) + 2.
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coralstep::{Span, Time};
use coralstep_balancer::{Attempt, AttemptOutcome, Pool, PoolConfig, SlowStartConfig};
use nanorand::{Rng, WyRand};

const KEYS: [&str; 4] = ["a", "b", "c", "returned"];
const SECOND: u64 = 10_000;
/// Latency of a response, in ticks.
const LATENCY: u64 = 500;
/// Length of a window in which attempts are counted, in ticks.
const WINDOW: u64 = 2 * SECOND;

fn config(initial_rate: f64, processes: u32) -> PoolConfig {
    let slow_start = SlowStartConfig {
        duration: Span(10 * SECOND),
        initial_rate,
        processes,
    };
    PoolConfig {
        slow_start,
        ..PoolConfig::default()
    }
}

/// Expected fraction of its regular attempts that an application receives `since` ticks after its return.
fn expected_fraction(since: u64) -> f64 {
    (since as f64 / (10 * SECOND) as f64).clamp(0.1, 1.0)
}

/// Actual and expected number of attempts at the returned application, by window.
struct WindowCounts {
    actual: Vec<f64>,
    expected: Vec<f64>,
}

impl WindowCounts {
    fn new() -> WindowCounts {
        WindowCounts {
            actual: vec![0.0; 5],
            expected: vec![0.0; 5],
        }
    }

    fn check(&self, case: &str) {
        for (index, (actual, expected)) in self.actual.iter().zip(&self.expected).enumerate() {
            assert!(
                *actual <= expected + 2.0 * expected.sqrt() + 2.0,
                "{case}, window {index}: {actual} of {expected:.1}"
            );
        }
    }
}

/// Makes `rate_per_process` attempts per second in each pool for ten seconds from the return of an application at `returned_at`. Each
/// attempt ends after [`LATENCY`]. `expected_per_attempt` gives the attempts expected at the returned application per attempt made.
fn simulate(
    pools: &mut [Pool<&'static str>],
    rate_per_process: f64,
    returned_at: u64,
    expected_per_attempt: impl Fn(u64) -> f64,
    seed: u64,
) -> WindowCounts {
    let mut rng = WyRand::new_seed(seed);
    let mut next_gap = || {
        (-(1.0 - f64::from(rng.generate::<u32>()) / 4.3e9).ln() / rate_per_process * SECOND as f64)
            as u64
            + 1
    };
    let mut arrivals: BinaryHeap<Reverse<(u64, usize)>> = (0..pools.len())
        .map(|at| Reverse((next_gap(), at)))
        .collect();
    let mut ends: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut attempts: std::collections::HashMap<u64, (usize, Attempt)> =
        std::collections::HashMap::new();
    let (mut counts, mut id) = (WindowCounts::new(), 0);
    while let Some(Reverse((at, process))) =
        arrivals.pop().filter(|Reverse((at, _))| *at < 10 * SECOND)
    {
        arrivals.push(Reverse((at + next_gap(), process)));
        while let Some(Reverse((end, ended))) =
            ends.peek().copied().filter(|Reverse((end, _))| *end <= at)
        {
            ends.pop();
            let (process, attempt) = attempts.remove(&ended).unwrap();
            pools[process].finish_attempt(
                Time(returned_at + end),
                attempt,
                AttemptOutcome::Answered,
            );
        }
        let window = (at / WINDOW) as usize;
        counts.expected[window] += expected_per_attempt(at);
        let Ok(attempt) = pools[process].start_attempt(Time(returned_at + at), None) else {
            continue;
        };
        counts.actual[window] += f64::from(u8::from(*pools[process].key(&attempt) == "returned"));
        id += 1;
        ends.push(Reverse((at + LATENCY, id)));
        attempts.insert(id, (process, attempt));
    }
    counts
}

/// Returns pools that have served for an hour when the last application returns, and the time of its return.
fn warm_pools(count: usize, config: PoolConfig, seed: u64) -> (Vec<Pool<&'static str>>, u64) {
    let returned_at = 1_000_000 + 3_600 * SECOND;
    let pool = |index: usize| {
        let mut pool = Pool::new(config, seed * 1_000 + index as u64);
        pool.set_applications(Time(1_000_000), &KEYS[..3]);
        pool.set_applications(Time(returned_at), &KEYS);
        pool
    };
    ((0..count).map(pool).collect(), returned_at)
}

#[test]
fn returned_application_gets_its_fraction_of_the_attempts_of_all_processes() {
    for processes in [1, 5, 20, 30] {
        for total_rate in [60.0, 600.0] {
            for seed in 1..=3 {
                let (mut pools, returned_at) = warm_pools(processes, config(0.0, 1), seed);
                let rate_per_process = total_rate / processes as f64;
                let counts = simulate(
                    &mut pools,
                    rate_per_process,
                    returned_at,
                    |at| expected_fraction(at) / KEYS.len() as f64,
                    seed,
                );
                counts.check(&format!(
                    "{processes} processes, {total_rate} per second, seed {seed}"
                ));
                // It must also get enough attempts to be observed to work.
                let (actual, expected) = (
                    counts.actual.iter().sum::<f64>(),
                    counts.expected.iter().sum::<f64>(),
                );
                assert!(
                    actual > expected / 2.0,
                    "{processes} processes, {total_rate} per second: {actual} of {expected:.1}"
                );
            }
        }
    }
}

#[test]
fn slower_cold_application_still_gets_its_fraction() {
    let (mut pools, returned_at) = warm_pools(1, config(0.0, 1), 5);
    let mut actual = 0;
    // No attempt is in flight when the next one starts.
    for at in 0..2_000 {
        let now = Time(returned_at + 5 * SECOND + at * 10);
        let attempt = pools[0].start_attempt(now, None).unwrap();
        let is_returned = *pools[0].key(&attempt) == "returned";
        actual += u32::from(is_returned);
        pools[0].finish_attempt(
            now + Span(if is_returned { 9 } else { 1 }),
            attempt,
            AttemptOutcome::Answered,
        );
    }
    // A quarter of the attempts is its regular share: half of that at first, 70 % at the end.
    assert!((200..=450).contains(&actual), "{actual}");
}

#[test]
fn initial_rate_limits_all_processes_together() {
    for processes in [1, 5, 20, 30] {
        for total_rate in [60.0, 600.0] {
            for seed in 1..=3 {
                // The process count is either configured at the start, or counted before a reload that configures the rate
                // and one process.
                let reloaded = seed == 3;
                let first = if reloaded {
                    config(0.0, 1)
                } else {
                    config(8.0, processes as u32)
                };
                let (mut pools, returned_at) = warm_pools(processes, first, seed);
                for pool in pools.iter_mut().filter(|_| reloaded) {
                    pool.set_process_count(processes as u32);
                    pool.set_config(config(8.0, 1));
                }
                let counts = simulate(
                    &mut pools,
                    total_rate / processes as f64,
                    returned_at,
                    |_| 0.0,
                    seed,
                );
                // The rate allows 8 attempts per second at first, later in proportion to the fraction.
                let allowed = |window: usize| {
                    let fractions = (0..WINDOW / 100)
                        .map(|at| expected_fraction(window as u64 * WINDOW + at * 100));
                    fractions.sum::<f64>() * 80.0 / 100.0
                };
                let counts = WindowCounts {
                    expected: (0..5).map(allowed).collect(),
                    ..counts
                };
                counts.check(&format!(
                    "{processes} processes, {total_rate} per second, seed {seed}"
                ));
            }
        }
    }
}

#[test]
fn probes_of_many_processes_keep_to_the_initial_rate() {
    for processes in [1, 5, 20, 30] {
        let (mut pools, returned_at) = warm_pools(processes, config(3.0, processes as u32), 7);
        // All attempts at the application fail in each process; then it works again, and is cold.
        for pool in &mut pools {
            let mut failed = 0;
            while failed < 20 {
                let attempt = pool
                    .start_attempt(Time(returned_at + 11 * SECOND), None)
                    .unwrap();
                let outcome = if *pool.key(&attempt) == "returned" {
                    AttemptOutcome::Interrupted
                } else {
                    AttemptOutcome::Answered
                };
                failed += u32::from(outcome == AttemptOutcome::Interrupted);
                pool.finish_attempt(Time(returned_at + 11 * SECOND), attempt, outcome);
            }
        }
        let counts = simulate(&mut pools, 20.0, returned_at + 11 * SECOND, |_| 0.0, 7);
        // The breakers close one by one, so it gets no more than if all closed at once.
        let allowed = |window: usize| {
            (0..20)
                .map(|at| expected_fraction(window as u64 * WINDOW + at * 1_000))
                .sum::<f64>()
                * 3.0
        };
        let counts = WindowCounts {
            expected: (0..5).map(allowed).collect(),
            ..counts
        };
        counts.check(&format!("{processes} processes"));
        assert!(
            counts.actual.iter().sum::<f64>() > 0.0,
            "{processes} processes: no attempts"
        );
    }
}

#[test]
fn idle_processes_do_not_accumulate_credit_for_a_burst() {
    let (mut pools, returned_at) = warm_pools(30, config(8.0, 30), 11);
    let mut actual = 0;
    for at in 0..10 {
        for pool in &mut pools {
            let now = Time(returned_at + 5 * SECOND + at * 50);
            let Ok(attempt) = pool.start_attempt(now, None) else {
                continue;
            };
            actual += u32::from(*pool.key(&attempt) == "returned");
            pool.finish_attempt(now + Span(10), attempt, AttemptOutcome::Answered);
        }
    }
    // The attempts of 50 ms, and of the 250 ms of credit that accumulate at most.
    let expected = 8.0 * expected_fraction(5 * SECOND) / 0.1 * 0.3;
    assert!(
        f64::from(actual) <= expected + 2.0 * expected.sqrt() + 2.0,
        "{actual} of {expected:.1}"
    );
}

#[test]
fn initial_rate_rejects_attempts_with_a_wait_if_all_applications_are_cold() {
    let mut pool = Pool::new(config(8.0, 4), 1);
    pool.set_applications(Time(0), &["old"]);
    pool.set_applications(Time(10), &KEYS);
    pool.set_applications(Time(20), &KEYS[..3]);
    let (mut started, mut rejected) = (0, 0);
    for at in 0..1_000 {
        match pool.start_attempt(Time(SECOND + at * 10), None) {
            Ok(attempt) => {
                started += 1;
                pool.finish_attempt(
                    Time(SECOND + at * 10 + 1),
                    attempt,
                    AttemptOutcome::Answered,
                );
            }
            Err(wait) => {
                assert!(wait > Span::ZERO);
                rejected += 1;
            }
        }
    }
    // Three applications for one second, each at a quarter of the rate.
    assert!(
        (1..=16).contains(&started) && rejected > 900,
        "{started} started, {rejected} rejected"
    );
}

#[test]
fn application_that_answers_after_refused_connections_is_cold() {
    let mut pool: Pool<&'static str> = Pool::new(config(0.0, 1), 3);
    pool.set_applications(Time(0), &KEYS);
    let mut attempts_at_returned = |from: u64, outcome: AttemptOutcome| {
        let mut count = 0;
        for at in 0..400 {
            let attempt = pool.start_attempt(Time(from + at * 5), None).unwrap();
            let is_returned = *pool.key(&attempt) == "returned";
            count += u32::from(is_returned);
            // It is down for too few attempts to open its breaker.
            pool.finish_attempt(
                Time(from + at * 5 + 2),
                attempt,
                if is_returned && count <= 4 {
                    outcome
                } else {
                    AttemptOutcome::Answered
                },
            );
        }
        count
    };
    let (before, cold) = (
        attempts_at_returned(10, AttemptOutcome::Answered),
        attempts_at_returned(20_000, AttemptOutcome::ConnectionRefused),
    );
    assert!(
        cold < before / 2,
        "{before} before, {cold} after it was down"
    );
}
