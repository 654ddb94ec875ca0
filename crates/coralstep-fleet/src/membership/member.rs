//! A member's identity and state.
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Maximum length of a server's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Identity of a server process.
///
/// The same name and address with another incarnation is a restarted process. The same name at two
/// addresses at the same time is a duplicate name. The order of the fields is part of the wire
/// format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Name of the server.
    pub name: String,
    /// Address at which other members reach the server.
    pub address: SocketAddr,
    /// Unix time of the process's start in milliseconds, incremented by one each time the process
    /// was wrongly declared down.
    pub incarnation: u64,
}

impl Member {
    /// Returns the identity of the server `name` at `address`.
    pub fn new(name: &str, address: SocketAddr, incarnation: u64) -> Member {
        Member {
            name: name.to_owned(),
            address,
            incarnation,
        }
    }

    /// Returns whether the identity is well-formed.
    pub fn is_valid(&self) -> bool {
        !self.name.is_empty() && self.name.len() <= MAX_NAME_BYTES && self.address.port() != 0
    }
}

impl foca::Identity for Member {
    type Addr = SocketAddr;

    /// Returns the identity under which a process rejoins after it was wrongly declared down.
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
    /// This server, while it does not know any other member.
    Joining,
    /// The member answers pings.
    Alive,
    /// The member did not answer a ping and may still refute that it is down.
    Suspect,
    /// The member failed, or left without an announcement.
    #[serde(rename = "gone")]
    Down,
    /// The member announced that it leaves.
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
