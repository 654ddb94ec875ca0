//! Interface for encoding the reply to a request.
use crate::decisions::ServerStatus;
use crate::runs::reply::Reply;

/// Encodes the reply to one open request in its protocol.
pub trait ReplyWriter: 'static {
    /// Appends `reply` to `out`, with the fields that report `status`.
    fn write_reply(&self, out: &mut Vec<u8>, reply: &Reply<'_>, status: &ServerStatus);

    /// Appends an internal error to `out`, as the reply if the request's task panicked.
    fn write_internal_error(&self, out: &mut Vec<u8>);

    /// Returns whether the connection closes after this reply.
    fn closes_connection(&self) -> bool;
}
