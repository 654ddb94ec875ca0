//! Levels of reduced service, as far as the decisions know of them: what is observed here ([`Signals`]), and what a level asks
//! ([`Level`]). Which level holds is decided elsewhere (`coralstep-degradation`); the stages in `choice.rs` carry it out.
use crate::door::*;

/// What the decisions observe of themselves. Each is none while nothing can be said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// The longest wait in the hold, as a part of its limit.
    pub hold: Option<f64>,
    /// Part of what was read of late that was not begun.
    pub pushed_back: Option<f64>,
    /// What runs, as a part of the running limit.
    pub running: Option<f64>,
    /// 1 while the breaker is open or half-open, else 0.
    pub breaker: Option<f64>,
    /// The usual time of a call, as a multiple of the best that was usual; none while no call ends.
    pub slowness: Option<f64>,
    /// Memory booked, as a part of all.
    pub memory: Option<f64>,
    /// The longest wait unread of late, as a part of its limit.
    pub unread: Option<f64>,
    /// 1 while the server is cold, else 0.
    pub cold: Option<f64>,
}

/// What a level asks of the decisions, on top of what they do anyway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Methods under this criticality are pushed back at once.
    pub least_criticality: f64,
    /// Only tokened and non-idempotent methods are let in.
    pub effects_only: bool,
    pub closed: bool,
    /// The server is shut out: closed for all that it has read, under whatever version.
    pub out: bool,
    /// Calls that may be left out are.
    pub skip_calls: bool,
    /// The hold limit, as a part of the usual one.
    pub hold: f64,
    /// The free value, as a part of what it would be.
    pub value: f64,
    /// The level can't change sooner: advice for whom it turns away.
    pub back: Span,
}

impl Default for Level {
    /// Full service.
    fn default() -> Level {
        Level {
            least_criticality: 0.0,
            effects_only: false,
            closed: false,
            out: false,
            skip_calls: false,
            hold: 1.0,
            value: 1.0,
            back: Span::ZERO,
        }
    }
}

impl Level {
    /// Whether an RPC of `method` is turned away before it runs.
    pub fn sheds(&self, method: &Method) -> bool {
        self.closed
            || self.out
            || (self.effects_only && method.effect == Effect::Idempotent)
            || method.criticality < self.least_criticality
    }
}
