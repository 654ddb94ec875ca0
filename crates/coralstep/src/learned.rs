//! What a server has learned of itself, as a plain record that may outlive it. Where it is kept and how far it may be believed is
//! decided elsewhere; here it is given out and taken in.
use super::Scheduler;
use crate::constants::{SHARE_FIRST, TIER_LEAST};
use crate::site::{Histogram, Tally};

/// Figures of one server. An absent one says nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Time on the cores of each method's runs, and of calls, in the module's bins.
    pub run_times: Vec<[u32; 12]>,
    pub call_times: [u32; 12],
    /// How much ran at once.
    pub concurrency_limit: Option<u32>,
    pub call_permits: Option<f64>,
    /// The best usual time of a call, in ticks.
    pub best_call_time: Option<u64>,
    /// Asked for and answered in time of late, by tenant.
    pub tenants: Vec<[f64; 2]>,
}

/// Guards against a record that nobody wrote so: a bin never holds more than this.
const BIN_MOST: u32 = 1 << 20;
/// What was counted before a restart weighs at most as so many answers: wrong knowledge is outweighed in seconds.
const WEIGHT: u64 = 20;

fn histogram(bins: &[u32; 12], trust: f64) -> Histogram {
    let count: u64 = bins.iter().map(|bin| u64::from(*bin)).sum::<u64>() / 8;
    let part = trust * (WEIGHT as f64 / count.max(1) as f64).min(1.0);
    Histogram::of(bins.map(|bin| (f64::from(bin.min(BIN_MOST)) * part) as u32))
}

impl Scheduler {
    pub fn learned_state(&self) -> LearnedState {
        let site = &self.site;
        LearnedState {
            run_times: site.runs.iter().map(Histogram::bins).collect(),
            call_times: site.calls.bins(),
            concurrency_limit: Some(self.cores.limit as u32),
            call_permits: Some(self.bulkhead.permits),
            best_call_time: (self.bulkhead.best > 0).then_some(self.bulkhead.best),
            tenants: site
                .tenants
                .iter()
                .map(|tally| [tally.asked, tally.ok])
                .collect(),
        }
    }

    /// Takes in what was learned before, as far as it is trusted: 0 leaves a cold start, 1 goes on as before. To be called before the
    /// first RPC. Breakers start closed, whatever they were: an open one's cooldown is over long before anybody could know.
    pub fn restore(&mut self, learned: &LearnedState, trust: f64) {
        let trust = if trust.is_finite() {
            trust.clamp(0.0, 1.0)
        } else {
            0.0
        };
        let sound = |figure: f64| figure.is_finite() && (0.0..1e9).contains(&figure);
        let site = &mut self.site;
        for (runs, bins) in site.runs.iter_mut().zip(&learned.run_times) {
            *runs = histogram(bins, trust);
        }
        site.calls = histogram(&learned.call_times, trust);
        let blend = |cold: f64, warm: f64| cold + (warm - cold) * trust;
        if let Some(limit) = learned.concurrency_limit {
            let most = site.cores * 2 - 1;
            let limit = (limit as usize).clamp(1, most);
            self.cores.limit =
                (blend(site.cores as f64, limit as f64).round() as usize).clamp(1, most);
        }
        if let Some(permits) = learned.call_permits.filter(|permits| sound(*permits)) {
            let (least, most) = self.bulkhead.range;
            let first = self
                .bulkhead
                .share
                .map_or(least.max(TIER_LEAST), |all| all * SHARE_FIRST);
            self.bulkhead.permits = blend(first, permits).clamp(least, most.max(least));
        }
        // A best that is too good would look like a crowd for ever; half-believed it is none.
        self.bulkhead.best = learned
            .best_call_time
            .filter(|best| trust > 0.5 && *best < 1 << 32)
            .unwrap_or(0);
        for (tally, [asked, ok]) in site.tenants.iter_mut().zip(&learned.tenants) {
            if sound(*asked) && sound(*ok) {
                *tally = Tally {
                    asked: asked * trust,
                    ok: ok.min(*asked) * trust,
                };
            }
        }
    }
}

#[cfg(test)]
#[path = "learned/tests.rs"]
mod tests;
