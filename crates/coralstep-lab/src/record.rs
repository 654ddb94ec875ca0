//! What a day was like over time: asked for, answered, lost and why, by slice of time and by server. Its size depends on the number
//! of slices and servers, not on the number of requests, but for the list that `bound` needs, kept where it is wanted.
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::world::World;

/// Slices of a day. What comes to its end behind the last request is in one more, of no stated length.
pub const SLICES: usize = 120;
/// A slice is never shorter, in ms.
const SLICE_LEAST: f64 = 50.0;

/// Why criticality was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// Held, and given up for others or for time.
    Hold,
    /// Pushed back as it came: no room.
    Room,
    /// It must call, and the breaker did not let it.
    Breaker,
    /// Its server was cold.
    Cold,
    /// Its call failed, or took too long.
    Dependency,
    /// Its tenant was over its share.
    OverShare,
    /// Begun and not done by its due time, or done past its target.
    Late,
    /// Answered without its call.
    Skipped,
    /// Its server was down or left.
    Unreached,
    /// Open at the end of the day.
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
    /// Criticality asked for, and earned.
    pub worth: f64,
    pub kept: f64,
    /// Breakers that were not closed, at the most.
    pub breakers: u32,
    /// Servers at a level of reduced service, at the most.
    pub reduced: u32,
    /// Work that cores could do, in ms of a core of speed 1.
    pub capacity: f64,
    /// Calls that the dependency could answer.
    pub calls: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// A request, as `bound` takes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asked {
    pub at_ms: f64,
    pub method: usize,
    /// On a core of speed 1.
    pub work_ms: f64,
}

#[derive(Clone, Debug)]
pub struct Record {
    pub slice_ms: f64,
    pub slices: Vec<Slice>,
    took: Vec<Histogram<u64>>,
    /// Answers of a server in a slice: well, and otherwise. `server * SLICES + slice`.
    pub servers: Vec<[u32; 2]>,
    pub losses: [f64; LOSSES.len()],
    /// Losses by method.
    pub by_method: Vec<[f64; LOSSES.len()]>,
    /// Requests, where they are wanted.
    pub requests: Option<Vec<Asked>>,
}

impl Record {
    pub fn new(world: &World) -> Record {
        let slice_ms = (world.seconds * 1000.0 / SLICES as f64).max(SLICE_LEAST);
        // A tenth of a ms to an hour, two digits: what is created so can't fail.
        let took = Histogram::new_with_bounds(1, 36_000_000, 2).expect("sound bounds");
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

    /// The slice of a moment, in ticks from the start.
    pub fn at(&self, ticks: u64) -> usize {
        ((ticks as f64 / 10.0 / self.slice_ms) as usize).min(SLICES)
    }

    pub fn asked(&mut self, now: u64, _method: usize, worth: f64) {
        let at = self.at(now);
        self.slices[at].asked += 1;
        self.slices[at].worth += worth;
    }

    /// Answered well, for `kept` of its `worth`.
    #[allow(clippy::too_many_arguments)]
    pub fn ok(
        &mut self,
        now: u64,
        server: usize,
        method: usize,
        took_ms: f64,
        kept: f64,
        worth: f64,
    ) {
        let at = self.at(now);
        self.slices[at].ok += 1;
        self.slices[at].kept += kept;
        self.took[at].saturating_record((took_ms * 10.0).max(1.0) as u64);
        self.answered(server, at, 0);
        self.part(method, Loss::Late, worth - kept);
    }

    fn answered(&mut self, server: usize, at: usize, which: usize) {
        if at < SLICES {
            self.servers[server * SLICES + at][which] += 1;
        }
    }

    /// A part of what was answered well is lost all the same.
    pub fn part(&mut self, method: usize, loss: Loss, worth: f64) {
        self.losses[loss as usize] += worth;
        self.by_method[method][loss as usize] += worth;
    }

    pub fn lost(&mut self, now: u64, server: usize, method: usize, loss: Loss, worth: f64) {
        let at = self.at(now);
        let slice = &mut self.slices[at];
        match loss {
            Loss::Unreached | Loss::Open => slice.unreached += 1,
            Loss::Late | Loss::Dependency => slice.aborted += 1,
            _ => slice.pushed_back += 1,
        }
        self.answered(server, at, 1);
        self.part(method, loss, worth);
    }

    /// Percentiles of each slice are reckoned once, at the end.
    pub fn finish(&mut self) {
        for (slice, took) in self.slices.iter_mut().zip(&self.took) {
            if !took.is_empty() {
                slice.p50_ms = took.value_at_quantile(0.5) as f64 / 10.0;
                slice.p99_ms = took.value_at_quantile(0.99) as f64 / 10.0;
            }
        }
    }
}
