//! Fleet membership and distribution of versioned settings among the servers of a fleet.
//!
//! This crate does no I/O and reads no clock. The caller passes in received datagrams and the
//! current time, and collects datagrams and events. The same sequence of calls always produces the
//! same results.
//!
//! [`Fleet`] is the entry point. It sends everything in one stream of [`datagram`]s: the
//! [`membership`] protocol, the [`status`] that each server reports about itself (possibly stale),
//! settings [`versions`], and other protocols ([`extension`]). [`audit`] records which server had
//! which version active, [`exclusion`] decides whether this server admits requests, and
//! [`rollout`] controls the staged activation of a version.
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

/// A time on the process's monotonic clock, or a duration, in milliseconds.
pub type Millis = u64;

/// Milliseconds since the Unix epoch, from the wall clock or the hybrid logical clock.
pub type UnixMillis = u64;
