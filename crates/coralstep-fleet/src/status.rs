//! Status that each server reports about itself to the fleet by gossip.
use serde::{Deserialize, Serialize};

use crate::gossip::{Disseminator, Gossip};
use crate::membership::{MAX_NAME_BYTES, Member};
use crate::versions::{MAX_REASON_BYTES, VersionId};
use crate::{Millis, UnixMillis};

/// Interval at which a server renews its status, in milliseconds. Peers detect a silent server by
/// the missing renewals.
pub const STATUS_INTERVAL_MS: Millis = 1_000;
/// Time after which a status that was not renewed is dropped, in milliseconds. The audit keeps its
/// rows.
pub const MAX_AGE_MS: Millis = 120_000;
/// Maximum number of membership orders in a server's status: the last ones issued there.
pub const MAX_ORDERS: usize = 4;
/// Maximum sequence number of an accepted order. Guards against a forged order that no later order
/// could supersede.
const MAX_ORDER_SEQUENCE: u64 = u64::MAX / 2 - 1;

/// An operator's order to exclude a server from the fleet, or to readmit it.
///
/// Of several orders for one server, the one with the highest sequence number applies. A new order
/// gets a higher number than all known ones, so no clock is involved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipOrder {
    /// Name of the server that the order applies to.
    pub member: String,
    /// Sequence number among the orders for that server.
    pub sequence: u64,
    /// True to exclude, false to readmit.
    pub exclude: bool,
}

impl MembershipOrder {
    fn is_valid(&self) -> bool {
        !self.member.is_empty()
            && self.member.len() <= MAX_NAME_BYTES
            && self.sequence <= MAX_ORDER_SEQUENCE
    }
}

/// A version that a server had active in the past.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastVersion {
    /// The version.
    pub version: VersionId,
    /// When it was activated, in Unix milliseconds of the hybrid clock.
    pub from_ms: UnixMillis,
    /// When the next one was activated, in Unix milliseconds of the hybrid clock.
    pub to_ms: UnixMillis,
    /// Number of RPCs submitted while it was active.
    pub rpcs: u64,
}

/// Head of a server's audit chain, by which peers detect that the chain was altered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainHead {
    /// Prefix of the hash of the last entry.
    pub hash: [u8; 8],
    /// Number of entries appended so far.
    pub length: u32,
}

/// Rejection of a version by a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The version.
    pub version: VersionId,
    /// Reason of the rejection, of at most [`MAX_REASON_BYTES`] bytes.
    pub reason: String,
}

/// Status that a server reports about itself. The order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The server that reports.
    pub member: Member,
    /// Sequence number, which increases with each status of one process.
    pub sequence: u64,
    /// Whether the server is shutting down.
    pub leaving: bool,
    /// Whether the server is excluded, by itself or by an operator.
    pub excluded: bool,
    /// Whether the server wants to be excluded because of a version. It is excluded only if not too
    /// many other servers want the same.
    pub wants_exclusion: bool,
    /// The active version.
    pub active_version: VersionId,
    /// When the active version was activated, in Unix milliseconds of the hybrid clock.
    pub active_since_ms: UnixMillis,
    /// Number of RPCs submitted since then.
    pub rpcs: u64,
    /// Number of those RPCs that returned their result.
    pub succeeded: u64,
    /// The previous version, as recorded in the server's audit chain.
    pub previous: Option<PastVersion>,
    /// The newest version that the server holds.
    pub newest_held: VersionId,
    /// The rejection of the newest held version, if the server rejected it.
    pub rejected: Option<Rejection>,
    /// The head of the server's audit chain.
    pub audit: ChainHead,
    /// Orders that operators issued at this server.
    pub orders: Vec<MembershipOrder>,
}

impl Gossip for NodeStatus {
    const MAX_AGE_MS: Millis = MAX_AGE_MS;

    fn origin(&self) -> &Member {
        &self.member
    }

    fn sequence(&self) -> u64 {
        self.sequence
    }

    fn is_valid(&self) -> bool {
        let has_valid_reason = self
            .rejected
            .as_ref()
            .is_none_or(|rejection| rejection.reason.len() <= MAX_REASON_BYTES);
        let has_valid_orders =
            self.orders.len() <= MAX_ORDERS && self.orders.iter().all(MembershipOrder::is_valid);
        self.member.is_valid()
            && has_valid_reason
            && has_valid_orders
            && self.succeeded <= self.rpcs
    }
}

/// The newest received status of each server.
pub type NodeStatuses = Disseminator<NodeStatus>;

#[cfg(test)]
pub(crate) mod tests;
