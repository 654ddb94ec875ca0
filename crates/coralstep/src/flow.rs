//! Decisions of a processing stage.

/// Decision of a processing stage on a request or a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// Proceeds to the next stage.
    Continue,
    /// Waits at this stage.
    Wait,
    /// Is rejected by this stage.
    Reject,
}
