//! Who acted on what. A server's own record is a chain: each entry holds the hash of the one before, so a changed or missing one shows.
//! Of the others it keeps what they said of themselves, with its age; of a silent one it says since when nothing is known.
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::status::{NodeStatus, PastVersion};
use crate::versions::{VersionId, hash};

/// Entries that are kept: the last of this server's, and of each other one.
pub const MAX_OWN_ENTRIES: usize = 256;
pub const MAX_PEER_ENTRIES: usize = 16;
/// Servers whose rows are kept.
pub const MAX_SERVERS: usize = 8_192;
/// Who was not heard of for so long may act on anything.
pub const KNOWN: Millis = 10_000;

/// It acted on a version from when to when (hybrid clock, Unix milliseconds).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    pub number: u32,
    pub version: VersionId,
    pub from_ms: u64,
    pub to_ms: u64,
    pub rpcs: u64,
    /// The hash of the entry before.
    pub previous: [u8; 12],
}

impl AuditEntry {
    fn sum(&self) -> [u8; 12] {
        hash(&postcard::to_allocvec(self).unwrap_or_default())
    }
}

/// A server's own record.
#[derive(Default)]
pub struct AuditChain {
    entries: VecDeque<AuditEntry>,
    last: [u8; 12],
    count: u32,
}

/// What is wrong with a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChainError {
    /// An entry is missing before this one.
    MissingEntry(u32),
    /// The entry before this one is not what it was.
    ModifiedEntry(u32),
}

impl AuditChain {
    pub fn add(&mut self, version: VersionId, from_ms: u64, to_ms: u64, rpcs: u64) {
        let entry = AuditEntry {
            number: self.count,
            version,
            from_ms,
            to_ms,
            rpcs,
            previous: self.last,
        };
        self.last = entry.sum();
        self.count += 1;
        if self.entries.len() == MAX_OWN_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Goes on where a record left off.
    pub fn resume(entries: Vec<AuditEntry>) -> Result<AuditChain, ChainError> {
        verify(entries.iter())?;
        let last = entries.last().map_or([0; 12], AuditEntry::sum);
        let count = entries
            .last()
            .map_or(0, |entry| entry.number.wrapping_add(1));
        Ok(AuditChain {
            entries: entries.into(),
            last,
            count,
        })
    }

    pub fn entries(&self) -> impl Iterator<Item = &AuditEntry> {
        self.entries.iter()
    }

    /// The last entry, as others are told of it.
    pub fn last(&self) -> Option<PastVersion> {
        let of = |entry: &AuditEntry| PastVersion {
            version: entry.version,
            from_ms: entry.from_ms,
            to_ms: entry.to_ms,
            rpcs: entry.rpcs,
        };
        self.entries.back().map(of)
    }

    /// The end of the chain, for others to compare, and its length.
    pub fn head(&self) -> ([u8; 8], u32) {
        (std::array::from_fn(|at| self.last[at]), self.count)
    }
}

/// Whether what is left of a record hangs together.
pub fn verify<'a>(entries: impl Iterator<Item = &'a AuditEntry>) -> Result<(), ChainError> {
    let mut before: Option<&AuditEntry> = None;
    for entry in entries {
        if let Some(before) = before {
            if entry.number != before.number + 1 {
                return Err(ChainError::MissingEntry(entry.number));
            }
            if entry.previous != before.sum() {
                return Err(ChainError::ModifiedEntry(entry.number));
            }
        }
        before = Some(entry);
    }
    Ok(())
}

/// A row of the audit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AuditRow {
    pub server: String,
    pub version: VersionId,
    pub from_ms: u64,
    /// None while it acts on it.
    pub to_ms: Option<u64>,
    pub rpcs: u64,
    /// How old this knowledge is.
    pub age_ms: u64,
    /// False where the server has been silent for too long: what it has acted on since then nobody can say.
    pub known: bool,
}

struct Seen {
    version: VersionId,
    from_ms: u64,
    to_ms: Option<u64>,
    rpcs: u64,
}

/// Rows of one process, and when it was last heard of.
#[derive(Default)]
struct Server {
    rows: VecDeque<Seen>,
    heard: Millis,
    head: ([u8; 8], u32),
}

/// What the others said of themselves.
#[derive(Default)]
pub struct PeerAudits {
    servers: BTreeMap<(String, SocketAddr, u64), Server>,
}

impl PeerAudits {
    /// False where a server's record is shorter than it was, or another of the same length: it was changed.
    pub fn observe(&mut self, at: Millis, status: &NodeStatus) -> bool {
        let key = (
            status.member.name.clone(),
            status.member.address,
            status.member.incarnation,
        );
        if !self.servers.contains_key(&key) && self.servers.len() >= MAX_SERVERS {
            // Whoever was heard of last the longest ago makes room.
            let oldest = self
                .servers
                .iter()
                .min_by_key(|(_, server)| server.heard)
                .map(|(key, _)| key.clone());
            oldest.map(|oldest| self.servers.remove(&oldest));
        }
        let server = self.servers.entry(key).or_default();
        server.heard = server.heard.max(at);
        let head = (status.audit_head, status.audit_length);
        let sound = head.1 > server.head.1 || head == server.head;
        server.head = head;
        let known = |row: &&mut Seen| {
            row.version == status.active_version && row.from_ms == status.active_since_ms
        };
        if let Some(row) = server.rows.back_mut().filter(known) {
            row.rpcs = status.rpcs;
            return sound;
        }
        // What it acted on before, with its last figures: the words in between may have been lost, or were never said.
        let past = status.previous.map(|past| Seen {
            version: past.version,
            from_ms: past.from_ms,
            to_ms: Some(past.to_ms),
            rpcs: past.rpcs,
        });
        if let Some(past) = past {
            let of_it = server
                .rows
                .iter_mut()
                .find(|row| row.version == past.version && row.from_ms == past.from_ms);
            match of_it {
                Some(row) => *row = past,
                None => server.rows.push_back(past),
            }
        }
        // One whose end nobody told ended before this one began.
        for row in server.rows.iter_mut().filter(|row| row.to_ms.is_none()) {
            row.to_ms = Some(status.active_since_ms);
        }
        server.rows.push_back(Seen {
            version: status.active_version,
            from_ms: status.active_since_ms,
            to_ms: None,
            rpcs: status.rpcs,
        });
        while server.rows.len() > MAX_PEER_ENTRIES {
            server.rows.pop_front();
        }
        sound
    }

    pub fn rows(&self, now: Millis) -> impl Iterator<Item = AuditRow> {
        self.servers.iter().flat_map(move |((name, _, _), server)| {
            let age_ms = now.saturating_sub(server.heard);
            server.rows.iter().map(move |seen| AuditRow {
                server: name.clone(),
                version: seen.version,
                from_ms: seen.from_ms,
                to_ms: seen.to_ms,
                rpcs: seen.rpcs,
                age_ms,
                known: seen.to_ms.is_some() || age_ms <= KNOWN,
            })
        })
    }
}

/// What an audit is asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AuditFilter {
    pub version: Option<VersionId>,
    pub server: Option<String>,
    /// Unix milliseconds.
    pub at_ms: Option<u64>,
}

impl AuditFilter {
    pub fn matches(&self, row: &AuditRow) -> bool {
        // A version may be named by its number alone.
        let version = |id: VersionId| {
            row.version == id || (id.hash == [0; 12] && id.number == row.version.number)
        };
        self.version.is_none_or(version)
            && self
                .server
                .as_ref()
                .is_none_or(|server| *server == row.server)
            && self
                .at_ms
                .is_none_or(|at| row.from_ms <= at && row.to_ms.is_none_or(|to| at < to))
    }
}

/// The latest of what is known of a server that was heard of.
pub fn is_known(now: Millis, received: &crate::gossip::Received<NodeStatus>) -> bool {
    now.saturating_sub(received.sent_at) <= KNOWN
}

#[cfg(test)]
mod tests;
