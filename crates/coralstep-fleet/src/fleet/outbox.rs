//! Queue of datagrams to be sent, which assigns their sequence numbers.
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::UnixMillis;
use crate::datagram::{Datagram, Payload};
use crate::gossip::MAX_ORIGINS;
use crate::membership::Member;

/// Maximum number of queued datagrams. Further datagrams are dropped.
const MAX_DATAGRAMS: usize = 1_024;

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// Address of the receiver.
    pub destination: SocketAddr,
    /// The encoded datagram.
    pub bytes: Vec<u8>,
}

/// Datagrams from this server to other members.
#[derive(Debug)]
pub(super) struct Outbox {
    fleet: u32,
    last_sequence: u64,
    /// Sequence number of the last datagram received from each address.
    echoes: HashMap<SocketAddr, u64>,
    queue: Vec<Transmit>,
}

impl Outbox {
    pub(super) fn new(fleet: u32) -> Outbox {
        Outbox {
            fleet,
            last_sequence: 0,
            echoes: HashMap::new(),
            queue: Vec::new(),
        }
    }

    /// Returns the id of the fleet.
    pub(super) fn fleet(&self) -> u32 {
        self.fleet
    }

    /// Returns the sequence number of the next datagram.
    pub(super) fn next_sequence(&self) -> u64 {
        self.last_sequence + 1
    }

    /// Records a received datagram, whose sequence number is echoed to its sender from now on.
    pub(super) fn record_received(&mut self, datagram: &Datagram) {
        if self.echoes.len() >= MAX_ORIGINS {
            self.echoes.clear();
        }
        self.echoes.insert(datagram.from.address, datagram.sequence);
    }

    /// Queues a datagram with `payloads` to `destination`.
    pub(super) fn push(
        &mut self,
        from: &Member,
        timestamp_ms: UnixMillis,
        destination: SocketAddr,
        payloads: Vec<Payload>,
    ) {
        self.last_sequence += 1;
        let mut datagram = Datagram::new(self.fleet, from.clone(), timestamp_ms);
        datagram.sequence = self.last_sequence;
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
