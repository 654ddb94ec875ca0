//! Named levels of reduced service. Each level but the first has conditions for entering and leaving it, over figures
//! that the scheduler observes of itself ([`coralstep::Signals`]); what it does is carried out by the scheduler
//! ([`coralstep::DegradationLevel`]). No I/O and no clock: the caller passes the time in.
//!
//! ```
//! use coralstep::{Signals, Span, Time};
//! use coralstep_degradation::{DegradationConfig, LevelStateMachine};
//!
//! let config = DegradationConfig::default();
//! let mut levels = LevelStateMachine::new(&config, Time(0)).unwrap();
//! let crowded = Signals { queue_wait: Some(1.0), ..Signals::default() };
//! let mut change = None;
//! for tick in 1..100 {
//!     let now = Time(0) + Span::ms(100) * tick;
//!     change = change.or(levels.observe(now, &crowded));
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
