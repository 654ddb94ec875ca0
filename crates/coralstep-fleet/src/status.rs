//! What each server says of itself: what it acts on, what it holds, whether it is shut out. A rider of the channel, spread by [`Disseminator`].
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::gossip::{Disseminator, Gossip};
use crate::membership::{MAX_NAME_BYTES, Member};
use crate::versions::VersionId;

/// Letters of a reason.
pub const MAX_REASON_BYTES: usize = 96;
/// A server's own word is made anew this often, so that its silence shows.
pub const ANNOUNCE_INTERVAL_MS: Millis = 1_000;
/// Who has not been heard of for so long is forgotten here; the audit still has its rows.
pub const MAX_AGE_MS: Millis = 120_000;
/// Orders of operators that a server hands on for others: its last ones.
pub const MAX_ORDERS: usize = 4;

/// An operator shuts a server out, or lets it in, by way of another one. Of two for one server the greater number holds; it rises with each
/// that is known, so no clock decides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipOrder {
    pub member: String,
    pub sequence: u64,
    pub exclude: bool,
}

impl MembershipOrder {
    fn is_valid(&self) -> bool {
        // The bound leaves room: guards against one forged order that no later one could exceed.
        !self.member.is_empty()
            && self.member.len() <= MAX_NAME_BYTES
            && self.sequence < u64::MAX / 2
    }
}

/// A version that a server acted on, from when to when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastVersion {
    pub version: VersionId,
    pub from_ms: u64,
    pub to_ms: u64,
    pub rpcs: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    pub member: Member,
    /// Rises with each word of one process.
    pub sequence: u64,
    pub leaving: bool,
    /// ExclusionReason out, by itself or by an operator.
    pub excluded: bool,
    /// It would shut itself out for a version, if not too many do.
    pub wants_exclusion: bool,
    /// The version it acts on, and since when (hybrid clock, Unix milliseconds).
    pub active_version: VersionId,
    pub active_since_ms: u64,
    /// RPCs decided under it, and of these those that got their result.
    pub rpcs: u64,
    pub succeeded: u64,
    /// What it acted on before that, as it stands in its record.
    pub previous: Option<PastVersion>,
    /// The newest version it holds.
    pub newest_held: VersionId,
    /// What it would not take, and why.
    pub rejected: Option<(VersionId, String)>,
    /// The end of its record, and how many entries that has.
    pub audit_head: [u8; 8],
    pub audit_length: u32,
    /// What its operators want of other servers.
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
        let reason = self
            .rejected
            .as_ref()
            .is_none_or(|(_, why)| why.len() <= MAX_REASON_BYTES);
        let orders =
            self.orders.len() <= MAX_ORDERS && self.orders.iter().all(MembershipOrder::is_valid);
        self.member.is_valid() && reason && orders && self.succeeded <= self.rpcs
    }
}

/// What all servers say of themselves, as far as it was heard here.
pub type NodeStatuses = Disseminator<NodeStatus>;

#[cfg(test)]
pub mod tests;
