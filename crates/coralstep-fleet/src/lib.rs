//! How the servers of a fleet know of each other and agree on the version of their settings.
//!
//! There is no I/O and no clock here: datagrams and the time are passed in, datagrams and events
//! come out, and the same calls in the same order lead to the same results.
//!
//! [`Fleet`] is the whole. [`membership`] (who is there) carries [`status`] (what each server
//! reports of itself, which may be stale), [`versions`] (settings in numbered versions) and
//! further protocols ([`extension`]) in one stream of [`datagram`]s. [`audit`] keeps which server
//! had which version active, [`exclusion`] decides when this server admits no requests, and
//! [`rollout`] when a version is activated stage by stage.
pub mod audit;
pub mod clock;
pub mod datagram;
pub mod exclusion;
pub mod extension;
pub mod fleet;
pub mod gossip;
pub mod membership;
pub mod rollout;
pub mod status;
pub mod versions;

pub use exclusion::ExclusionReason;
pub use fleet::{Event, Fleet, FleetConfig};
pub use membership::{Member, MemberState};
pub use versions::VersionId;

/// Milliseconds of the process's own monotonic clock, or a span of them.
pub type Millis = u64;

/// Milliseconds since the Unix epoch, by wall time or by the hybrid clock.
pub type UnixMillis = u64;
