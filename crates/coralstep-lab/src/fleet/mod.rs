//! Several real processes of `coralstep` that hear each other, with a relay on every link between any two of them: what is lost, late,
//! doubled, changed or cut is the play's to say, and so on each process's way to the store. Engines and control plane are stand-ins; all that was started ends with the play.
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
