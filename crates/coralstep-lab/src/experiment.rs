//! Variants against each other: the same days (world and seed) for each, so that differences are paired; intervals by Student's t;
//! looks at doubling numbers of days, each at its part of the error, so that stopping early costs no honesty.
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Days before the first look, and at the most.
pub const FIRST: u64 = 8;
/// The whole error of all looks together.
const ERROR: f64 = 0.05;
/// A difference below this is none that anybody would act on.
pub const TRIFLE: f64 = 0.002;

/// The mean of paired differences, and how far the true one may lie from it.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Compared {
    pub variant: String,
    pub days: u64,
    pub mean: f64,
    pub off: f64,
    /// Rules the variant broke, in all days together.
    pub breaches: u64,
    /// Looks taken, of those planned.
    pub looks: [u32; 2],
}

impl Compared {
    /// Whether the interval says enough to stop: it lies on one side of nought, or near it in whole.
    pub fn clear(&self) -> bool {
        self.off.is_finite() && (self.mean.abs() > self.off || self.mean.abs() + self.off < TRIFLE)
    }

    pub fn verdict(&self) -> String {
        let (mean, off) = (self.mean, self.off);
        let (name, days) = (&self.variant, self.days);
        let what = match () {
            () if self.breaches > 0 => {
                format!(
                    "breaks rules ({} times) and is out, whatever it keeps",
                    self.breaches
                )
            }
            () if !off.is_finite() => "was played on too few days to tell".to_owned(),
            () if mean.abs() + off < TRIFLE => "makes no difference worth a change".to_owned(),
            () if mean > off => "is better".to_owned(),
            () if -mean > off => "is worse".to_owned(),
            () => "can't be told from it with so many days".to_owned(),
        };
        format!(
            "{name} {what}: {mean:+.4} +- {off:.4} of the criticality asked for, {days} days of virtual time"
        )
    }
}

/// Looks at 8, 16, 32 … days, up to `most`.
pub fn looks(most: u64) -> Vec<u64> {
    let mut looks = Vec::new();
    let mut at = FIRST.min(most);
    while at < most {
        looks.push(at);
        at *= 2;
    }
    looks.push(most);
    looks
}

/// What paired differences say at one of `planned` looks.
pub fn compare(
    variant: &str,
    differences: &[f64],
    breaches: u64,
    look: u32,
    planned: u32,
) -> Compared {
    let count = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / count.max(1.0);
    let spread = differences
        .iter()
        .map(|one| (one - mean).powi(2))
        .sum::<f64>()
        / (count - 1.0).max(1.0);
    // Guards against a verdict found by looking often enough: the error is shared among the looks.
    let error = ERROR / f64::from(planned.max(1));
    let off = match StudentsT::new(0.0, 1.0, (count - 1.0).max(1.0)) {
        Ok(student) if count > 1.0 => {
            student.inverse_cdf(1.0 - error / 2.0) * (spread / count).sqrt()
        }
        _ => f64::INFINITY,
    };
    Compared {
        variant: variant.to_owned(),
        days: differences.len() as u64,
        mean,
        off,
        breaches,
        looks: [look, planned],
    }
}

/// Plays days by `day` (of a seed: the variant's and the first's kept criticality, the variant's breaches) until the verdict is
/// clear or `most` days are played. `day` gets a range of seeds, so that it may play them side by side.
pub fn run(
    variant: &str,
    most: u64,
    mut days: impl FnMut(std::ops::Range<u64>) -> Vec<(f64, f64, u64)>,
) -> Compared {
    let looks = looks(most);
    let planned = looks.len() as u32;
    let (mut differences, mut breaches) = (Vec::new(), 0);
    let mut last = compare(variant, &[], 0, 0, planned);
    for (look, at) in looks.into_iter().enumerate() {
        for (this, first, broken) in days(differences.len() as u64..at) {
            differences.push(this - first);
            breaches += broken;
        }
        last = compare(variant, &differences, breaches, look as u32 + 1, planned);
        if last.clear() {
            break;
        }
    }
    last
}

#[cfg(test)]
mod tests;
