//! Handling of received datagrams.
use super::{Event, Fleet};
use crate::datagram::{Datagram, DecodeError, Payload, PayloadKind};
use crate::versions::VersionMessage;
use crate::{Millis, UnixMillis};

impl Fleet {
    /// Handles a received datagram.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if the bytes are not a valid datagram of this fleet or a payload is
    /// corrupt. Payloads before the corrupt one have been processed.
    pub fn handle_datagram(
        &mut self,
        now: Millis,
        wall_ms: UnixMillis,
        bytes: &[u8],
    ) -> Result<(), DecodeError> {
        self.detect_pause(now);
        let datagram = Datagram::decode(bytes, self.outbox.fleet())?;
        let sender = &datagram.from.name;
        if self.clock.observe(wall_ms, sender, datagram.timestamp_ms) {
            self.events.push(Event::ClockSkewed(sender.clone()));
        }
        self.outbox.record_received(&datagram);
        self.exclusion.datagram_received(now);
        for payload in &datagram.payloads {
            self.handle_payload(now, wall_ms, &datagram, payload)?;
        }
        self.send_membership(now, wall_ms);
        Ok(())
    }

    fn handle_payload(
        &mut self,
        now: Millis,
        wall_ms: UnixMillis,
        datagram: &Datagram,
        payload: &Payload,
    ) -> Result<(), DecodeError> {
        match payload.kind {
            PayloadKind::Membership => self.membership.receive(now, &payload.bytes),
            PayloadKind::Statuses => self.handle_statuses(now, datagram, &payload.bytes),
            PayloadKind::Versions => {
                let message = postcard::from_bytes::<VersionMessage>(&payload.bytes)
                    .map_err(|_| DecodeError::Corrupt)?;
                self.handle_version_message(now, wall_ms, datagram, message);
            }
            PayloadKind::QuotaGossip
            | PayloadKind::QuotaMessage
            | PayloadKind::HealthGossip
            | PayloadKind::HealthMessage => {
                let own = self.membership.own();
                let replies = self.extensions.handle(now, own, &datagram.from, payload);
                if let Some(replies) = replies {
                    self.send_extension_messages(wall_ms, replies);
                }
            }
        }
        Ok(())
    }

    fn handle_statuses(&mut self, now: Millis, datagram: &Datagram, bytes: &[u8]) {
        let own = self.membership.own().clone();
        for status in self.statuses.receive(now, &own, bytes) {
            if status.member == datagram.from {
                self.exclusion.answer_received(now, datagram.echo);
            }
            for order in &status.orders {
                self.apply_order(order);
            }
            let known = self.statuses.get(&status.member);
            let sent_at = known.map_or(now, |received| received.sent_at);
            if !self.peer_audits.observe(sent_at, &status) {
                let name = status.member.name.clone();
                self.events.push(Event::AuditRecordAltered(name));
            }
            // Excluded servers count as well: one of them may be the only holder of the version.
            self.versions.record_reported(status.newest_held);
        }
    }

    fn handle_version_message(
        &mut self,
        now: Millis,
        wall_ms: UnixMillis,
        datagram: &Datagram,
        message: VersionMessage,
    ) {
        let known_forks = self.versions.forks().len();
        let outcome = self.versions.handle_message(now, message);
        if let Some(id) = outcome.completed {
            self.events.push(Event::VersionReceived(id));
        }
        if let Some(fork) = self.versions.forks().get(known_forks) {
            self.events.push(Event::VersionFork(*fork));
        }
        for reply in &outcome.replies {
            self.send_version_message(wall_ms, datagram.from.address, reply);
        }
    }
}
