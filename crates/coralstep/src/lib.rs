//! Admission and scheduling decisions for one server behind balancers nobody can change.
//!
//! A [`Scheduler`] makes every decision. It is told what happens (`handle_request`, `handle_completion`, ...) with the
//! time at which it happens, and its decisions go at once to the [`Actions`] it is given. It has no I/O, clock or threads.
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
mod choice;
mod circuit_breaker;
mod config;
mod constants;
mod degradation;
mod lost;
mod request;
mod site;
mod time;

pub use actions::{Actions, Transition};
pub use choice::{LearnedState, Scheduler};
pub use circuit_breaker::{CircuitBreaker, Flow};
pub use config::{
    Dependency, GoalWeights, Idempotency, LoadReportKind, Method, Preemption, SchedulerConfig,
};
pub use degradation::{DegradationLevel, Signals};
pub use request::{EarlierAttempt, Gauges, Outcome, Request, RpcId};
pub use time::{Span, Time};
