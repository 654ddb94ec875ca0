//! Smooths the signals so that a process pause, a burst of arrivals or missing seconds alone change no level.
use coralstep::{Span, Time};

/// Maximum time that a single observation stands for.
/// Guards against an observation after a pause or missing seconds counting for the whole gap.
pub(crate) const MAX_STEP: Span = Span::ms(500);
/// Time without an observation after which a smoothed value expires.
/// Guards against staying at a level because of a signal that is no longer observed.
const VALUE_EXPIRY: Span = Span::ms(10_000);

/// Exponentially weighted mean; the last half-life has half of the weight.
#[derive(Clone, Debug, Default)]
pub(crate) struct SmoothedValue {
    value: Option<f64>,
    missing_for: Span,
}

impl SmoothedValue {
    /// Adds an observation that stands for `span`. A missing, negative or non-finite observation leaves the mean
    /// unchanged until it expires.
    pub(crate) fn add(&mut self, observation: Option<f64>, span: Span, half_life: Span) {
        let Some(value) = observation.filter(|value| value.is_finite() && *value >= 0.0) else {
            self.missing_for = self.missing_for + span;
            if self.missing_for >= VALUE_EXPIRY {
                self.value = None;
            }
            return;
        };
        self.missing_for = Span::ZERO;
        let half_lives = span.0 as f64 / half_life.0.max(1) as f64;
        let weight = 1.0 - 0.5f64.powf(half_lives);
        // The mean starts at 0, so that the first observation alone does not determine it.
        let previous = self.value.unwrap_or(0.0);
        self.value = Some(previous + (value - previous) * weight);
    }

    /// Returns the mean, or `None` if nothing was observed or the value has expired.
    pub(crate) fn value(&self) -> Option<f64> {
        self.value
    }
}

/// Measures the time between observations.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ObservedClock {
    last: Option<Time>,
}

impl ObservedClock {
    /// Returns the time since the last observation, at most [`MAX_STEP`]; zero if the clock went backwards.
    pub(crate) fn advance(&mut self, now: Time) -> Span {
        let last = self.last.replace(now);
        last.map_or(Span::ZERO, |last| (now - last).min(MAX_STEP))
    }
}

#[cfg(test)]
mod tests;
