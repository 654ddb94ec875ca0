//! State that is saved across restarts.
use super::{Event, Fleet};
use crate::audit::{AuditChain, AuditEntry};
use crate::versions::VersionId;

/// State of a [`Fleet`] that is saved across restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The encoded active version; empty if no version is active.
    pub active_version: Vec<u8>,
    /// The encoded entries of the audit chain, oldest first.
    pub audit_entries: Vec<Vec<u8>>,
}

impl Fleet {
    /// Returns the state to be saved across a restart.
    pub fn snapshot(&self) -> Snapshot {
        let active_version = self.versions.encoded(self.history.active_version());
        let encode = |entry: &AuditEntry| postcard::to_allocvec(entry).unwrap_or_default();
        Snapshot {
            active_version: active_version.unwrap_or_default().to_vec(),
            audit_entries: self.history.chain().entries().map(encode).collect(),
        }
    }

    /// Restores the state saved before a restart and returns the id of the version to be activated
    /// again, or `None` if there is none. An inconsistent audit chain is discarded and reported.
    pub fn restore(&mut self, snapshot: &Snapshot) -> Option<VersionId> {
        match decode_chain(&snapshot.audit_entries) {
            Some(chain) => self.history.restore_chain(chain),
            None => self
                .events
                .push(Event::AuditRecordAltered(self.name.clone())),
        }
        self.versions.restore(&snapshot.active_version)
    }
}

fn decode_chain(entries: &[Vec<u8>]) -> Option<AuditChain> {
    let entries: Option<Vec<AuditEntry>> = entries
        .iter()
        .map(|entry| postcard::from_bytes(entry).ok())
        .collect();
    AuditChain::resume(entries?).ok()
}
