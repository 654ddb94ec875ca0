//! Fleets of real `coralstep` processes with a relay on every link between two of them. A play decides which datagrams are lost, delayed,
//! duplicated, corrupted or cut off, and likewise the faults on the connection of each process to the store. Engines and control plane
//! are stand-ins; every process started is ended with the play.
pub mod drive;
pub mod guest;
pub mod judge;
pub mod links;
pub mod mixed_builds;
pub mod play;
pub mod processes;
pub mod programs;

pub use crate::emulate::wire::Faults;
pub use drive::{Answer, LoadGenerator};
pub use guest::Guest;
pub use links::{Fault, Links};
pub use processes::{Fleet, RpcOutcome, Setup};
pub use programs::Programs;
