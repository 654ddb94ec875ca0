//! A change of level, as it is logged and remembered.
use std::fmt;

use serde::Serialize;

use crate::Signal;
use crate::config::LevelActions;

/// A figure beside the threshold that it crossed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Cause {
    /// The signal.
    pub signal: Signal,
    /// Its smoothed figure.
    #[serde(rename = "figure")]
    pub value: f64,
    /// The threshold of the condition.
    pub threshold: f64,
}

/// A change of level: one event.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LevelChange {
    /// Name of the level before.
    pub from: String,
    /// Name of the level from now on.
    pub to: String,
    /// The conditions that are met, or that are cleared.
    pub causes: Vec<Cause>,
    /// Whether an operator changed it, or the settings.
    #[serde(rename = "by_hand")]
    pub is_manual: bool,
    /// Milliseconds that the level before lasted.
    pub lasted_ms: u64,
    /// What the level does now.
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
