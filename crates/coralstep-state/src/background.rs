//! Budgeted background work beside serving: snapshots, compaction, expiry, reports.
//!
//! Each task has a weight, and all share a budget of time, CPU and bytes a second. While serving is
//! busy the budget shrinks to a stated minimum, so that nothing starves. No I/O and no clock: the
//! caller passes the time and does the steps.

/// What a step of a task costs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepCost {
    /// Elapsed time in ms.
    pub time_ms: f64,
    /// CPU time in ms.
    pub cpu_ms: f64,
    /// Bytes read and written.
    pub bytes: f64,
}

/// What all background work together may cost, for each second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Elapsed time in ms a second.
    pub time_ms: f64,
    /// CPU time in ms a second.
    pub cpu_ms: f64,
    /// Bytes a second.
    pub bytes: f64,
}

impl Default for Budget {
    /// A twentieth of one core and 4 MB a second.
    fn default() -> Budget {
        Budget {
            time_ms: 100.0,
            cpu_ms: 50.0,
            bytes: 4e6,
        }
    }
}

/// A task that is to be scheduled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskConfig {
    /// Identifies the task.
    pub name: &'static str,
    /// Its part of the budget in relation to the other tasks; at least [`MIN_WEIGHT`] is used.
    pub weight: f64,
}

/// Smallest weight of a task.
pub const MIN_WEIGHT: f64 = 0.01;
/// A task that has waited for this long is next whatever its weight, in ms.
pub const MAX_WAIT_MS: f64 = 10_000.0;

/// Part of the budget that is left however busy serving is.
const MIN_BUDGET_PART: f64 = 0.1;
/// The budget shrinks from this utilization of serving on.
const BUSY_UTILIZATION: f64 = 0.5;
/// The budget would be gone at this utilization of serving, but for [`MIN_BUDGET_PART`].
const FULL_UTILIZATION: f64 = 0.95;
/// Unused budget is kept for this long, in seconds.
const MAX_SAVED_BUDGET_S: f64 = 2.0;
/// A task without a step for this long gives up its claim on unused budget, in ms.
const IDLE_MS: f64 = 1_000.0;
/// Guards against a division by a budget of nothing.
const MIN_BUDGET: f64 = 1e-9;

#[derive(Clone, Debug)]
struct Task {
    config: TaskConfig,
    /// Part of a second's budget that was used, divided by the weight: the lowest is next.
    weighted_usage: f64,
    /// Since when it has a step to do, in ms.
    waiting_since_ms: Option<f64>,
    /// When its last step was done, in ms.
    last_done_ms: f64,
}

/// Decides which background task may do its next step.
#[derive(Debug)]
pub struct BackgroundScheduler {
    budget: Budget,
    available: StepCost,
    now_ms: f64,
    tasks: Vec<Task>,
}

impl BackgroundScheduler {
    /// Returns a scheduler of these tasks, at time 0 and without saved budget.
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

    /// A task has a step to do. Nothing happens if the name is unknown.
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
        let was_idle = task.waiting_since_ms.is_none() && now_ms - task.last_done_ms >= IDLE_MS;
        // Guards against a task that was idle for long and would then have the whole budget.
        if was_idle && min_usage < f64::MAX {
            task.weighted_usage = task.weighted_usage.max(min_usage);
        }
        task.waiting_since_ms.get_or_insert(now_ms);
    }

    /// Returns the task that may do its step now. `utilization`: part of the cores that serving
    /// uses, 0 to 1.
    pub fn next_step(&mut self, now_ms: f64, utilization: f64) -> Option<&'static str> {
        self.refill(now_ms, utilization);
        // A step larger than all that is ever saved goes into debt, or it would never come.
        let available = self.available;
        if available.time_ms <= 0.0 || available.cpu_ms <= 0.0 || available.bytes <= 0.0 {
            return None;
        }
        self.starving_task(now_ms)
            .or_else(|| self.least_used_task())
            .map(|task| task.config.name)
    }

    /// A step is done and cost this much.
    pub fn complete_step(&mut self, name: &str, cost: StepCost) {
        self.available.time_ms -= cost.time_ms;
        self.available.cpu_ms -= cost.cpu_ms;
        self.available.bytes -= cost.bytes;
        let budget_part = self.largest_budget_part(cost);
        let now_ms = self.now_ms;
        if let Some(task) = self.task_mut(name) {
            task.weighted_usage += budget_part / task.config.weight;
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
        let budget_part = ((FULL_UTILIZATION - utilization)
            / (FULL_UTILIZATION - BUSY_UTILIZATION))
            .clamp(MIN_BUDGET_PART, 1.0);
        let refilled = |available: f64, per_second: f64| {
            (available + per_second * seconds * budget_part).min(per_second * MAX_SAVED_BUDGET_S)
        };
        self.available = StepCost {
            time_ms: refilled(self.available.time_ms, self.budget.time_ms),
            cpu_ms: refilled(self.available.cpu_ms, self.budget.cpu_ms),
            bytes: refilled(self.available.bytes, self.budget.bytes),
        };
    }

    /// The task that has waited longest, if that is over [`MAX_WAIT_MS`].
    fn starving_task(&self, now_ms: f64) -> Option<&Task> {
        self.tasks
            .iter()
            .filter_map(|task| Some((task, task.waiting_since_ms?)))
            .filter(|(_, since_ms)| now_ms - since_ms >= MAX_WAIT_MS)
            .min_by(|(_, one), (_, other)| one.total_cmp(other))
            .map(|(task, _)| task)
    }

    fn least_used_task(&self) -> Option<&Task> {
        self.tasks
            .iter()
            .filter(|task| task.waiting_since_ms.is_some())
            .min_by(|one, other| one.weighted_usage.total_cmp(&other.weighted_usage))
    }

    /// The largest part of a second's budget that this cost takes, of time, CPU and bytes.
    fn largest_budget_part(&self, cost: StepCost) -> f64 {
        let part = |cost: f64, per_second: f64| cost / per_second.max(MIN_BUDGET);
        part(cost.time_ms, self.budget.time_ms)
            .max(part(cost.cpu_ms, self.budget.cpu_ms))
            .max(part(cost.bytes, self.budget.bytes))
    }
}

#[cfg(test)]
mod tests;
