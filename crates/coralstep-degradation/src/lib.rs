//! Degradation levels: named levels of reduced service.
//!
//! Each level except the first has conditions for entering and leaving it. They compare signals that the scheduler
//! measures about itself ([`coralstep::Signals`]) with thresholds. The scheduler carries out the actions of the current
//! level ([`coralstep::DegradationLevel`]). No I/O and no clock: the caller passes the time in.
//!
//! ```
//! use coralstep::{Signals, Span, Time};
//! use coralstep_degradation::{DegradationConfig, LevelStateMachine};
//!
//! let config = DegradationConfig::default();
//! let mut levels = LevelStateMachine::new(&config, Time(0)).unwrap();
//! let overloaded = Signals { queue_wait: Some(1.0), ..Signals::default() };
//! let mut change = None;
//! for step in 1..100 {
//!     let now = Time(0) + Span::ms(100) * step;
//!     change = change.or(levels.observe(now, &overloaded));
//! }
//! let change = change.unwrap();
//! assert_eq!((change.from.as_str(), change.to.as_str()), ("full", "no-extras"));
//! assert!(change.to_string().starts_with("level full -> no-extras, hold "));
//! ```
mod change;
mod config;
mod replay;
mod signal;
mod smoothing;
mod state_machine;
mod status;

pub use change::{Cause, LevelChange};
pub use config::{
    Condition, ConditionPath, DegradationConfig, DegradationConfigError, LevelActions, LevelConfig,
};
pub use replay::{ReplayError, Sample, replay};
pub use signal::Signal;
pub use state_machine::{LevelStateMachine, OverrideError};
pub use status::{ConditionStatus, LevelStatus};
