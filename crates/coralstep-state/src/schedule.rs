//! Background work beside serving: snapshots, compaction, expiry, reports. Each task has a weight, a budget for all is agreed on (time,
//! bytes and CPU a second), and serving goes first: while it is busy the budget shrinks to a stated least, so nothing starves for ever. No
//! I/O and no clock; who asks says what time it is and how busy serving is, and does the step itself.

/// A step a task asks for, as far as it knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// On the clock and on the CPU, in ms.
    pub time_ms: f64,
    pub cpu_ms: f64,
    pub bytes: f64,
}

/// For a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub time_ms: f64,
    pub cpu_ms: f64,
    pub bytes: f64,
}

impl Default for Budget {
    /// A twentieth of one core and 4 MB.
    fn default() -> Budget {
        Budget {
            time_ms: 100.0,
            cpu_ms: 50.0,
            bytes: 4e6,
        }
    }
}

/// The part of the budget that is left to background work however busy serving is.
const LEAST: f64 = 0.1;
/// Serving counts as busy from this part of its cores on, and as wholly busy from the next.
const BUSY: f64 = 0.5;
const FULL: f64 = 0.95;
/// Unused budget is kept for so long, in seconds.
const KEPT: f64 = 2.0;
/// Who had nothing to do for so long has no claim on what it didn't use.
const IDLE_MS: f64 = 1_000.0;
/// A task that has waited so long comes next whatever its weight.
pub const STARVES_MS: f64 = 10_000.0;

#[derive(Clone, Debug)]
struct Task {
    name: &'static str,
    weight: f64,
    /// Budget used, by weight: the least used comes next.
    used: f64,
    /// Since when it has something to do.
    waits: Option<f64>,
    /// When its last step was done.
    idle: f64,
    next: Cost,
}

#[derive(Debug)]
pub struct Scheduler {
    budget: Budget,
    left: Cost,
    now_ms: f64,
    tasks: Vec<Task>,
}

impl Scheduler {
    pub fn new(budget: Budget, tasks: &[(&'static str, f64)]) -> Scheduler {
        let tasks = tasks.iter().map(|(name, weight)| Task {
            name,
            weight: weight.max(0.01),
            used: 0.0,
            waits: None,
            idle: 0.0,
            next: Cost::default(),
        });
        Scheduler {
            budget,
            left: Cost::default(),
            now_ms: 0.0,
            tasks: tasks.collect(),
        }
    }

    /// A task has a step to do that costs about so much.
    pub fn wants(&mut self, name: &str, cost: Cost, now_ms: f64) {
        // Guards against one that was idle for long and would then have all for itself.
        let least = self
            .tasks
            .iter()
            .filter(|task| task.waits.is_some())
            .map(|task| task.used)
            .fold(f64::MAX, f64::min);
        if let Some(task) = self.tasks.iter_mut().find(|task| task.name == name) {
            if task.waits.is_none() && now_ms - task.idle >= IDLE_MS && least < f64::MAX {
                task.used = task.used.max(least);
            }
            (task.waits, task.next) = (task.waits.or(Some(now_ms)), cost);
        }
    }

    /// The task whose step may be done now; `busy`: part of its cores that serving uses.
    pub fn next(&mut self, now_ms: f64, busy: f64) -> Option<&'static str> {
        let seconds = ((now_ms - self.now_ms) / 1_000.0).clamp(0.0, KEPT);
        self.now_ms = self.now_ms.max(now_ms);
        let room = ((FULL - busy) / (FULL - BUSY)).clamp(LEAST, 1.0);
        let add = |left: f64, each: f64| (left + each * seconds * room).min(each * KEPT);
        self.left = Cost {
            time_ms: add(self.left.time_ms, self.budget.time_ms),
            cpu_ms: add(self.left.cpu_ms, self.budget.cpu_ms),
            bytes: add(self.left.bytes, self.budget.bytes),
        };
        // A step larger than all that is ever kept would never come: it may go into debt once there is anything.
        if self.left.time_ms <= 0.0 || self.left.cpu_ms <= 0.0 || self.left.bytes <= 0.0 {
            return None;
        }
        let waiting = self
            .tasks
            .iter()
            .filter_map(|task| Some((task, task.waits?)));
        let starves = waiting
            .clone()
            .filter(|(_, since)| now_ms - since >= STARVES_MS);
        let oldest = starves.min_by(|one, other| one.1.total_cmp(&other.1));
        let next =
            oldest.or_else(|| waiting.min_by(|one, other| one.0.used.total_cmp(&other.0.used)));
        next.map(|(task, _)| task.name)
    }

    /// The step is done, and what it really cost.
    pub fn done(&mut self, name: &str, cost: Cost) {
        self.left.time_ms -= cost.time_ms;
        self.left.cpu_ms -= cost.cpu_ms;
        self.left.bytes -= cost.bytes;
        let part = |cost: f64, each: f64| cost / each.max(1e-9);
        let (time, cpu) = (
            part(cost.time_ms, self.budget.time_ms),
            part(cost.cpu_ms, self.budget.cpu_ms),
        );
        let most = time.max(cpu).max(part(cost.bytes, self.budget.bytes));
        if let Some(task) = self.tasks.iter_mut().find(|task| task.name == name) {
            task.used += most / task.weight;
            (task.waits, task.idle) = (None, self.now_ms);
        }
    }
}

#[cfg(test)]
mod tests;
