//! The life of the process: reports, reload, drain, and what outlives it.
pub mod drain;
pub mod registration;
pub mod reload;
pub mod snapshots;
