//! What outlives a restart.
use super::{Event, Fleet};
use crate::audit::{AuditChain, AuditEntry};
use crate::versions::VersionId;

/// What is to be kept over a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The encoded active version; empty where none was published yet.
    pub active_version: Vec<u8>,
    /// The encoded entries of the audit chain, oldest first.
    pub audit_entries: Vec<Vec<u8>>,
}

impl Fleet {
    /// Returns what is to be kept over a restart.
    pub fn snapshot(&self) -> Snapshot {
        let active_version = self.versions.encoded(self.activity.active_version());
        let encode = |entry: &AuditEntry| postcard::to_allocvec(entry).unwrap_or_default();
        Snapshot {
            active_version: active_version.unwrap_or_default().to_vec(),
            audit_entries: self.activity.chain().entries().map(encode).collect(),
        }
    }

    /// Takes in what was kept and returns the id of the version, which is to be activated again.
    /// The audit chain is believed only where its entries follow each other.
    pub fn restore(&mut self, snapshot: &Snapshot) -> Option<VersionId> {
        match decode_chain(&snapshot.audit_entries) {
            Some(chain) => self.activity.resume(chain),
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
