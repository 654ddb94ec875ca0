//! Where operators ask.
pub mod ops;
