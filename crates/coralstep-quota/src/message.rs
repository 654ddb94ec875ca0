//! The messages between two servers about quota and votes, and their bytes. Any of them may arrive twice, late or
//! never.
//!
//! The codec goes by position: fields and variants keep their order, new ones go last.
use coralstep_fleet::Member;
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::limit::LimitKey;

/// Limits in one message, so that it fits a datagram.
pub const MAX_ENTRIES: usize = 48;

/// Identifies one leader's term; 0 is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TermId(pub u64);

/// A server's request for units of one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The limit.
    pub key: LimitKey,
    /// Units that the server holds: tokens granted in the message's term, or RPCs in flight granted in any.
    pub held: u32,
    /// Units that it wants to hold in all.
    pub wanted: u32,
}

/// A leader's answer to one [`QuotaRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The limit.
    pub key: LimitKey,
    /// Units that the server holds in all from now on.
    pub units: u32,
    /// Milliseconds until there will be a unit, where it wanted one and has none; else 0.
    pub wait_ms: u32,
}

/// The grants that answer one message of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantBatch {
    /// The term of the leader that grants.
    pub term: TermId,
    /// Sequence number of the requests that are answered.
    pub sequence: u32,
    /// Lease of units of RPCs in flight, in milliseconds.
    pub lease_ms: u32,
    /// Milliseconds until the server should send its next requests.
    pub next_round_ms: u16,
    /// One a limit.
    pub grants: Vec<Grant>,
}

/// What one server sends another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a client to the leader.
    Requests {
        /// The term in which the held tokens were granted; 0 for none.
        term: TermId,
        /// Rises with each message of one server.
        sequence: u32,
        /// One a limit.
        requests: Vec<QuotaRequest>,
    },
    /// The leader's answer.
    Grants(GrantBatch),
    /// The answer of a server that isn't the leader.
    NotLeader {
        /// The leader, as far as it knows.
        leader: Option<Member>,
    },
    /// A candidate wants to lead for a term.
    VoteRequest {
        /// Rises with each ballot of one candidate.
        ballot: u32,
        /// The candidate's lease. It has to be the voter's: both reckon by it what the leader before granted.
        lease_ms: u32,
    },
    /// A voter's answer.
    Vote {
        /// The ballot that is answered.
        ballot: u32,
        /// Whether the voter promises itself to the candidate.
        granted: bool,
    },
    /// The candidate got too few votes, and gives this one back.
    VoteRelease {
        /// The ballot that is given up.
        ballot: u32,
    },
}

/// Why bytes of a peer are not a message.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are no message of this format.
    #[error("malformed quota message")]
    Malformed(#[from] postcard::Error),
    /// More limits than [`MAX_ENTRIES`].
    #[error("a quota message with {count} limits, {MAX_ENTRIES} at most")]
    TooManyEntries {
        /// Limits in the message.
        count: usize,
    },
    /// The leader that is named can't be a member.
    #[error("a quota message names an invalid leader")]
    InvalidLeader,
}

impl Message {
    /// The bytes that go into a datagram.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads a peer's bytes.
    ///
    /// # Errors
    ///
    /// Where the bytes are malformed, or say what no server would.
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

/// A span as a message has it, in milliseconds.
pub(crate) fn wire_millis(span: Millis) -> u32 {
    u32::try_from(span).unwrap_or(u32::MAX)
}
