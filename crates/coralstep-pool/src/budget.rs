//! Repeats as a part of first tries. Guards against storms: when all fails, repeats would multiply the load just then.

/// Repeats that may be saved up, so that a quiet time doesn't pay for a storm.
const SAVED_MOST: f64 = 10.0;

#[derive(Clone, Debug)]
pub struct Budget {
    part: f64,
    saved: f64,
}

impl Budget {
    /// `part` of a repeat for each first try; one repeat is there from the start.
    pub fn new(part: f64) -> Budget {
        Budget {
            part: part.clamp(0.0, 1.0),
            saved: if part > 0.0 { 1.0 } else { 0.0 },
        }
    }

    pub fn earn(&mut self) {
        self.saved = (self.saved + self.part).min(SAVED_MOST);
    }

    /// Takes one repeat, where one is there.
    pub fn spend(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        self.saved -= f64::from(u8::from(enough));
        enough
    }
}

#[cfg(test)]
mod tests;
