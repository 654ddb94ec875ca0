//! The registered extensions, and whose turn it is to fill a datagram.
use crate::Millis;
use crate::datagram::{Payload, PayloadKind};
use crate::extension::{MembershipView, Message, Registration};
use crate::membership::Member;
use crate::status::NodeStatuses;

/// Bytes of a payload in a datagram beside its own.
const PAYLOAD_OVERHEAD_BYTES: usize = 4;

/// Messages that extensions want sent, and the kind of payload that they are.
#[derive(Debug)]
pub(super) struct OutgoingMessages {
    pub(super) kind: PayloadKind,
    pub(super) messages: Vec<Message>,
}

/// The registered extensions.
#[derive(Debug, Default)]
pub(super) struct Extensions {
    registered: Vec<Registration>,
    /// Who fills the next datagram first: the statuses, or an extension after them.
    turn: usize,
}

impl Extensions {
    pub(super) fn register(&mut self, extension: Registration) {
        self.registered.push(extension);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.registered.is_empty()
    }

    /// Hands a payload to the extension that it is for; returns the replies.
    pub(super) fn handle(
        &self,
        now: Millis,
        own: &Member,
        from: &Member,
        payload: &Payload,
    ) -> Option<OutgoingMessages> {
        let Payload { kind, bytes } = payload;
        let is_addressee =
            |one: &&Registration| one.id.gossip_kind() == *kind || one.id.message_kind() == *kind;
        let addressee = self.registered.iter().find(is_addressee)?;
        let mut extension = addressee.extension.borrow_mut();
        if addressee.id.gossip_kind() == *kind {
            extension.handle_gossip(now, own, bytes);
            return None;
        }
        Some(OutgoingMessages {
            kind: *kind,
            messages: extension.handle_message(now, from, bytes),
        })
    }

    /// Lets time pass for all extensions.
    pub(super) fn handle_timeout(
        &self,
        now: Millis,
        view: &MembershipView<'_>,
    ) -> Vec<OutgoingMessages> {
        self.registered
            .iter()
            .map(|one| OutgoingMessages {
                kind: one.id.message_kind(),
                messages: one.extension.borrow_mut().handle_timeout(now, view),
            })
            .collect()
    }

    /// Fills `room` bytes of a datagram with statuses and the extensions' gossip, in turn, so
    /// that none starves.
    pub(super) fn fill(
        &mut self,
        now: Millis,
        statuses: &mut NodeStatuses,
        mut room: usize,
    ) -> Vec<Payload> {
        let sources = self.registered.len() + 1;
        self.turn = (self.turn + 1) % sources;
        let mut payloads = Vec::new();
        for offset in 0..sources {
            let is_last = offset + 1 == sources;
            let max_bytes = if is_last { room } else { shared_room(room) };
            let source = (self.turn + offset) % sources;
            let Some(payload) = self.next_payload(now, statuses, source, max_bytes) else {
                continue;
            };
            room = room.saturating_sub(payload.bytes.len() + PAYLOAD_OVERHEAD_BYTES);
            payloads.push(payload);
        }
        payloads
    }

    /// Returns the payload of one source: 0 for the statuses, then the extensions.
    fn next_payload(
        &self,
        now: Millis,
        statuses: &mut NodeStatuses,
        source: usize,
        max_bytes: usize,
    ) -> Option<Payload> {
        let Some(index) = source.checked_sub(1) else {
            let bytes = statuses.next_payload(now, max_bytes)?;
            return Some(Payload {
                kind: PayloadKind::Statuses,
                bytes,
            });
        };
        let Registration { id, extension } = &self.registered[index];
        let bytes = extension.borrow_mut().next_gossip(now, max_bytes)?;
        Some(Payload {
            kind: id.gossip_kind(),
            bytes,
        })
    }
}

/// Whoever is not the last leaves two fifths of the room to the others.
fn shared_room(room: usize) -> usize {
    room * 3 / 5
}
