//! Errors of the codec.
use thiserror::Error;

/// An error in a received message. Its text may be sent to the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The message violates the protocol.
    #[error("{0}")]
    Malformed(&'static str),
    /// The message exceeds one of the [`Limits`](crate::Limits).
    #[error("{0}")]
    TooLarge(&'static str),
}

impl DecodeError {
    /// Returns a short description of the error.
    pub fn reason(self) -> &'static str {
        match self {
            DecodeError::Malformed(reason) | DecodeError::TooLarge(reason) => reason,
        }
    }
}

/// An error that prevents a request from being encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// A header name is empty or contains spaces, control characters or non-ASCII bytes.
    #[error("invalid header name")]
    HeaderName,
    /// A header value contains a NUL, which terminates a value in SCGI.
    #[error("header value contains a NUL")]
    HeaderValue,
    /// A header name occurs twice, or is one that the encoder writes itself.
    #[error("duplicate header")]
    DuplicateHeader,
}
