//! The figures that conditions are about.
use std::fmt;

use coralstep::Signals;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A figure that the scheduler observes of itself; more is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize, JsonSchema)]
#[schemars(
    description = "A figure that a condition is about. Parts run from 0 to 1 and beyond, where more is worse."
)]
pub enum Signal {
    /// Longest wait in the admission queue, as a part of its limit.
    #[serde(rename = "hold")]
    #[schemars(description = "The longest wait in the hold, as a part of its limit.")]
    QueueWait,
    /// Part of the RPCs that are rejected.
    #[serde(rename = "pushed_back")]
    #[schemars(description = "Part of the RPCs that got a pushback.")]
    Rejected,
    /// RPCs that run, as a part of the concurrency limit.
    #[serde(rename = "running")]
    #[schemars(description = "What runs, as a part of the running limit.")]
    Concurrency,
    /// 1 while a circuit breaker is open or half-open, else 0.
    #[serde(rename = "breaker")]
    #[schemars(description = "1 while a breaker is open or half-open.")]
    BreakerOpen,
    /// Usual time of a call to the dependency, as a multiple of its best.
    #[serde(rename = "slowness")]
    #[schemars(description = "The usual time of a call, as a multiple of the best that was usual.")]
    CallSlowness,
    /// Memory that is reserved, as a part of all.
    #[serde(rename = "memory")]
    #[schemars(description = "Memory booked, as a part of all.")]
    Memory,
    /// Longest wait before a request is read, as a part of the queue's limit.
    #[serde(rename = "unread")]
    #[schemars(description = "The wait unread, as a part of the hold limit.")]
    ReadDelay,
    /// 1 while the server is warming up, else 0.
    #[serde(rename = "cold")]
    #[schemars(description = "1 while the server is cold.")]
    WarmingUp,
}

impl Signal {
    /// All signals, in the order of their declaration.
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

    /// Its name in settings, records and messages.
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

    /// Its figure among `signals`; none where it was not observed.
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

    /// The greatest figure that a threshold may be under; one at or beyond it is never exceeded.
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
