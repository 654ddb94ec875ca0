//! Callers: listeners, connections, and one module per protocol.
//!
//! A [`protocol::Protocol`] reads requests from a [`connection::Connection`] and hands each to the
//! [`dispatcher::RequestDispatcher`] with a [`reply_writer::ReplyWriter`]. [`connections::Connections`] accepts, limits and
//! closes the connections of all protocols.
pub mod connection;
pub mod connections;
pub mod dispatcher;
pub mod error;
pub mod gateway;
pub mod protocol;
pub mod read_buffer;
pub mod reply_writer;
pub mod request_fields;
pub mod scgi;
pub mod thrift;

#[cfg(test)]
mod tests;
