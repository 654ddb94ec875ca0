//! Confidence in a snapshot, depending on its age.

/// Maximum age of a snapshot with full confidence, in seconds: the duration of a deploy.
pub const MAX_FULL_CONFIDENCE_AGE_S: f64 = 60.0;
/// Age from which there is no confidence in a snapshot, in seconds: traffic changes from week to
/// week.
pub const MAX_AGE_S: f64 = 7.0 * 86_400.0;
/// Maximum time that a snapshot may be dated in the future, in seconds, as clocks differ.
pub const MAX_CLOCK_SKEW_S: f64 = 60.0;

/// Returns the confidence in a snapshot of this age in seconds, from 0 (none) to 1 (as good as a
/// new measurement).
///
/// It decreases with the logarithm of the age and is about a fifth after a day. It is 0 for a
/// snapshot from the future.
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
