//! Connects this server to its fleet: sends and receives the datagrams of `coralstep-fleet`, applies published
//! configuration versions, logs fleet events and persists fleet state across restarts.
mod event_log;
mod health_exchange;
mod operator_views;
mod quotas;
mod recorder;
mod service;
mod socket;
mod wall_clock;

pub use health_exchange::{ExchangeHealth, HealthSources, PeerAdvice};
pub use quotas::LimitsForVersion;
pub use service::{ApplyVersion, FleetService, FleetStartError};
pub use wall_clock::ClockStepsDisabledError;
