//! The dependency that all servers share.
pub mod store;
