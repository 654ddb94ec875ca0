//! The datagrams between two servers, checked before anything in them is believed.
use serde::{Deserialize, Serialize};

use crate::UnixMillis;
use crate::membership::Member;

/// Number of the encoding; datagrams of another one are not read.
const FORMAT: u8 = 2;
/// Bytes of a datagram that is sent: it fits the usual Ethernet frame.
pub const MAX_SENT_BYTES: usize = 1_400;
/// Bytes of a datagram that is read.
pub const MAX_RECEIVED_BYTES: usize = 2_048;
/// Payloads in one datagram.
const MAX_PAYLOADS: usize = 8;

/// What a payload is, and so who it is for. The order of the variants is that of their bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PayloadKind {
    /// A message of the membership protocol.
    Membership,
    /// Statuses of servers, by gossip.
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

/// A part of a datagram, in the encoding of its kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// What it is.
    pub kind: PayloadKind,
    /// The encoded content.
    pub bytes: Vec<u8>,
}

/// A datagram from one server to another. The order of the fields is that of their bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    format: u8,
    /// See [`fleet_id`].
    fleet: u32,
    /// The sender.
    pub from: Member,
    /// The sender's hybrid clock, in Unix milliseconds.
    pub timestamp_ms: UnixMillis,
    /// Rises with each datagram of the sender's.
    pub sequence: u64,
    /// The addressee's last sequence number that the sender received, or 0: it tells after which
    /// of the addressee's datagrams this one was sent.
    pub echo: u64,
    /// The parts.
    pub payloads: Vec<Payload>,
}

/// Bytes that are no datagram of this fleet's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes were cut short or altered, or never were a datagram.
    #[error("the datagram is corrupt")]
    Corrupt,
    /// The datagram is in another encoding.
    #[error("the datagram's format is not supported")]
    UnsupportedFormat,
    /// The datagram is another fleet's.
    #[error("the datagram is another fleet's")]
    OtherFleet,
}

/// Returns the number by which datagrams name the fleet called `name`.
pub fn fleet_id(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

impl Datagram {
    /// Returns a datagram without payloads, sequence number and echo.
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

    /// Returns the encoded datagram with its checksum behind it.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).unwrap_or_default();
        let checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Reads a datagram of the fleet numbered `fleet`.
    ///
    /// # Errors
    ///
    /// Why the bytes are no such datagram.
    pub fn decode(bytes: &[u8], fleet: u32) -> Result<Datagram, DecodeError> {
        if bytes.len() > MAX_RECEIVED_BYTES {
            return Err(DecodeError::Corrupt);
        }
        let (content, checksum) = bytes.split_last_chunk::<4>().ok_or(DecodeError::Corrupt)?;
        if crc32fast::hash(content) != u32::from_le_bytes(*checksum) {
            return Err(DecodeError::Corrupt);
        }
        // Checked first: of another format nothing else can be read.
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
