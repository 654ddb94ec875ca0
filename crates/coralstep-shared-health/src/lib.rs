//! What the servers of a fleet tell each other about the dependencies that they share, and what a
//! circuit breaker may conclude from it. No I/O and no clock.
//!
//! Peer reports never open a breaker. Three conclusions are drawn from them, each of which
//! [`SharingConfig`] can switch off:
//!
//! - **Probe rate**: half-open probe calls to a dependency that is open on many servers come at one
//!   rate from the whole fleet, in place of one for each server and cooldown.
//! - **Recovery**: once the dependency serves other servers again, the remaining cooldowns end in
//!   growing steps, and a probe call of the server's own decides.
//! - **Failure**: while most peers report failures, a breaker needs fewer outcomes of its own, but
//!   never none.
//!
//! [`SharedHealth`] exchanges the [`report`]s as an extension of the fleet's gossip, and an
//! [`Aggregator`](aggregate::Aggregator) for each dependency draws the conclusions.
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
