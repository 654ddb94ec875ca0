//! The fleet's UDP socket: accepts datagrams only from configured networks and limits the sending rate.
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Instant;

use async_io::Async;
use coralstep_fleet::fleet::Transmit;
use ipnet::IpNet;

/// Sending rate limit in bytes per second, independent of the fleet's size; also the burst size.
const MAX_BYTES_PER_SECOND: f64 = 64.0 * 1024.0;

/// Token bucket for outgoing bytes.
#[derive(Clone, Copy)]
struct ByteBudget {
    available: f64,
    updated_at: Instant,
}

impl ByteBudget {
    /// Withdraws `bytes` and returns `true` if that many are available.
    fn withdraw(&mut self, bytes: usize) -> bool {
        let refilled =
            self.available + self.updated_at.elapsed().as_secs_f64() * MAX_BYTES_PER_SECOND;
        let available = refilled.min(MAX_BYTES_PER_SECOND);
        let may_send = available >= bytes as f64;
        let withdrawn = if may_send { bytes as f64 } else { 0.0 };
        self.available = available - withdrawn;
        self.updated_at = Instant::now();
        may_send
    }
}

/// Length in bytes and sender of a received datagram.
pub(super) struct ReceivedDatagram {
    pub(super) bytes: usize,
    pub(super) from: SocketAddr,
}

/// UDP socket of the fleet protocol.
pub(super) struct FleetSocket {
    socket: Async<UdpSocket>,
    networks: Vec<IpNet>,
    budget: Cell<ByteBudget>,
    unsent: Cell<u64>,
}

impl FleetSocket {
    /// Binds `address`; only datagrams from `networks` are accepted.
    pub(super) fn bind(address: SocketAddr, networks: Vec<IpNet>) -> io::Result<FleetSocket> {
        let socket = UdpSocket::bind(address).and_then(Async::new)?;
        Ok(FleetSocket {
            socket,
            networks,
            budget: Cell::new(ByteBudget {
                available: MAX_BYTES_PER_SECOND,
                updated_at: Instant::now(),
            }),
            unsent: Cell::new(0),
        })
    }

    pub(super) fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    /// Waits for a datagram.
    pub(super) async fn receive(&self, buffer: &mut [u8]) -> io::Result<ReceivedDatagram> {
        let (bytes, from) = self.socket.recv_from(buffer).await?;
        Ok(ReceivedDatagram { bytes, from })
    }

    /// Receives a datagram that is already in the socket buffer, without waiting.
    pub(super) fn try_receive(&self, buffer: &mut [u8]) -> io::Result<ReceivedDatagram> {
        let (bytes, from) = self.socket.get_ref().recv_from(buffer)?;
        Ok(ReceivedDatagram { bytes, from })
    }

    /// Returns whether datagrams from `address` are accepted.
    pub(super) fn accepts(&self, address: SocketAddr) -> bool {
        self.networks
            .iter()
            .any(|network| network.contains(&address.ip()))
    }

    /// Sends datagrams while the byte budget lasts and counts those that were not sent.
    pub(super) fn send(&self, datagrams: &[Transmit]) {
        for datagram in datagrams {
            if !self.try_send(datagram) {
                self.unsent.set(self.unsent.get() + 1);
            }
        }
    }

    fn try_send(&self, Transmit { destination, bytes }: &Transmit) -> bool {
        let mut budget = self.budget.get();
        let may_send = budget.withdraw(bytes.len());
        self.budget.set(budget);
        may_send && self.socket.get_ref().send_to(bytes, *destination).is_ok()
    }

    /// Number of datagrams not sent, because the budget was exhausted or sending failed.
    pub(super) fn unsent(&self) -> u64 {
        self.unsent.get()
    }
}
