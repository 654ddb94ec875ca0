//! The way to the decisions, and what rides on their beat.
pub mod facade;
pub mod levels;
pub mod tokens;
