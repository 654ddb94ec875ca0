//! The circuit breaker: stops calls to a dependency that fails, and lets one probe call decide when to go
//! on.
use std::fmt;

use nanorand::{Rng, WyRand};

use crate::flow::Flow;
use crate::request::RpcId;
use crate::time::{Span, Time};

/// The last outcomes that are looked at.
const WINDOW_OUTCOMES: u32 = 20;
/// The part of them that opens the breaker when it failed.
const MIN_FAILURE_RATE: f64 = 0.5;
/// A breaker never opens on fewer outcomes of its own, whatever peers report: one failure may be anything.
const MIN_LOCAL_OUTCOMES: u32 = 2;
/// The first cooldown; each failed probe doubles it.
const MIN_COOLDOWN: Span = Span::ms(1_000);
const MAX_COOLDOWN: Span = Span::ms(30_000);
/// The shortest part of a cooldown that jitter leaves.
const MIN_COOLDOWN_PART: f64 = 0.75;

/// The state of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Calls pass freely.
    Closed,
    /// No call passes until the cooldown is over.
    Open,
    /// One probe call decides.
    HalfOpen,
}

impl BreakerState {
    /// Its name in logs: `closed`, `open` or `half-open`.
    pub fn as_str(self) -> &'static str {
        match self {
            BreakerState::Closed => "closed",
            BreakerState::Open => "open",
            BreakerState::HalfOpen => "half-open",
        }
    }
}

impl fmt::Display for BreakerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A change of a circuit breaker's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerTransition {
    /// The state that it left.
    pub from: BreakerState,
    /// The state that it entered.
    pub to: BreakerState,
    /// The part of the calls that failed, from 0 to 1, which led to the change.
    pub failure_rate: f64,
}

impl fmt::Display for BreakerTransition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let BreakerTransition {
            from,
            to,
            failure_rate,
        } = self;
        write!(f, "{from} -> {to}, failed {failure_rate:.2}")
    }
}

/// What is done with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallDecision {
    /// Whether it passes.
    pub flow: Flow,
    /// The change of state that this led to.
    pub transition: Option<BreakerTransition>,
}

impl CallDecision {
    fn unchanged(flow: Flow) -> CallDecision {
        CallDecision {
            flow,
            transition: None,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Closed,
    Open {
        until: Time,
    },
    HalfOpen {
        probe: Option<RpcId>,
    },
}

impl State {
    fn kind(self) -> BreakerState {
        match self {
            State::Closed => BreakerState::Closed,
            State::Open { .. } => BreakerState::Open,
            State::HalfOpen { .. } => BreakerState::HalfOpen,
        }
    }
}

/// A circuit breaker: counts the failures of one's own calls, cools down, and lets one probe call decide.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: State,
    /// The last outcomes, a bit each, 1 for a failure.
    window: u32,
    /// Outcomes in the window.
    outcomes: u32,
    cooldown: Span,
    state_since: Time,
    /// Of the last outcomes so many are looked at: fewer where most peers report that their calls fail.
    min_outcomes: u32,
}

impl CircuitBreaker {
    /// A closed breaker that has seen no call.
    pub fn new(now: Time) -> CircuitBreaker {
        CircuitBreaker {
            state: State::Closed,
            window: 0,
            outcomes: 0,
            cooldown: MIN_COOLDOWN,
            state_since: now,
            min_outcomes: WINDOW_OUTCOMES,
        }
    }

    /// Its state.
    pub fn state(&self) -> BreakerState {
        self.state.kind()
    }

    /// Whether calls pass freely.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// The end of the cooldown, while open.
    pub fn open_until(&self) -> Option<Time> {
        if let State::Open { until } = self.state {
            Some(until)
        } else {
            None
        }
    }

    /// The cooldown left, while open and not over.
    pub fn cooldown_left(&self, now: Time) -> Option<Span> {
        self.open_until()
            .filter(|until| *until > now)
            .map(|until| until - now)
    }

    /// Whether the probe call is in flight.
    pub fn has_probe(&self) -> bool {
        matches!(self.state, State::HalfOpen { probe: Some(_) })
    }

    /// Whether the call of this request is the probe.
    pub fn is_probe(&self, id: RpcId) -> bool {
        self.state == State::HalfOpen { probe: Some(id) }
    }

    /// Whether the next call would be the probe.
    pub fn awaits_probe(&self, now: Time) -> bool {
        !self.is_closed() && !self.has_probe() && self.cooldown_left(now).is_none()
    }

    /// Lets a call pass or not: while open none, after the cooldown one probe at a time, for which the
    /// others wait.
    pub fn admit_call(&mut self, now: Time, id: RpcId) -> CallDecision {
        let half_open = State::HalfOpen { probe: Some(id) };
        match self.state {
            State::Closed => CallDecision::unchanged(Flow::Continue),
            State::Open { until } if until > now => CallDecision::unchanged(Flow::Reject),
            State::HalfOpen { probe: Some(_) } => CallDecision::unchanged(Flow::Wait),
            State::HalfOpen { probe: None } => {
                self.state = half_open;
                CallDecision::unchanged(Flow::Continue)
            }
            State::Open { .. } => CallDecision {
                flow: Flow::Continue,
                transition: Some(self.change_state(now, half_open)),
            },
        }
    }

    /// Notes that a request ended before its call; true where that was the probe, which then decides
    /// nothing: the next call is the probe.
    pub fn abandon_probe(&mut self, id: RpcId) -> bool {
        let was_probe = self.is_probe(id);
        if was_probe {
            self.state = State::HalfOpen { probe: None };
        }
        was_probe
    }

    /// Notes how a call that began at `began` ended; calls from before the last change of state decide
    /// nothing.
    pub fn record_call(
        &mut self,
        now: Time,
        id: RpcId,
        began: Time,
        failed: bool,
        rng: &mut WyRand,
    ) -> Option<BreakerTransition> {
        if self.is_probe(id) {
            return Some(self.record_probe(now, failed, rng));
        }
        if !self.is_closed() || began < self.state_since {
            return None;
        }
        self.window = (self.window << 1 | u32::from(failed)) & ((1 << WINDOW_OUTCOMES) - 1);
        self.outcomes = (self.outcomes + 1).min(WINDOW_OUTCOMES);
        let opens = self.outcomes >= self.min_outcomes && self.failure_rate() >= MIN_FAILURE_RATE;
        opens.then(|| self.open(now, rng))
    }

    fn record_probe(&mut self, now: Time, failed: bool, rng: &mut WyRand) -> BreakerTransition {
        // The failure rate of this transition is that of the probe alone.
        (self.window, self.outcomes) = (u32::from(failed), 1);
        if !failed {
            return self.change_state(now, State::Closed);
        }
        self.cooldown = (self.cooldown * 2).min(MAX_COOLDOWN);
        self.open(now, rng)
    }

    /// What peers saw: so many outcomes of one's own suffice, and a cooldown that runs ends at `until`,
    /// which may be sooner or later than before. Only own calls open the breaker.
    pub fn apply_peer_reports(&mut self, min_outcomes: u32, until: Option<Time>) {
        self.min_outcomes = min_outcomes.clamp(MIN_LOCAL_OUTCOMES, WINDOW_OUTCOMES);
        if let (State::Open { .. }, Some(until)) = (self.state, until) {
            self.state = State::Open { until };
        }
    }

    /// The part of the last outcomes that failed, from 0 to 1.
    fn failure_rate(&self) -> f64 {
        let last = self.window & ((1 << self.min_outcomes) - 1);
        f64::from(last.count_ones()) / f64::from(self.outcomes.clamp(1, self.min_outcomes))
    }

    /// Jitter shortens cooldowns, so that servers which opened together don't probe together.
    fn open(&mut self, now: Time, rng: &mut WyRand) -> BreakerTransition {
        let jitter = (1.0 - MIN_COOLDOWN_PART) * f64::from(rng.generate::<u32>());
        let part = MIN_COOLDOWN_PART + jitter / f64::from(u32::MAX);
        let until = now + self.cooldown.scaled(part);
        self.change_state(now, State::Open { until })
    }

    fn change_state(&mut self, now: Time, to: State) -> BreakerTransition {
        let transition = BreakerTransition {
            from: self.state.kind(),
            to: to.kind(),
            failure_rate: self.failure_rate(),
        };
        (self.state, self.state_since) = (to, now);
        if to == State::Closed {
            (self.window, self.outcomes, self.cooldown) = (0, 0, MIN_COOLDOWN);
        }
        transition
    }
}
