//! Foundations of all other modules: configuration, clocks, logging, resource limits, sockets and codecs.
pub mod backoff;
pub mod clock;
pub mod config;
pub mod descriptors;
pub mod endpoints;
pub mod limits;
pub mod line_codec;
pub mod log;
pub mod memory_budget;
pub mod outbox;
pub mod request_id;
