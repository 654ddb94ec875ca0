//! Errors that make the server close a caller's connection.
use std::io;

/// Error after which nothing more is read from a connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// A message did not arrive in time.
    #[error("timed out")]
    TimedOut,
    /// The peer closed the connection in the middle of a message.
    #[error("connection closed in the middle of a message")]
    TruncatedMessage,
    /// The peer has left: the connection was reset, or is closed on its side. What it wrote before is not carried out.
    #[error("the caller has left")]
    CallerLeft,
    /// A frame has length 0 or exceeds the maximum length.
    #[error("invalid frame length")]
    InvalidFrameLength,
    /// A frame does not contain a message.
    #[error("corrupt message")]
    CorruptMessage,
    /// A sequence number is not greater than the previous one.
    #[error("sequence number not greater than the previous one")]
    NonIncreasingSequenceNumber,
    /// The peer keeps sending invalid messages.
    #[error("too many invalid messages")]
    TooManyInvalidMessages,
    /// The peer sends more on a closing connection than it may have sent before it learned of the close.
    #[error("too many messages while the connection is closing")]
    TooManyMessagesWhileClosing,
    /// A request of the expected length is incomplete.
    #[error("incomplete request")]
    IncompleteRequest,
    /// The peer keeps sending bytes after its only request.
    #[error("too many bytes after a request")]
    TrailingBytes,
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
