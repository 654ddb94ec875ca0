//! Errors of the codec.
use thiserror::Error;

/// Why received bytes are not a valid message. Its text may be sent to the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes break the protocol.
    #[error("{0}")]
    Malformed(&'static str),
    /// The message exceeds one of the [`Limits`](crate::Limits).
    #[error("{0}")]
    TooLarge(&'static str),
}

impl DecodeError {
    /// What is wrong with the bytes, in a few words.
    pub fn reason(self) -> &'static str {
        match self {
            DecodeError::Malformed(reason) | DecodeError::TooLarge(reason) => reason,
        }
    }
}

/// Why a request cannot be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// The name is empty, or holds blanks, control characters or non-ASCII bytes.
    #[error("a header without a proper name")]
    HeaderName,
    /// The value holds a NUL, which ends a value in SCGI.
    #[error("a header value with a NUL")]
    HeaderValue,
    /// The name occurs twice, or is one of those that the encoder writes itself.
    #[error("a header twice")]
    DuplicateHeader,
}
