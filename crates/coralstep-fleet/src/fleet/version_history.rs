//! The active version of this server, and the audit chain of its predecessors.
use crate::UnixMillis;
use crate::audit::{AuditChain, AuditRow};
use crate::rollout::RpcCounts;
use crate::status::PastVersion;
use crate::versions::VersionId;

/// The active version and the audit chain of its predecessors.
#[derive(Debug)]
pub(super) struct VersionHistory {
    chain: AuditChain,
    active_version: VersionId,
    since_ms: UnixMillis,
    /// RPCs of this process before the version was activated.
    rpcs_before: RpcCounts,
    /// All RPCs of this process so far.
    total_rpcs: RpcCounts,
}

impl VersionHistory {
    pub(super) fn new(since_ms: UnixMillis) -> VersionHistory {
        VersionHistory {
            chain: AuditChain::default(),
            active_version: VersionId::default(),
            since_ms,
            rpcs_before: RpcCounts::default(),
            total_rpcs: RpcCounts::default(),
        }
    }

    pub(super) fn chain(&self) -> &AuditChain {
        &self.chain
    }

    /// Replaces the chain by the one saved before a restart.
    pub(super) fn restore_chain(&mut self, chain: AuditChain) {
        self.chain = chain;
    }

    pub(super) fn active_version(&self) -> VersionId {
        self.active_version
    }

    pub(super) fn since_ms(&self) -> UnixMillis {
        self.since_ms
    }

    /// Sets the RPCs of this process so far.
    pub(super) fn set_total_rpcs(&mut self, rpcs: RpcCounts) {
        self.total_rpcs = rpcs;
    }

    /// Returns the RPCs since the active version was activated.
    pub(super) fn rpcs(&self) -> RpcCounts {
        self.total_rpcs.since(self.rpcs_before)
    }

    /// Makes `id` the active version and appends the previous one to the chain.
    pub(super) fn activate(&mut self, id: VersionId, now_ms: UnixMillis) {
        self.chain.append(PastVersion {
            version: self.active_version,
            from_ms: self.since_ms,
            to_ms: now_ms,
            rpcs: self.rpcs().submitted,
        });
        self.active_version = id;
        self.since_ms = now_ms;
        self.rpcs_before = self.total_rpcs;
    }

    /// Returns the audit rows of this server, whose name is `name`, oldest first.
    pub(super) fn rows(&self, name: &str) -> Vec<AuditRow> {
        let row = |version, from_ms, to_ms, rpcs| AuditRow {
            server: name.to_owned(),
            version,
            from_ms,
            to_ms,
            rpcs,
            age_ms: 0,
            known: true,
        };
        let mut rows: Vec<AuditRow> = self
            .chain
            .entries()
            .map(|entry| row(entry.version, entry.from_ms, Some(entry.to_ms), entry.rpcs))
            .collect();
        rows.push(row(
            self.active_version,
            self.since_ms,
            None,
            self.rpcs().submitted,
        ));
        rows
    }
}
