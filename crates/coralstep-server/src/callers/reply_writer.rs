//! How the one reply to a request is written.
use crate::decisions::ServerStatus;
use crate::runs::reply::Reply;

/// Encodes the one reply to an open request in its protocol.
pub trait ReplyWriter: 'static {
    /// Appends `reply` to `out`, with the fields that report `status`.
    fn write_reply(&self, out: &mut Vec<u8>, reply: &Reply<'_>, status: &ServerStatus);

    /// Appends an internal error to `out`, in place of the reply of a task that panicked.
    fn write_internal_error(&self, out: &mut Vec<u8>);

    /// Whether the connection closes after this reply.
    fn closes_connection(&self) -> bool;
}
