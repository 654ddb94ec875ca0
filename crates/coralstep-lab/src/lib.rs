//! The laboratory. A [`World`] describes a fleet and its faults; [`simulate()`] runs a day of it in virtual time, with the production
//! scheduler (`coralstep::Scheduler`) in every server, and checks the four rules throughout. The same world and seed lead to the
//! same day on any machine.
mod acts;
pub mod baseline;
pub mod bound;
pub mod caller;
pub mod demo;
pub mod emulate;
pub mod experiment;
pub mod explore;
pub mod fleet;
pub mod load;
pub mod queue;
pub mod record;
pub mod report;
pub mod rules;
pub mod search;
pub mod shares;
pub mod simulate;
pub mod world;

pub use simulate::{Day, simulate};
pub use world::World;
