//! What each server reports of itself to the fleet by gossip.
use serde::{Deserialize, Serialize};

use crate::gossip::{Disseminator, Gossip};
use crate::membership::{MAX_NAME_BYTES, Member};
use crate::versions::{MAX_REASON_BYTES, VersionId};
use crate::{Millis, UnixMillis};

/// A server renews its status this often, so that its silence shows.
pub const ANNOUNCE_INTERVAL_MS: Millis = 1_000;
/// A status that was not renewed for so long is dropped; the audit keeps its rows.
pub const MAX_AGE_MS: Millis = 120_000;
/// Membership orders that a server passes on for others: its last ones.
pub const MAX_ORDERS: usize = 4;
/// Greatest sequence number of an order that is accepted. Guards against one forged order that
/// no later one could exceed.
const MAX_ORDER_SEQUENCE: u64 = u64::MAX / 2 - 1;

/// An operator's order to exclude a server from the fleet, or to readmit it.
///
/// Of two orders for one server the one with the greater number holds. Each new order is numbered
/// above all that are known, so no clock decides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipOrder {
    /// Name of the server that it is for.
    pub member: String,
    /// Number among the orders for that server.
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

/// A version that a server had active for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastVersion {
    /// The version.
    pub version: VersionId,
    /// When it was activated, in Unix milliseconds of the hybrid clock.
    pub from_ms: UnixMillis,
    /// When the next one was activated, in Unix milliseconds of the hybrid clock.
    pub to_ms: UnixMillis,
    /// RPCs that were decided under it.
    pub rpcs: u64,
}

/// The end of a server's audit chain, for others to compare.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainHead {
    /// First bytes of the hash of the last entry.
    pub hash: [u8; 8],
    /// Entries that the chain has had so far.
    pub length: u32,
}

/// A version that a server refused to activate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The version.
    pub version: VersionId,
    /// Why, in at most [`MAX_REASON_BYTES`] bytes.
    pub reason: String,
}

/// What a server reports of itself. The order of the fields is that of their bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The server.
    pub member: Member,
    /// Rises with each status of one process.
    pub sequence: u64,
    /// Whether the server is shutting down.
    pub leaving: bool,
    /// Whether it is excluded, by itself or by an operator.
    pub excluded: bool,
    /// Whether it would exclude itself for a version, if not too many did.
    pub wants_exclusion: bool,
    /// The version that it has active.
    pub active_version: VersionId,
    /// Since when, in Unix milliseconds of the hybrid clock.
    pub active_since_ms: UnixMillis,
    /// RPCs decided under that version.
    pub rpcs: u64,
    /// Those of them that got their result.
    pub succeeded: u64,
    /// The version before that, as it stands in the server's audit chain.
    pub previous: Option<PastVersion>,
    /// The newest version that it holds.
    pub newest_held: VersionId,
    /// Its rejection of that version, if it rejected it.
    pub rejected: Option<Rejection>,
    /// The end of its audit chain.
    pub audit: ChainHead,
    /// Orders that its operators gave for other servers.
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

/// The newest status of each server, as far as it arrived here.
pub type NodeStatuses = Disseminator<NodeStatus>;

#[cfg(test)]
pub(crate) mod tests;
