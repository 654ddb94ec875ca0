//! How many requests run, and how many are started at once.
use crate::config::SchedulerConfig;
use crate::request_table::Phase;
use crate::shared_state::SharedState;
use crate::time::{Span, Time};

/// The part of the started requests that a server survives which is used: calls that come back and reading
/// need the rest.
const MAX_STARTED_PART: f64 = 0.6;
/// The limit grows only while the cores are less busy than this.
const MAX_BUSY_TO_GROW: f64 = 0.9;
/// The limit shrinks back to the number of cores while they are busier than this.
const MAX_BUSY_TO_KEEP: f64 = 0.97;
/// The wait unread, in queue limits, beyond which reading needs more of the cores.
const MAX_READ_DELAY: f64 = 1.0;

/// The concurrency limit of the cores.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    /// How many may run.
    limit: usize,
    /// Started requests for each core that a warm server survives.
    max_started_per_core: f64,
    warm_at: Time,
    /// The part of its speed that the server lacks for each tick until it is warm.
    cold_deficit_per_tick: f64,
}

impl ConcurrencyLimit {
    pub(crate) fn new(config: &SchedulerConfig, now: Time) -> ConcurrencyLimit {
        let warm_up_time = if config.warming_up {
            config.warm_up_time
        } else {
            Span::ZERO
        };
        ConcurrencyLimit {
            limit: config.cores.max(1) as usize,
            max_started_per_core: config.max_started_per_core.max(1.0),
            warm_at: now + warm_up_time,
            cold_deficit_per_tick: (1.0 - config.cold_speed) / warm_up_time.0.max(1) as f64,
        }
    }

    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    pub(crate) fn is_warming_up(&self, now: Time) -> bool {
        now < self.warm_at
    }

    /// How many started requests the cores survive should all of them come back from their calls at once;
    /// fewer while the server warms up.
    pub(crate) fn max_started(&self, shared: &SharedState) -> usize {
        let cold_ticks = (self.warm_at - shared.now).0 as f64;
        let speed = 1.0 - self.cold_deficit_per_tick * cold_ticks;
        let per_core = 1.0 + (self.max_started_per_core - 1.0) * speed;
        let started = shared.settings.cores as f64 * per_core * MAX_STARTED_PART;
        (started as usize).max(1)
    }

    /// Whether another request may start.
    pub(crate) fn has_capacity(&self, shared: &SharedState) -> bool {
        shared.requests.count(Phase::Running) < self.limit
            && shared.requests.started() < self.max_started(shared)
    }

    /// Lets more run while cores idle and requests wait, and fewer again when they don't. Guards against
    /// runs that share so few cores with reading that neither ends: one core of the second round is left to
    /// it.
    ///
    /// `cpu_busy` is the busy part of the cores, `read_delay` the longest wait unread in queue limits.
    pub(crate) fn adjust(&mut self, shared: &SharedState, cpu_busy: f64, read_delay: f64) {
        let cores = shared.settings.cores;
        let is_used_up = shared.requests.count(Phase::Running) >= self.limit;
        let is_short =
            shared.requests.count(Phase::Queued) > 0 && cpu_busy < MAX_BUSY_TO_GROW && is_used_up;
        if read_delay > MAX_READ_DELAY {
            // Guards against runs that leave reading too little of the cores: all would be read too late.
            self.limit = (self.limit - 1).max(1);
        } else if self.limit < cores || is_short {
            self.limit = (self.limit + 1).min(max_limit(cores));
        } else if cpu_busy > MAX_BUSY_TO_KEEP && self.limit > cores {
            self.limit -= 1;
        }
    }

    /// Takes in the limit of an earlier process with `confidence` from 0 to 1.
    pub(crate) fn restore(&mut self, cores: usize, learned: u32, confidence: f64) {
        let max = max_limit(cores);
        let learned = (learned as usize).clamp(1, max) as f64;
        let limit = cores as f64 + (learned - cores as f64) * confidence;
        self.limit = (limit.round() as usize).clamp(1, max);
    }
}

/// Runs that share the cores, with one core of the second round left to reading.
fn max_limit(cores: usize) -> usize {
    cores * 2 - 1
}
