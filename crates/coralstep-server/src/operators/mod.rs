//! Operator interface: requests for status and commands.
pub mod ops;
