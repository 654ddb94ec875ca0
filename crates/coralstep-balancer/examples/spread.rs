//! Load spread and tail of the pool in virtual time, beside plain random choice and round robin: applications of
//! different speeds (and one in fifty that fails for ten seconds of each minute), each serving one at a time from a line.
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
enum Way {
    Pool,
    Random,
    RoundRobin,
}

struct Figures {
    p50: f64,
    p99: f64,
    p999: f64,
    failed: f64,
    /// The most that one application got, in means.
    most: f64,
    /// The greatest line anywhere.
    line: usize,
}

/// Serves `rate` RPCs a second for each application; times in tenths of a ms.
fn play(
    way: Way,
    count: usize,
    seconds: u64,
    seed: u64,
) -> Result<Figures, Box<dyn std::error::Error>> {
    let mut chance = SmallRng::seed_from_u64(seed);
    let speeds: Vec<f64> = (0..count).map(|_| chance.random_range(0.6..1.4)).collect();
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
    let mut lines: Vec<VecDeque<(u64, f64, Option<Attempt>)>> =
        (0..count).map(|_| VecDeque::new()).collect();
    let (mut got, mut served, mut failed, mut longest, mut next) =
        (vec![0u64; count], 0u64, 0u64, 0, 0);
    let mut took = Histogram::<u64>::new(3)?;
    // Ends of what is served now.
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let (mut arrival, end) = (0.0, seconds * 10_000);
    let broken = |app: usize, now: u64| app % 50 == 7 && now % 600_000 < 100_000;
    loop {
        arrival += gap.sample(&mut chance);
        let now = arrival as u64;
        while let Some(Reverse((at, app))) = ends
            .peek()
            .copied()
            .filter(|Reverse((at, _))| *at <= now.min(end))
        {
            ends.pop();
            if let Some((since, _, pick)) = lines[app].pop_front() {
                took.record((at - since).max(1))?;
                served += 1;
                if let Some(pick) = pick {
                    pool.finish_attempt(Time(at), pick, AttemptOutcome::Answered);
                }
            }
            if let Some((_, work, _)) = lines[app].front() {
                ends.push(Reverse((at + (work / speeds[app]) as u64 + 1, app)));
            }
        }
        if now >= end {
            break;
        }
        let pick = if way == Way::Pool {
            pool.start_attempt(Time(now), None).ok()
        } else {
            None
        };
        let app = match (way, &pick) {
            (Way::Pool, Some(pick)) => *pool.key(pick),
            (Way::Pool, None) => {
                failed += 1;
                continue;
            }
            (Way::Random, _) => chance.random_range(0..count),
            (Way::RoundRobin, _) => {
                next = (next + 1) % count;
                next
            }
        };
        got[app] += 1;
        if broken(app, now) {
            failed += 1;
            if let Some(pick) = pick {
                pool.finish_attempt(Time(now), pick, AttemptOutcome::NotSent);
            }
            continue;
        }
        // A mean run of some 6.5 ms at a rate of 100 a second keeps an average application busy for two thirds.
        let amount: f64 = work.sample(&mut chance);
        if lines[app].is_empty() {
            ends.push(Reverse((now + (amount / speeds[app]) as u64 + 1, app)));
        }
        lines[app].push_back((now, amount, pick));
        longest = longest.max(lines[app].len());
    }
    let all: u64 = got.iter().sum();
    let ms = |quantile: f64| took.value_at_quantile(quantile) as f64 / 10.0;
    Ok(Figures {
        p50: ms(0.5),
        p99: ms(0.99),
        p999: ms(0.999),
        failed: failed as f64 / (served + failed).max(1) as f64,
        most: got.iter().max().copied().unwrap_or(0) as f64 * count as f64 / all.max(1) as f64,
        line: longest,
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
        for way in [Way::Pool, Way::Random, Way::RoundRobin] {
            let f = play(way, count, seconds, seed)?;
            if json {
                println!(
                    "{}",
                    serde_json::json!({"applications": count, "way": format!("{way:?}"), "p50_ms": f.p50, "p99_ms": f.p99,
                        "p999_ms": f.p999, "failed": f.failed, "most_by_mean": f.most, "longest_line": f.line})
                );
            } else {
                let way = format!("{way:?}");
                println!(
                    "{count:12} {way:10} {:7.1} {:7.1} {:7.1} {:7.4} {:10.2} {:13}",
                    f.p50, f.p99, f.p999, f.failed, f.most, f.line
                );
            }
        }
    }
    Ok(())
}
