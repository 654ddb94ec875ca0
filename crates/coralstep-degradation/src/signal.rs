//! Signals that the conditions of a level refer to.
use std::fmt;

use coralstep::Signals;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Load signal that the scheduler measures about itself; a higher value is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize, JsonSchema)]
#[schemars(
    description = "A figure that a condition is about. Parts run from 0 to 1 and beyond, where more is worse."
)]
pub enum Signal {
    /// Longest wait in the admission queue, as a fraction of the queue limit.
    #[serde(rename = "hold")]
    #[schemars(description = "The longest wait in the hold, as a part of its limit.")]
    QueueWait,
    /// Fraction of RPCs that are rejected.
    #[serde(rename = "pushed_back")]
    #[schemars(description = "Part of the RPCs that got a pushback.")]
    Rejected,
    /// Number of running RPCs, as a fraction of the concurrency limit.
    #[serde(rename = "running")]
    #[schemars(description = "What runs, as a part of the running limit.")]
    Concurrency,
    /// 1 while a circuit breaker is open or half-open, otherwise 0.
    #[serde(rename = "breaker")]
    #[schemars(description = "1 while a breaker is open or half-open.")]
    BreakerOpen,
    /// Typical duration of a call of the dependency, as a multiple of its best typical duration.
    #[serde(rename = "slowness")]
    #[schemars(description = "The usual time of a call, as a multiple of the best that was usual.")]
    CallSlowness,
    /// Reserved memory, as a fraction of the total.
    #[serde(rename = "memory")]
    #[schemars(description = "Memory booked, as a part of all.")]
    Memory,
    /// Longest read delay of a request, as a fraction of the queue limit.
    #[serde(rename = "unread")]
    #[schemars(description = "The wait unread, as a part of the hold limit.")]
    ReadDelay,
    /// 1 while the server is warming up, otherwise 0.
    #[serde(rename = "cold")]
    #[schemars(description = "1 while the server is cold.")]
    WarmingUp,
}

impl Signal {
    /// All signals in declaration order.
    pub const ALL: [Signal; 8] = [
        Signal::QueueWait,
        Signal::Rejected,
        Signal::Concurrency,
        Signal::BreakerOpen,
        Signal::CallSlowness,
        Signal::Memory,
        Signal::ReadDelay,
        Signal::WarmingUp,
    ];

    /// Returns the name used in the configuration, in recorded samples and in messages.
    pub fn name(self) -> &'static str {
        match self {
            Signal::QueueWait => "hold",
            Signal::Rejected => "pushed_back",
            Signal::Concurrency => "running",
            Signal::BreakerOpen => "breaker",
            Signal::CallSlowness => "slowness",
            Signal::Memory => "memory",
            Signal::ReadDelay => "unread",
            Signal::WarmingUp => "cold",
        }
    }

    /// Returns the value of this signal in `signals`, or `None` if it was not observed.
    pub fn value_in(self, signals: &Signals) -> Option<f64> {
        match self {
            Signal::QueueWait => signals.queue_wait,
            Signal::Rejected => signals.rejected,
            Signal::Concurrency => signals.concurrency,
            Signal::BreakerOpen => signals.breaker_open,
            Signal::CallSlowness => signals.call_slowness,
            Signal::Memory => signals.memory,
            Signal::ReadDelay => signals.read_delay,
            Signal::WarmingUp => signals.warming_up,
        }
    }

    /// Returns the upper bound of thresholds: a threshold at or above it is never exceeded.
    pub fn max_value(self) -> f64 {
        match self {
            Signal::Rejected | Signal::BreakerOpen | Signal::WarmingUp | Signal::Memory => 1.0,
            Signal::QueueWait | Signal::Concurrency => 4.0,
            Signal::ReadDelay => 20.0,
            Signal::CallSlowness => 1_000.0,
        }
    }
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
