//! Learned state of a scheduler, as a plain record that can be restored in a later process.
//!
//! `coralstep-state` stores it and decides how far it can be trusted.
use crate::measurements::{HISTOGRAM_BINS, Histogram, Measurements, ServiceRatio};

/// Measurements and limits of one scheduler. Absent values are unknown.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Time on the cores of each method's runs, as histogram bins.
    pub run_times: Vec<[u32; HISTOGRAM_BINS]>,
    /// Call times, as histogram bins.
    pub call_times: [u32; HISTOGRAM_BINS],
    /// Maximum number of concurrently running requests.
    pub concurrency_limit: Option<u32>,
    /// Maximum number of calls in flight.
    pub call_permits: Option<f64>,
    /// Lowest typical call time, in ticks of 0.1 ms.
    pub best_call_time: Option<u64>,
    /// Recent service of each tenant.
    pub tenants: Vec<TenantService>,
}

/// Recent service of a tenant. Counts decay over time, so they may be fractional.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantService {
    /// Number of first attempts that were read.
    pub requested: f64,
    /// Number of those that were answered within the latency objective.
    pub served: f64,
}

/// Maximum value of a restored histogram bin. Guards against corrupt records.
const MAX_BIN_VALUE: u32 = 1 << 20;
/// Maximum number of samples restored into a histogram, so that new measurements outweigh outdated ones
/// within seconds.
const MAX_RESTORED_SAMPLES: u64 = 20;
/// Values from this limit on cannot have been written by a scheduler and are ignored.
const MAX_PLAUSIBLE_VALUE: f64 = 1e9;
/// Best call times from this limit on, in ticks, cannot have been written by a scheduler and are ignored.
const MAX_PLAUSIBLE_CALL_TIME: u64 = 1 << 32;
/// A best call time is restored only above this confidence: one that is too low would make the dependency
/// look overloaded permanently.
const MIN_CALL_TIME_CONFIDENCE: f64 = 0.5;

impl LearnedState {
    /// Returns the best call time in ticks, if it is plausible and `confidence` suffices.
    pub(crate) fn trusted_best_call_time(&self, confidence: f64) -> Option<u64> {
        self.best_call_time
            .filter(|best| confidence > MIN_CALL_TIME_CONFIDENCE && *best < MAX_PLAUSIBLE_CALL_TIME)
    }

    /// Returns the call permits, if plausible.
    pub(crate) fn plausible_call_permits(&self) -> Option<f64> {
        self.call_permits.filter(|permits| is_plausible(*permits))
    }
}

impl Measurements {
    pub(crate) fn restore(&mut self, learned: &LearnedState, confidence: f64) {
        for (run_times, bins) in self.run_times.iter_mut().zip(&learned.run_times) {
            *run_times = restored_histogram(bins, confidence);
        }
        self.call_times = restored_histogram(&learned.call_times, confidence);
        for (ratio, tenant) in self.tenants.iter_mut().zip(&learned.tenants) {
            if is_plausible(tenant.requested) && is_plausible(tenant.served) {
                *ratio = ServiceRatio {
                    requested: tenant.requested * confidence,
                    served: tenant.served.min(tenant.requested) * confidence,
                };
            }
        }
    }
}

fn restored_histogram(bins: &[u32; HISTOGRAM_BINS], confidence: f64) -> Histogram {
    let samples = Histogram::from_bins(*bins).samples();
    let scale = confidence * (MAX_RESTORED_SAMPLES as f64 / samples.max(1) as f64).min(1.0);
    Histogram::from_bins(bins.map(|bin| (f64::from(bin.min(MAX_BIN_VALUE)) * scale) as u32))
}

fn is_plausible(value: f64) -> bool {
    value.is_finite() && (0.0..MAX_PLAUSIBLE_VALUE).contains(&value)
}
