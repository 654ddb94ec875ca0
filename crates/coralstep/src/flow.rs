//! What a stage does with what it is asked about.

/// What a stage does with a request or a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// It goes on to the next stage.
    Continue,
    /// It waits at this stage.
    Wait,
    /// It ends here.
    Reject,
}
