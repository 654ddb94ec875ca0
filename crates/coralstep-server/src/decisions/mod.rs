//! Connects the server to the scheduler. The scheduler's ids, times and actions are used only in
//! this module; the rest of the server submits an [`RpcRequest`], executes each [`Decision`] and
//! reports [`Progress`].
pub mod degradation;
pub mod idempotency_keys;

mod actions;
mod admission;
mod breaker;
mod exclusion;
mod handle;
mod quota;
mod request;
mod rpc_table;

pub use admission::{MAX_READ_DELAY, RequestTicket};
pub use breaker::BreakerStatus;
pub use exclusion::ExclusionCheck;
pub use handle::{RequestCounts, SchedulerHandle};
pub use quota::{QuotaGuard, QuotaLimiter};
pub use request::{
    AdmissionError, CallOutcome, Decision, EarlierAttempts, Progress, RpcRequest, RunOutcome,
    ServerStatus,
};
