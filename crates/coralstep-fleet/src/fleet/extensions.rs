//! The registered extensions, which take turns in filling datagrams with gossip.
use crate::Millis;
use crate::datagram::{Payload, PayloadKind};
use crate::extension::{MembershipView, Message, Registration};
use crate::membership::Member;
use crate::status::NodeStatuses;

/// Overhead of each payload in a datagram, in bytes.
const PAYLOAD_OVERHEAD_BYTES: usize = 4;

/// Messages to be sent for an extension, and the kind of their payloads.
#[derive(Debug)]
pub(super) struct OutgoingMessages {
    pub(super) kind: PayloadKind,
    pub(super) messages: Vec<Message>,
}

/// The registered extensions.
#[derive(Debug, Default)]
pub(super) struct Extensions {
    registered: Vec<Registration>,
    /// The source that fills the next datagram first: 0 for the statuses, then the extensions.
    first_source: usize,
}

impl Extensions {
    pub(super) fn register(&mut self, extension: Registration) {
        self.registered.push(extension);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.registered.is_empty()
    }

    /// Passes a payload to its extension. Returns the replies to a message, or `None` if the payload
    /// is gossip or its extension is not registered.
    pub(super) fn handle(
        &self,
        now: Millis,
        own: &Member,
        from: &Member,
        payload: &Payload,
    ) -> Option<OutgoingMessages> {
        let Payload { kind, bytes } = payload;
        let accepts_kind = |extension: &&Registration| {
            extension.id.gossip_kind() == *kind || extension.id.message_kind() == *kind
        };
        let registration = self.registered.iter().find(accepts_kind)?;
        let mut extension = registration.extension.borrow_mut();
        if registration.id.gossip_kind() == *kind {
            extension.handle_gossip(now, own, bytes);
            return None;
        }
        Some(OutgoingMessages {
            kind: *kind,
            messages: extension.handle_message(now, from, bytes),
        })
    }

    /// Calls `handle_timeout` of all extensions.
    pub(super) fn handle_timeout(
        &self,
        now: Millis,
        view: &MembershipView<'_>,
    ) -> Vec<OutgoingMessages> {
        self.registered
            .iter()
            .map(|registration| OutgoingMessages {
                kind: registration.id.message_kind(),
                messages: registration
                    .extension
                    .borrow_mut()
                    .handle_timeout(now, view),
            })
            .collect()
    }

    /// Returns payloads that fill the remaining bytes of a datagram with statuses and the extensions'
    /// gossip. The first source rotates, so that none starves.
    pub(super) fn fill_datagram(
        &mut self,
        now: Millis,
        statuses: &mut NodeStatuses,
        mut remaining_bytes: usize,
    ) -> Vec<Payload> {
        let sources = self.registered.len() + 1;
        self.first_source = (self.first_source + 1) % sources;
        let mut payloads = Vec::new();
        for offset in 0..sources {
            let is_last = offset + 1 == sources;
            let max_bytes = if is_last {
                remaining_bytes
            } else {
                source_budget(remaining_bytes)
            };
            let source = (self.first_source + offset) % sources;
            let Some(payload) = self.next_payload(now, statuses, source, max_bytes) else {
                continue;
            };
            remaining_bytes =
                remaining_bytes.saturating_sub(payload.bytes.len() + PAYLOAD_OVERHEAD_BYTES);
            payloads.push(payload);
        }
        payloads
    }

    /// Returns the next payload of a source: 0 for the statuses, then the extensions.
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

/// Returns the maximum payload size of a source that is not the last: three fifths of the remaining
/// bytes, so that space is left for the other sources.
fn source_budget(remaining_bytes: usize) -> usize {
    remaining_bytes * 3 / 5
}
