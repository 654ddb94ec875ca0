//! Measurements that the rules read: durations of runs and calls, read delays, and the fraction of requests
//! served in time.
use crate::config::SchedulerConfig;
use crate::time::{Span, Time};

/// Assumed duration of a run or a call before the first measurement.
pub(crate) const DEFAULT_DURATION: Span = Span::ms(250);
/// Interval at which counts are halved, so that they follow the traffic.
const HALVING_PERIOD: Span = Span::ms(8_000);

/// Number of bins of a [`Histogram`].
pub(crate) const HISTOGRAM_BINS: usize = 12;
/// Value that one sample adds to its bin; above 1, so that halving preserves small counts.
const SAMPLE_WEIGHT: u32 = 8;

/// Histogram of durations, in bins whose width doubles from 12.8 ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct Histogram([u32; HISTOGRAM_BINS]);

impl Histogram {
    pub(crate) fn from_bins(bins: [u32; HISTOGRAM_BINS]) -> Histogram {
        Histogram(bins)
    }

    pub(crate) fn bins(&self) -> [u32; HISTOGRAM_BINS] {
        self.0
    }

    pub(crate) fn record(&mut self, span: Span) {
        let bin = (span.0 >> 7)
            .checked_ilog2()
            .map_or(0, |log| log as usize + 1);
        self.0[bin.min(HISTOGRAM_BINS - 1)] += SAMPLE_WEIGHT;
    }

    pub(crate) fn halve(&mut self) {
        self.0.iter_mut().for_each(|bin| *bin /= 2);
    }

    /// Halves the counts if there are more than `max_samples` samples.
    pub(crate) fn limit_samples(&mut self, max_samples: u64) {
        if self.samples() > max_samples {
            self.halve();
        }
    }

    pub(crate) fn samples(&self) -> u64 {
        self.0.iter().map(|bin| u64::from(*bin)).sum::<u64>() / u64::from(SAMPLE_WEIGHT)
    }

    /// Returns the midpoint of the median's bin, or `fallback` if nothing was recorded.
    pub(crate) fn median(&self, fallback: Span) -> Span {
        let half = self.0.iter().sum::<u32>().div_ceil(2);
        let mut below = 0;
        let bin = self.0.iter().position(|bin| {
            below += bin;
            below >= half.max(1)
        });
        bin.map_or(fallback, bin_midpoint)
    }

    /// Returns the mean, or `fallback` if nothing was recorded.
    pub(crate) fn mean(&self, fallback: Span) -> Span {
        let count = |bin: usize| u64::from(self.0[bin]);
        let sum: u64 = (0..HISTOGRAM_BINS)
            .map(|bin| count(bin) * bin_midpoint(bin).0)
            .sum();
        sum.checked_div((0..HISTOGRAM_BINS).map(count).sum())
            .map_or(fallback, Span)
    }
}

fn bin_midpoint(bin: usize) -> Span {
    Span(96 << bin)
}

/// Decaying counts of requests and of served requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceRatio {
    pub(crate) requested: f64,
    pub(crate) served: f64,
}

impl ServiceRatio {
    /// Returns the fraction that was served, from 0 to 1; 1 before the first request.
    pub(crate) fn ratio(&self) -> f64 {
        (self.served + 1.0) / (self.requested + 1.0)
    }

    pub(crate) fn halve(&mut self) {
        (self.requested, self.served) = (self.requested / 2.0, self.served / 2.0);
    }

    pub(crate) fn scale(&mut self, factor: f64) {
        (self.requested, self.served) = (self.requested * factor, self.served * factor);
    }
}

/// All measurements of one server.
#[derive(Debug)]
pub(crate) struct Measurements {
    /// Time on the cores of the runs of each method.
    pub(crate) run_times: Vec<Histogram>,
    pub(crate) call_times: Histogram,
    pub(crate) last_call_end: Time,
    /// Time between arrival and reading of requests.
    pub(crate) read_delays: Histogram,
    /// First attempts per method, and those answered within the latency objective.
    pub(crate) methods: Vec<ServiceRatio>,
    /// First attempts per tenant, and those answered within the latency objective.
    pub(crate) tenants: Vec<ServiceRatio>,
    /// Attempts that were read, and those that were started.
    pub(crate) attempts: ServiceRatio,
    /// Start of the period that the counts of methods and tenants cover.
    pub(crate) counted_since: Time,
}

impl Measurements {
    pub(crate) fn new(config: &SchedulerConfig, now: Time) -> Measurements {
        Measurements {
            run_times: vec![Histogram::default(); config.methods.len()],
            call_times: Histogram::default(),
            last_call_end: now,
            read_delays: Histogram::default(),
            methods: vec![ServiceRatio::default(); config.methods.len()],
            tenants: vec![ServiceRatio::default(); config.tenant_quotas.len()],
            attempts: ServiceRatio::default(),
            counted_since: now,
        }
    }

    /// Returns the mean time on the cores of a method's runs.
    pub(crate) fn mean_run_time(&self, method: usize) -> Span {
        self.run_times[method].mean(DEFAULT_DURATION)
    }

    pub(crate) fn record_request(&mut self, method: usize, tenant: Option<usize>) {
        self.methods[method].requested += 1.0;
        if let Some(tenant) = tenant {
            self.tenants[tenant].requested += 1.0;
        }
    }

    pub(crate) fn record_served(&mut self, method: usize, tenant: Option<usize>) {
        self.methods[method].served += 1.0;
        if let Some(tenant) = tenant {
            self.tenants[tenant].served += 1.0;
        }
    }

    pub(crate) fn record_call(&mut self, now: Time, duration: Span) {
        self.call_times.record(duration);
        self.last_call_end = now;
    }

    /// Halves the counts once they cover two halving periods. From then on they count as those of one period,
    /// so this happens once per period.
    pub(crate) fn halve_if_due(&mut self, now: Time) {
        if now - self.counted_since < HALVING_PERIOD * 2 {
            return;
        }
        self.counted_since = now - (now - self.counted_since).scaled(0.5);
        self.read_delays.halve();
        self.run_times.iter_mut().for_each(Histogram::halve);
        self.methods.iter_mut().for_each(ServiceRatio::halve);
        self.tenants.iter_mut().for_each(ServiceRatio::halve);
    }
}
