//! What is measured: how long runs, calls and reading take, and how much of what was requested is served in
//! time. Nothing is decided here.
use crate::config::SchedulerConfig;
use crate::time::{Span, Time};

/// Assumed for a run or a call while none was measured.
pub(crate) const ASSUMED_TIME: Span = Span::ms(250);
/// Counts are halved this often, so that they follow the traffic.
const HALVING_PERIOD: Span = Span::ms(8_000);

/// Bins of a [`Histogram`].
pub(crate) const HISTOGRAM_BINS: usize = 12;
/// What one sample adds to its bin, so that halving a few samples keeps some of them.
const SAMPLE_WEIGHT: u32 = 8;

/// Times in bins whose width doubles, from 12.8 ms up.
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

    /// Halves the counts where they are more than `max_samples`.
    pub(crate) fn keep_at_most(&mut self, max_samples: u64) {
        if self.samples() > max_samples {
            self.halve();
        }
    }

    pub(crate) fn samples(&self) -> u64 {
        self.0.iter().map(|bin| u64::from(*bin)).sum::<u64>() / u64::from(SAMPLE_WEIGHT)
    }

    /// The bin of the median; `assumed` while nothing was recorded.
    pub(crate) fn median(&self, assumed: Span) -> Span {
        let half = self.0.iter().sum::<u32>().div_ceil(2);
        let mut below = 0;
        let bin = self.0.iter().position(|bin| {
            below += bin;
            below >= half.max(1)
        });
        bin.map_or(assumed, middle_of_bin)
    }

    /// The mean; `assumed` while nothing was recorded.
    pub(crate) fn mean(&self, assumed: Span) -> Span {
        let count = |bin: usize| u64::from(self.0[bin]);
        let sum: u64 = (0..HISTOGRAM_BINS)
            .map(|bin| count(bin) * middle_of_bin(bin).0)
            .sum();
        sum.checked_div((0..HISTOGRAM_BINS).map(count).sum())
            .map_or(assumed, Span)
    }
}

fn middle_of_bin(bin: usize) -> Span {
    Span(96 << bin)
}

/// How much was requested of late, and how much of it was served.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceRatio {
    pub(crate) requested: f64,
    pub(crate) served: f64,
}

impl ServiceRatio {
    /// The part that was served, from 0 to 1; 1 before anything was requested.
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
    /// The time on the cores of each method's runs.
    pub(crate) run_times: Vec<Histogram>,
    pub(crate) call_times: Histogram,
    pub(crate) last_call_end: Time,
    /// How long requests waited before they were read.
    pub(crate) read_delays: Histogram,
    /// First attempts of each method, and those answered within the latency objective.
    pub(crate) methods: Vec<ServiceRatio>,
    /// The same of each tenant.
    pub(crate) tenants: Vec<ServiceRatio>,
    /// All attempts that were read, and those that were begun.
    pub(crate) attempts: ServiceRatio,
    /// Since when the counts of methods and tenants count.
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

    /// The mean time of a method's runs on the cores.
    pub(crate) fn mean_run_time(&self, method: usize) -> Span {
        self.run_times[method].mean(ASSUMED_TIME)
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

    /// Halves what was counted long enough ago.
    pub(crate) fn halve_when_due(&mut self, now: Time) {
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
