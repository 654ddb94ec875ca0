//! The version that is active here, and the audit chain of those before it.
use crate::UnixMillis;
use crate::audit::{AuditChain, AuditRow};
use crate::rollout::RpcCounts;
use crate::status::PastVersion;
use crate::versions::VersionId;

/// The active version and its predecessors.
#[derive(Debug)]
pub(super) struct Activity {
    chain: AuditChain,
    active_version: VersionId,
    since_ms: UnixMillis,
    /// RPCs of this process when the version was activated, and now.
    rpcs_before: RpcCounts,
    rpcs_now: RpcCounts,
}

impl Activity {
    pub(super) fn new(since_ms: UnixMillis) -> Activity {
        Activity {
            chain: AuditChain::default(),
            active_version: VersionId::default(),
            since_ms,
            rpcs_before: RpcCounts::default(),
            rpcs_now: RpcCounts::default(),
        }
    }

    pub(super) fn chain(&self) -> &AuditChain {
        &self.chain
    }

    /// Continues the chain from before a restart.
    pub(super) fn resume(&mut self, chain: AuditChain) {
        self.chain = chain;
    }

    pub(super) fn active_version(&self) -> VersionId {
        self.active_version
    }

    pub(super) fn since_ms(&self) -> UnixMillis {
        self.since_ms
    }

    /// Notes the RPCs of this process so far.
    pub(super) fn count_rpcs(&mut self, rpcs: RpcCounts) {
        self.rpcs_now = rpcs;
    }

    /// Returns the RPCs under the active version.
    pub(super) fn rpcs(&self) -> RpcCounts {
        self.rpcs_now.since(self.rpcs_before)
    }

    /// Makes `id` the active version.
    pub(super) fn activate(&mut self, id: VersionId, now_ms: UnixMillis) {
        self.chain.append(PastVersion {
            version: self.active_version,
            from_ms: self.since_ms,
            to_ms: now_ms,
            rpcs: self.rpcs().decided,
        });
        self.active_version = id;
        self.since_ms = now_ms;
        self.rpcs_before = self.rpcs_now;
    }

    /// Returns the audit of server `name`, which this one is, oldest first.
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
            self.rpcs().decided,
        ));
        rows
    }
}
