//! Errors of the line protocol.
use coralstep_config::SettingError;
use thiserror::Error;

/// Error in a line of input.
#[derive(Clone, Debug, PartialEq, Error)]
pub(crate) enum LineError {
    /// A required field is missing.
    #[error("no {0}")]
    MissingField(&'static str),
    /// The value of a field or a setting is invalid.
    #[error(transparent)]
    Value(#[from] SettingError),
    /// The timestamp is earlier than that of the previous batch.
    #[error("the clock went back from {from_ns} to {to_ns}")]
    ClockWentBack { from_ns: u64, to_ns: u64 },
    /// A batch begins before the previous one ended.
    #[error("MARK inside a batch")]
    NestedBatch,
    /// An event is outside a batch.
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    /// The message is not part of the protocol.
    #[error("unknown message {0}")]
    UnknownMessage(String),
    /// The server's name is not `server/` followed by a number.
    #[error("no server of the name {0}")]
    ServerName(String),
    /// The server is not running.
    #[error("{0} was never booted")]
    NotBooted(String),
    /// The RPC's method is not in the settings.
    #[error("unknown type {0}")]
    UnknownMethod(String),
    /// The outcome code is not part of the protocol.
    #[error("unknown state_code {0}")]
    UnknownOutcome(u64),
    /// The handle is still in use.
    #[error("RPC {0} was delivered twice")]
    DuplicateHandle(u64),
    /// The handle is unknown, or was released too long ago.
    #[error("RPC {0} was never delivered")]
    UnknownHandle(u64),
}

/// Error that ends the adapter.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// A line is invalid.
    #[error("line {line}: {source}")]
    Line { line: u64, source: LineError },
    /// A line is not UTF-8.
    #[error("line {line}: {source}")]
    Encoding {
        line: u64,
        source: std::str::Utf8Error,
    },
    /// The input cannot be read.
    #[error("line {line}: {source}")]
    Read { line: u64, source: std::io::Error },
    /// The output cannot be written.
    #[error("writing the reply: {0}")]
    Write(#[source] std::io::Error),
    /// The input ended inside a batch.
    #[error("the input ended inside a batch, before EOF_BATCH")]
    UnfinishedBatch,
}
