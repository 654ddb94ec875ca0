//! Invariants of a play of processes, checked against what callers observe and what each process reports.
use std::collections::HashMap;

use serde::Serialize;

use super::{Answer, RpcOutcome};

/// The state of one process at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    pub at_ms: u64,
    pub process: usize,
    /// Number of restarts of the process.
    pub life: u64,
    /// Number and hash of the version that the process reports as active.
    pub acts_on: (u64, String),
    pub shut: bool,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "breach", rename_all = "snake_case")]
pub enum Breach {
    /// A process returned to an older version without a restart.
    Back {
        at_ms: u64,
        process: usize,
        from: String,
        to: String,
    },
    /// More members are excluded for a version than the limit allows.
    TooManyOut { at_ms: u64, out: usize, most: usize },
    /// A resumed process ran an RPC under a version older than the one that all others were active on.
    RanOld {
        at_ms: u64,
        process: usize,
        version: String,
    },
    /// An RPC received no answer.
    NoAnswer { at_ms: u64, process: usize },
    /// The processes are not active on the same version at the end.
    Apart { versions: Vec<String> },
}

/// Time for which more members than the limit may be excluded while their announcements are in flight, in milliseconds.
const ANNOUNCEMENT_GRACE_MS: u64 = 2_000;
/// Time after a pause during which a process must not admit requests under an old version, in milliseconds (`docs/fleet.md`).
pub const RESUME_GUARD_MS: u64 = 3_000;

/// Collects the invariant violations of a play.
#[derive(Default)]
pub struct InvariantChecker {
    last: HashMap<usize, Observation>,
    over: Option<u64>,
    pub breaches: Vec<Breach>,
    /// For each resumed process, the time of its resumption and the oldest version active on the others then.
    resumed: HashMap<usize, (u64, u64)>,
}

impl InvariantChecker {
    /// Records the state of a process and checks it.
    pub fn observe(&mut self, seen: Observation) {
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
        // The exclusion limit of docs/fleet.md: three tenths of the members, at least one from three members on.
        let all = self.last.len();
        let most = ((all as f64 * 0.3) as usize).max(usize::from(all >= 3));
        let out = self.last.values().filter(|seen| seen.shut).count();
        if out <= most {
            self.over = None;
        } else if at_ms >= *self.over.get_or_insert(at_ms) + ANNOUNCEMENT_GRACE_MS {
            self.breaches.push(Breach::TooManyOut { at_ms, out, most });
            self.over = Some(at_ms);
        }
    }

    /// Forgets a process that was killed.
    pub fn remove_process(&mut self, process: usize) {
        self.last.remove(&process);
    }

    /// Records that a process was resumed after a pause of more than two seconds.
    pub fn record_resume(&mut self, at_ms: u64, process: usize) {
        let others = self
            .last
            .values()
            .filter(|seen| seen.process != process)
            .map(|seen| seen.acts_on.0);
        if let Some(least) = others.min() {
            self.resumed.insert(process, (at_ms, least));
        }
    }

    /// Records a successful RPC; the process reported version `number` as active right after it.
    pub fn record_success(&mut self, at_ms: u64, process: usize, number: u64) {
        if let Some((since, least)) = self.resumed.get(&process)
            && at_ms < since + RESUME_GUARD_MS
            && number < *least
        {
            self.breaches.push(Breach::RanOld {
                at_ms,
                process,
                version: number.to_string(),
            });
        }
    }

    /// Records an RPC without an answer.
    pub fn record_no_answer(&mut self, at_ms: u64, process: usize) {
        self.breaches.push(Breach::NoAnswer { at_ms, process });
    }

    /// Checks that all processes are active on one version; to be called after there was time to converge.
    pub fn check_convergence(&mut self) {
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

/// Returns by how many RPCs any time window exceeds `burst + rps * window`; at most zero if the limit held. An RPC that was sent and
/// answered with success within a window was admitted within it.
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
