//! Cost of one selection by the number of applications, compared with a scan for the least loaded one and with round robin.
use coralstep::Time;
use coralstep_balancer::{AttemptOutcome, Pool, PoolConfig};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn selection(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice");
    for count in [1usize, 10, 300, 3_000] {
        let keys: Vec<usize> = (0..count).collect();
        let mut pool = Pool::new(PoolConfig::default(), 1);
        pool.set_applications(Time(0), &keys);
        let mut now = 0;
        group.bench_function(
            BenchmarkId::new("power of two choices, with completion", count),
            |b| {
                b.iter(|| {
                    now += 1;
                    let attempt = pool
                        .start_attempt(Time(now), None)
                        .expect("an application is ready");
                    pool.finish_attempt(Time(now + 5), attempt, AttemptOutcome::Answered);
                })
            },
        );
        let mut load = vec![0u32; count];
        group.bench_function(
            BenchmarkId::new("baseline: scan for the least loaded", count),
            |b| {
                b.iter(|| {
                    let least = (0..count).min_by_key(|at| load[*at]).unwrap_or(0);
                    load[least] += 1;
                    load[least]
                })
            },
        );
        let mut at = 0;
        group.bench_function(BenchmarkId::new("baseline: round robin", count), |b| {
            b.iter(|| {
                at = (at + 1) % count;
                load[at] += 1;
                load[at]
            })
        });
    }
    group.finish();
}

criterion_group!(benches, selection);
criterion_main!(benches);
