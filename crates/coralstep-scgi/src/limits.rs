//! Size limits of received messages.

/// Limits on the size of a message. A message that exceeds one is rejected with
/// [`DecodeError::TooLarge`](crate::DecodeError::TooLarge).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of all headers together in bytes. Default: 16 KiB.
    pub max_head_bytes: usize,
    /// Maximum number of headers. Default: 128.
    pub max_headers: usize,
    /// Maximum size of the body in bytes. Default: 8 KiB.
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
