//! Named levels of reduced service. Each level but the first has a stated condition for entering and one for leaving it,
//! over figures that the decisions observe of themselves ([`coralstep::Signals`]); what it does is carried out by the
//! decisions ([`coralstep::DegradationLevel`]). No I/O and no clock: the caller passes the time in.
//!
//! ```
//! use coralstep::{Signals, Span, Time};
//! use coralstep_degradation::{Levels, LevelTerms};
//!
//! let mut levels = Levels::new(&LevelTerms::default(), Time(0)).unwrap();
//! let crowded = Signals { queue_wait: Some(1.0), ..Signals::default() };
//! let mut change = None;
//! for beat in 1..100 {
//!     change = change.or(levels.observe(Time(0) + Span::ms(100) * beat, &crowded));
//! }
//! let change = change.unwrap();
//! assert_eq!((change.from.as_str(), change.to.as_str()), ("full", "no-extras"));
//! assert!(change.to_string().starts_with("level full -> no-extras, hold "));
//! ```
mod check;
mod machine;
mod replay;
mod smooth;
mod terms;

pub use machine::{Cause, Change, Levels, Standing, View};
pub use replay::{Sample, replay};
pub use terms::{Condition, Does, LevelTerms, OneLevel, Signal};
