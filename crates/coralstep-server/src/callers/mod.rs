//! Callers' fronts: listeners, the one table of connections, a file a protocol.
pub mod front;
pub mod gateway;
pub mod said;
pub mod scgi;
pub mod thrift;
