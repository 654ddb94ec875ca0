//! Load on the processes of a play, as callers see it: each thread sends to one process at its rate, whatever is answered, and keeps when it
//! sent and what it was told when.
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::Scope;
use std::time::{Duration, Instant};

use super::{Fleet, Told};
use crate::emulate::lock;

/// One RPC as its caller saw it; times since the drive began.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub at: usize,
    pub sent_ms: f64,
    pub got_ms: f64,
    pub told: Told,
}

/// The callers of a play, until it is stopped.
pub struct Drive {
    start: Instant,
    answers: Mutex<Vec<Answer>>,
    stop: AtomicBool,
}

impl Default for Drive {
    fn default() -> Drive {
        Drive {
            start: Instant::now(),
            answers: Mutex::default(),
            stop: AtomicBool::new(false),
        }
    }
}

impl Drive {
    pub fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// `threads` callers of process `at` for so long, each with an RPC every `every` unless the one before takes longer. Their ends are
    /// spread over `every`.
    #[allow(clippy::too_many_arguments)]
    pub fn calls<'scope, 'env>(
        &'env self,
        scope: &'scope Scope<'scope, 'env>,
        fleet: &'env Fleet,
        at: usize,
        threads: u32,
        every: Duration,
        method: &'static str,
        lasts: Duration,
    ) {
        let end = Instant::now() + lasts;
        for thread in 0..threads {
            scope.spawn(move || {
                let mut next = Instant::now() + every * thread / threads;
                while Instant::now() < end && !self.stop.load(Ordering::SeqCst) {
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += every;
                    let sent_ms = self.now_ms();
                    let told = fleet.call(at, method, Some("north"));
                    lock(&self.answers).push(Answer {
                        at,
                        sent_ms,
                        got_ms: self.now_ms(),
                        told,
                    });
                }
            });
        }
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    pub fn answers(&self) -> Vec<Answer> {
        lock(&self.answers).clone()
    }

    /// RPCs answered well that were sent within the span, by process where one is named.
    pub fn ok(&self, from_ms: f64, to_ms: f64, at: Option<usize>) -> usize {
        let within = |answer: &&Answer| answer.sent_ms >= from_ms && answer.sent_ms < to_ms;
        let ours =
            |answer: &&Answer| at.is_none_or(|at| answer.at == at) && answer.told == Told::Ok;
        lock(&self.answers)
            .iter()
            .filter(within)
            .filter(ours)
            .count()
    }
}
