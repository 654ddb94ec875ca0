//! Errors of parsing SCGI requests.
use coralstep_scgi::DecodeError;

/// Error that is answered with an HTTP error status. Its text is the reply's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error("the request takes too long to come")]
    TimedOut,
    #[error("no {0}")]
    Missing(&'static str),
    #[error("not with this verb")]
    MethodNotAllowed,
    #[error("no such path")]
    NotFound,
    #[error("a header that is no text")]
    HeaderNotUtf8,
    #[error("malformed {0}")]
    Malformed(&'static str),
    #[error("{0} out of range")]
    OutOfRange(&'static str),
    #[error("{0} too long")]
    TooLong(&'static str),
    #[error("unknown tenant")]
    UnknownTenant,
}

impl RequestError {
    /// Returns the HTTP status of the reply.
    pub(super) fn http_status(self) -> u16 {
        match self {
            RequestError::NotFound => 404,
            RequestError::MethodNotAllowed => 405,
            RequestError::TimedOut => 408,
            RequestError::Decode(DecodeError::TooLarge(_)) => 413,
            RequestError::Decode(DecodeError::Malformed(_))
            | RequestError::Missing(_)
            | RequestError::HeaderNotUtf8
            | RequestError::Malformed(_)
            | RequestError::OutOfRange(_)
            | RequestError::TooLong(_)
            | RequestError::UnknownTenant => 400,
        }
    }
}
