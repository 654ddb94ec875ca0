//! What two servers say to each other about shares and votes. Every letter may come twice, late or never.
use coralstep_fleet::Member;
use serde::{Deserialize, Serialize};

use crate::Ms;

/// Limits in one letter: it fits a datagram.
pub const ENTRIES: usize = 48;

/// A server asks for units of one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ask {
    pub key: u64,
    /// What it has in hand, given by this keeper in this tenure (of RPCs in hand: by any).
    pub held: u32,
    /// What it wants to have in all.
    pub want: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Give {
    pub key: u64,
    /// What it has in all from now on.
    pub units: u32,
    /// When there will be more, where it got less than one and wanted it.
    pub wait_ms: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Letter {
    /// `tenure`: the keeper's that gave what is held; 0 for none.
    Asks {
        tenure: u64,
        number: u32,
        entries: Vec<Ask>,
    },
    /// `number`: of the letter that is answered. `lease_ms` for RPCs in hand; the next round is due after `again_ms`.
    Gives {
        tenure: u64,
        number: u32,
        lease_ms: u32,
        again_ms: u16,
        entries: Vec<Give>,
    },
    /// This server gives nothing; `keeper` does, as far as it knows.
    Elsewhere {
        keeper: Option<Member>,
    },
    /// A server wants to give for a while. Its leases must be the voter's: what the ones before gave is reckoned by them.
    Vote {
        number: u32,
        lease_ms: u32,
    },
    Voted {
        number: u32,
        yes: bool,
    },
    /// It got too few votes, and does without this one.
    Release {
        number: u32,
    },
}

impl Letter {
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Option<Letter> {
        let letter: Letter = postcard::from_bytes(bytes).ok()?;
        let most = match &letter {
            Letter::Asks { entries, .. } => entries.len(),
            Letter::Gives { entries, .. } => entries.len(),
            Letter::Elsewhere { keeper } => {
                usize::from(keeper.as_ref().is_some_and(|keeper| !keeper.is_valid())) * ENTRIES * 2
            }
            _ => 0,
        };
        (most <= ENTRIES).then_some(letter)
    }
}

/// Milliseconds in a letter.
pub fn ms(span: Ms) -> u32 {
    span.min(u64::from(u32::MAX)) as u32
}
