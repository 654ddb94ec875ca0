//! What rides on the fleet's one channel beside the fleet's own words and versions. A rider knows who is there and what it wants said; it
//! knows neither sockets nor other riders. What it spreads fills the room that datagrams have left, in turn with the others; its
//! letters go to one server each, now. A message that comes twice, late or never must not harm it.
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::Millis;
use crate::datagram::PayloadKind;
use crate::membership::Member;

/// A letter of a rider's, and to whom.
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

/// Who is there, as this server knows it now.
pub struct MembershipView<'a> {
    pub own: &'a Member,
    /// PeerAudits that are there as far as anybody knows.
    pub present: Vec<&'a Member>,
    /// Those of them whose reports count: current, not shut out, not leaving.
    pub current: Vec<&'a Member>,
    /// Those that are known to be shut out.
    pub excluded: Vec<&'a Member>,
    /// This server leaves, or is shut out: it gives back what it holds.
    pub leaving: bool,
}

impl MembershipView<'_> {
    /// This server and those whose reports count.
    pub fn counted(&self) -> usize {
        self.current.len() + 1
    }

    pub fn is_current(&self, member: &Member) -> bool {
        self.current.contains(&member)
    }
}

pub trait GossipExtension {
    /// Something to be spread, of at most `_max_bytes` bytes.
    fn next_gossip(&mut self, _now: Millis, _max_bytes: usize) -> Option<Vec<u8>> {
        None
    }

    /// What was spread came from a member.
    fn handle_gossip(&mut self, _now: Millis, _own: &Member, _bytes: &[u8]) {}

    /// A letter came; what it is answered with at once.
    fn handle_message(&mut self, _now: Millis, _from: &Member, _bytes: &[u8]) -> Vec<Message> {
        Vec::new()
    }

    /// Time passes; letters to be sent.
    fn tick(&mut self, _now: Millis, _view: &MembershipView<'_>) -> Vec<Message> {
        Vec::new()
    }
}

/// Who a rider's bytes are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtensionId {
    Quota,
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
