//! Client of the dependency that all servers share.
pub mod store;
