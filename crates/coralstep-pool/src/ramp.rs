//! How an application that has come back is led up to its share, by all processes together.
//!
//! Nobody counts what the others send, so none rounds its part up: each attempt is let through by chance, and the sum over any
//! number of processes keeps to the budget but for that chance. Two bounds, both in `docs/scgi.md`:
//!
//! - its part of the attempts grows from [`LEAST`] to the whole over the slow start, each process from its own attempts;
//! - where a cold rate is stated, all processes together send at first no more than that, and each its part of it.
use coralstep::{Span, Time};
use nanorand::{Rng, WyRand};

/// The least part of its share that an application gets after its return, so that it is seen to work at all.
pub const LEAST: f64 = 0.1;
/// A process that sent nothing saves no more than what it might have sent in so long. Guards against processes that rest, save
/// up and then send all at once.
const SAVED: Span = Span::ms(250);

/// What the bounds are reckoned from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RampTerms {
    /// After a return an application gets its whole share only after so long.
    pub slow_start: Span,
    /// Attempts a second that it takes at first, from all processes together; 0 where that is not stated.
    pub cold_rate: f64,
    /// How many processes send.
    pub processes: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Ramp {
    back: Time,
    /// Attempts that may be made by the cold rate, and when that was reckoned.
    credit: f64,
    at: Time,
}

impl Ramp {
    pub fn new(back: Time) -> Ramp {
        Ramp {
            back,
            credit: 0.0,
            at: back,
        }
    }

    /// The part of its share that it gets now.
    pub fn part(&self, now: Time, terms: &RampTerms) -> f64 {
        ((now - self.back).0 as f64 / terms.slow_start.0.max(1) as f64).clamp(LEAST, 1.0)
    }

    pub fn is_over(&self, now: Time, terms: &RampTerms) -> bool {
        now - self.back >= terms.slow_start
    }

    /// Whether this attempt is among those that the cold rate leaves to this process.
    pub fn lets(&mut self, now: Time, terms: &RampTerms, chance: &mut WyRand) -> bool {
        if terms.cold_rate <= 0.0 {
            return true;
        }
        let rate =
            terms.cold_rate * self.part(now, terms) / LEAST / f64::from(terms.processes.max(1));
        let each = |span: Span| rate * span.0 as f64 / 10_000.0;
        self.credit = (self.credit + each(now - self.at)).min(each(SAVED));
        self.at = now;
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return true;
        }
        // Less than one is one by chance, and is spent either way.
        let part = std::mem::take(&mut self.credit);
        drawn(part, chance)
    }
}

/// Whether chance falls into a part of the whole.
pub(crate) fn drawn(part: f64, chance: &mut WyRand) -> bool {
    f64::from(chance.generate::<u32>()) < part * 4_294_967_296.0
}
