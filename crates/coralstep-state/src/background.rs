//! Schedules background work within a budget: snapshots, compaction, expiry, reports.
//!
//! Each task has a weight, and all share a budget of time, CPU and bytes per second. While the
//! server is busy, the budget shrinks to a minimum that keeps tasks from starving. This module does
//! no I/O and reads no clock: the caller passes the time and runs the steps.

/// Cost of one step of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepCost {
    /// Elapsed time in ms.
    pub time_ms: f64,
    /// CPU time in ms.
    pub cpu_ms: f64,
    /// Bytes read and written.
    pub bytes: f64,
}

/// Maximum cost of all background work per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Elapsed time in ms per second.
    pub time_ms: f64,
    /// CPU time in ms per second.
    pub cpu_ms: f64,
    /// Bytes read and written per second.
    pub bytes: f64,
}

impl Default for Budget {
    /// Returns a budget of a twentieth of one core and 4 MB per second.
    fn default() -> Budget {
        Budget {
            time_ms: 100.0,
            cpu_ms: 50.0,
            bytes: 4e6,
        }
    }
}

/// A task to schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskConfig {
    /// Identifies the task.
    pub name: &'static str,
    /// Weight of the task in the budget relative to other tasks; at least [`MIN_WEIGHT`] is used.
    pub weight: f64,
}

/// Minimum weight of a task.
pub const MIN_WEIGHT: f64 = 0.01;
/// Time in ms after which a waiting task runs next, whatever its weight.
pub const MAX_WAIT_MS: f64 = 10_000.0;

/// Fraction of the budget that remains while the server is busy.
const MIN_BUDGET_FRACTION: f64 = 0.1;
/// Utilization of the server from which the budget shrinks.
const BUSY_UTILIZATION: f64 = 0.5;
/// Utilization of the server at which the budget would be 0 without [`MIN_BUDGET_FRACTION`].
const FULL_UTILIZATION: f64 = 0.95;
/// Maximum unused budget that is saved, in seconds of the full budget.
const MAX_SAVED_BUDGET_S: f64 = 2.0;
/// Time in ms since its last step after which a task counts as idle. It then can't make up for the
/// budget that it left unused.
const IDLE_AFTER_MS: f64 = 1_000.0;
/// Minimum divisor of a cost. Guards against a division by zero if the budget is 0.
const MIN_BUDGET: f64 = 1e-9;

#[derive(Clone, Debug)]
struct Task {
    config: TaskConfig,
    /// Sum of the fractions of a second's budget that its steps used, divided by its weight. The
    /// waiting task with the lowest value is next. Raised when the task requests a step after idling.
    weighted_usage: f64,
    /// Since when the task has a step to run, in ms.
    waiting_since_ms: Option<f64>,
    /// When the task's last step was completed, in ms.
    last_done_ms: f64,
}

/// Decides which background task may run its next step.
#[derive(Debug)]
pub struct BackgroundScheduler {
    budget: Budget,
    available: StepCost,
    now_ms: f64,
    tasks: Vec<Task>,
}

impl BackgroundScheduler {
    /// Creates a scheduler of these tasks at time 0, without saved budget.
    pub fn new(budget: Budget, tasks: &[TaskConfig]) -> BackgroundScheduler {
        let tasks = tasks.iter().map(|config| Task {
            config: TaskConfig {
                weight: config.weight.max(MIN_WEIGHT),
                ..*config
            },
            weighted_usage: 0.0,
            waiting_since_ms: None,
            last_done_ms: 0.0,
        });
        BackgroundScheduler {
            budget,
            available: StepCost::default(),
            now_ms: 0.0,
            tasks: tasks.collect(),
        }
    }

    /// Requests a step for a task. Has no effect if the name is unknown.
    pub fn request_step(&mut self, name: &str, now_ms: f64) {
        let min_usage = self
            .tasks
            .iter()
            .filter(|task| task.waiting_since_ms.is_some())
            .map(|task| task.weighted_usage)
            .fold(f64::MAX, f64::min);
        let Some(task) = self.task_mut(name) else {
            return;
        };
        let was_idle =
            task.waiting_since_ms.is_none() && now_ms - task.last_done_ms >= IDLE_AFTER_MS;
        // Guards against a task that uses the whole budget after a long idle time, because its usage
        // is far below that of the other tasks.
        if was_idle && min_usage < f64::MAX {
            task.weighted_usage = task.weighted_usage.max(min_usage);
        }
        task.waiting_since_ms.get_or_insert(now_ms);
    }

    /// Returns the task that may run its step now. `utilization` is the fraction of the cores that
    /// the server uses, 0 to 1.
    pub fn next_step(&mut self, now_ms: f64, utilization: f64) -> Option<&'static str> {
        self.refill(now_ms, utilization);
        // A step may overdraw the budget, as one that costs more than the saved maximum would
        // otherwise never run.
        let available = self.available;
        if available.time_ms <= 0.0 || available.cpu_ms <= 0.0 || available.bytes <= 0.0 {
            return None;
        }
        self.starving_task(now_ms)
            .or_else(|| self.least_used_task())
            .map(|task| task.config.name)
    }

    /// Records a completed step and its cost.
    pub fn complete_step(&mut self, name: &str, cost: StepCost) {
        self.available.time_ms -= cost.time_ms;
        self.available.cpu_ms -= cost.cpu_ms;
        self.available.bytes -= cost.bytes;
        let budget_fraction = self.largest_budget_fraction(cost);
        let now_ms = self.now_ms;
        if let Some(task) = self.task_mut(name) {
            task.weighted_usage += budget_fraction / task.config.weight;
            task.waiting_since_ms = None;
            task.last_done_ms = now_ms;
        }
    }

    fn task_mut(&mut self, name: &str) -> Option<&mut Task> {
        self.tasks.iter_mut().find(|task| task.config.name == name)
    }

    fn refill(&mut self, now_ms: f64, utilization: f64) {
        let seconds = ((now_ms - self.now_ms) / 1_000.0).clamp(0.0, MAX_SAVED_BUDGET_S);
        self.now_ms = self.now_ms.max(now_ms);
        let budget_fraction = ((FULL_UTILIZATION - utilization)
            / (FULL_UTILIZATION - BUSY_UTILIZATION))
            .clamp(MIN_BUDGET_FRACTION, 1.0);
        let refilled = |available: f64, per_second: f64| {
            (available + per_second * seconds * budget_fraction)
                .min(per_second * MAX_SAVED_BUDGET_S)
        };
        self.available = StepCost {
            time_ms: refilled(self.available.time_ms, self.budget.time_ms),
            cpu_ms: refilled(self.available.cpu_ms, self.budget.cpu_ms),
            bytes: refilled(self.available.bytes, self.budget.bytes),
        };
    }

    /// Returns the task that has waited longest, if it has waited for [`MAX_WAIT_MS`].
    fn starving_task(&self, now_ms: f64) -> Option<&Task> {
        self.tasks
            .iter()
            .filter_map(|task| Some((task, task.waiting_since_ms?)))
            .filter(|(_, since_ms)| now_ms - since_ms >= MAX_WAIT_MS)
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .map(|(task, _)| task)
    }

    fn least_used_task(&self) -> Option<&Task> {
        self.tasks
            .iter()
            .filter(|task| task.waiting_since_ms.is_some())
            .min_by(|a, b| a.weighted_usage.total_cmp(&b.weighted_usage))
    }

    /// Returns the fraction of a second's budget that this cost uses: the largest of those of time, CPU
    /// and bytes.
    fn largest_budget_fraction(&self, cost: StepCost) -> f64 {
        let fraction = |cost: f64, per_second: f64| cost / per_second.max(MIN_BUDGET);
        fraction(cost.time_ms, self.budget.time_ms)
            .max(fraction(cost.cpu_ms, self.budget.cpu_ms))
            .max(fraction(cost.bytes, self.budget.bytes))
    }
}

#[cfg(test)]
mod tests;
