//! The source's breaker, one a dependency: counts failures of own calls, cools down, lets one trial decide.
use nanorand::{Rng, WyRand};

use crate::constants::{COOLDOWN, COOLDOWN_MOST, HEARSAY_LEAST, TRIP, WINDOW};
use crate::door::{RpcId, Span, State, Step, Time, Turn};

#[derive(Clone, Debug)]
pub struct Breaker {
    pub(crate) state: State,
    /// The last outcomes, a bit each, 1 for a failure.
    pub(crate) window: u32,
    pub(crate) seen: u32,
    pub(crate) cooldown: Span,
    pub(crate) since: Time,
    /// Of the last outcomes so many are looked at: fewer where most others say that theirs fail.
    pub(crate) need: u32,
}

impl Breaker {
    fn turn(&mut self, now: Time, to: State) -> Turn {
        let turn = Turn {
            from: self.state.name(),
            to: to.name(),
            rate: self.rate(),
        };
        (self.state, self.since) = (to, now);
        if to == State::Closed {
            (self.window, self.seen, self.cooldown) = (0, 0, COOLDOWN);
        }
        turn
    }

    fn rate(&self) -> f64 {
        let last = self.window & ((1 << self.need) - 1);
        f64::from(last.count_ones()) / f64::from(self.seen.clamp(1, self.need))
    }

    /// The end of the cooldown, while open.
    pub fn until(&self) -> Option<Time> {
        if let State::Open { until } = self.state {
            Some(until)
        } else {
            None
        }
    }

    /// The cooldown left, while open.
    pub fn shut(&self, now: Time) -> Option<Span> {
        self.until()
            .filter(|until| *until > now)
            .map(|until| until - now)
    }

    /// Whether a trial is out.
    pub fn trying(&self) -> bool {
        matches!(self.state, State::HalfOpen { trial: Some(_) })
    }

    pub fn is_trial(&self, id: RpcId) -> bool {
        self.state == State::HalfOpen { trial: Some(id) }
    }

    /// Whether the next call would be the trial.
    pub fn awaits_trial(&self, now: Time) -> bool {
        !self.is_closed() && !self.trying() && self.shut(now).is_none()
    }

    /// One trial at a time after the cooldown; others keep waiting meanwhile.
    pub fn enter(&mut self, now: Time, id: RpcId) -> (Step, Option<Turn>) {
        let trial = State::HalfOpen { trial: Some(id) };
        match self.state {
            State::Closed => (Step::Pass, None),
            State::Open { until } if until > now => (Step::End, None),
            State::HalfOpen { trial: Some(_) } => (Step::Keep, None),
            State::HalfOpen { trial: None } => {
                self.state = trial;
                (Step::Pass, None)
            }
            State::Open { .. } => (Step::Pass, Some(self.turn(now, trial))),
        }
    }

    /// A trial whose RPC ended first decides nothing; the next call is the trial.
    pub fn trial_left(&mut self, id: RpcId) -> bool {
        let left = self.is_trial(id);
        if left {
            self.state = State::HalfOpen { trial: None };
        }
        left
    }

    /// `began`: calls from before the last change of state decide nothing.
    pub fn result(
        &mut self,
        now: Time,
        id: RpcId,
        began: Time,
        failed: bool,
        chance: &mut WyRand,
    ) -> Option<Turn> {
        if self.is_trial(id) {
            // The log tells the rate of this change: one call, good or failed.
            (self.window, self.seen) = (u32::from(failed), 1);
            if !failed {
                return Some(self.turn(now, State::Closed));
            }
            self.cooldown = (self.cooldown * 2).min(COOLDOWN_MOST);
            return Some(self.open(now, chance));
        }
        if self.state != State::Closed || began < self.since {
            return None;
        }
        self.window = (self.window << 1 | u32::from(failed)) & ((1 << WINDOW) - 1);
        self.seen = (self.seen + 1).min(WINDOW);
        (self.seen >= self.need && self.rate() >= TRIP).then(|| self.open(now, chance))
    }

    /// What others saw: so much own evidence does, the cooldown ends at `until`. Own calls alone open it.
    pub fn hear(&mut self, need: u32, until: Option<Time>) {
        self.need = need.clamp(HEARSAY_LEAST, WINDOW);
        if let (State::Open { .. }, Some(until)) = (self.state, until) {
            self.state = State::Open { until };
        }
    }

    /// Cooldowns vary by a quarter, so that servers which opened together don't try together.
    fn open(&mut self, now: Time, chance: &mut WyRand) -> Turn {
        let part = 0.75 + 0.25 * f64::from(chance.generate::<u32>()) / f64::from(u32::MAX);
        self.turn(
            now,
            State::Open {
                until: now + self.cooldown.share(part),
            },
        )
    }
}
