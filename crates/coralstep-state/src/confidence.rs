//! How far a snapshot is believed, by its age.

/// Up to this age a snapshot is believed completely, in seconds: the time that a deploy takes.
pub const MAX_FULL_CONFIDENCE_AGE_S: f64 = 60.0;
/// From this age on a snapshot is not believed at all, in seconds: traffic differs from week to
/// week.
pub const MAX_AGE_S: f64 = 7.0 * 86_400.0;
/// A snapshot may be dated this far in the future, in seconds, since clocks differ.
pub const MAX_CLOCK_SKEW_S: f64 = 60.0;

/// Returns the confidence in a snapshot of this age in seconds: 1 as if it had been measured just
/// now, 0 for none.
///
/// It falls with the logarithm of the age, so that a day is worth about a fifth. A snapshot from
/// the future has none.
pub fn from_age(age_s: f64) -> f64 {
    if age_s.is_nan() || age_s < -MAX_CLOCK_SKEW_S {
        0.0
    } else if age_s <= MAX_FULL_CONFIDENCE_AGE_S {
        1.0
    } else if age_s >= MAX_AGE_S {
        0.0
    } else {
        let decay = (age_s / MAX_FULL_CONFIDENCE_AGE_S).ln();
        1.0 - decay / (MAX_AGE_S / MAX_FULL_CONFIDENCE_AGE_S).ln()
    }
}

#[cfg(test)]
mod tests;
