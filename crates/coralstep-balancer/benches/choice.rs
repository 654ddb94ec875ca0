//! What a choice costs, by the number of applications, beside a scan for the least loaded and plain round robin.
use coralstep::Time;
use coralstep_balancer::{AttemptOutcome, Pool, PoolConfig};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn choice(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice");
    for count in [1usize, 10, 300, 3_000] {
        let keys: Vec<usize> = (0..count).collect();
        let mut pool = Pool::new(PoolConfig::default(), 1);
        pool.set_applications(Time(0), &keys);
        let mut now = 0;
        group.bench_function(BenchmarkId::new("two by chance, and its end", count), |b| {
            b.iter(|| {
                now += 1;
                let pick = pool.start_attempt(Time(now), None).expect("one is ready");
                pool.finish_attempt(Time(now + 5), pick, AttemptOutcome::Answered);
            })
        });
        let mut load = vec![0u32; count];
        group.bench_function(
            BenchmarkId::new("baseline: scan for the least", count),
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

criterion_group!(benches, choice);
criterion_main!(benches);
