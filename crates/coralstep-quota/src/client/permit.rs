//! What an RPC gets of the limits: a permit, or the time after which to retry.
use crate::Millis;
use crate::limit::LimitKey;

/// The units that an RPC took of limits on RPCs in flight; to be given back with
/// [`QuotaClient::release`](super::QuotaClient::release).
#[derive(Debug, Default, PartialEq, Eq)]
pub struct QuotaPermit(Vec<LimitKey>);

impl QuotaPermit {
    pub(super) fn add(&mut self, key: LimitKey) {
        self.0.push(key);
    }

    pub(super) fn into_keys(self) -> Vec<LimitKey> {
        self.0
    }
}

/// An RPC is over a limit of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("over a limit of the fleet, retry after {retry_after_ms} ms")]
pub struct QuotaExhausted {
    /// Milliseconds after which a unit is expected for it.
    pub retry_after_ms: Millis,
}
