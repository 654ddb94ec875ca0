//! Messages between two servers about quota and votes, and their encoding. A message may be duplicated, delayed or
//! lost.
//!
//! The codec encodes by position: fields and variants keep their order, and new ones are added at the end.
use coralstep_fleet::Member;
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::limit::LimitKey;

/// Maximum number of limits in one message, so that it fits in a datagram.
pub const MAX_ENTRIES: usize = 48;

/// Identifies a leader's term; 0 means no term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TermId(pub u64);

/// A server's request for units of one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The limit.
    pub key: LimitKey,
    /// Units that the server holds: tokens granted in the message's term, or units for RPCs in flight of any term.
    pub held: u32,
    /// Total units that it wants to hold.
    pub wanted: u32,
}

/// A leader's answer to one [`QuotaRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The limit.
    pub key: LimitKey,
    /// Total units that the server holds from now on.
    pub units: u32,
    /// Milliseconds until a unit is expected if the server wants one and has none; otherwise 0.
    pub wait_ms: u32,
}

/// The grants that answer one message of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantBatch {
    /// Term of the leader that grants the units.
    pub term: TermId,
    /// Sequence number of the requests that are answered.
    pub sequence: u32,
    /// Lease of units for RPCs in flight, in milliseconds.
    pub lease_ms: u32,
    /// Milliseconds until the server should send its next requests.
    pub next_round_ms: u16,
    /// One grant per limit.
    pub grants: Vec<Grant>,
}

/// A message from one server to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A client's requests to the leader.
    Requests {
        /// Term in which the held tokens were granted; 0 if there are none.
        term: TermId,
        /// Increases with each message of a server.
        sequence: u32,
        /// One request per limit.
        requests: Vec<QuotaRequest>,
    },
    /// The leader's answer.
    Grants(GrantBatch),
    /// The answer of a server that isn't the leader.
    NotLeader {
        /// The leader, if the sender knows it.
        leader: Option<Member>,
    },
    /// A candidate's request for a vote for one term.
    VoteRequest {
        /// Increases with each ballot of a candidate.
        ballot: u32,
        /// The candidate's lease. It has to equal the voter's, as both use it to tell how long units that the previous
        /// leader granted stay valid.
        lease_ms: u32,
    },
    /// A voter's answer.
    Vote {
        /// Ballot that is answered.
        ballot: u32,
        /// Whether the voter votes for the candidate.
        granted: bool,
    },
    /// The candidate got too few votes and releases this one.
    VoteRelease {
        /// Ballot that failed.
        ballot: u32,
    },
}

/// The reason why a peer's bytes were rejected.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes do not decode to a message.
    #[error("malformed quota message")]
    Malformed(#[from] postcard::Error),
    /// More limits than [`MAX_ENTRIES`].
    #[error("quota message has {count} limits, more than the maximum of {MAX_ENTRIES}")]
    TooManyEntries {
        /// Number of limits in the message.
        count: usize,
    },
    /// The named leader is not a valid member.
    #[error("quota message names an invalid leader")]
    InvalidLeader,
}

impl Message {
    /// Encodes the message for a datagram.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a peer's bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed or the message is invalid.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        let message: Message = postcard::from_bytes(bytes)?;
        let count = match &message {
            Message::Requests { requests, .. } => requests.len(),
            Message::Grants(batch) => batch.grants.len(),
            Message::NotLeader {
                leader: Some(leader),
            } if !leader.is_valid() => return Err(DecodeError::InvalidLeader),
            _ => 0,
        };
        if count > MAX_ENTRIES {
            return Err(DecodeError::TooManyEntries { count });
        }
        Ok(message)
    }
}

/// Converts a time span to a message's milliseconds; a longer one becomes `u32::MAX`.
pub(crate) fn to_wire_millis(span: Millis) -> u32 {
    u32::try_from(span).unwrap_or(u32::MAX)
}
