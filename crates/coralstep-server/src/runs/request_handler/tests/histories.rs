//! Random histories of attempts, with full tables, exhausted quotas, closing connections and refused runs.
use std::rc::Rc;

use coralstep::Span;
use nanorand::{Rng, WyRand};

use super::fixture::{Answer, Attempt, LONG_WINDOW, RESULT, Server, limits, request};
use super::*;
use crate::decisions::RunOutcome;

const HISTORIES: u64 = 2_000;
const STEPS: usize = 60;
const KEYS: usize = 6;

/// An attempt and what was known when it was sent.
struct SentAttempt<'a> {
    attempt: Attempt<'a>,
    key: String,
    sent_after_run: bool,
}

struct History<'a> {
    server: &'a Server,
    rng: WyRand,
    sent: Vec<SentAttempt<'a>>,
}

impl<'a> History<'a> {
    fn pick(&mut self, count: usize) -> usize {
        self.rng.generate_range(0..count)
    }

    fn pick_key(&mut self) -> String {
        self.pick(KEYS).to_string()
    }

    fn pick_outcome(&mut self) -> RunOutcome {
        match self.pick(4) {
            0 => RunOutcome::Ok(RESULT.into()),
            1 => RunOutcome::Error,
            2 => RunOutcome::Refused,
            _ => RunOutcome::NeverStarted {
                retry_after: Duration::ZERO,
            },
        }
    }

    /// Returns whether a run of `key` has started that is not known to have never started.
    fn may_have_run(&self, key: &str) -> bool {
        let started = self.server.backend.started.borrow();
        started
            .iter()
            .any(|run| *run.key == *key.as_bytes() && run.may_have_run())
    }

    fn send(&mut self) {
        let key = self.pick_key();
        let stays_in_progress = self.pick(3) == 0;
        let outcome = (!stays_in_progress).then(|| self.pick_outcome());
        self.server.backend.next_outcome.replace(outcome);
        let sent_after_run = self.may_have_run(&key);
        let attempt = self.server.send(&key);
        self.sent.push(SentAttempt {
            attempt,
            key,
            sent_after_run,
        });
    }

    /// Sends an attempt on a connection that is closing.
    fn send_on_closing_connection(&mut self) {
        let key = self.pick_key();
        let has_run = self.may_have_run(&key);
        self.server.handler.reject(request(&key), b"body", |reply| {
            assert!(
                !has_run || Answer::from(&reply) != Answer::Rejected,
                "key {key} has run and was rejected"
            );
        });
    }

    fn end_run(&mut self) {
        let started = self.server.backend.started.borrow().clone();
        let in_progress: Vec<_> = started.iter().filter(|run| run.is_in_progress()).collect();
        if !in_progress.is_empty() {
            let run = in_progress[self.pick(in_progress.len())];
            run.end(self.pick_outcome());
        }
    }

    fn disconnect_caller(&mut self) {
        if !self.sent.is_empty() {
            let index = self.pick(self.sent.len());
            self.sent[index].attempt.disconnect();
        }
    }

    fn step(&mut self) {
        match self.pick(12) {
            0..7 => self.send(),
            7..9 => self.end_run(),
            9 => self.send_on_closing_connection(),
            10 => self.disconnect_caller(),
            _ => self.server.scheduler.handle_timeout(&[]),
        }
        // A run's end answers its repeats and lets queued attempts start.
        for _ in 0..3 {
            self.poll_attempts();
        }
    }

    fn poll_attempts(&mut self) {
        let mut open = Vec::new();
        for mut sent in std::mem::take(&mut self.sent) {
            let ended = sent.attempt.poll();
            let rejected = *sent.attempt.answer.borrow() == Some(Answer::Rejected);
            assert!(
                !(rejected && sent.sent_after_run),
                "key {} had run and a later attempt was rejected",
                sent.key
            );
            if !ended {
                open.push(sent);
            }
        }
        self.sent = open;
        self.assert_no_key_runs_twice();
    }

    fn assert_no_key_runs_twice(&self) {
        for key in 0..KEYS {
            let key = key.to_string();
            let started = self.server.backend.started.borrow();
            let runs = started
                .iter()
                .filter(|run| *run.key == *key.as_bytes() && run.may_have_run());
            assert!(runs.count() <= 1, "key {key} ran twice");
        }
    }
}

/// Guards against any order in which an RPC that has run is rejected as never run, or runs again.
#[test]
fn no_history_rejects_or_repeats_rpc_that_has_run() {
    for seed in 0..HISTORIES {
        let mut rng = WyRand::new_seed(seed);
        let server = Server::new(
            Limits {
                requests: rng.generate_range(2..=6),
                request_ids: rng.generate_range(2..=8),
                ..limits()
            },
            LONG_WINDOW,
        );
        if rng.generate_range(0..4) == 0 {
            let quota = Rc::new(OneRpcQuota::default());
            server.scheduler.set_quota_limiter(quota);
        }
        let mut history = History {
            server: &server,
            rng,
            sent: Vec::new(),
        };
        let shed_at = history.pick(2 * STEPS);
        for step in 0..STEPS {
            if step == shed_at {
                let exclusion = Rc::new(|| Some(Span::ms(1)));
                server.scheduler.set_exclusion_check(exclusion);
            }
            history.step();
        }
    }
}
