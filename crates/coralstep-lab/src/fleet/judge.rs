//! What must hold at every moment of a play of processes, judged by what is seen from outside and by what each says of itself.
use std::collections::HashMap;

use serde::Serialize;

use super::{Answer, RpcOutcome};

/// One process at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    pub at_ms: u64,
    pub process: usize,
    /// Rises with each start.
    pub life: u64,
    /// Number and hash of the version it says it acts on.
    pub acts_on: (u64, String),
    pub shut: bool,
}

/// What must not be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "breach", rename_all = "snake_case")]
pub enum Breach {
    /// A process went back to an older version without a restart.
    Back {
        at_ms: u64,
        process: usize,
        from: String,
        to: String,
    },
    /// More are shut out for a version than may be.
    TooManyOut { at_ms: u64, out: usize, most: usize },
    /// After a stop it ran an RPC under a version older than what all others had long acted on.
    RanOld {
        at_ms: u64,
        process: usize,
        version: String,
    },
    /// An RPC got no answer.
    NoAnswer { at_ms: u64, process: usize },
    /// At the end not all act on one version.
    Apart { versions: Vec<String> },
}

/// Moments that many may be out together while their words are still under way, in milliseconds.
const UNDER_WAY: u64 = 2_000;
/// After a stop nothing is let in under an old version for so long (`docs/fleet.md`).
pub const HELD: u64 = 3_000;

#[derive(Default)]
pub struct InvariantChecker {
    last: HashMap<usize, Observation>,
    over: Option<u64>,
    pub breaches: Vec<Breach>,
    /// When a process went on after a stop, and the version that all others acted on then.
    resumed: HashMap<usize, (u64, u64)>,
}

impl InvariantChecker {
    pub fn seen(&mut self, seen: Observation) {
        if let Some(before) = self.last.get(&seen.process)
            && before.life == seen.life
            && before.acts_on > seen.acts_on
        {
            let name = |of: &Observation| format!("{}-{}", of.acts_on.0, of.acts_on.1);
            let (from, to) = (name(before), name(&seen));
            self.breaches.push(Breach::Back {
                at_ms: seen.at_ms,
                process: seen.process,
                from,
                to,
            });
        }
        let at_ms = seen.at_ms;
        self.last.insert(seen.process, seen);
        // Three tenths, one of three to six: by the formula in docs/fleet.md.
        let all = self.last.len();
        let most = ((all as f64 * 0.3) as usize).max(usize::from(all >= 3));
        let out = self.last.values().filter(|seen| seen.shut).count();
        if out <= most {
            self.over = None;
        } else if at_ms >= *self.over.get_or_insert(at_ms) + UNDER_WAY {
            self.breaches.push(Breach::TooManyOut { at_ms, out, most });
            self.over = Some(at_ms);
        }
    }

    /// It doesn't run any more.
    pub fn gone(&mut self, process: usize) {
        self.last.remove(&process);
    }

    /// It goes on after a stop of over two seconds.
    pub fn resumed(&mut self, at_ms: u64, process: usize) {
        let others = self
            .last
            .values()
            .filter(|seen| seen.process != process)
            .map(|seen| seen.acts_on.0);
        if let Some(least) = others.min() {
            self.resumed.insert(process, (at_ms, least));
        }
    }

    /// A process answered an RPC well; right after that it said that it acts on version `number`.
    pub fn ran(&mut self, at_ms: u64, process: usize, number: u64) {
        if let Some((since, least)) = self.resumed.get(&process)
            && at_ms < since + HELD
            && number < *least
        {
            self.breaches.push(Breach::RanOld {
                at_ms,
                process,
                version: number.to_string(),
            });
        }
    }

    pub fn no_answer(&mut self, at_ms: u64, process: usize) {
        self.breaches.push(Breach::NoAnswer { at_ms, process });
    }

    /// The play is over, and there was time to come together.
    pub fn end(&mut self) {
        let mut versions: Vec<String> = self
            .last
            .values()
            .map(|seen| format!("{}-{}", seen.acts_on.0, seen.acts_on.1))
            .collect();
        versions.sort();
        versions.dedup();
        if versions.len() > 1 {
            self.breaches.push(Breach::Apart { versions });
        }
    }
}

/// How far over `burst + rps * window` any window is, by what callers saw: RPCs that were sent and answered well within it were let in within
/// it. At or under nought where the limit held.
pub fn excess(answers: &[Answer], rps: f64, burst: f64) -> f64 {
    let mut ok: Vec<&Answer> = answers
        .iter()
        .filter(|answer| answer.outcome == RpcOutcome::Ok)
        .collect();
    ok.sort_by(|a, b| a.sent_ms.total_cmp(&b.sent_ms));
    let mut most = f64::MIN;
    for (at, first) in ok.iter().enumerate() {
        let mut ends: Vec<f64> = ok[at..].iter().map(|answer| answer.received_ms).collect();
        ends.sort_by(f64::total_cmp);
        for (count, end) in ends.iter().enumerate() {
            most = most.max((count + 1) as f64 - burst - rps * (end - first.sent_ms) / 1000.0);
        }
    }
    most
}

#[cfg(test)]
mod tests;
