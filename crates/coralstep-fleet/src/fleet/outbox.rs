//! Datagrams to be sent: their sequence numbers, and the queue in which they wait.
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::UnixMillis;
use crate::datagram::{Datagram, Payload};
use crate::gossip::MAX_SOURCES;
use crate::membership::Member;

/// Datagrams that wait to be sent; further ones are dropped.
const MAX_DATAGRAMS: usize = 1_024;

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// Address of the server that it is for.
    pub destination: SocketAddr,
    /// The encoded datagram.
    pub bytes: Vec<u8>,
}

/// The datagrams of a server to the others.
#[derive(Debug)]
pub(super) struct Outbox {
    fleet: u32,
    sent: u64,
    /// The last sequence number that was received from each address.
    echoes: HashMap<SocketAddr, u64>,
    queue: Vec<Transmit>,
}

impl Outbox {
    pub(super) fn new(fleet: u32) -> Outbox {
        Outbox {
            fleet,
            sent: 0,
            echoes: HashMap::new(),
            queue: Vec::new(),
        }
    }

    /// Number of the fleet that the datagrams are for.
    pub(super) fn fleet(&self) -> u32 {
        self.fleet
    }

    /// Sequence number of the next datagram.
    pub(super) fn next_sequence(&self) -> u64 {
        self.sent + 1
    }

    /// Notes what the next datagrams to the sender of `datagram` echo.
    pub(super) fn note_received(&mut self, datagram: &Datagram) {
        if self.echoes.len() >= MAX_SOURCES {
            self.echoes.clear();
        }
        self.echoes.insert(datagram.from.address, datagram.sequence);
    }

    /// Queues `payloads` as a datagram to `destination`.
    pub(super) fn push(
        &mut self,
        from: &Member,
        timestamp_ms: UnixMillis,
        destination: SocketAddr,
        payloads: Vec<Payload>,
    ) {
        self.sent += 1;
        let mut datagram = Datagram::new(self.fleet, from.clone(), timestamp_ms);
        datagram.sequence = self.sent;
        datagram.echo = self.echoes.get(&destination).copied().unwrap_or(0);
        datagram.payloads = payloads;
        if self.queue.len() < MAX_DATAGRAMS {
            self.queue.push(Transmit {
                destination,
                bytes: datagram.encode(),
            });
        }
    }

    pub(super) fn take(&mut self) -> Vec<Transmit> {
        std::mem::take(&mut self.queue)
    }
}
