//! A dependency that all servers share fails for all, and each finds out by itself, call by call. Here is what they tell each other of
//! it, and what may follow: three things, each to be switched off, none of which opens a breaker.
//!
//! - **Trials** of a dependency that is open in many places come at a stated rate from the whole fleet, spread by chance, in place of one
//!   for each server and cooldown.
//! - **It serves again**: others' cooldowns end in steps, a few more each time, never all at once; a trial of their own decides.
//! - **It fails**: a server needs less evidence of its own, never none.
//!
//! [`weigh`] decides, from what is known at a moment; [`part`] carries it as a rider of the fleet's channel. No I/O and no clock.
pub mod part;
pub mod said;
pub mod weigh;

pub use part::Verdicts;
pub use said::{Own, State};
pub use weigh::{Advice, Parts};
