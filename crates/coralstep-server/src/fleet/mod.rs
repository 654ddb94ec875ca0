//! This server's part in its fleet: the datagrams of `coralstep-fleet` on a socket, its versions as settings, its events as
//! log lines, and what outlives a restart.
mod event_log;
mod health_exchange;
mod operator_views;
mod quotas;
mod recorder;
mod service;
mod socket;
mod wall_clock;

pub use health_exchange::{ExchangeHealth, HealthSources, PeerAdvice};
pub use quotas::LimitsOfVersion;
pub use service::{ApplyVersion, FleetService, FleetStartError};
pub use wall_clock::ClockStepsDisabledError;
