//! How servers of a fleet hear each other. No I/O and no clock here: datagrams and the time are passed in, datagrams and events come out.
//! The same events in the same order lead to the same answers. Times are milliseconds of the process's own monotonic clock ([`Millis`]);
//! what orders acts of several servers is the hybrid logical clock in [`clock`].
//!
//! [`Fleet`] is the whole: [`members`] (who is there) carries [`words`] (what each server says of itself, which may be stale),
//! [`versions`] (settings in numbered versions, fetched whole) and whatever else rides ([`rider`]) on one channel. [`audit`] keeps who acted
//! on what, [`straggler`] decides when this server admits nothing.
pub mod audit;
pub mod clock;
pub mod datagram;
pub mod exclusion;
pub mod extension;
pub mod fleet;
pub mod gossip;
pub mod membership;
pub mod status;
pub mod versions;

pub use exclusion::ExclusionReason;
pub use fleet::{Event, Fleet, FleetConfig};
pub use membership::{Member, MemberState};
pub use versions::VersionId;

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
