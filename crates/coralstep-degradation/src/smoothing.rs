//! Figures smoothed so that a pause of the process, a batch of arrivals or lost seconds prove nothing.
use coralstep::{Span, Time};

/// However long ago the last figure came, the next one stands for no more than this. Guards against a pause or lost
/// seconds that would count as if the next figure had held all the while.
pub(crate) const MAX_STEP: Span = Span::ms(500);
/// A figure that is missing for this long is forgotten. Guards against a level that is kept for a cause nobody sees.
const VALUE_EXPIRY: Span = Span::ms(10_000);

/// An exponentially weighted mean: half of its weight came within the last half-life.
#[derive(Clone, Debug, Default)]
pub(crate) struct SmoothedValue {
    value: Option<f64>,
    missing: Span,
}

impl SmoothedValue {
    /// Adds a figure that stands for `span`. None, or nonsense, changes nothing until it is forgotten.
    pub(crate) fn add(&mut self, figure: Option<f64>, span: Span, half_life: Span) {
        let Some(figure) = figure.filter(|figure| figure.is_finite() && *figure >= 0.0) else {
            self.missing = self.missing + span;
            if self.missing >= VALUE_EXPIRY {
                self.value = None;
            }
            return;
        };
        self.missing = Span::ZERO;
        let half_lives = span.0 as f64 / half_life.0.max(1) as f64;
        let weight = 1.0 - 0.5f64.powf(half_lives);
        // The first figure counts as one step of evidence, not as the whole truth.
        let before = self.value.unwrap_or(0.0);
        self.value = Some(before + (figure - before) * weight);
    }

    /// The mean; none where no figure came, or it is forgotten.
    pub(crate) fn value(&self) -> Option<f64> {
        self.value
    }
}

/// Time that was really seen to pass.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ObservedClock {
    last: Option<Time>,
}

impl ObservedClock {
    /// The step from the last figure to `now`, [`MAX_STEP`] at the most; nothing where the clock went back.
    pub(crate) fn advance(&mut self, now: Time) -> Span {
        let last = self.last.replace(now);
        last.map_or(Span::ZERO, |last| (now - last).min(MAX_STEP))
    }
}

#[cfg(test)]
mod tests;
