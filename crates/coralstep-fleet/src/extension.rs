//! Extensions: further protocols that send their payloads in the fleet's datagrams.
//!
//! An extension receives a view of the members and returns payloads to be sent. It has no access to
//! sockets or other extensions. Gossip payloads take turns in filling the space left in datagrams;
//! messages are sent immediately to one server each. Extensions must tolerate messages that are
//! lost, late or duplicated.
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::Millis;
use crate::datagram::PayloadKind;
use crate::membership::Member;

/// A message from an extension to one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Payload in the extension's encoding.
    pub payload: Vec<u8>,
}

impl Message {
    /// Returns a message with `payload` for the server at `to`.
    pub fn new(to: SocketAddr, payload: Vec<u8>) -> Message {
        Message { to, payload }
    }
}

/// This server's current view of the fleet's members.
#[derive(Clone, Debug)]
pub struct MembershipView<'a> {
    /// This server.
    pub own: &'a Member,
    /// The other members that are not down.
    pub present: Vec<&'a Member>,
    /// The present members whose reports are used: up to date, not excluded and not leaving.
    pub current: Vec<&'a Member>,
    /// The present members that are known to be excluded.
    pub excluded: Vec<&'a Member>,
    /// Whether this server is leaving or excluded and must release the resources it was granted.
    pub leaving: bool,
}

/// A protocol whose payloads are sent in the fleet's datagrams.
pub trait GossipExtension {
    /// Returns the next gossip payload, of at most `max_bytes` bytes.
    fn next_gossip(&mut self, _now: Millis, _max_bytes: usize) -> Option<Vec<u8>> {
        None
    }

    /// Handles a gossip payload from another member.
    fn handle_gossip(&mut self, _now: Millis, _own: &Member, _bytes: &[u8]) {}

    /// Handles a message to this server and returns the replies.
    fn handle_message(&mut self, _now: Millis, _from: &Member, _bytes: &[u8]) -> Vec<Message> {
        Vec::new()
    }

    /// Called periodically; returns the messages that are due.
    fn handle_timeout(&mut self, _now: Millis, _view: &MembershipView<'_>) -> Vec<Message> {
        Vec::new()
    }
}

/// Identifies an extension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtensionId {
    /// Fleet-wide limits, whose quotas are distributed among the servers.
    Quota,
    /// Exchange of the health of shared dependencies.
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

/// An extension with its id, to be passed to [`Fleet::register`](crate::Fleet::register).
#[derive(Clone)]
pub struct Registration {
    /// Identifies the payloads that the extension receives.
    pub id: ExtensionId,
    /// The extension, shared with its owner.
    pub extension: Rc<RefCell<dyn GossipExtension>>,
}

impl Registration {
    /// Returns a registration of `extension` under `id`.
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
