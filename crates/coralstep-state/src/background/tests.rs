use super::*;

fn task(name: &'static str, weight: f64) -> TaskConfig {
    TaskConfig { name, weight }
}

/// Simulates an hour with tasks that always request steps, and returns the CPU ms that each used.
fn run_for_an_hour(tasks: &[TaskConfig], busy: impl Fn(u64) -> f64, cost: StepCost) -> Vec<f64> {
    let mut scheduler = BackgroundScheduler::new(Budget::default(), tasks);
    let mut cpu_ms = vec![0.0; tasks.len()];
    for step in 0..36_000u64 {
        let now = step as f64 * 100.0;
        tasks
            .iter()
            .for_each(|task| scheduler.request_step(task.name, now));
        while let Some(name) = scheduler.next_step(now, busy(step)) {
            scheduler.complete_step(name, cost);
            scheduler.request_step(name, now);
            cpu_ms[tasks.iter().position(|task| task.name == name).unwrap()] += cost.cpu_ms;
        }
    }
    cpu_ms
}

const STEP_COST: StepCost = StepCost {
    time_ms: 2.0,
    cpu_ms: 1.0,
    bytes: 10_000.0,
};

#[test]
fn idle_server_leaves_budget_to_tasks_by_weight() {
    let cpu_ms = run_for_an_hour(
        &[task("snapshot", 3.0), task("compaction", 1.0)],
        |_| 0.1,
        STEP_COST,
    );
    let total: f64 = cpu_ms.iter().sum();
    assert!((total / (50.0 * 3_600.0) - 1.0).abs() < 0.02, "{cpu_ms:?}");
    assert!((cpu_ms[0] / cpu_ms[1] - 3.0).abs() < 0.05, "{cpu_ms:?}");
}

#[test]
fn busy_server_shrinks_budget_without_starving_tasks() {
    let cpu_ms = run_for_an_hour(
        &[task("snapshot", 3.0), task("report", 0.01)],
        |_| 1.0,
        STEP_COST,
    );
    let total: f64 = cpu_ms.iter().sum();
    assert!(
        (total / (50.0 * 3_600.0 * MIN_BUDGET_FRACTION) - 1.0).abs() < 0.05,
        "{cpu_ms:?}"
    );
    // The task with the lowest weight runs at least once in ten seconds.
    assert!(cpu_ms[1] >= 300.0, "{cpu_ms:?}");
}

#[test]
fn step_over_budget_runs_and_is_compensated_later() {
    let large = StepCost {
        time_ms: 1_000.0,
        cpu_ms: 500.0,
        bytes: 10_000.0,
    };
    let cpu_ms = run_for_an_hour(&[task("compaction", 1.0)], |_| 0.0, large);
    assert!(
        (cpu_ms[0] / (50.0 * 3_600.0) - 1.0).abs() < 0.05,
        "{cpu_ms:?}"
    );
}

#[test]
fn idle_task_saves_no_budget() {
    let mut scheduler =
        BackgroundScheduler::new(Budget::default(), &[task("a", 1.0), task("b", 1.0)]);
    let mut now = 0.0;
    for _ in 0..1_000 {
        now += 100.0;
        scheduler.request_step("a", now);
        while let Some(name) = scheduler.next_step(now, 0.0) {
            scheduler.complete_step(name, STEP_COST);
            scheduler.request_step("a", now);
        }
    }
    scheduler.request_step("b", now);
    let mut order = Vec::new();
    for _ in 0..20 {
        now += 100.0;
        if let Some(name) = scheduler.next_step(now, 0.0) {
            order.push(name);
            scheduler.complete_step(name, STEP_COST);
            scheduler.request_step(name, now);
        }
    }
    let shared = order.iter().filter(|name| **name == "b").count();
    assert!((8..=12).contains(&shared), "{order:?}");
}
