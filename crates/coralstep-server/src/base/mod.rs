//! What all other rooms stand on: configuration, clocks, the log, lines and buffers, where everybody is. Knows no other room.
pub mod backoff;
pub mod clock;
pub mod config;
pub mod descriptors;
pub mod endpoints;
pub mod lines;
pub mod log;
pub mod outbox;
