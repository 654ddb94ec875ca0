//! Why a caller's connection is closed before its caller closes it.
use std::io;

/// Why nothing more is read from a connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// A message did not arrive in time.
    #[error("timed out")]
    TimedOut,
    /// The peer closed the connection in the middle of a message.
    #[error("a message was cut short")]
    MessageCutShort,
    /// A frame states a length that no message has.
    #[error("no frame of a proper length")]
    InvalidFrameLength,
    /// The bytes of a frame are no message.
    #[error("garbled message")]
    CorruptMessage,
    /// A sequence number is not above the one before it.
    #[error("a sequence number again")]
    RepeatedSequenceNumber,
    /// The peer keeps sending messages that are invalid.
    #[error("too many messages that can't be carried out")]
    TooManyInvalidMessages,
    /// A request of the expected length does not decode as a whole one.
    #[error("a request without an end")]
    IncompleteRequest,
    /// The peer keeps sending bytes behind its only request.
    #[error("bytes without end behind a request")]
    TrailingBytes,
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
