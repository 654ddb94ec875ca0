//! The answer to an RPC, in no protocol's words.

/// The final answer to an RPC.
#[derive(Debug, PartialEq)]
pub enum Reply<'a> {
    /// The result of its run.
    Ok(&'a [u8]),
    /// Not served here.
    Rejected {
        /// How long the caller is to wait before it asks this server again, in milliseconds.
        retry_after_ms: u64,
        /// Another server would reject it as well.
        is_final: bool,
    },
    /// It failed, or must not run.
    Failed,
}
