//! The pool of applications in a small scope: two applications, attempts that end in each way or not at all, applications that go and
//! come. Checked: no attempt at one that is shut but its trial, no more in hand than allowed, and coming free.
use coralstep::{Span, Time};
use coralstep_balancer::{Attempt, AttemptOutcome, Pool as Real, PoolConfig, SlowStartConfig};

use super::Play;

const START: u64 = 1 << 40;
const EACH_MOST: u32 = 3;
/// An RPC's time, in ticks: an attempt past it is over for the pool, wherever it hangs.
const DUE: u64 = 12_000;
/// Within so long after the trouble both serve again, in ticks: the longest cooldown and as much again.
const FREE_WITHIN: u64 = 700_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Fresh,
    /// Both have just been shut.
    Shut,
}

const CHOOSE: u8 = 0;
/// The oldest attempt ends: answered, failed, broken, given up, or its time is over though it stays.
const ANSWERED: u8 = 1;
const OVERRAN: u8 = 5;
/// The second application goes, or comes back.
const OTHER: u8 = 6;
const WAIT: u8 = 7;
const WAITS: [u64; 3] = [1_000, 20_000, 400_000];

/// An attempt that is out.
struct Out {
    pick: Attempt,
    /// When the time of its RPC is over, and whether it is.
    due: u64,
    judged: bool,
    trial: bool,
}

pub struct Pool {
    real: Real<u8>,
    now: u64,
    out: Vec<Out>,
    chosen: u32,
    both: bool,
    broken: Option<String>,
}

impl Pool {
    fn choose(&mut self) -> bool {
        let before = self.real.status(Time(u64::MAX / 2));
        let Ok(pick) = self.real.start_attempt(Time(self.now), None) else {
            return false;
        };
        let key = *self.real.key(&pick);
        if let Some(view) = before.iter().find(|view| view.key == key && !view.draining) {
            if view.state == "closed" && view.in_flight >= EACH_MOST {
                self.broken = Some(format!("{} in hand and one more", view.in_flight));
            }
            let trial = view.state != "closed";
            if trial
                && self
                    .out
                    .iter()
                    .any(|out| out.trial && !out.judged && *self.real.key(&out.pick) == key)
            {
                self.broken = Some("a second attempt beside the trial".to_owned());
            }
            self.out.push(Out {
                pick,
                due: self.now + DUE,
                judged: false,
                trial,
            });
            return true;
        }
        self.out.push(Out {
            pick,
            due: self.now + DUE,
            judged: false,
            trial: false,
        });
        true
    }

    fn passes(&mut self, ticks: u64) {
        self.now += ticks;
        for out in self
            .out
            .iter_mut()
            .filter(|out| out.due <= self.now && !out.judged)
        {
            self.real.time_out_attempt(Time(self.now), &mut out.pick);
            out.judged = true;
        }
    }

    fn end(&mut self, at: usize, end: AttemptOutcome) {
        if at < self.out.len() {
            let out = self.out.remove(at);
            self.real.finish_attempt(Time(self.now), out.pick, end);
        }
    }
}

impl Play for Pool {
    type Scope = Scope;

    fn start(scope: &Scope) -> Pool {
        let terms = PoolConfig {
            max_in_flight: EACH_MOST,
            slow_start: SlowStartConfig {
                duration: Span::ms(1_000),
                ..PoolConfig::default().slow_start
            },
            ..PoolConfig::default()
        };
        let mut real = Real::new(terms, 7);
        real.set_applications(Time(START), &[1, 2]);
        let mut pool = Pool {
            real,
            now: START,
            out: Vec::new(),
            chosen: 0,
            both: true,
            broken: None,
        };
        if *scope == Scope::Shut {
            for _ in 0..200 {
                if !pool.choose() {
                    break;
                }
                pool.end(0, AttemptOutcome::Failed);
            }
        }
        pool
    }

    fn moves(&self) -> Vec<u8> {
        let mut moves = Vec::new();
        if self.chosen < 6 {
            moves.push(CHOOSE);
        }
        if !self.out.is_empty() {
            moves.extend(ANSWERED..=OVERRAN);
        }
        moves.push(OTHER);
        moves.extend((0..WAITS.len() as u8).map(|step| WAIT + step));
        moves
    }

    fn step(&mut self, what: u8) {
        match what {
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
                if let Some(out) = self.out.iter_mut().find(|out| !out.judged) {
                    self.real.time_out_attempt(now, &mut out.pick);
                    out.judged = true;
                }
            }
            OTHER => {
                self.both = !self.both;
                let keys: &[u8] = if self.both { &[1, 2] } else { &[1] };
                self.real.set_applications(Time(self.now), keys);
            }
            _ => self.passes(
                WAITS
                    .get(usize::from(what.saturating_sub(WAIT)))
                    .copied()
                    .unwrap_or(0),
            ),
        }
        let in_hand = self.real.in_flight() as usize;
        if in_hand != self.out.len() {
            self.broken = Some(format!("{in_hand} in hand, {} are out", self.out.len()));
        }
    }

    fn digest(&self) -> u64 {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        let out: Vec<(u8, bool)> = self
            .out
            .iter()
            .map(|out| (*self.real.key(&out.pick), out.judged))
            .collect();
        (self.now, self.chosen, self.both, out).hash(&mut hasher);
        format!("{:?}", self.real.status(Time(u64::MAX / 2))).hash(&mut hasher);
        hasher.finish()
    }

    fn broken(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    /// Applications answer again; what hangs in their hands stays there.
    fn comes_free(mut self) -> Option<String> {
        let until = self.now + FREE_WITHIN;
        let mut row = 0;
        while self.now < until {
            let served = self.choose();
            let last = self.out.len().wrapping_sub(1);
            if served {
                self.passes(100);
                self.end(last, AttemptOutcome::Answered);
            }
            // Both are full of what hangs for good: nothing can prove that it ended.
            let full = self
                .real
                .status(Time(u64::MAX / 2))
                .iter()
                .filter(|view| !view.draining)
                .all(|view| view.in_flight >= EACH_MOST);
            row = if served { row + 1 } else { 0 };
            if row >= 20 || full {
                return None;
            }
            self.passes(1_000);
        }
        Some(format!(
            "it does not come free in {} s",
            FREE_WITHIN / 10_000
        ))
    }

    fn name(what: u8) -> &'static str {
        const NAMES: [&str; 10] = [
            "an attempt",
            "the oldest is answered",
            "the oldest fails",
            "the oldest breaks",
            "the oldest is given up",
            "the oldest overruns",
            "the second goes or comes",
            "100 ms",
            "2 s",
            "40 s",
        ];
        NAMES.get(usize::from(what)).copied().unwrap_or("nothing")
    }
}

#[cfg(test)]
mod tests;
