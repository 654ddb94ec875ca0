//! Other protocols that share the fleet's channel.
//!
//! An extension knows who is in the fleet and what it wants to send; it knows neither sockets nor
//! other extensions. What it spreads by gossip fills the room that datagrams have left, in turn
//! with the others; its messages go to one server each, at once. A message that arrives twice,
//! late or never must not harm it.
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::Millis;
use crate::datagram::PayloadKind;
use crate::membership::Member;

/// A message of an extension to one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Address of the server that it is for.
    pub to: SocketAddr,
    /// Bytes in the extension's own encoding.
    pub payload: Vec<u8>,
}

impl Message {
    /// A message of `payload` for the server at `to`.
    pub fn new(to: SocketAddr, payload: Vec<u8>) -> Message {
        Message { to, payload }
    }
}

/// The members of the fleet as this server knows them now.
#[derive(Clone, Debug)]
pub struct MembershipView<'a> {
    /// This server.
    pub own: &'a Member,
    /// The other members that are not known to have left or failed.
    pub present: Vec<&'a Member>,
    /// Those of them whose reports count: up to date, not excluded and not leaving.
    pub current: Vec<&'a Member>,
    /// Those of them that are known to be excluded.
    pub excluded: Vec<&'a Member>,
    /// Whether this server is leaving or excluded, and has to give back what it holds.
    pub leaving: bool,
}

/// A protocol that shares the fleet's channel.
pub trait GossipExtension {
    /// Returns something to be spread, of at most `max_bytes` bytes.
    fn next_gossip(&mut self, _now: Millis, _max_bytes: usize) -> Option<Vec<u8>> {
        None
    }

    /// Takes in what a member spread.
    fn handle_gossip(&mut self, _now: Millis, _own: &Member, _bytes: &[u8]) {}

    /// Takes in a message to this server; returns the replies.
    fn handle_message(&mut self, _now: Millis, _from: &Member, _bytes: &[u8]) -> Vec<Message> {
        Vec::new()
    }

    /// Lets time pass; returns the messages that are due.
    fn handle_timeout(&mut self, _now: Millis, _view: &MembershipView<'_>) -> Vec<Message> {
        Vec::new()
    }
}

/// Names an extension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtensionId {
    /// Limits whose quotas are shared among the servers.
    Quota,
    /// Health of dependencies, shared among the servers.
    SharedHealth,
}

impl ExtensionId {
    pub(crate) fn gossip_kind(self) -> PayloadKind {
        match self {
            ExtensionId::Quota => PayloadKind::QuotaGossip,
            ExtensionId::SharedHealth => PayloadKind::HealthGossip,
        }
    }

    pub(crate) fn message_kind(self) -> PayloadKind {
        match self {
            ExtensionId::Quota => PayloadKind::QuotaMessage,
            ExtensionId::SharedHealth => PayloadKind::HealthMessage,
        }
    }
}

/// An extension under its id, as [`Fleet::register`](crate::Fleet::register) takes it.
#[derive(Clone)]
pub struct Registration {
    /// Whose payloads it receives.
    pub id: ExtensionId,
    /// The extension, which its owner keeps using as well.
    pub extension: Rc<RefCell<dyn GossipExtension>>,
}

impl Registration {
    /// Registers `extension` under `id`.
    pub fn new(id: ExtensionId, extension: Rc<RefCell<dyn GossipExtension>>) -> Registration {
        Registration { id, extension }
    }
}

impl fmt::Debug for Registration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Registration")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}
