//! A member's identity and state.
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Bytes of a server's name.
pub const MAX_NAME_BYTES: usize = 64;

/// One process of a server.
///
/// The same name and address with another incarnation is a restart; the same name at two
/// addresses at once is two processes under one name. The order of the fields is that of their
/// bytes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Name of the server.
    pub name: String,
    /// Address at which others reach it.
    pub address: SocketAddr,
    /// Rises with each start: the Unix time of it in milliseconds. Also rises by one where the
    /// process was wrongly taken for failed.
    pub incarnation: u64,
}

impl Member {
    /// Returns the process of server `name` at `address`.
    pub fn new(name: &str, address: SocketAddr, incarnation: u64) -> Member {
        Member {
            name: name.to_owned(),
            address,
            incarnation,
        }
    }

    /// Returns whether a correct peer could have this identity.
    pub fn is_valid(&self) -> bool {
        !self.name.is_empty() && self.name.len() <= MAX_NAME_BYTES && self.address.port() != 0
    }
}

impl foca::Identity for Member {
    type Addr = SocketAddr;

    /// A process that was wrongly taken for failed comes back as a new incarnation.
    fn renew(&self) -> Option<Member> {
        Some(Member {
            incarnation: self.incarnation + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.incarnation, &self.name) > (other.incarnation, &other.name)
    }
}

/// State of a member as this server knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// This server itself, before it knows any other.
    Joining,
    /// It answers.
    Alive,
    /// It did not answer, and may still speak up.
    Suspect,
    /// It failed, or left without announcing it.
    #[serde(rename = "gone")]
    Down,
    /// It announced that it leaves.
    Leaving,
}

impl MemberState {
    /// Returns the state's name in JSON and logs.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Joining => "joining",
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Down => "gone",
            MemberState::Leaving => "leaving",
        }
    }
}
