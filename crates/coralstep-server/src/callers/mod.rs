//! Callers' fronts: listeners, the connections of all of them, a file a protocol.
pub mod connection;
pub mod connections;
pub mod front;
pub mod gateway;
pub mod inbox;
pub mod said;
pub mod scgi;
pub mod thrift;

#[cfg(test)]
mod tests;
