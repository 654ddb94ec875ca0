//! Limits of the number of running and of started requests.
use crate::config::SchedulerConfig;
use crate::request_table::Phase;
use crate::shared_state::SharedState;
use crate::time::{Span, Time};

/// Fraction of the sustainable started requests that is used; returning calls and reading need the rest.
const MAX_STARTED_FRACTION: f64 = 0.6;
/// CPU utilization below which the limit may grow.
const MAX_UTILIZATION_TO_GROW: f64 = 0.9;
/// CPU utilization above which the limit shrinks back to the number of cores.
const MAX_UTILIZATION_TO_KEEP: f64 = 0.97;
/// Read delay, as a multiple of the queue limit, beyond which reading needs more of the cores.
const MAX_READ_DELAY: f64 = 1.0;

/// The limits of running and of started requests.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    /// Maximum number of running requests.
    limit: usize,
    /// Maximum number of started requests per core that a warm server sustains.
    max_started_per_core: f64,
    warm_at: Time,
    /// Fraction of full speed that is missing per remaining tick of the warm-up.
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

    /// Returns the maximum number of started requests, such that the cores sustain all of them returning
    /// from their calls at once. It is lower while the server warms up.
    pub(crate) fn max_started(&self, shared: &SharedState) -> usize {
        let cold_ticks = (self.warm_at - shared.now).0 as f64;
        let speed = 1.0 - self.cold_deficit_per_tick * cold_ticks;
        let per_core = 1.0 + (self.max_started_per_core - 1.0) * speed;
        let started = shared.settings.cores as f64 * per_core * MAX_STARTED_FRACTION;
        (started as usize).max(1)
    }

    /// Returns whether another request may start.
    pub(crate) fn has_capacity(&self, shared: &SharedState) -> bool {
        shared.requests.count(Phase::Running) < self.limit
            && shared.requests.started() < self.max_started(shared)
    }

    /// Raises the limit while cores are idle and requests wait, and lowers it again otherwise. Guards
    /// against runs and reading that starve each other on few cores: the limit stays one below two runs
    /// per core.
    ///
    /// `cpu_busy` is the CPU utilization from 0 to 1, `read_delay` the maximum read delay as a multiple of
    /// the queue limit.
    pub(crate) fn adjust(&mut self, shared: &SharedState, cpu_busy: f64, read_delay: f64) {
        let cores = shared.settings.cores;
        let is_limit_reached = shared.requests.count(Phase::Running) >= self.limit;
        let can_use_more = shared.requests.count(Phase::Queued) > 0
            && cpu_busy < MAX_UTILIZATION_TO_GROW
            && is_limit_reached;
        if read_delay > MAX_READ_DELAY {
            // Guards against runs that starve reading: every request would be read too late.
            self.limit = (self.limit - 1).max(1);
        } else if self.limit < cores || can_use_more {
            self.limit = (self.limit + 1).min(max_limit(cores));
        } else if cpu_busy > MAX_UTILIZATION_TO_KEEP && self.limit > cores {
            self.limit -= 1;
        }
    }

    /// Restores the limit of an earlier process with a `confidence` from 0 to 1.
    pub(crate) fn restore(&mut self, cores: usize, learned: u32, confidence: f64) {
        let max = max_limit(cores);
        let learned = (learned as usize).clamp(1, max) as f64;
        let limit = cores as f64 + (learned - cores as f64) * confidence;
        self.limit = (limit.round() as usize).clamp(1, max);
    }
}

/// Returns the maximum limit: two runs per core, minus one to leave capacity for reading.
fn max_limit(cores: usize) -> usize {
    cores * 2 - 1
}
