//! Load generator for the processes of a play. Each thread sends RPCs to one process at a fixed rate, whatever the answers, and records
//! the times and the outcome of each.
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::Scope;
use std::time::{Duration, Instant};

use super::{Fleet, RpcOutcome};
use crate::emulate::lock;

/// The outcome of one RPC as its caller saw it. Times are in milliseconds since the load generator was created.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub process: usize,
    pub sent_ms: f64,
    pub received_ms: f64,
    pub outcome: RpcOutcome,
}

/// Runs the callers of a play until it is stopped.
pub struct LoadGenerator {
    start: Instant,
    answers: Mutex<Vec<Answer>>,
    stop: AtomicBool,
}

impl Default for LoadGenerator {
    fn default() -> LoadGenerator {
        LoadGenerator {
            start: Instant::now(),
            answers: Mutex::default(),
            stop: AtomicBool::new(false),
        }
    }
}

impl LoadGenerator {
    /// Returns the time since the load generator was created, in milliseconds.
    pub fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Starts `threads` callers of process `at` for `duration`. Each sends an RPC per `interval`, later if the previous one takes longer;
    /// their starts are spread over the interval.
    #[allow(clippy::too_many_arguments)]
    pub fn spawn_callers<'scope, 'env>(
        &'env self,
        scope: &'scope Scope<'scope, 'env>,
        fleet: &'env Fleet,
        at: usize,
        threads: u32,
        interval: Duration,
        method: &'static str,
        duration: Duration,
    ) {
        let end = Instant::now() + duration;
        for thread in 0..threads {
            scope.spawn(move || {
                let mut next = Instant::now() + interval * thread / threads;
                while Instant::now() < end && !self.stop.load(Ordering::SeqCst) {
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += interval;
                    let sent_ms = self.now_ms();
                    let outcome = fleet.call(at, method, Some("north"));
                    lock(&self.answers).push(Answer {
                        process: at,
                        sent_ms,
                        received_ms: self.now_ms(),
                        outcome,
                    });
                }
            });
        }
    }

    /// Stops all callers after their current RPC.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Returns all answers so far.
    pub fn answers(&self) -> Vec<Answer> {
        lock(&self.answers).clone()
    }

    /// Returns the number of successful RPCs sent within the time span; if `at` is given, of that process only.
    pub fn count_ok(&self, from_ms: f64, to_ms: f64, at: Option<usize>) -> usize {
        let within = |answer: &&Answer| answer.sent_ms >= from_ms && answer.sent_ms < to_ms;
        let of_process = |answer: &&Answer| {
            at.is_none_or(|at| answer.process == at) && answer.outcome == RpcOutcome::Ok
        };
        lock(&self.answers)
            .iter()
            .filter(within)
            .filter(of_process)
            .count()
    }
}
