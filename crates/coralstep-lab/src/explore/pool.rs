//! Model of the pool of applications in a small scope: two applications, attempts that end in each way or never, and an application
//! that is removed and added. Invariants: no attempt to an application whose breaker is not closed except its probe call, never more
//! attempts in progress than allowed, and recovery.
use coralstep::{Span, Time};
use coralstep_balancer::{
    Attempt as BalancerAttempt, AttemptOutcome, Pool as BalancerPool, PoolConfig, SlowStartConfig,
};

use super::Model;

const START: u64 = 1 << 40;
/// Maximum number of attempts in progress at each application.
const MAX_PER_APPLICATION: u32 = 3;
/// Deadline of an RPC after its start, in ticks: the pool counts an attempt as overrun after it, even if the attempt still hangs.
const DEADLINE: u64 = 12_000;
/// Maximum time from the end of all faults until both applications serve again, in ticks: twice the longest cooldown.
const MAX_RECOVERY_TIME: u64 = 700_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Fresh,
    /// The breakers of both applications have just opened.
    BreakersOpen,
}

const CHOOSE: u8 = 0;
/// The oldest attempt ends: answered, failed, broken or cancelled; or it overruns its deadline and stays in progress.
const ANSWERED: u8 = 1;
const OVERRAN: u8 = 5;
/// The second application is removed, or added again.
const TOGGLE_SECOND: u8 = 6;
const WAIT: u8 = 7;
const WAITS: [u64; 3] = [1_000, 20_000, 400_000];

/// An attempt in progress.
struct Attempt {
    pick: BalancerAttempt,
    /// Deadline of its RPC, and whether the pool has been notified of the overrun.
    deadline: u64,
    overrun: bool,
    probe: bool,
}

pub struct Pool {
    balancer: BalancerPool<u8>,
    now: u64,
    attempts: Vec<Attempt>,
    chosen: u32,
    both_present: bool,
    violation: Option<String>,
}

impl Pool {
    fn choose(&mut self) -> bool {
        let before = self.balancer.status(Time(u64::MAX / 2));
        let Ok(pick) = self.balancer.start_attempt(Time(self.now), None) else {
            return false;
        };
        let key = *self.balancer.key(&pick);
        if let Some(view) = before.iter().find(|view| view.key == key && !view.draining) {
            if view.state == "closed" && view.in_flight >= MAX_PER_APPLICATION {
                self.violation = Some(format!(
                    "{} attempts in progress and one more",
                    view.in_flight
                ));
            }
            let probe = view.state != "closed";
            if probe
                && self.attempts.iter().any(|attempt| {
                    attempt.probe && !attempt.overrun && *self.balancer.key(&attempt.pick) == key
                })
            {
                self.violation = Some("second attempt during the probe call".to_owned());
            }
            self.attempts.push(Attempt {
                pick,
                deadline: self.now + DEADLINE,
                overrun: false,
                probe,
            });
            return true;
        }
        self.attempts.push(Attempt {
            pick,
            deadline: self.now + DEADLINE,
            overrun: false,
            probe: false,
        });
        true
    }

    fn advance(&mut self, ticks: u64) {
        self.now += ticks;
        for attempt in self
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.deadline <= self.now && !attempt.overrun)
        {
            self.balancer
                .time_out_attempt(Time(self.now), &mut attempt.pick);
            attempt.overrun = true;
        }
    }

    fn end(&mut self, at: usize, end: AttemptOutcome) {
        if at < self.attempts.len() {
            let attempt = self.attempts.remove(at);
            self.balancer
                .finish_attempt(Time(self.now), attempt.pick, end);
        }
    }
}

impl Model for Pool {
    type Scope = Scope;

    fn start(scope: &Scope) -> Pool {
        let terms = PoolConfig {
            max_in_flight: MAX_PER_APPLICATION,
            slow_start: SlowStartConfig {
                duration: Span::ms(1_000),
                ..PoolConfig::default().slow_start
            },
            ..PoolConfig::default()
        };
        let mut balancer = BalancerPool::new(terms, 7);
        balancer.set_applications(Time(START), &[1, 2]);
        let mut pool = Pool {
            balancer,
            now: START,
            attempts: Vec::new(),
            chosen: 0,
            both_present: true,
            violation: None,
        };
        if *scope == Scope::BreakersOpen {
            for _ in 0..200 {
                if !pool.choose() {
                    break;
                }
                pool.end(0, AttemptOutcome::Failed);
            }
        }
        pool
    }

    fn actions(&self) -> Vec<u8> {
        let mut actions = Vec::new();
        if self.chosen < 6 {
            actions.push(CHOOSE);
        }
        if !self.attempts.is_empty() {
            actions.extend(ANSWERED..=OVERRAN);
        }
        actions.push(TOGGLE_SECOND);
        actions.extend((0..WAITS.len() as u8).map(|step| WAIT + step));
        actions
    }

    fn apply(&mut self, action: u8) {
        match action {
            CHOOSE => {
                self.chosen += 1;
                self.choose();
            }
            ANSWERED => self.end(0, AttemptOutcome::Answered),
            2 => self.end(0, AttemptOutcome::Failed),
            3 => self.end(0, AttemptOutcome::Interrupted),
            4 => self.end(0, AttemptOutcome::Abandoned),
            OVERRAN => {
                let now = Time(self.now);
                if let Some(attempt) = self.attempts.iter_mut().find(|attempt| !attempt.overrun) {
                    self.balancer.time_out_attempt(now, &mut attempt.pick);
                    attempt.overrun = true;
                }
            }
            TOGGLE_SECOND => {
                self.both_present = !self.both_present;
                let keys: &[u8] = if self.both_present { &[1, 2] } else { &[1] };
                self.balancer.set_applications(Time(self.now), keys);
            }
            _ => self.advance(
                WAITS
                    .get(usize::from(action.saturating_sub(WAIT)))
                    .copied()
                    .unwrap_or(0),
            ),
        }
        let in_hand = self.balancer.in_flight() as usize;
        if in_hand != self.attempts.len() {
            self.violation = Some(format!(
                "the pool counts {in_hand} attempts in progress instead of {}",
                self.attempts.len()
            ));
        }
    }

    fn state_hash(&self) -> u64 {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        let attempts: Vec<(u8, bool)> = self
            .attempts
            .iter()
            .map(|attempt| (*self.balancer.key(&attempt.pick), attempt.overrun))
            .collect();
        (self.now, self.chosen, self.both_present, attempts).hash(&mut hasher);
        format!("{:?}", self.balancer.status(Time(u64::MAX / 2))).hash(&mut hasher);
        hasher.finish()
    }

    fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    /// Applications answer new attempts; attempts that hang never end.
    fn check_recovery(mut self) -> Option<String> {
        let until = self.now + MAX_RECOVERY_TIME;
        let mut consecutive = 0;
        while self.now < until {
            let served = self.choose();
            let last = self.attempts.len().wrapping_sub(1);
            if served {
                self.advance(100);
                self.end(last, AttemptOutcome::Answered);
            }
            // Both are full of attempts that never end: the pool can't know whether they ended.
            let full = self
                .balancer
                .status(Time(u64::MAX / 2))
                .iter()
                .filter(|view| !view.draining)
                .all(|view| view.in_flight >= MAX_PER_APPLICATION);
            consecutive = if served { consecutive + 1 } else { 0 };
            if consecutive >= 20 || full {
                return None;
            }
            self.advance(1_000);
        }
        Some(format!(
            "no recovery within {} s",
            MAX_RECOVERY_TIME / 10_000
        ))
    }

    fn action_name(action: u8) -> &'static str {
        const NAMES: [&str; 10] = [
            "an attempt starts",
            "the oldest is answered",
            "the oldest fails",
            "the oldest breaks",
            "the oldest is cancelled",
            "the oldest overruns",
            "the second is removed or added",
            "100 ms",
            "2 s",
            "40 s",
        ];
        NAMES.get(usize::from(action)).copied().unwrap_or("nothing")
    }
}

#[cfg(test)]
mod tests;
