//! The life of the process: reports, reload, drain, and what outlives it.
pub mod control;
pub mod drain;
pub mod reload;
pub mod snapshots;
