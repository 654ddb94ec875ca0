//! How servers of a fleet hear each other. No I/O and no clock here: datagrams and the time are passed in, datagrams and events come out.
//! The same events in the same order lead to the same answers. Times are milliseconds of the process's own monotonic clock ([`Ms`]);
//! what orders acts of several servers is the hybrid logical clock in [`clock`].
//!
//! [`Fleet`] is the whole: [`members`] (who is there) carries [`words`] (what each server says of itself, which may be stale),
//! [`versions`] (settings in numbered versions, fetched whole) and whatever else rides ([`rider`]) on one channel. [`audit`] keeps who acted
//! on what, [`straggler`] decides when this server admits nothing.
pub mod audit;
pub mod clock;
pub mod envelope;
pub mod fleet;
pub mod members;
pub mod rider;
pub mod spread;
pub mod straggler;
pub mod versions;
pub mod words;

pub use fleet::{Event, Fleet, FleetTerms};
pub use members::{Member, State};
pub use straggler::Shut;
pub use versions::Id;

/// Milliseconds of a monotonic clock.
pub type Ms = u64;
