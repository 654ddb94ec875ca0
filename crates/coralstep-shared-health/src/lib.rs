//! Exchange of health reports on shared dependencies among the servers of a fleet, and the advice
//! that circuit breakers get from these reports. This crate does no I/O and reads no clock.
//!
//! Peer reports alone never open or close a breaker. They affect it in three ways, each of which
//! can be disabled in [`SharingConfig`]:
//!
//! - **Probe rate**: while breakers for a dependency are open on several servers, their probe calls
//!   are limited to one rate for the whole fleet, instead of one call per server and cooldown.
//! - **Recovery**: once calls of other servers succeed again, the remaining cooldowns end in steps of
//!   growing size. Each breaker still closes only after a successful probe call of its own.
//! - **Failure**: while most peers report failures, a breaker needs fewer of its own outcomes before
//!   it may open, but never none.
//!
//! [`SharedHealth`] exchanges the [`report`]s as an extension of the fleet's gossip. An
//! [`Aggregator`](aggregate::Aggregator) for each dependency derives the advice.
pub mod aggregate;
pub mod config;
mod dependency;
pub mod fault_source;
pub mod operator_view;
pub mod peer_report;
pub mod report;
pub mod shared_health;

pub use aggregate::BreakerAdvice;
pub use config::SharingConfig;
pub use fault_source::FaultSource;
pub use report::{LocalHealth, ReportedBreakerState};
pub use shared_health::SharedHealth;
