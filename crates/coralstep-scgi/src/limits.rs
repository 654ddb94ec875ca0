//! How much of a message is read at most.

/// Upper bounds on what a peer may send. A message beyond any of them is [`DecodeError::TooLarge`](crate::DecodeError::TooLarge).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all headers together. Default: 16 KiB.
    pub max_head_bytes: usize,
    /// Number of headers. Default: 128.
    pub max_headers: usize,
    /// Bytes of the body. Default: 8 KiB.
    pub max_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_head_bytes: 16 * 1024,
            max_headers: 128,
            max_body_bytes: 8 * 1024,
        }
    }
}
