//! The wheel beside a plain binary heap, on the simulator's own pattern: each event taken puts another one a short while ahead.
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coralstep_lab::queue::TimingWheel;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue");
    for count in [100u64, 10_000, 1_000_000] {
        let mut chance = SmallRng::seed_from_u64(1);
        let mut wheel = TimingWheel::default();
        (0..count).for_each(|_| wheel.push(chance.random_range(0..20_000), chance.random(), 0u32));
        group.bench_function(BenchmarkId::new("wheel: one out, one in", count), |b| {
            b.iter(|| {
                let (now, item) = wheel.pop().expect("an event");
                wheel.push(now + chance.random_range(1..20_000), chance.random(), item);
                now
            })
        });
        let mut heap = BinaryHeap::new();
        (0..count).for_each(|_| {
            heap.push(Reverse((
                chance.random_range(0..20_000u64),
                chance.random::<u64>(),
                0u32,
            )))
        });
        group.bench_function(BenchmarkId::new("baseline: binary heap", count), |b| {
            b.iter(|| {
                let Reverse((now, _, item)) = heap.pop().expect("an event");
                heap.push(Reverse((
                    now + chance.random_range(1..20_000),
                    chance.random(),
                    item,
                )));
                now
            })
        });
    }
    group.finish();
}

criterion_group!(benches, queue);
criterion_main!(benches);
