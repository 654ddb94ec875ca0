//! Figures smoothed so that a pause of the process, a batch of arrivals or lost seconds prove nothing.
use coralstep::{Span, Time};

/// However long ago the last figure came, it stands for no more than this: guards against a pause or lost seconds that would
/// count as if the next figure had held all the while.
pub const STEP_MOST: Span = Span::ms(500);

/// A figure that did not come for so long is none any more: guards against a level that is kept for a cause nobody sees.
const FORGOTTEN: Span = Span::ms(10_000);

/// Half of it is what came within the last half-life.
#[derive(Clone, Debug, Default)]
pub struct Smooth {
    value: Option<f64>,
    missing: Span,
}

impl Smooth {
    /// A figure that stands for `span`; none, or nonsense, changes nothing, until it has been so for long.
    pub fn add(&mut self, figure: Option<f64>, span: Span, half: Span) {
        let Some(figure) = figure.filter(|figure| figure.is_finite() && *figure >= 0.0) else {
            self.missing = self.missing + span;
            if self.missing >= FORGOTTEN {
                self.value = None;
            }
            return;
        };
        self.missing = Span::ZERO;
        let part = 1.0 - 0.5f64.powf(span.0 as f64 / half.0.max(1) as f64);
        // The first figure is one beat's evidence, not the whole truth.
        let before = self.value.unwrap_or(0.0);
        self.value = Some(before + (figure - before) * part);
    }

    pub fn value(&self) -> Option<f64> {
        self.value
    }
}

/// Time that was really seen to pass.
#[derive(Clone, Copy, Debug, Default)]
pub struct Steps {
    last: Option<Time>,
}

impl Steps {
    /// From the last figure to `now`, at the most [`STEP_MOST`]; nothing where the clock went back.
    pub fn to(&mut self, now: Time) -> Span {
        let last = self.last.replace(now);
        last.map_or(Span::ZERO, |last| (now - last).min(STEP_MOST))
    }
}

#[cfg(test)]
mod tests;
