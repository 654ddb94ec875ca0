//! The answer to an RPC, independent of the caller's protocol.

/// The final answer to an RPC.
#[derive(Debug, PartialEq)]
pub enum Reply<'a> {
    /// The result of its run.
    Ok(&'a [u8]),
    /// The RPC was rejected.
    Rejected {
        /// Time after which the caller may retry on this server, in milliseconds.
        retry_after_ms: u64,
        /// Whether another server would reject it as well.
        is_final: bool,
    },
    /// The RPC failed or must not run.
    Failed,
}
