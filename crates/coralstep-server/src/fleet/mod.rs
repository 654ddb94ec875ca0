//! How this server hears the others of its fleet.
pub mod carrier;
pub mod record;
