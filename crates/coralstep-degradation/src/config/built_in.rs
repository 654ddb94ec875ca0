//! Built-in levels, used unless the configuration lists others.
use super::{Condition, DegradationConfig, LevelActions, LevelConfig, default_leave_ms};
use crate::Signal;

impl Default for DegradationConfig {
    /// The levels full, no-extras, essentials, effects-only and closed.
    fn default() -> DegradationConfig {
        DegradationConfig {
            min_stay_ms: 30_000,
            half_life_ms: 1_000,
            record_interval_ms: 0,
            levels: vec![full(), no_extras(), essentials(), effects_only(), closed()],
        }
    }
}

fn condition(signal: Signal, enter: f64, leave: f64, enter_ms: u32) -> Condition {
    Condition {
        signal,
        enter,
        leave,
        enter_ms,
        leave_ms: default_leave_ms(),
    }
}

fn full() -> LevelConfig {
    LevelConfig {
        name: "full".to_owned(),
        conditions: Vec::new(),
        actions: LevelActions::default(),
    }
}

/// Skips calls of the dependency that an answer can do without.
fn no_extras() -> LevelConfig {
    LevelConfig {
        name: "no-extras".to_owned(),
        conditions: vec![
            condition(Signal::QueueWait, 0.9, 0.4, 3_000),
            condition(Signal::Rejected, 0.2, 0.05, 3_000),
            condition(Signal::CallSlowness, 4.0, 2.0, 3_000),
            condition(Signal::BreakerOpen, 0.5, 0.1, 1_000),
        ],
        actions: LevelActions {
            skip_calls: true,
            ..LevelActions::default()
        },
    }
}

/// Admits only methods of normal or higher priority.
fn essentials() -> LevelConfig {
    LevelConfig {
        name: "essentials".to_owned(),
        conditions: vec![
            condition(Signal::Rejected, 0.5, 0.25, 3_000),
            condition(Signal::ReadDelay, 1.0, 0.5, 3_000),
        ],
        actions: LevelActions {
            skip_calls: true,
            min_priority_weight: 1.0,
            queue_limit_factor: 0.8,
            load_report_factor: 0.8,
            ..LevelActions::default()
        },
    }
}

/// Admits only non-idempotent methods and those with an idempotency key.
fn effects_only() -> LevelConfig {
    LevelConfig {
        name: "effects-only".to_owned(),
        conditions: vec![
            condition(Signal::Rejected, 0.8, 0.5, 5_000),
            condition(Signal::Memory, 0.88, 0.7, 2_000),
        ],
        actions: LevelActions {
            skip_calls: true,
            reject_idempotent: true,
            queue_limit_factor: 0.6,
            load_report_factor: 0.4,
            ..LevelActions::default()
        },
    }
}

fn closed() -> LevelConfig {
    LevelConfig {
        name: "closed".to_owned(),
        conditions: vec![
            condition(Signal::Memory, 0.96, 0.75, 2_000),
            condition(Signal::ReadDelay, 8.0, 1.0, 5_000),
        ],
        actions: LevelActions {
            reject_all: true,
            load_report_factor: 0.0,
            ..LevelActions::default()
        },
    }
}
