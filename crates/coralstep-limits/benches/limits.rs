//! What a look at the fleet's limits costs an RPC, by how many limits there are, against a local token bucket in the same run.
use std::hint::black_box;

use coralstep_limits::holder::{Holder, Which};
use coralstep_limits::letters::{Ask, Give};
use coralstep_limits::terms::CutOff;
use coralstep_limits::{Kind, Limit};
use criterion::{Criterion, criterion_group, criterion_main};

fn limit(number: usize) -> Limit {
    Limit {
        key: number as u64 + 1,
        name: format!("limit {number}"),
        tenant: Some(number),
        method: None,
        calls: false,
        kind: Kind::Rate {
            rps: 1e6,
            burst: 1_000_000,
        },
        cut_off: CutOff::Strict,
    }
}

/// The plain thing: one bucket, here.
struct Bucket {
    tokens: f64,
    at: u64,
}

impl Bucket {
    fn take(&mut self, now: u64) -> bool {
        self.tokens = (self.tokens + (now - self.at) as f64 * 1_000.0).min(1e6);
        self.at = now;
        let may = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(may));
        may
    }
}

fn looks(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit");
    let mut bucket = Bucket { tokens: 1e6, at: 0 };
    let mut now = 0;
    group.bench_function("local bucket", |bench| {
        bench.iter(|| {
            now += 1;
            black_box(bucket.take(now))
        })
    });
    for count in [1, 100, 10_000] {
        let limits: Vec<Limit> = (0..count).map(limit).collect();
        let mut holder = Holder::new(&limits, 0);
        let which = Which {
            tenant: Some(count / 2),
            method: 0,
            calls: false,
        };
        let mut now = 1;
        group.bench_function(format!("{count} limits, with a share"), |bench| {
            bench.iter_custom(|rounds| {
                let mut spent = std::time::Duration::ZERO;
                let mut left = rounds;
                while left > 0 {
                    // A share of half a million at a time, given outside the measured span.
                    let _ = holder.admit(now, which, 100);
                    now += 300;
                    let letters: Vec<(u32, Vec<Ask>)> = holder.asks(now, false);
                    for (number, asks) in letters {
                        let give = |ask: &Ask| Give {
                            key: ask.key,
                            units: 500_000,
                            wait_ms: 0,
                        };
                        let gives: Vec<Give> = asks.iter().map(give).collect();
                        holder.gives(now, 1, number, 10_000, 250, &gives);
                    }
                    let batch = left.min(400_000);
                    let start = std::time::Instant::now();
                    for _ in 0..batch {
                        black_box(holder.admit(now, black_box(which), 100).is_ok());
                    }
                    spent += start.elapsed();
                    left -= batch;
                }
                spent
            })
        });
        let other = Which {
            tenant: None,
            ..which
        };
        group.bench_function(format!("{count} limits, none for it"), |bench| {
            bench.iter(|| black_box(holder.admit(now, black_box(other), 100).is_ok()))
        });
    }
    group.finish();
}

criterion_group!(benches, looks);
criterion_main!(benches);
