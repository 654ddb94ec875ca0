//! The circuit breaker: stops calls to a failing dependency until a probe call succeeds.
use std::fmt;

use nanorand::{Rng, WyRand};

use crate::flow::Flow;
use crate::request::RpcId;
use crate::time::{Span, Time};

/// Number of recent outcomes that are evaluated.
const WINDOW_OUTCOMES: u32 = 20;
/// Failure rate that opens the breaker.
const MIN_FAILURE_RATE: f64 = 0.5;
/// Minimum number of local outcomes that open the breaker, whatever peers report: a single failure may have
/// any cause.
const MIN_LOCAL_OUTCOMES: u32 = 2;
/// Initial cooldown; each failed probe doubles it.
const MIN_COOLDOWN: Span = Span::ms(1_000);
/// Maximum cooldown.
const MAX_COOLDOWN: Span = Span::ms(30_000);
/// Minimum fraction of a cooldown after jitter.
const MIN_COOLDOWN_FRACTION: f64 = 0.75;

/// The state of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// All calls pass.
    Closed,
    /// No call passes until the cooldown ends.
    Open,
    /// One probe call passes; its outcome decides.
    HalfOpen,
}

impl BreakerState {
    /// Returns the name in logs: `closed`, `open` or `half-open`.
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
    /// Previous state.
    pub from: BreakerState,
    /// New state.
    pub to: BreakerState,
    /// Failure rate that led to the change, from 0 to 1.
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

/// Decision of the circuit breaker on a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallDecision {
    /// Whether the call passes, waits or is rejected.
    pub flow: Flow,
    /// State change caused by the decision.
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

/// A circuit breaker: opens on failures of local calls, cools down, and closes after a successful probe call.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: State,
    /// Recent outcomes, one bit each, 1 for a failure.
    window: u32,
    /// Number of outcomes in the window.
    outcomes: u32,
    cooldown: Span,
    state_since: Time,
    /// Number of recent outcomes that are evaluated; lower if most peers report that their calls fail.
    min_outcomes: u32,
}

impl CircuitBreaker {
    /// Creates a closed breaker without outcomes.
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

    /// Returns the state.
    pub fn state(&self) -> BreakerState {
        self.state.kind()
    }

    /// Returns whether the breaker is closed.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Returns the end of the cooldown while open.
    pub fn open_until(&self) -> Option<Time> {
        if let State::Open { until } = self.state {
            Some(until)
        } else {
            None
        }
    }

    /// Returns the remaining cooldown while open; `None` once it has ended.
    pub fn cooldown_left(&self, now: Time) -> Option<Span> {
        self.open_until()
            .filter(|until| *until > now)
            .map(|until| until - now)
    }

    /// Returns whether a probe call is in flight.
    pub fn has_probe(&self) -> bool {
        matches!(self.state, State::HalfOpen { probe: Some(_) })
    }

    /// Returns whether the call of this request is the probe call.
    pub fn is_probe(&self, id: RpcId) -> bool {
        self.state == State::HalfOpen { probe: Some(id) }
    }

    /// Returns whether the next call would be the probe call.
    pub fn awaits_probe(&self, now: Time) -> bool {
        !self.is_closed() && !self.has_probe() && self.cooldown_left(now).is_none()
    }

    /// Decides whether a call passes: none while open, and after the cooldown one probe call at a time, for
    /// which other calls wait.
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

    /// Records that a request ended before its call. Returns true if that was the probe call, which then has
    /// no outcome: the next call becomes the probe call.
    pub fn abandon_probe(&mut self, id: RpcId) -> bool {
        let was_probe = self.is_probe(id);
        if was_probe {
            self.state = State::HalfOpen { probe: None };
        }
        was_probe
    }

    /// Records the outcome of a call that started at `started_at`. Calls that started before the last state
    /// change are ignored.
    pub fn record_call(
        &mut self,
        now: Time,
        id: RpcId,
        started_at: Time,
        failed: bool,
        rng: &mut WyRand,
    ) -> Option<BreakerTransition> {
        if self.is_probe(id) {
            return Some(self.record_probe(now, failed, rng));
        }
        if !self.is_closed() || started_at < self.state_since {
            return None;
        }
        self.window = (self.window << 1 | u32::from(failed)) & ((1 << WINDOW_OUTCOMES) - 1);
        self.outcomes = (self.outcomes + 1).min(WINDOW_OUTCOMES);
        let opens = self.outcomes >= self.min_outcomes && self.failure_rate() >= MIN_FAILURE_RATE;
        opens.then(|| self.open(now, rng))
    }

    fn record_probe(&mut self, now: Time, failed: bool, rng: &mut WyRand) -> BreakerTransition {
        // The failure rate of this transition covers only the probe call.
        (self.window, self.outcomes) = (u32::from(failed), 1);
        if !failed {
            return self.change_state(now, State::Closed);
        }
        self.cooldown = (self.cooldown * 2).min(MAX_COOLDOWN);
        self.open(now, rng)
    }

    /// Applies the reports of peers: `min_outcomes` local outcomes suffice to open the breaker, and a running
    /// cooldown ends at `until`, earlier or later than before. Only local calls open the breaker.
    pub fn apply_peer_reports(&mut self, min_outcomes: u32, until: Option<Time>) {
        self.min_outcomes = min_outcomes.clamp(MIN_LOCAL_OUTCOMES, WINDOW_OUTCOMES);
        if let (State::Open { .. }, Some(until)) = (self.state, until) {
            self.state = State::Open { until };
        }
    }

    /// Returns the fraction of recent outcomes that failed, from 0 to 1.
    fn failure_rate(&self) -> f64 {
        let last = self.window & ((1 << self.min_outcomes) - 1);
        f64::from(last.count_ones()) / f64::from(self.outcomes.clamp(1, self.min_outcomes))
    }

    /// Opens the breaker. Jitter shortens the cooldown, so that servers whose breakers opened together do not
    /// send their probe calls together.
    fn open(&mut self, now: Time, rng: &mut WyRand) -> BreakerTransition {
        let jitter = (1.0 - MIN_COOLDOWN_FRACTION) * f64::from(rng.generate::<u32>());
        let fraction = MIN_COOLDOWN_FRACTION + jitter / f64::from(u32::MAX);
        let until = now + self.cooldown.scaled(fraction);
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
