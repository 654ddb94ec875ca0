//! Cost of one observation by the level state machine, compared with one threshold check per signal.
use std::hint::black_box;

use coralstep::{Signals, Span, Time};
use coralstep_degradation::{DegradationConfig, LevelStateMachine, Signal};
use criterion::{Criterion, criterion_group, criterion_main};

fn observe(criterion: &mut Criterion) {
    let signals = Signals {
        queue_wait: Some(0.5),
        rejected: Some(0.1),
        memory: Some(0.4),
        ..Signals::default()
    };
    let config = DegradationConfig::default();
    let mut levels = LevelStateMachine::new(&config, Time(0)).expect("valid config");
    let mut now = Time(0);
    let mut group = criterion.benchmark_group("levels");
    group.bench_function("observe", |b| {
        b.iter(|| {
            now = now + Span::ms(100);
            levels.observe(now, black_box(&signals)).is_some()
        });
    });
    group.bench_function("baseline: one threshold per signal", |b| {
        b.iter(|| {
            Signal::ALL
                .iter()
                .filter(|signal| {
                    signal
                        .value_in(black_box(&signals))
                        .is_some_and(|value| value > 0.9)
                })
                .count()
        });
    });
    group.finish();
}

criterion_group!(benches, observe);
criterion_main!(benches);
