//! What a scheduler has learned, as a plain record that may outlive its process.
//!
//! Where it is kept and how far it may be believed is decided elsewhere (`coralstep-state`).
use crate::measurements::{HISTOGRAM_BINS, Histogram, Measurements, ServiceRatio};

/// Measurements and limits of one scheduler. An absent one says nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// The time on the cores of each method's runs, as the bins of a histogram.
    pub run_times: Vec<[u32; HISTOGRAM_BINS]>,
    /// The time of calls, as the bins of a histogram.
    pub call_times: [u32; HISTOGRAM_BINS],
    /// How many requests may run at once.
    pub concurrency_limit: Option<u32>,
    /// How many calls may be in flight.
    pub call_permits: Option<f64>,
    /// The best usual time of a call, in ticks of 0.1 ms.
    pub best_call_time: Option<u64>,
    /// How each tenant was served of late.
    pub tenants: Vec<TenantService>,
}

/// How a tenant was served of late; counts lose weight with time, so they need not be whole.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantService {
    /// First attempts that were read.
    pub requested: f64,
    /// Those that were answered within their latency objective.
    pub served: f64,
}

/// Guards against a record that nobody wrote so: a bin never holds more than this.
const MAX_BIN: u32 = 1 << 20;
/// What was measured by an earlier process weighs at most as many samples: wrong knowledge is outweighed in
/// seconds.
const MAX_RESTORED_SAMPLES: u64 = 20;
/// Figures from here on are none that a scheduler wrote.
const MAX_FIGURE: f64 = 1e9;
/// Best call times from here on, in ticks, are none that a scheduler wrote.
const MAX_BEST_CALL_TIME: u64 = 1 << 32;
/// A best call time is taken in only with more confidence: one that is too good would look like a crowd for
/// ever.
const MIN_CONFIDENCE_IN_BEST: f64 = 0.5;

impl LearnedState {
    /// The best call time, in ticks, where `confidence` suffices for it.
    pub(crate) fn believed_best_call_time(&self, confidence: f64) -> Option<u64> {
        self.best_call_time
            .filter(|best| confidence > MIN_CONFIDENCE_IN_BEST && *best < MAX_BEST_CALL_TIME)
    }

    /// The call permits, where a scheduler may have written them.
    pub(crate) fn sound_call_permits(&self) -> Option<f64> {
        self.call_permits.filter(|permits| is_sound(*permits))
    }
}

impl Measurements {
    pub(crate) fn restore(&mut self, learned: &LearnedState, confidence: f64) {
        for (run_times, bins) in self.run_times.iter_mut().zip(&learned.run_times) {
            *run_times = restored_histogram(bins, confidence);
        }
        self.call_times = restored_histogram(&learned.call_times, confidence);
        for (ratio, tenant) in self.tenants.iter_mut().zip(&learned.tenants) {
            if is_sound(tenant.requested) && is_sound(tenant.served) {
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
    let part = confidence * (MAX_RESTORED_SAMPLES as f64 / samples.max(1) as f64).min(1.0);
    Histogram::from_bins(bins.map(|bin| (f64::from(bin.min(MAX_BIN)) * part) as u32))
}

fn is_sound(figure: f64) -> bool {
    figure.is_finite() && (0.0..MAX_FIGURE).contains(&figure)
}
