//! Limits for a whole fleet: so many RPCs a second, or in hand, of a tenant, a method, a dependency, or several of these. No I/O and no
//! clock here: letters and the time are passed in.
//!
//! Units of a limit are in one hand at a time. A [`keeper`] gives them, each for a lease that the taker reckons from when it asked and the
//! giver from when it gave; [`tenure`] sees to it that there is one keeper at a time, by votes that lapse; a [`holder`] (every server)
//! decides each RPC by what it has in hand, without a message. [`part`] puts them together as a rider of the fleet's channel, and
//! [`terms`] are what operators state. The bounds are in `docs/limits.md`, their formulas in [`bounds`].
pub mod bounds;
pub mod holder;
pub mod keeper;
pub mod letters;
pub mod part;
pub mod tenure;
pub mod terms;

pub use coralstep_fleet::Millis as Ms;

pub use part::Limits;
pub use terms::{Kind, Limit, LimitTerms};
