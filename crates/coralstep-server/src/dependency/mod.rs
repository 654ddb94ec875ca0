//! The dependency that RPCs call.
pub mod store;
