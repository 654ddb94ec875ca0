//! The sub-commands that inspect or control a running server, or its files.
pub mod fleet;
pub mod levels;
pub mod state;
