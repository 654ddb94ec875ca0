//! A datagram: what travels between two servers, checked before anything of it is believed.
use serde::{Deserialize, Serialize};

use crate::members::Member;

/// The format of what follows; another one is not read.
const FORMAT: u8 = 2;
/// The longest datagram that is sent: fits the usual Ethernet frame.
pub const SENT_MOST: usize = 1_400;
/// The longest that is read.
pub const READ_MOST: usize = 2_048;
/// Parts of one datagram.
const PARTS_MOST: usize = 8;

/// Who a part is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rider {
    Members,
    Words,
    Versions,
    Limits,
    LimitLetter,
    Verdicts,
    VerdictLetter,
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
    pub parts: Vec<(Rider, Vec<u8>)>,
}

/// Why a datagram is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Cut short, changed on the way, or never one.
    Garbled,
    OtherFormat,
    OtherFleet,
}

pub fn fleet(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

impl Datagram {
    pub fn new(fleet: u32, from: Member, stamp_ms: u64) -> Datagram {
        Datagram { format: FORMAT, fleet, from, stamp_ms, number: 0, echo: 0, parts: Vec::new() }
    }

    /// Bytes with their checksum behind them.
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).unwrap_or_default();
        let sum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes
    }

    pub fn read(bytes: &[u8], fleet: u32) -> Result<Datagram, Fault> {
        if bytes.len() > READ_MOST {
            return Err(Fault::Garbled);
        }
        let (rest, sum) = bytes.split_last_chunk::<4>().ok_or(Fault::Garbled)?;
        if crc32fast::hash(rest) != u32::from_le_bytes(*sum) {
            return Err(Fault::Garbled);
        }
        // Looked at first: of another format nothing else can be read.
        if rest.first() != Some(&FORMAT) {
            return Err(Fault::OtherFormat);
        }
        let datagram: Datagram = postcard::from_bytes(rest).map_err(|_| Fault::Garbled)?;
        match () {
            () if datagram.fleet != fleet => Err(Fault::OtherFleet),
            () if datagram.parts.len() > PARTS_MOST || !datagram.from.is_sound() => Err(Fault::Garbled),
            () => Ok(datagram),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_changed_on_the_way_or_is_of_another_fleet_is_not_believed() {
        let mut datagram =
            Datagram::new(fleet("alps"), Member::new("n1", "127.0.0.1:1".parse().unwrap(), 5), 9);
        datagram.parts.push((Rider::Words, vec![1, 2, 3]));
        let bytes = datagram.bytes();
        assert_eq!(Datagram::read(&bytes, fleet("alps")), Ok(datagram));
        assert_eq!(Datagram::read(&bytes, fleet("andes")), Err(Fault::OtherFleet));
        for at in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[at] ^= 0x10;
            assert_eq!(Datagram::read(&changed, fleet("alps")), Err(Fault::Garbled), "byte {at}");
            assert_eq!(Datagram::read(&bytes[..at], fleet("alps")), Err(Fault::Garbled), "cut at {at}");
        }
        let mut later = Datagram::new(fleet("alps"), Member::new("n1", "127.0.0.1:1".parse().unwrap(), 5), 9);
        later.format = FORMAT + 1;
        assert_eq!(Datagram::read(&later.bytes(), fleet("alps")), Err(Fault::OtherFormat));
    }
}
