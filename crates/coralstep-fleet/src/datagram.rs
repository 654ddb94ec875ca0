//! A datagram: what travels between two servers, checked before anything of it is believed.
use serde::{Deserialize, Serialize};

use crate::membership::Member;

/// The format of what follows; another one is not read.
const FORMAT: u8 = 2;
/// The longest datagram that is sent: fits the usual Ethernet frame.
pub const MAX_SENT_BYTES: usize = 1_400;
/// The longest that is read.
pub const MAX_RECEIVED_BYTES: usize = 2_048;
/// Parts of one datagram.
const MAX_PARTS: usize = 8;

/// Who a part is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PayloadKind {
    Membership,
    Statuses,
    Versions,
    QuotaGossip,
    QuotaMessage,
    HealthGossip,
    HealthMessage,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    format: u8,
    /// Of the fleet's name: another fleet's datagrams are none.
    fleet: u32,
    pub from: Member,
    /// The sender's hybrid clock, in Unix milliseconds.
    pub stamp_ms: u64,
    /// Rises with each datagram of the sender's; and the last of the addressee's that it has heard: proof of when this was said.
    pub number: u64,
    pub echo: u64,
    pub parts: Vec<(PayloadKind, Vec<u8>)>,
}

/// Why a datagram is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Cut short, changed on the way, or never one.
    Corrupt,
    UnsupportedFormat,
    OtherFleet,
}

pub fn fleet_id(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

impl Datagram {
    pub fn new(fleet: u32, from: Member, stamp_ms: u64) -> Datagram {
        Datagram {
            format: FORMAT,
            fleet,
            from,
            stamp_ms,
            number: 0,
            echo: 0,
            parts: Vec::new(),
        }
    }

    /// Bytes with their checksum behind them.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).unwrap_or_default();
        let sum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes
    }

    pub fn decode(bytes: &[u8], fleet: u32) -> Result<Datagram, DecodeError> {
        if bytes.len() > MAX_RECEIVED_BYTES {
            return Err(DecodeError::Corrupt);
        }
        let (rest, sum) = bytes.split_last_chunk::<4>().ok_or(DecodeError::Corrupt)?;
        if crc32fast::hash(rest) != u32::from_le_bytes(*sum) {
            return Err(DecodeError::Corrupt);
        }
        // Looked at first: of another format nothing else can be read.
        if rest.first() != Some(&FORMAT) {
            return Err(DecodeError::UnsupportedFormat);
        }
        let datagram: Datagram = postcard::from_bytes(rest).map_err(|_| DecodeError::Corrupt)?;
        match () {
            () if datagram.fleet != fleet => Err(DecodeError::OtherFleet),
            () if datagram.parts.len() > MAX_PARTS || !datagram.from.is_valid() => {
                Err(DecodeError::Corrupt)
            }
            () => Ok(datagram),
        }
    }
}

#[cfg(test)]
mod tests;
