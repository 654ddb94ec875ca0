//! A server's own audit record: entries that are chained by their hashes.
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::UnixMillis;
use crate::status::{ChainHead, PastVersion};
use crate::versions::{ContentHash, HASH_BYTES, VersionId, hash};

/// Entries that are kept: the last ones.
pub const MAX_OWN_ENTRIES: usize = 256;

/// A version that this server had active. The order of the fields is that of their bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Position in the chain, counted from 0.
    pub number: u32,
    /// The version.
    pub version: VersionId,
    /// When it was activated, in Unix milliseconds of the hybrid clock.
    pub from_ms: UnixMillis,
    /// When the next one was activated, in Unix milliseconds of the hybrid clock.
    pub to_ms: UnixMillis,
    /// RPCs that were decided under it.
    pub rpcs: u64,
    /// Hash of the entry before.
    pub previous: ContentHash,
}

impl AuditEntry {
    fn hash(&self) -> ContentHash {
        hash(&postcard::to_allocvec(self).unwrap_or_default())
    }
}

/// A chain whose entries don't follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChainError {
    /// An entry is missing before this one.
    #[error("an entry is missing before audit entry {0}")]
    MissingEntry(u32),
    /// The entry before this one was modified.
    #[error("the entry before audit entry {0} was modified")]
    ModifiedEntry(u32),
}

/// A server's own audit record.
#[derive(Debug, Default)]
pub struct AuditChain {
    entries: VecDeque<AuditEntry>,
    last_hash: ContentHash,
    length: u32,
}

impl AuditChain {
    /// Appends a version that is no longer active, as the next entry.
    pub fn append(&mut self, past: PastVersion) {
        let entry = AuditEntry {
            number: self.length,
            version: past.version,
            from_ms: past.from_ms,
            to_ms: past.to_ms,
            rpcs: past.rpcs,
            previous: self.last_hash,
        };
        self.last_hash = entry.hash();
        self.length += 1;
        if self.entries.len() == MAX_OWN_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Continues a chain from before a restart.
    ///
    /// # Errors
    ///
    /// As [`verify`].
    pub fn resume(entries: Vec<AuditEntry>) -> Result<AuditChain, ChainError> {
        verify(entries.iter())?;
        let last = entries.last();
        Ok(AuditChain {
            last_hash: last.map_or([0; HASH_BYTES], AuditEntry::hash),
            length: last.map_or(0, |entry| entry.number.wrapping_add(1)),
            entries: entries.into(),
        })
    }

    /// Iterates over the kept entries, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &AuditEntry> {
        self.entries.iter()
    }

    /// Returns the last entry, as it is reported to others.
    pub fn last(&self) -> Option<PastVersion> {
        self.entries.back().map(|entry| PastVersion {
            version: entry.version,
            from_ms: entry.from_ms,
            to_ms: entry.to_ms,
            rpcs: entry.rpcs,
        })
    }

    /// Returns the end of the chain, for others to compare.
    pub fn head(&self) -> ChainHead {
        ChainHead {
            hash: std::array::from_fn(|index| self.last_hash[index]),
            length: self.length,
        }
    }
}

/// Checks that entries, oldest first, follow each other.
///
/// # Errors
///
/// The first gap, or the first entry that does not match the hash in the next one.
pub fn verify<'a>(entries: impl Iterator<Item = &'a AuditEntry>) -> Result<(), ChainError> {
    let mut previous: Option<&AuditEntry> = None;
    for entry in entries {
        if let Some(previous) = previous {
            if entry.number != previous.number + 1 {
                return Err(ChainError::MissingEntry(entry.number));
            }
            if entry.previous != previous.hash() {
                return Err(ChainError::ModifiedEntry(entry.number));
            }
        }
        previous = Some(entry);
    }
    Ok(())
}
