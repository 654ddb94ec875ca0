use super::*;

/// An hour of tasks that always want more; the ms of CPU that each got.
fn hour(tasks: &[(&'static str, f64)], busy: impl Fn(u64) -> f64, cost: Cost) -> Vec<f64> {
    let mut scheduler = Scheduler::new(Budget::default(), tasks);
    let mut got = vec![0.0; tasks.len()];
    for beat in 0..36_000u64 {
        let now = beat as f64 * 100.0;
        tasks
            .iter()
            .for_each(|(name, _)| scheduler.wants(name, cost, now));
        while let Some(name) = scheduler.next(now, busy(beat)) {
            scheduler.done(name, cost);
            scheduler.wants(name, cost, now);
            got[tasks.iter().position(|(known, _)| *known == name).unwrap()] += cost.cpu_ms;
        }
    }
    got
}

const STEP: Cost = Cost {
    time_ms: 2.0,
    cpu_ms: 1.0,
    bytes: 10_000.0,
};

#[test]
fn an_hour_of_idle_serving_gives_the_budget_by_weight_and_no_more() {
    let got = hour(&[("snapshot", 3.0), ("compaction", 1.0)], |_| 0.1, STEP);
    let all: f64 = got.iter().sum();
    assert!((all / (50.0 * 3_600.0) - 1.0).abs() < 0.02, "{got:?}");
    assert!((got[0] / got[1] - 3.0).abs() < 0.05, "{got:?}");
}

#[test]
fn busy_serving_goes_first_and_nothing_starves() {
    let got = hour(&[("snapshot", 3.0), ("report", 0.01)], |_| 1.0, STEP);
    let all: f64 = got.iter().sum();
    assert!(
        (all / (50.0 * 3_600.0 * LEAST) - 1.0).abs() < 0.05,
        "{got:?}"
    );
    // One in ten seconds at least for the least of them.
    assert!(got[1] >= 300.0, "{got:?}");
}

#[test]
fn a_step_beyond_all_budget_comes_and_is_paid_off() {
    let large = Cost {
        time_ms: 1_000.0,
        cpu_ms: 500.0,
        bytes: 10_000.0,
    };
    let got = hour(&[("compaction", 1.0)], |_| 0.0, large);
    assert!((got[0] / (50.0 * 3_600.0) - 1.0).abs() < 0.05, "{got:?}");
}

#[test]
fn who_was_idle_gets_no_arrears() {
    let mut scheduler = Scheduler::new(Budget::default(), &[("a", 1.0), ("b", 1.0)]);
    let mut now = 0.0;
    for _ in 0..1_000 {
        now += 100.0;
        scheduler.wants("a", STEP, now);
        while let Some(name) = scheduler.next(now, 0.0) {
            scheduler.done(name, STEP);
            scheduler.wants("a", STEP, now);
        }
    }
    scheduler.wants("b", STEP, now);
    let mut row = Vec::new();
    for _ in 0..20 {
        now += 100.0;
        if let Some(name) = scheduler.next(now, 0.0) {
            row.push(name);
            scheduler.done(name, STEP);
            scheduler.wants(name, STEP, now);
        }
    }
    let shared = row.iter().filter(|name| **name == "b").count();
    assert!((8..=12).contains(&shared), "{row:?}");
}
