//! The life of the process: reports, reload, drain, what outlives it.
pub mod control;
pub mod drain;
pub mod keep;
pub mod reload;
