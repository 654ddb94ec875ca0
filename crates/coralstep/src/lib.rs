//! Admission and scheduling decisions for an RPC server behind load balancers that cannot be changed.
//!
//! [`Scheduler`] makes every decision. Its caller reports each event (`handle_request`,
//! `handle_completion`, ...) with the time at which it happened, and the scheduler immediately invokes the
//! resulting [`Actions`]. It has no I/O, clock or threads. Each rule has a module of its own; `scheduler`
//! combines them:
//!
//! | question | module |
//! | --- | --- |
//! | Does the request repeat one that may have run? | `deduplication` |
//! | Is the request rejected on arrival? | `admission`, `deadline`, `drain`, `memory_limit` |
//! | How long may a request be queued, and which one starts first? | `queue`, `priority` |
//! | How many requests run concurrently? | `concurrency_limit` |
//! | May a run call the dependency, with which timeout, and retry the call? | `bulkhead`, `circuit_breaker`, `call_timeout`, `call_retry` |
//! | Is the request rejected or failed, and with which Retry-After? | `answer`, `retry_after` |
//! | What happens at a deadline, or if a run never ends? | `scheduler::enforcement`, `orphans` |
//! | Which load and health are reported, and when are idle connections closed? | `load_report`, `connection_limit`, `health` |
//! | What does a degradation level change? | `degradation` |
//!
//! ```
//! use coralstep::*;
//!
//! #[derive(Default)]
//! struct Log(Vec<String>);
//! impl Actions for Log {
//!     fn admit(&mut self, rpc: RpcId) {
//!         self.0.push(format!("admit {}", rpc.0));
//!     }
//! }
//!
//! let mut config = SchedulerConfig { cores: 2, memory_kb: 10_000.0, ..SchedulerConfig::default() };
//! config.methods.push(Method {
//!     latency_objective: Span::ms(500),
//!     deadline: Span::ms(2_000),
//!     ..Method::default()
//! });
//! let mut log = Log::default();
//! let mut scheduler = Scheduler::start(&config, 7, Time(0), &mut log);
//! let request = Request { id: RpcId(0), queued_kb: 10.0, ..Request::default() };
//! scheduler.handle_request(Time(10), request, &mut log);
//! assert_eq!(log.0, ["admit 0"]);
//! ```
mod actions;
mod admission;
mod answer;
mod bulkhead;
mod call_retry;
mod call_timeout;
mod circuit_breaker;
mod concurrency_limit;
mod config;
mod connection_limit;
mod deadline;
mod deduplication;
mod degradation;
mod drain;
mod event;
mod flow;
mod health;
mod learned_state;
mod load_report;
mod measurements;
mod memory_limit;
mod orphans;
mod priority;
mod queue;
mod request;
mod request_table;
mod retry_after;
mod scheduler;
mod shared_state;
mod signals;
mod time;
mod timer;

pub use actions::Actions;
pub use circuit_breaker::{BreakerState, BreakerTransition, CallDecision, CircuitBreaker};
pub use config::{
    Dependency, GoalWeights, Idempotency, LoadReportKind, Method, Preemption, SchedulerConfig,
};
pub use degradation::DegradationLevel;
pub use event::{Event, OrphanedRun};
pub use flow::Flow;
pub use learned_state::{LearnedState, TenantService};
pub use request::{EarlierAttempt, Gauges, Outcome, Request, RpcId};
pub use scheduler::Scheduler;
pub use signals::Signals;
pub use time::{Span, Time};
