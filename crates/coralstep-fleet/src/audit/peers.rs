//! Audit rows of other servers, from the versions that they reported as active.
use std::collections::{BTreeMap, VecDeque};

use crate::audit::AuditRow;
use crate::membership::Member;
use crate::status::{ChainHead, NodeStatus, PastVersion};
use crate::versions::VersionId;
use crate::{Millis, UnixMillis};

/// Maximum number of rows kept for each server. The oldest are dropped first.
pub const MAX_PEER_ENTRIES: usize = 16;
/// Maximum number of server processes whose rows are kept. The one that has been silent the longest
/// is dropped first.
pub const MAX_SERVERS: usize = 8_192;
/// Time without a report after which the active version of a server counts as unknown, in
/// milliseconds.
pub const MAX_KNOWN_AGE_MS: Millis = 10_000;

struct PeerRow {
    version: VersionId,
    from_ms: UnixMillis,
    to_ms: Option<UnixMillis>,
    rpcs: u64,
}

impl PeerRow {
    fn closed(past: PastVersion) -> PeerRow {
        PeerRow {
            version: past.version,
            from_ms: past.from_ms,
            to_ms: Some(past.to_ms),
            rpcs: past.rpcs,
        }
    }
}

/// Audit rows of one server process.
#[derive(Default)]
struct PeerAudit {
    rows: VecDeque<PeerRow>,
    last_seen: Millis,
    head: ChainHead,
}

impl PeerAudit {
    /// Returns false if the chain is shorter than before, or differs at the same length.
    fn update_head(&mut self, head: ChainHead) -> bool {
        let is_consistent = head.length > self.head.length || head == self.head;
        self.head = head;
        is_consistent
    }

    fn update_rows(&mut self, status: &NodeStatus) {
        let is_active = |row: &&mut PeerRow| {
            row.version == status.active_version && row.from_ms == status.active_since_ms
        };
        if let Some(row) = self.rows.back_mut().filter(is_active) {
            row.rpcs = status.rpcs;
            return;
        }
        // The status with the end of the previous row may have been lost.
        if let Some(past) = status.previous {
            self.close_row(past);
        }
        // A row whose end was never reported ended at the latest when this one began.
        for row in self.rows.iter_mut().filter(|row| row.to_ms.is_none()) {
            row.to_ms = Some(status.active_since_ms);
        }
        self.rows.push_back(PeerRow {
            version: status.active_version,
            from_ms: status.active_since_ms,
            to_ms: None,
            rpcs: status.rpcs,
        });
        while self.rows.len() > MAX_PEER_ENTRIES {
            self.rows.pop_front();
        }
    }

    fn close_row(&mut self, past: PastVersion) {
        let known = self
            .rows
            .iter_mut()
            .find(|row| row.version == past.version && row.from_ms == past.from_ms);
        match known {
            Some(row) => *row = PeerRow::closed(past),
            None => self.rows.push_back(PeerRow::closed(past)),
        }
    }
}

/// Audit rows of all other servers.
#[derive(Default)]
pub struct PeerAudits {
    peers: BTreeMap<Member, PeerAudit>,
}

impl PeerAudits {
    /// Updates the rows from a status that was sent at `sent_at`, by this server's clock. Returns
    /// false if the sender's audit chain was altered.
    pub fn observe(&mut self, sent_at: Millis, status: &NodeStatus) -> bool {
        if !self.peers.contains_key(&status.member) && self.peers.len() >= MAX_SERVERS {
            self.remove_longest_silent();
        }
        let peer = self.peers.entry(status.member.clone()).or_default();
        peer.last_seen = peer.last_seen.max(sent_at);
        let is_consistent = peer.update_head(status.audit);
        peer.update_rows(status);
        is_consistent
    }

    fn remove_longest_silent(&mut self) {
        let longest_silent = self
            .peers
            .iter()
            .min_by_key(|(_, peer)| peer.last_seen)
            .map(|(member, _)| member.clone());
        if let Some(member) = longest_silent {
            self.peers.remove(&member);
        }
    }

    /// Iterates over the rows of all other servers.
    pub fn rows(&self, now: Millis) -> impl Iterator<Item = AuditRow> {
        self.peers.iter().flat_map(move |(member, peer)| {
            let age_ms = now.saturating_sub(peer.last_seen);
            peer.rows.iter().map(move |row| AuditRow {
                server: member.name.clone(),
                version: row.version,
                from_ms: row.from_ms,
                to_ms: row.to_ms,
                rpcs: row.rpcs,
                age_ms,
                known: row.to_ms.is_some() || age_ms <= MAX_KNOWN_AGE_MS,
            })
        })
    }
}

impl std::fmt::Debug for PeerAudits {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerAudits")
            .field("peers", &self.peers.len())
            .finish_non_exhaustive()
    }
}
