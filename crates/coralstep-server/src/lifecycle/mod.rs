//! Lifecycle of the process: registration, configuration reload, graceful shutdown and snapshots.
pub mod drain;
pub mod registration;
pub mod reload;
pub mod snapshots;
