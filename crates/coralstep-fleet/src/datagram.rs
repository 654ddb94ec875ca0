//! Encoding and validation of the datagrams that servers exchange.
use serde::{Deserialize, Serialize};

use crate::UnixMillis;
use crate::membership::Member;

/// Version of the encoding. Datagrams with any other version are rejected.
const FORMAT: u8 = 2;
/// Maximum size of a sent datagram, in bytes. It fits into a standard Ethernet frame.
pub const MAX_SENT_BYTES: usize = 1_400;
/// Maximum size of a received datagram, in bytes.
pub const MAX_RECEIVED_BYTES: usize = 2_048;
/// Maximum number of payloads in one datagram.
const MAX_PAYLOADS: usize = 8;

/// Type of a payload, which selects its receiver. The order of the variants is part of the wire
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PayloadKind {
    /// A message of the membership protocol.
    Membership,
    /// Gossip of server statuses.
    Statuses,
    /// A message that transfers a settings version.
    Versions,
    /// Gossip of the quota extension.
    QuotaGossip,
    /// A message of the quota extension to one server.
    QuotaMessage,
    /// Gossip of the shared health extension.
    HealthGossip,
    /// A message of the shared health extension to one server.
    HealthMessage,
}

/// One payload of a datagram, encoded according to its kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// Type of the payload.
    pub kind: PayloadKind,
    /// The encoded content.
    pub bytes: Vec<u8>,
}

/// A datagram from one server to another. The order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    format: u8,
    /// Fleet of the sender, as returned by [`fleet_id`].
    fleet: u32,
    /// The sender.
    pub from: Member,
    /// Time on the sender's hybrid clock, in Unix milliseconds.
    pub timestamp_ms: UnixMillis,
    /// Increases with each datagram from this sender.
    pub sequence: u64,
    /// Sequence number of the last datagram that the sender received from the addressee, or 0 if
    /// there was none. It shows which of the addressee's datagrams this one answers.
    pub echo: u64,
    /// The payloads.
    pub payloads: Vec<Payload>,
}

/// Reason why received bytes are not a valid datagram of this fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are truncated, altered or not a datagram at all.
    #[error("the datagram is corrupt")]
    Corrupt,
    /// The datagram uses another version of the encoding.
    #[error("the datagram's format is not supported")]
    UnsupportedFormat,
    /// The datagram was sent by a server of another fleet.
    #[error("the datagram belongs to another fleet")]
    OtherFleet,
}

/// Returns the number that identifies the fleet `name` in datagrams.
pub fn fleet_id(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

impl Datagram {
    /// Returns a datagram without payloads, whose sequence number and echo are 0.
    pub fn new(fleet: u32, from: Member, timestamp_ms: UnixMillis) -> Datagram {
        Datagram {
            format: FORMAT,
            fleet,
            from,
            timestamp_ms,
            sequence: 0,
            echo: 0,
            payloads: Vec::new(),
        }
    }

    /// Returns the encoded datagram, followed by its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).unwrap_or_default();
        let checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes and validates a datagram of the fleet with the id `fleet`.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if the bytes are corrupt, use another format or belong to another
    /// fleet.
    pub fn decode(bytes: &[u8], fleet: u32) -> Result<Datagram, DecodeError> {
        if bytes.len() > MAX_RECEIVED_BYTES {
            return Err(DecodeError::Corrupt);
        }
        let (content, checksum) = bytes.split_last_chunk::<4>().ok_or(DecodeError::Corrupt)?;
        if crc32fast::hash(content) != u32::from_le_bytes(*checksum) {
            return Err(DecodeError::Corrupt);
        }
        // Checked before decoding because the layout of other formats is unknown.
        if content.first() != Some(&FORMAT) {
            return Err(DecodeError::UnsupportedFormat);
        }
        let datagram: Datagram = postcard::from_bytes(content).map_err(|_| DecodeError::Corrupt)?;
        if datagram.fleet != fleet {
            return Err(DecodeError::OtherFleet);
        }
        if datagram.payloads.len() > MAX_PAYLOADS || !datagram.from.is_valid() {
            return Err(DecodeError::Corrupt);
        }
        Ok(datagram)
    }
}

#[cfg(test)]
mod tests;
