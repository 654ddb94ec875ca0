//! Audit: which server had which version active, and when.
//!
//! A server's own record is a chain in which each entry contains the hash of the previous one, so
//! that a modified or missing entry is detected. For other servers it keeps what they reported
//! about themselves. The rows of a silent server show the age of its last report.
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
    /// The version that was active.
    pub version: VersionId,
    /// When it was activated, in Unix milliseconds of the hybrid clock.
    pub from_ms: UnixMillis,
    /// When the next version was activated, in Unix milliseconds of the hybrid clock; `None` if it
    /// is still active.
    pub to_ms: Option<UnixMillis>,
    /// Number of RPCs submitted while it was active.
    pub rpcs: u64,
    /// Age of the server's last report, in milliseconds.
    pub age_ms: Millis,
    /// False if the version may no longer be active because the server has been silent for longer
    /// than [`MAX_KNOWN_AGE_MS`].
    pub known: bool,
}

/// Filter for rows of the audit. A field that is `None` matches all rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AuditFilter {
    /// The version. If its hash is zero, all versions with its number match.
    pub version: Option<VersionId>,
    /// Name of the server.
    pub server: Option<String>,
    /// A time at which the version was active, in Unix milliseconds.
    pub at_ms: Option<UnixMillis>,
}

impl AuditFilter {
    /// Returns whether `row` matches the filter.
    pub fn matches(&self, row: &AuditRow) -> bool {
        self.matches_version(row.version)
            && self.server.as_ref().is_none_or(|name| *name == row.server)
            && self.at_ms.is_none_or(|at_ms| {
                row.from_ms <= at_ms && row.to_ms.is_none_or(|to_ms| at_ms < to_ms)
            })
    }

    fn matches_version(&self, version: VersionId) -> bool {
        self.version.is_none_or(|wanted| {
            let matches_any_hash = wanted.hash == [0; HASH_BYTES];
            wanted == version || (matches_any_hash && wanted.number == version.number)
        })
    }
}

#[cfg(test)]
mod tests;
