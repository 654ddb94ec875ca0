//! The source's breaker, one a dependency: counts failures of own calls, cools down, lets one probe decide.
use nanorand::{Rng, WyRand};

use crate::actions::Transition;
use crate::constants::{COOLDOWN, COOLDOWN_MOST, HEARSAY_LEAST, TRIP, WINDOW};
use crate::request::RpcId;
use crate::time::{Span, Time};

/// What a stage does with a request or a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// It goes on to the next stage.
    Continue,
    /// It waits at this stage.
    Wait,
    /// It ends here.
    Reject,
}

/// The state of a circuit breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum BreakerState {
    #[default]
    Closed,
    Open {
        until: Time,
    },
    HalfOpen {
        probe: Option<RpcId>,
    },
}

impl BreakerState {
    pub fn name(self) -> &'static str {
        match self {
            BreakerState::Closed => "closed",
            BreakerState::Open { .. } => "open",
            BreakerState::HalfOpen { .. } => "half-open",
        }
    }
}

#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    pub(crate) state: BreakerState,
    /// The last outcomes, a bit each, 1 for a failure.
    pub(crate) window: u32,
    pub(crate) outcomes: u32,
    pub(crate) cooldown: Span,
    pub(crate) since: Time,
    /// Of the last outcomes so many are looked at: fewer where most others say that theirs fail.
    pub(crate) min_outcomes: u32,
}

impl CircuitBreaker {
    fn transition(&mut self, now: Time, to: BreakerState) -> Transition {
        let transition = Transition {
            from: self.state.name(),
            to: to.name(),
            failure_rate: self.failure_rate(),
        };
        (self.state, self.since) = (to, now);
        if to == BreakerState::Closed {
            (self.window, self.outcomes, self.cooldown) = (0, 0, COOLDOWN);
        }
        transition
    }

    fn failure_rate(&self) -> f64 {
        let last = self.window & ((1 << self.min_outcomes) - 1);
        f64::from(last.count_ones()) / f64::from(self.outcomes.clamp(1, self.min_outcomes))
    }

    /// The end of the cooldown, while open.
    pub fn open_until(&self) -> Option<Time> {
        if let BreakerState::Open { until } = self.state {
            Some(until)
        } else {
            None
        }
    }

    /// The cooldown left, while open.
    pub fn cooldown_left(&self, now: Time) -> Option<Span> {
        self.open_until()
            .filter(|until| *until > now)
            .map(|until| until - now)
    }

    /// Whether a probe is out.
    pub fn has_probe(&self) -> bool {
        matches!(self.state, BreakerState::HalfOpen { probe: Some(_) })
    }

    pub fn is_probe(&self, id: RpcId) -> bool {
        self.state == BreakerState::HalfOpen { probe: Some(id) }
    }

    /// Whether the next call would be the probe.
    pub fn awaits_probe(&self, now: Time) -> bool {
        !self.is_closed() && !self.has_probe() && self.cooldown_left(now).is_none()
    }

    /// One probe at a time after the cooldown; others keep waiting meanwhile.
    pub fn admit_call(&mut self, now: Time, id: RpcId) -> (Flow, Option<Transition>) {
        let probe = BreakerState::HalfOpen { probe: Some(id) };
        match self.state {
            BreakerState::Closed => (Flow::Continue, None),
            BreakerState::Open { until } if until > now => (Flow::Reject, None),
            BreakerState::HalfOpen { probe: Some(_) } => (Flow::Wait, None),
            BreakerState::HalfOpen { probe: None } => {
                self.state = probe;
                (Flow::Continue, None)
            }
            BreakerState::Open { .. } => (Flow::Continue, Some(self.transition(now, probe))),
        }
    }

    /// A probe whose RPC ended first decides nothing; the next call is the probe.
    pub fn abandon_probe(&mut self, id: RpcId) -> bool {
        let left = self.is_probe(id);
        if left {
            self.state = BreakerState::HalfOpen { probe: None };
        }
        left
    }

    /// `began`: calls from before the last change of state decide nothing.
    pub fn record_call(
        &mut self,
        now: Time,
        id: RpcId,
        began: Time,
        failed: bool,
        chance: &mut WyRand,
    ) -> Option<Transition> {
        if self.is_probe(id) {
            // The log tells the rate of this change: one call, good or failed.
            (self.window, self.outcomes) = (u32::from(failed), 1);
            if !failed {
                return Some(self.transition(now, BreakerState::Closed));
            }
            self.cooldown = (self.cooldown * 2).min(COOLDOWN_MOST);
            return Some(self.open(now, chance));
        }
        if self.state != BreakerState::Closed || began < self.since {
            return None;
        }
        self.window = (self.window << 1 | u32::from(failed)) & ((1 << WINDOW) - 1);
        self.outcomes = (self.outcomes + 1).min(WINDOW);
        (self.outcomes >= self.min_outcomes && self.failure_rate() >= TRIP)
            .then(|| self.open(now, chance))
    }

    /// What others saw: so much own evidence does, the cooldown ends at `until`. Own calls alone open it.
    pub fn apply_peer_reports(&mut self, min_outcomes: u32, until: Option<Time>) {
        self.min_outcomes = min_outcomes.clamp(HEARSAY_LEAST, WINDOW);
        if let (BreakerState::Open { .. }, Some(until)) = (self.state, until) {
            self.state = BreakerState::Open { until };
        }
    }

    /// Cooldowns vary by a quarter, so that servers which opened together don't try together.
    fn open(&mut self, now: Time, chance: &mut WyRand) -> Transition {
        let part = 0.75 + 0.25 * f64::from(chance.generate::<u32>()) / f64::from(u32::MAX);
        self.transition(
            now,
            BreakerState::Open {
                until: now + self.cooldown.scaled(part),
            },
        )
    }
}
