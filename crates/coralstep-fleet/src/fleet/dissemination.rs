//! Sending: membership messages, whose datagrams are filled up with gossip, messages of versions and
//! extensions, and this server's status.
use std::net::SocketAddr;

use super::extensions::OutgoingMessages;
use super::{Event, Fleet};
use crate::datagram::{MAX_SENT_BYTES, Payload, PayloadKind};
use crate::extension::MembershipView;
use crate::membership::{Member, MemberState, MembershipChange};
use crate::status::{NodeStatus, Rejection};
use crate::versions::{VersionId, VersionMessage};
use crate::{Millis, UnixMillis};

/// Maximum size of a datagram without its payloads, in bytes.
const MAX_HEADER_BYTES: usize = 160;

impl Fleet {
    /// Publishes the current status of this server.
    pub(super) fn publish_status(&mut self) {
        self.status_sequence += 1;
        let rpcs = self.history.rpcs();
        let newest_held = self.versions.newest_held();
        let rejection = |reason: &str| Rejection {
            version: newest_held,
            reason: reason.to_owned(),
        };
        self.statuses.set_own(NodeStatus {
            member: self.membership.own().clone(),
            sequence: self.status_sequence,
            leaving: self.leaving,
            excluded: self.exclusion.reason().is_some(),
            wants_exclusion: self.exclusion.wants_exclusion(),
            active_version: self.history.active_version(),
            active_since_ms: self.history.since_ms(),
            rpcs: rpcs.submitted,
            succeeded: rpcs.succeeded,
            previous: self.history.chain().last(),
            newest_held,
            rejected: self.versions.rejection_reason(newest_held).map(rejection),
            audit: self.history.chain().head(),
            orders: self.orders.issued_here().to_vec(),
        });
    }

    /// Sends the messages of the membership protocol, fills up their datagrams with gossip, and
    /// reports membership changes.
    pub(super) fn send_membership(&mut self, now: Millis, wall_ms: UnixMillis) {
        for message in self.membership.take_messages() {
            let used_bytes = MAX_HEADER_BYTES + message.bytes.len();
            let remaining_bytes = MAX_SENT_BYTES.saturating_sub(used_bytes);
            let mut payloads = vec![Payload {
                kind: PayloadKind::Membership,
                bytes: message.bytes,
            }];
            payloads.extend(self.extensions.fill_datagram(
                now,
                &mut self.statuses,
                remaining_bytes,
            ));
            self.send(wall_ms, message.to.address, payloads);
        }
        for change in self.membership.take_changes() {
            self.report_change(change);
        }
    }

    fn report_change(&mut self, change: MembershipChange) {
        match change {
            MembershipChange::Up(member) => {
                if let Some(known) = self.find_duplicate_name(&member) {
                    self.events.push(Event::DuplicateName {
                        known,
                        joined: member.clone(),
                    });
                }
                let state = MemberState::Alive;
                self.events
                    .push(Event::MemberStateChanged { member, state });
            }
            MembershipChange::Down(member) => {
                let status = self.statuses.get(&member);
                let state = if status.is_some_and(|received| received.value.leaving) {
                    MemberState::Leaving
                } else {
                    MemberState::Down
                };
                self.events
                    .push(Event::MemberStateChanged { member, state });
            }
            MembershipChange::Rejoined(_) => self.events.push(Event::Rejoined),
        }
    }

    /// Returns a process with the same name as `member` at another address.
    fn find_duplicate_name(&self, member: &Member) -> Option<Member> {
        let is_duplicate =
            |other: &&Member| other.name == member.name && other.address != member.address;
        let own = Some(self.membership.own()).filter(is_duplicate);
        self.membership
            .present()
            .find(is_duplicate)
            .or(own)
            .cloned()
    }

    /// Calls the extensions' `handle_timeout` and sends the messages that it returns.
    pub(super) fn handle_extension_timeouts(&mut self, now: Millis, wall_ms: UnixMillis) {
        if self.extensions.is_empty() {
            return;
        }
        let is_excluded = |member: &&Member| self.is_excluded(member);
        let view = MembershipView {
            own: self.membership.own(),
            present: self.membership.present().collect(),
            current: self.current_members().collect(),
            excluded: self.membership.present().filter(is_excluded).collect(),
            leaving: self.leaving || self.exclusion.reason().is_some(),
        };
        for outgoing in self.extensions.handle_timeout(now, &view) {
            self.send_extension_messages(wall_ms, outgoing);
        }
    }

    /// Sends each message of an extension in a separate datagram.
    pub(super) fn send_extension_messages(
        &mut self,
        wall_ms: UnixMillis,
        outgoing: OutgoingMessages,
    ) {
        for message in outgoing.messages {
            let payload = Payload {
                kind: outgoing.kind,
                bytes: message.payload,
            };
            self.send(wall_ms, message.to, vec![payload]);
        }
    }

    /// Requests missing chunks of the newest version.
    pub(super) fn request_chunks(&mut self, now: Millis, wall_ms: UnixMillis, jitter: f64) {
        let (statuses, membership) = (&self.statuses, &self.membership);
        let holders = |id: VersionId| {
            let holds = |member: &&Member| {
                statuses.get(member).is_some_and(|received| {
                    received.value.newest_held == id || received.value.active_version == id
                })
            };
            membership.present().filter(holds).cloned().collect()
        };
        for request in self.versions.poll_fetch(now, holders, jitter) {
            self.send_version_message(wall_ms, request.holder.address, &request.message);
        }
    }

    pub(super) fn send_version_message(
        &mut self,
        wall_ms: UnixMillis,
        destination: SocketAddr,
        message: &VersionMessage,
    ) {
        let payload = Payload {
            kind: PayloadKind::Versions,
            bytes: postcard::to_allocvec(message).unwrap_or_default(),
        };
        self.send(wall_ms, destination, vec![payload]);
    }

    fn send(&mut self, wall_ms: UnixMillis, destination: SocketAddr, payloads: Vec<Payload>) {
        let timestamp_ms = self.clock.timestamp(wall_ms);
        let own = self.membership.own();
        self.outbox.push(own, timestamp_ms, destination, payloads);
    }
}
