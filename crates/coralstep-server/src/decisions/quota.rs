//! Fleet-wide quotas: an RPC acquires a permit before it is submitted to the scheduler and releases
//! it when it is answered.
use std::rc::Rc;

use coralstep_quota::{QuotaExhausted, QuotaPermit, RequestKey};

use crate::base::clock;
use crate::decisions::handle::SchedulerHandle;
use crate::decisions::request::RpcRequest;

/// Grants RPCs permits of the fleet-wide quotas.
pub trait QuotaLimiter {
    /// Acquires one unit of each quota that applies to an RPC. The RPC is answered within
    /// `timeout_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if a quota is exhausted.
    fn acquire(&self, request: RequestKey, timeout_ms: u64) -> Result<QuotaPermit, QuotaExhausted>;

    /// Releases the permit of an RPC.
    fn release(&self, permit: QuotaPermit);
}

/// A permit and the limiter that granted it.
struct AcquiredPermit {
    limiter: Rc<dyn QuotaLimiter>,
    permit: QuotaPermit,
}

/// The quota permit of an RPC, if it needs one; released when dropped.
pub struct QuotaGuard(Option<AcquiredPermit>);

impl Drop for QuotaGuard {
    fn drop(&mut self) {
        if let Some(AcquiredPermit { limiter, permit }) = self.0.take() {
            limiter.release(permit);
        }
    }
}

impl SchedulerHandle {
    /// Enforces the fleet-wide quotas from now on.
    pub fn set_quota_limiter(&self, limiter: Rc<dyn QuotaLimiter>) {
        *self.quota_limiter.borrow_mut() = Some(limiter);
    }

    /// Acquires the quota permit that `request` needs, before the scheduler decides on it. A repeat
    /// of an RPC that is in progress or has run needs no permit, because it is not run again.
    ///
    /// # Errors
    ///
    /// Returns an error if a quota is exhausted.
    pub fn acquire_quota(&self, request: &RpcRequest) -> Result<QuotaGuard, QuotaExhausted> {
        let limiter = self.quota_limiter.borrow().clone();
        let Some(limiter) = limiter.filter(|_| !self.excluded.get()) else {
            return Ok(QuotaGuard(None));
        };
        if self.is_repeat(request) {
            return Ok(QuotaGuard(None));
        }
        let method = self.method(request.method);
        let key = RequestKey {
            tenant: request.tenant,
            method: request.method,
            calls_dependency: method.calls,
        };
        let timeout_ms = clock::millis_rounded_up(self.remaining_time(request));
        match limiter.acquire(key, timeout_ms) {
            Ok(permit) => Ok(QuotaGuard(Some(AcquiredPermit { limiter, permit }))),
            Err(error) => {
                self.submitted.set(self.submitted.get() + 1);
                Err(error)
            }
        }
    }

    fn is_repeat(&self, request: &RpcRequest) -> bool {
        let keys = &self.inner.borrow().actions.idempotency_keys;
        let key = request.method_key();
        key.is_some_and(|key| keys.is_retained(&key))
    }
}
