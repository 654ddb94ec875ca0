//! Which server had which version active, and when.
//!
//! A server's own record is a chain in which each entry holds the hash of the one before, so a
//! modified or missing one shows. Of the others a server keeps what they reported of themselves;
//! of a silent one the audit says since when nothing is known.
mod chain;
mod peers;

use serde::Serialize;

pub use chain::{AuditChain, AuditEntry, ChainError, MAX_OWN_ENTRIES, verify};
pub use peers::{MAX_KNOWN_AGE_MS, MAX_PEER_ENTRIES, MAX_SERVERS, PeerAudits};

use crate::versions::{HASH_BYTES, VersionId};
use crate::{Millis, UnixMillis};

/// A row of the audit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AuditRow {
    /// Name of the server.
    pub server: String,
    /// The version that it had active.
    pub version: VersionId,
    /// From when on, in Unix milliseconds of the hybrid clock.
    pub from_ms: UnixMillis,
    /// Until when, in Unix milliseconds of the hybrid clock; none while it is active.
    pub to_ms: Option<UnixMillis>,
    /// RPCs that were decided under it.
    pub rpcs: u64,
    /// Age of this knowledge, in milliseconds.
    pub age_ms: Millis,
    /// False where the server has been silent for longer than [`MAX_KNOWN_AGE_MS`], and the row
    /// may have ended since.
    pub known: bool,
}

/// Selects rows of the audit; a field that is none selects all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AuditFilter {
    /// The version, or all versions of its number where its hash is zero.
    pub version: Option<VersionId>,
    /// Name of the server.
    pub server: Option<String>,
    /// A moment, in Unix milliseconds.
    pub at_ms: Option<UnixMillis>,
}

impl AuditFilter {
    /// Returns whether `row` is selected.
    pub fn matches(&self, row: &AuditRow) -> bool {
        self.matches_version(row.version)
            && self.server.as_ref().is_none_or(|name| *name == row.server)
            && self.at_ms.is_none_or(|at_ms| {
                row.from_ms <= at_ms && row.to_ms.is_none_or(|to_ms| at_ms < to_ms)
            })
    }

    fn matches_version(&self, version: VersionId) -> bool {
        self.version.is_none_or(|wanted| {
            let is_number_alone = wanted.hash == [0; HASH_BYTES];
            wanted == version || (is_number_alone && wanted.number == version.number)
        })
    }
}

#[cfg(test)]
mod tests;
