//! Load distribution and tail latency of the pool in virtual time, compared with random selection and round robin.
//! Applications have different speeds and serve one request at a time from a queue; one in fifty fails for ten seconds of
//! each minute.
//!
//!     cargo run --release -p coralstep-balancer --example spread -- [--seed N] [--seconds N] [--json]
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use coralstep::Time;
use coralstep_balancer::{Attempt, AttemptOutcome, Pool, PoolConfig};
use hdrhistogram::Histogram;
use lexopt::Arg::Long;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Policy {
    Pool,
    Random,
    RoundRobin,
}

struct Statistics {
    p50: f64,
    p99: f64,
    p999: f64,
    failed_fraction: f64,
    /// Largest number of requests at one application, divided by the mean.
    max_to_mean: f64,
    longest_queue: usize,
}

/// Simulates 100 requests per second for each application. Times are in units of 0.1 ms.
fn simulate(
    policy: Policy,
    count: usize,
    seconds: u64,
    seed: u64,
) -> Result<Statistics, Box<dyn std::error::Error>> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let speeds: Vec<f64> = (0..count).map(|_| rng.random_range(0.6..1.4)).collect();
    let (work, gap) = (LogNormal::new(4.0, 0.6)?, Exp::new(count as f64 * 0.01)?);
    let keys: Vec<usize> = (0..count).collect();
    let mut pool = Pool::new(
        PoolConfig {
            max_in_flight: 1 << 20,
            ..PoolConfig::default()
        },
        seed,
    );
    pool.set_applications(Time(0), &keys);
    let mut queues: Vec<VecDeque<(u64, f64, Option<Attempt>)>> =
        (0..count).map(|_| VecDeque::new()).collect();
    let (mut requests, mut served, mut failed, mut longest, mut next) =
        (vec![0u64; count], 0u64, 0u64, 0, 0);
    let mut latencies = Histogram::<u64>::new(3)?;
    // Completion times of the requests in service.
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let (mut arrival, end) = (0.0, seconds * 10_000);
    let is_down = |app: usize, now: u64| app % 50 == 7 && now % 600_000 < 100_000;
    loop {
        arrival += gap.sample(&mut rng);
        let now = arrival as u64;
        while let Some(Reverse((at, app))) = ends
            .peek()
            .copied()
            .filter(|Reverse((at, _))| *at <= now.min(end))
        {
            ends.pop();
            if let Some((since, _, attempt)) = queues[app].pop_front() {
                latencies.record((at - since).max(1))?;
                served += 1;
                if let Some(attempt) = attempt {
                    pool.finish_attempt(Time(at), attempt, AttemptOutcome::Answered);
                }
            }
            if let Some((_, work, _)) = queues[app].front() {
                ends.push(Reverse((at + (work / speeds[app]) as u64 + 1, app)));
            }
        }
        if now >= end {
            break;
        }
        let attempt = if policy == Policy::Pool {
            pool.start_attempt(Time(now), None).ok()
        } else {
            None
        };
        let app = match (policy, &attempt) {
            (Policy::Pool, Some(attempt)) => *pool.key(attempt),
            (Policy::Pool, None) => {
                failed += 1;
                continue;
            }
            (Policy::Random, _) => rng.random_range(0..count),
            (Policy::RoundRobin, _) => {
                next = (next + 1) % count;
                next
            }
        };
        requests[app] += 1;
        if is_down(app, now) {
            failed += 1;
            if let Some(attempt) = attempt {
                pool.finish_attempt(Time(now), attempt, AttemptOutcome::NotSent);
            }
            continue;
        }
        // Runs of 6.5 ms on average at 100 per second use an average application to two thirds.
        let amount: f64 = work.sample(&mut rng);
        if queues[app].is_empty() {
            ends.push(Reverse((now + (amount / speeds[app]) as u64 + 1, app)));
        }
        queues[app].push_back((now, amount, attempt));
        longest = longest.max(queues[app].len());
    }
    let all: u64 = requests.iter().sum();
    let ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 10.0;
    Ok(Statistics {
        p50: ms(0.5),
        p99: ms(0.99),
        p999: ms(0.999),
        failed_fraction: failed as f64 / (served + failed).max(1) as f64,
        max_to_mean: requests.iter().max().copied().unwrap_or(0) as f64 * count as f64
            / all.max(1) as f64,
        longest_queue: longest,
    })
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let (mut seed, mut seconds, mut json) = (1, 120, false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("seed") => seed = lexopt::ValueExt::parse(&parser.value()?)?,
            Long("seconds") => seconds = lexopt::ValueExt::parse(&parser.value()?)?,
            Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    if !json {
        println!(
            "virtual time, {seconds} s, seed {seed}; times in ms\napplications way          p50     p99    p999  failed  most/mean  longest line"
        );
    }
    for count in [1, 10, 300, 3_000] {
        for policy in [Policy::Pool, Policy::Random, Policy::RoundRobin] {
            let statistics = simulate(policy, count, seconds, seed)?;
            if json {
                println!(
                    "{}",
                    serde_json::json!({"applications": count, "way": format!("{policy:?}"), "p50_ms": statistics.p50, "p99_ms": statistics.p99,
                        "p999_ms": statistics.p999, "failed": statistics.failed_fraction, "most_by_mean": statistics.max_to_mean, "longest_line": statistics.longest_queue})
                );
            } else {
                let policy = format!("{policy:?}");
                println!(
                    "{count:12} {policy:10} {:7.1} {:7.1} {:7.1} {:7.4} {:10.2} {:13}",
                    statistics.p50,
                    statistics.p99,
                    statistics.p999,
                    statistics.failed_fraction,
                    statistics.max_to_mean,
                    statistics.longest_queue
                );
            }
        }
    }
    Ok(())
}
