//! The fleet's UDP socket: datagrams from listed networks alone, a bounded number of bytes a second.
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Instant;

use async_io::Async;
use coralstep_fleet::fleet::Transmit;
use ipnet::IpNet;

/// Bytes that may be sent a second, whatever the fleet's size; also the most that may be sent at once.
const MAX_BYTES_PER_SECOND: f64 = 64.0 * 1024.0;

/// A token bucket of bytes.
#[derive(Clone, Copy)]
struct ByteBudget {
    available: f64,
    since: Instant,
}

impl ByteBudget {
    /// Takes `bytes` where so many are available.
    fn withdraw(&mut self, bytes: usize) -> bool {
        let refilled = self.available + self.since.elapsed().as_secs_f64() * MAX_BYTES_PER_SECOND;
        let available = refilled.min(MAX_BYTES_PER_SECOND);
        let may_send = available >= bytes as f64;
        let withdrawn = if may_send { bytes as f64 } else { 0.0 };
        self.available = available - withdrawn;
        self.since = Instant::now();
        may_send
    }
}

/// A received datagram's length, and its sender.
pub(super) struct Received {
    pub(super) bytes: usize,
    pub(super) from: SocketAddr,
}

/// The fleet's socket.
pub(super) struct FleetSocket {
    socket: Async<UdpSocket>,
    networks: Vec<IpNet>,
    budget: Cell<ByteBudget>,
    unsent: Cell<u64>,
}

impl FleetSocket {
    /// Binds `address`; datagrams from outside `networks` are not read.
    pub(super) fn bind(address: SocketAddr, networks: Vec<IpNet>) -> io::Result<FleetSocket> {
        let socket = UdpSocket::bind(address).and_then(Async::new)?;
        Ok(FleetSocket {
            socket,
            networks,
            budget: Cell::new(ByteBudget {
                available: MAX_BYTES_PER_SECOND,
                since: Instant::now(),
            }),
            unsent: Cell::new(0),
        })
    }

    pub(super) fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    /// Waits for a datagram.
    pub(super) async fn receive(&self, buffer: &mut [u8]) -> io::Result<Received> {
        let (bytes, from) = self.socket.recv_from(buffer).await?;
        Ok(Received { bytes, from })
    }

    /// Reads a datagram that has arrived already.
    pub(super) fn try_receive(&self, buffer: &mut [u8]) -> io::Result<Received> {
        let (bytes, from) = self.socket.get_ref().recv_from(buffer)?;
        Ok(Received { bytes, from })
    }

    /// Whether datagrams from `address` are read.
    pub(super) fn accepts(&self, address: SocketAddr) -> bool {
        self.networks
            .iter()
            .any(|network| network.contains(&address.ip()))
    }

    /// Sends datagrams as far as the budget goes, and counts the others.
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

    /// Datagrams that were not sent, for want of budget or by an error.
    pub(super) fn unsent(&self) -> u64 {
        self.unsent.get()
    }
}
