//! Entries of the log. The order of variants and fields is part of the format, as postcard encodes
//! by position.
use serde::{Deserialize, Serialize};

use super::{MAX_RESULT_BYTES, RecordedOutcome};

/// A record about the run of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum LogEntry {
    Started {
        key: Vec<u8>,
        expires_at_ms: u64,
    },
    Ended {
        key: Vec<u8>,
        succeeded: bool,
        /// `None` if the run failed or its result is too long.
        result: Option<Vec<u8>>,
    },
    NeverStarted {
        key: Vec<u8>,
    },
}

impl LogEntry {
    pub(super) fn from_outcome(key: &[u8], outcome: RecordedOutcome) -> LogEntry {
        let key = key.to_vec();
        match outcome {
            RecordedOutcome::Succeeded(result) => LogEntry::Ended {
                key,
                succeeded: true,
                result: Some(result).filter(|result| result.len() <= MAX_RESULT_BYTES),
            },
            RecordedOutcome::Failed => LogEntry::Ended {
                key,
                succeeded: false,
                result: None,
            },
            RecordedOutcome::NeverStarted => LogEntry::NeverStarted { key },
        }
    }

    /// Returns an entry without effect, used to check whether the storage can be written again.
    pub(super) fn no_op() -> LogEntry {
        LogEntry::NeverStarted { key: Vec::new() }
    }

    pub(super) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    pub(super) fn decode(payload: &[u8]) -> Result<LogEntry, postcard::Error> {
        postcard::from_bytes(payload)
    }
}
