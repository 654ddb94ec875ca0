//! Statistics of a run over time: requests, answers and losses with their reason, by time slice and by server. The size depends on
//! the number of slices and servers, not on the number of requests, except for the optional request list that `bound` needs.
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::world::World;

/// Number of time slices of a run. One more slice, without a fixed length, collects what ends after the last request.
pub const SLICES: usize = 120;
/// Minimum length of a slice.
const MIN_SLICE_MS: f64 = 50.0;

/// Reason for which a request's criticality was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// Rejected after waiting in the queue, in favour of other requests or because its time ran out.
    Hold,
    /// Rejected on arrival because there was no capacity.
    Room,
    /// Needed a call of the dependency while the breaker was open.
    Breaker,
    /// Rejected while its server was warming up.
    Cold,
    /// Its call failed or timed out.
    Dependency,
    /// Its tenant exceeded its quota.
    OverShare,
    /// Not finished by its deadline, or finished after its latency target.
    Late,
    /// Answered without its call of the dependency.
    Skipped,
    /// Its server was down or had left.
    Unreached,
    /// Still open at the end of the run.
    Open,
}

pub const LOSSES: [(Loss, &str); 10] = [
    (Loss::Hold, "hold"),
    (Loss::Room, "no room"),
    (Loss::Breaker, "breaker open"),
    (Loss::Cold, "cold"),
    (Loss::Dependency, "dependency"),
    (Loss::OverShare, "over share"),
    (Loss::Late, "late"),
    (Loss::Skipped, "without its call"),
    (Loss::Unreached, "unreached"),
    (Loss::Open, "open"),
];

#[derive(Clone, Debug, Default, Serialize)]
pub struct Slice {
    pub asked: u64,
    pub ok: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub unreached: u64,
    /// Total criticality of the requests, and the criticality earned by answers.
    pub worth: f64,
    pub kept: f64,
    /// Maximum number of breakers that weren't closed at the same time.
    pub breakers: u32,
    /// Maximum number of servers at a degraded service level at the same time.
    pub reduced: u32,
    /// Work that the cores could have done, in ms of a core of speed 1.
    pub capacity: f64,
    /// Number of calls that the dependency could have answered.
    pub calls: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// A request as an input of `bound`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecordedRequest {
    pub at_ms: f64,
    pub method: usize,
    /// Work in ms on a core of speed 1.
    pub work_ms: f64,
}

#[derive(Clone, Debug)]
pub struct Record {
    pub slice_ms: f64,
    pub slices: Vec<Slice>,
    took: Vec<Histogram<u64>>,
    /// Successful and other answers of a server in a slice, indexed by `server * SLICES + slice`.
    pub servers: Vec<[u32; 2]>,
    pub losses: [f64; LOSSES.len()],
    /// Lost criticality by method and reason.
    pub by_method: Vec<[f64; LOSSES.len()]>,
    /// All requests, if they are recorded.
    pub requests: Option<Vec<RecordedRequest>>,
}

impl Record {
    pub fn new(world: &World) -> Record {
        let slice_ms = (world.seconds * 1000.0 / SLICES as f64).max(MIN_SLICE_MS);
        // 0.1 ms to an hour with two significant digits: these constant bounds are valid.
        let took =
            Histogram::new_with_bounds(1, 36_000_000, 2).expect("histogram bounds are valid");
        Record {
            slice_ms,
            slices: vec![Slice::default(); SLICES + 1],
            took: vec![took; SLICES + 1],
            servers: vec![[0; 2]; SLICES * world.servers.count],
            losses: [0.0; LOSSES.len()],
            by_method: vec![[0.0; LOSSES.len()]; world.methods.len()],
            requests: None,
        }
    }

    /// Returns the slice of a time, given in ticks from the start.
    pub fn slice_index(&self, ticks: u64) -> usize {
        ((ticks as f64 / 10.0 / self.slice_ms) as usize).min(SLICES)
    }

    /// Records a request of the criticality `worth`.
    pub fn record_request(&mut self, now: u64, _method: usize, worth: f64) {
        let at = self.slice_index(now);
        self.slices[at].asked += 1;
        self.slices[at].worth += worth;
    }

    /// Records a successful answer that earned `kept` of the criticality `worth`.
    #[allow(clippy::too_many_arguments)]
    pub fn record_success(
        &mut self,
        now: u64,
        server: usize,
        method: usize,
        took_ms: f64,
        kept: f64,
        worth: f64,
    ) {
        let at = self.slice_index(now);
        self.slices[at].ok += 1;
        self.slices[at].kept += kept;
        self.took[at].saturating_record((took_ms * 10.0).max(1.0) as u64);
        self.count_answer(server, at, 0);
        self.record_partial_loss(method, Loss::Late, worth - kept);
    }

    fn count_answer(&mut self, server: usize, at: usize, which: usize) {
        if at < SLICES {
            self.servers[server * SLICES + at][which] += 1;
        }
    }

    /// Records lost criticality without counting an answer, as for the part that a late or reduced answer loses.
    pub fn record_partial_loss(&mut self, method: usize, loss: Loss, worth: f64) {
        self.losses[loss as usize] += worth;
        self.by_method[method][loss as usize] += worth;
    }

    /// Records a request that ended without a successful answer.
    pub fn record_loss(&mut self, now: u64, server: usize, method: usize, loss: Loss, worth: f64) {
        let at = self.slice_index(now);
        let slice = &mut self.slices[at];
        match loss {
            Loss::Unreached | Loss::Open => slice.unreached += 1,
            Loss::Late | Loss::Dependency => slice.aborted += 1,
            _ => slice.pushed_back += 1,
        }
        self.count_answer(server, at, 1);
        self.record_partial_loss(method, loss, worth);
    }

    /// Computes the percentiles of each slice; called once, at the end.
    pub fn finish(&mut self) {
        for (slice, took) in self.slices.iter_mut().zip(&self.took) {
            if !took.is_empty() {
                slice.p50_ms = took.value_at_quantile(0.5) as f64 / 10.0;
                slice.p99_ms = took.value_at_quantile(0.99) as f64 / 10.0;
            }
        }
    }
}
