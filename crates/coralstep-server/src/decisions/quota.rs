//! The fleet's quotas: what an RPC takes of them before the scheduler weighs it, given back when it
//! is answered.
use std::rc::Rc;

use coralstep_quota::{Permit, QuotaExhausted, RequestKey};

use crate::decisions::handle::SchedulerHandle;
use crate::decisions::idempotency_keys::IdempotencyKey;
use crate::decisions::request::RpcRequest;

/// The fleet's quotas, as an RPC takes of them.
pub trait QuotaLimiter {
    /// Takes a unit of each quota that holds for an RPC, which is answered within `timeout_ms`
    /// milliseconds.
    ///
    /// # Errors
    ///
    /// A quota is used up.
    fn acquire(&self, request: RequestKey, timeout_ms: u64) -> Result<Permit, QuotaExhausted>;

    /// Gives back what an RPC took.
    fn release(&self, permit: Permit);
}

struct Reservation {
    limiter: Rc<dyn QuotaLimiter>,
    permit: Permit,
}

/// What an RPC took of the fleet's quotas, if anything; given back when dropped.
pub struct QuotaGuard(Option<Reservation>);

impl Drop for QuotaGuard {
    fn drop(&mut self) {
        if let Some(Reservation { limiter, permit }) = self.0.take() {
            limiter.release(permit);
        }
    }
}

impl SchedulerHandle {
    /// The fleet's quotas hold from now on.
    pub fn set_quota_limiter(&self, limiter: Rc<dyn QuotaLimiter>) {
        *self.quota_limiter.borrow_mut() = Some(limiter);
    }

    /// Takes what `request` needs of the fleet's quotas, before anything else is decided of it. A
    /// repeat of what is here, or has run, costs nothing: it is not run again.
    ///
    /// # Errors
    ///
    /// A quota is used up.
    pub fn reserve_quota(&self, request: &RpcRequest) -> Result<QuotaGuard, QuotaExhausted> {
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
        let timeout = request
            .timeout
            .map_or(method.deadline, |timeout| timeout.min(method.deadline));
        let timeout_ms = (timeout.0.saturating_sub(request.age.0)).div_ceil(10);
        match limiter.acquire(key, timeout_ms) {
            Ok(permit) => Ok(QuotaGuard(Some(Reservation { limiter, permit }))),
            Err(error) => {
                self.submitted.set(self.submitted.get() + 1);
                Err(error)
            }
        }
    }

    fn is_repeat(&self, request: &RpcRequest) -> bool {
        let Some(key) = request.idempotency_key.clone() else {
            return false;
        };
        let key = IdempotencyKey {
            method: request.method,
            key,
        };
        let inner = self.inner.borrow();
        inner.actions.idempotency_keys.is_retained(&key)
    }
}
