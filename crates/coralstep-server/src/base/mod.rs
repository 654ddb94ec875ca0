//! What all other rooms stand on: configuration, clocks, the log, lines and buffers, where everybody is. Knows no other room.
pub mod clock;
pub mod config;
pub mod lines;
pub mod log;
pub mod outbox;
pub mod places;
