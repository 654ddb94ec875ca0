//! Result of an admission: a permit, or the time after which to retry.
use crate::Millis;
use crate::limit::LimitKey;

/// Units that an RPC took of limits on RPCs in flight. Release them with
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

/// An RPC exceeds a fleet-wide limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fleet-wide limit exceeded, retry after {retry_after_ms} ms")]
pub struct QuotaExhausted {
    /// Milliseconds until a unit is expected to be available for the RPC.
    pub retry_after_ms: Millis,
}
