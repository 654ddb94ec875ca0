//! What the operator's file says of levels, and the built-in ones that need no file.
use coralstep::Signals;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A figure that a condition is about. Parts run from 0 to 1 and beyond, where more is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// The longest wait in the hold, as a part of its limit.
    Hold,
    /// Part of the RPCs that got a pushback.
    PushedBack,
    /// What runs, as a part of the running limit.
    Running,
    /// 1 while a breaker is open or half-open.
    Breaker,
    /// The usual time of a call, as a multiple of the best that was usual.
    Slowness,
    /// Memory booked, as a part of all.
    Memory,
    /// The wait unread, as a part of the hold limit.
    Unread,
    /// 1 while the server is cold.
    Cold,
}

impl Signal {
    pub const ALL: [Signal; 8] = [
        Signal::Hold,
        Signal::PushedBack,
        Signal::Running,
        Signal::Breaker,
        Signal::Slowness,
        Signal::Memory,
        Signal::Unread,
        Signal::Cold,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Signal::Hold => "hold",
            Signal::PushedBack => "pushed_back",
            Signal::Running => "running",
            Signal::Breaker => "breaker",
            Signal::Slowness => "slowness",
            Signal::Memory => "memory",
            Signal::Unread => "unread",
            Signal::Cold => "cold",
        }
    }

    pub fn of(self, signals: &Signals) -> Option<f64> {
        match self {
            Signal::Hold => signals.queue_wait,
            Signal::PushedBack => signals.rejected,
            Signal::Running => signals.concurrency,
            Signal::Breaker => signals.breaker_open,
            Signal::Slowness => signals.call_slowness,
            Signal::Memory => signals.memory,
            Signal::Unread => signals.read_delay,
            Signal::Cold => signals.warming_up,
        }
    }

    /// The most that it can be; thresholds beyond are never met.
    pub fn most(self) -> f64 {
        match self {
            Signal::PushedBack | Signal::Breaker | Signal::Cold | Signal::Memory => 1.0,
            Signal::Hold | Signal::Running => 4.0,
            Signal::Unread => 20.0,
            Signal::Slowness => 1_000.0,
        }
    }
}

/// A level is entered over `enter` and left at or under `leave`, each for its time.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    pub signal: Signal,
    /// Met while the smoothed figure is over this.
    pub enter: f64,
    /// Gone while it is at or under this, which is less.
    pub leave: f64,
    /// It must be met for so long, in milliseconds.
    #[serde(default = "enter_ms")]
    pub enter_ms: u32,
    /// It must be gone for so long, in milliseconds.
    #[serde(default = "leave_ms")]
    pub leave_ms: u32,
}

fn enter_ms() -> u32 {
    3_000
}

fn leave_ms() -> u32 {
    10_000
}

/// What a level does, each on top of what the server does anyway. What has run with an effect is untouched by all of it.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Does {
    /// RPCs of methods under this criticality are pushed back at once.
    pub least_criticality: f64,
    /// Only tokened and non-idempotent methods are let in.
    pub effects_only: bool,
    /// Nothing is let in.
    pub closed: bool,
    /// Calls are left out where the settings say what an answer without them earns.
    pub skip_calls: bool,
    /// The hold limit, as a part of the usual one.
    pub hold: f64,
    /// The free value, as a part of what it would be.
    pub value: f64,
}

impl Default for Does {
    fn default() -> Does {
        Does {
            least_criticality: 0.0,
            effects_only: false,
            closed: false,
            skip_calls: false,
            hold: 1.0,
            value: 1.0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OneLevel {
    pub name: String,
    /// Any of them enters it; all of them must be gone to leave it. None for the first level, one at least for others.
    #[serde(default)]
    pub when: Vec<Condition>,
    #[serde(default)]
    pub does: Does,
}

/// Levels from full service to the worst.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LevelTerms {
    /// Between two changes, in milliseconds.
    pub stay_ms: u32,
    /// How long ago a figure counts half, in milliseconds.
    pub smooth_ms: u32,
    /// The figures go into the log this often, in milliseconds, to be replayed; 0: they don't.
    pub record_ms: u32,
    pub list: Vec<OneLevel>,
}

fn condition(signal: Signal, enter: f64, leave: f64, enter_ms: u32) -> Condition {
    Condition {
        signal,
        enter,
        leave,
        enter_ms,
        leave_ms: leave_ms(),
    }
}

impl Default for LevelTerms {
    /// Full, no-extras, essentials, effects-only, closed.
    fn default() -> LevelTerms {
        let level = |name: &str, when: &[Condition], does: Does| OneLevel {
            name: name.to_owned(),
            when: when.to_vec(),
            does,
        };
        LevelTerms {
            stay_ms: 30_000,
            smooth_ms: 1_000,
            record_ms: 0,
            list: vec![
                level("full", &[], Does::default()),
                level(
                    "no-extras",
                    &[
                        condition(Signal::Hold, 0.9, 0.4, 3_000),
                        condition(Signal::PushedBack, 0.2, 0.05, 3_000),
                        condition(Signal::Slowness, 4.0, 2.0, 3_000),
                        condition(Signal::Breaker, 0.5, 0.1, 1_000),
                    ],
                    Does {
                        skip_calls: true,
                        ..Does::default()
                    },
                ),
                level(
                    "essentials",
                    &[
                        condition(Signal::PushedBack, 0.5, 0.25, 3_000),
                        condition(Signal::Unread, 1.0, 0.5, 3_000),
                    ],
                    Does {
                        skip_calls: true,
                        least_criticality: 1.0,
                        hold: 0.8,
                        value: 0.8,
                        ..Does::default()
                    },
                ),
                level(
                    "effects-only",
                    &[
                        condition(Signal::PushedBack, 0.8, 0.5, 5_000),
                        condition(Signal::Memory, 0.88, 0.7, 2_000),
                    ],
                    Does {
                        skip_calls: true,
                        effects_only: true,
                        hold: 0.6,
                        value: 0.4,
                        ..Does::default()
                    },
                ),
                level(
                    "closed",
                    &[
                        condition(Signal::Memory, 0.96, 0.75, 2_000),
                        condition(Signal::Unread, 8.0, 1.0, 5_000),
                    ],
                    Does {
                        closed: true,
                        value: 0.0,
                        ..Does::default()
                    },
                ),
            ],
        }
    }
}
