//! Registration with the control plane: a heartbeat renews this server's lease on the endpoint list.
use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use async_io::Timer;

use crate::base::endpoints::Endpoint;
use crate::decisions::SchedulerHandle;
use crate::note;

/// Time between two heartbeats. Guards against lost datagrams: a lease expires only after 3 s, so one
/// heartbeat of ten is enough.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);

/// Sends heartbeats from the start of the scheduler until `draining` is set. Before and after that,
/// this server can't serve RPCs.
pub async fn send_heartbeats(
    name: &str,
    endpoint: &Endpoint<Option<SocketAddr>>,
    scheduler: &SchedulerHandle,
    draining: &Cell<bool>,
) {
    let mut failing = false;
    let mut reserved = reserve_descriptor();
    while !draining.get() {
        let started = scheduler.earlier_timeout();
        if !scheduler.is_started() {
            started.await;
            continue;
        }
        let moved = endpoint.listen_for_change();
        let Some(address) = endpoint.get() else {
            moved.await;
            continue;
        };
        // Uses a new socket for each heartbeat, because a UDP socket reports an ICMP refusal on its
        // next use, and no other process can send to it between heartbeats.
        // Guards against callers that take the last descriptor: one is reserved between heartbeats.
        drop(reserved.take());
        let sent = send(address, &heartbeat_message(name, scheduler));
        reserved = reserve_descriptor();
        if let Err(error) = &sent
            && !failing
        {
            note!(control_plane = %address, %error, "heartbeat failed");
        }
        failing = sent.is_err();
        Timer::after(HEARTBEAT_PERIOD).await;
    }
}

fn heartbeat_message(name: &str, scheduler: &SchedulerHandle) -> String {
    let state = if scheduler.is_healthy() {
        "Ready"
    } else {
        "NotReady"
    };
    format!("lease {name} {state}")
}

/// Reserves a descriptor, which is closed to make room for the socket of the next heartbeat.
fn reserve_descriptor() -> Option<OwnedFd> {
    io::stderr().as_fd().try_clone_to_owned().ok()
}

fn send(address: SocketAddr, text: &str) -> io::Result<()> {
    let unspecified: SocketAddr = if address.is_ipv4() {
        (Ipv4Addr::UNSPECIFIED, 0).into()
    } else {
        (Ipv6Addr::UNSPECIFIED, 0).into()
    };
    let socket = UdpSocket::bind(unspecified)?;
    socket.set_nonblocking(true)?;
    socket.send_to(text.as_bytes(), address)?;
    Ok(())
}
