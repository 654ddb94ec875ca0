use super::*;

fn task(name: &'static str, weight: f64) -> TaskConfig {
    TaskConfig { name, weight }
}

/// An hour of tasks that always want more; the ms of CPU that each got.
fn hour(tasks: &[TaskConfig], busy: impl Fn(u64) -> f64, cost: StepCost) -> Vec<f64> {
    let mut scheduler = BackgroundScheduler::new(Budget::default(), tasks);
    let mut got = vec![0.0; tasks.len()];
    for tick in 0..36_000u64 {
        let now = tick as f64 * 100.0;
        tasks
            .iter()
            .for_each(|task| scheduler.request_step(task.name, now));
        while let Some(name) = scheduler.next_step(now, busy(tick)) {
            scheduler.complete_step(name, cost);
            scheduler.request_step(name, now);
            got[tasks.iter().position(|task| task.name == name).unwrap()] += cost.cpu_ms;
        }
    }
    got
}

const STEP: StepCost = StepCost {
    time_ms: 2.0,
    cpu_ms: 1.0,
    bytes: 10_000.0,
};

#[test]
fn idle_serving_leaves_the_budget_by_weight_and_no_more() {
    let got = hour(
        &[task("snapshot", 3.0), task("compaction", 1.0)],
        |_| 0.1,
        STEP,
    );
    let all: f64 = got.iter().sum();
    assert!((all / (50.0 * 3_600.0) - 1.0).abs() < 0.02, "{got:?}");
    assert!((got[0] / got[1] - 3.0).abs() < 0.05, "{got:?}");
}

#[test]
fn busy_serving_shrinks_the_budget_and_nothing_starves() {
    let got = hour(
        &[task("snapshot", 3.0), task("report", 0.01)],
        |_| 1.0,
        STEP,
    );
    let all: f64 = got.iter().sum();
    assert!(
        (all / (50.0 * 3_600.0 * MIN_BUDGET_PART) - 1.0).abs() < 0.05,
        "{got:?}"
    );
    // One in ten seconds at least for the least of them.
    assert!(got[1] >= 300.0, "{got:?}");
}

#[test]
fn a_step_over_the_budget_runs_and_is_paid_off() {
    let large = StepCost {
        time_ms: 1_000.0,
        cpu_ms: 500.0,
        bytes: 10_000.0,
    };
    let got = hour(&[task("compaction", 1.0)], |_| 0.0, large);
    assert!((got[0] / (50.0 * 3_600.0) - 1.0).abs() < 0.05, "{got:?}");
}

#[test]
fn an_idle_task_saves_no_budget() {
    let mut scheduler =
        BackgroundScheduler::new(Budget::default(), &[task("a", 1.0), task("b", 1.0)]);
    let mut now = 0.0;
    for _ in 0..1_000 {
        now += 100.0;
        scheduler.request_step("a", now);
        while let Some(name) = scheduler.next_step(now, 0.0) {
            scheduler.complete_step(name, STEP);
            scheduler.request_step("a", now);
        }
    }
    scheduler.request_step("b", now);
    let mut row = Vec::new();
    for _ in 0..20 {
        now += 100.0;
        if let Some(name) = scheduler.next_step(now, 0.0) {
            row.push(name);
            scheduler.complete_step(name, STEP);
            scheduler.request_step(name, now);
        }
    }
    let shared = row.iter().filter(|name| **name == "b").count();
    assert!((8..=12).contains(&shared), "{row:?}");
}
