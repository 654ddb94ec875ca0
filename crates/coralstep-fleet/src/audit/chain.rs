//! A server's own audit record: a hash chain of the versions that it had active.
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::UnixMillis;
use crate::status::{ChainHead, PastVersion};
use crate::versions::{ContentHash, HASH_BYTES, VersionId, hash};

/// Maximum number of entries kept. The oldest are dropped first.
pub const MAX_OWN_ENTRIES: usize = 256;

/// Entry for a version that this server had active. The order of the fields is part of the stored
/// format.
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
    /// Number of RPCs submitted while it was active.
    pub rpcs: u64,
    /// Hash of the previous entry.
    pub previous: ContentHash,
}

impl AuditEntry {
    fn hash(&self) -> ContentHash {
        hash(&postcard::to_allocvec(self).unwrap_or_default())
    }
}

/// Inconsistency of an audit chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChainError {
    /// The entry before the one with this number is missing.
    #[error("an entry is missing before audit entry {0}")]
    MissingEntry(u32),
    /// The entry before the one with this number was modified.
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
    /// Appends an entry for a version that is no longer active.
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

    /// Returns the chain with the entries saved before a restart.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`verify`].
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

    /// Returns the last entry in the form in which it is reported to peers.
    pub fn last(&self) -> Option<PastVersion> {
        self.entries.back().map(|entry| PastVersion {
            version: entry.version,
            from_ms: entry.from_ms,
            to_ms: entry.to_ms,
            rpcs: entry.rpcs,
        })
    }

    /// Returns the head of the chain, by which peers detect that the chain was altered.
    pub fn head(&self) -> ChainHead {
        ChainHead {
            hash: std::array::from_fn(|index| self.last_hash[index]),
            length: self.length,
        }
    }
}

/// Checks that the entries, oldest first, form a complete and unmodified chain.
///
/// # Errors
///
/// Returns the first gap, or the first entry whose hash differs from the one in the next entry.
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
