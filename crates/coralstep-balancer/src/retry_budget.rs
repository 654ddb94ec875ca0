//! Retry budget: limits retries to a ratio of new requests. Guards against retry storms, which would multiply the load of a
//! failing service.

/// Maximum number of retries that accumulate, so that a quiet period does not fund a retry storm.
const MAX_BALANCE: f64 = 10.0;

/// Budget of retries, filled by new requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retry_ratio: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget of `retry_ratio` retries per new request, with one retry available at the start.
    pub fn new(retry_ratio: f64) -> RetryBudget {
        RetryBudget {
            retry_ratio: retry_ratio.clamp(0.0, 1.0),
            balance: if retry_ratio > 0.0 { 1.0 } else { 0.0 },
        }
    }

    /// Adds the retries that one new request allows.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.retry_ratio).min(MAX_BALANCE);
    }

    /// Takes one retry if one is available.
    pub fn try_withdraw(&mut self) -> bool {
        let is_available = self.balance >= 1.0;
        self.balance -= f64::from(u8::from(is_available));
        is_available
    }
}

#[cfg(test)]
mod tests;
