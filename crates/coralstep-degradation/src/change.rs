//! The event of a change of level, as logged and kept in the history.
use std::fmt;

use serde::Serialize;

use crate::Signal;
use crate::config::LevelActions;

/// Signal that caused a change of level, with the threshold that it crossed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Cause {
    /// Signal that crossed the threshold.
    pub signal: Signal,
    /// Smoothed value of the signal.
    #[serde(rename = "figure")]
    pub value: f64,
    /// Threshold for entering or leaving the level.
    pub threshold: f64,
}

/// Event of a change of level.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LevelChange {
    /// Name of the previous level.
    pub from: String,
    /// Name of the new level.
    pub to: String,
    /// Conditions that are met, when the level gets worse, or cleared, when it gets better; empty for a manual change.
    pub causes: Vec<Cause>,
    /// Whether an operator or a reload of the configuration caused the change, not the signals.
    #[serde(rename = "by_hand")]
    pub is_manual: bool,
    /// Time spent in the previous level, in milliseconds.
    pub lasted_ms: u64,
    /// Actions of the new level.
    #[serde(rename = "does")]
    pub actions: LevelActions,
}

impl fmt::Display for LevelChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "level {} -> {}", self.from, self.to)?;
        if self.is_manual {
            write!(f, ", by hand")?;
        }
        for cause in &self.causes {
            let Cause {
                signal,
                value,
                threshold,
            } = cause;
            write!(f, ", {signal} {value:.2} of {threshold:.2}")?;
        }
        let (lasted_ms, actions) = (self.lasted_ms, &self.actions);
        write!(f, ", after {lasted_ms} ms; now {actions}")
    }
}

impl fmt::Display for LevelActions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == LevelActions::default() {
            return f.write_str("full service");
        }
        let mut words = Vec::new();
        if self.reject_all {
            words.push("nothing is let in".to_owned());
        } else if self.reject_idempotent {
            words.push("only what has an effect is let in".to_owned());
        } else if self.min_priority_weight > 0.0 {
            words.push(format!("criticality from {}", self.min_priority_weight));
        }
        if self.skip_calls {
            words.push("calls are left out where they may be".to_owned());
        }
        if self.queue_limit_factor < 1.0 {
            words.push(format!("hold limit times {}", self.queue_limit_factor));
        }
        if self.load_report_factor < 1.0 {
            words.push(format!("free value times {}", self.load_report_factor));
        }
        f.write_str(&words.join(", "))
    }
}
