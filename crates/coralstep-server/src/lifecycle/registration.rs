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

/// Between two heartbeats. A lease lapses after 3 s; guards against lost datagrams: one of ten is enough.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);

/// Sends heartbeats from when the scheduler is started until `draining`: before and after, nothing can be served here.
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
        let moved = endpoint.replaced();
        let Some(address) = endpoint.get() else {
            moved.await;
            continue;
        };
        // A socket a heartbeat: refusals stick to a socket, and nobody is to write to it in between.
        // Guards against callers that take the last descriptor: one is reserved in between.
        drop(reserved.take());
        let sent = send(address, &heartbeat(name, scheduler));
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

fn heartbeat(name: &str, scheduler: &SchedulerHandle) -> String {
    let state = if scheduler.is_healthy() {
        "Ready"
    } else {
        "NotReady"
    };
    format!("lease {name} {state}")
}

/// A descriptor that is used for nothing.
fn reserve_descriptor() -> Option<OwnedFd> {
    io::stderr().as_fd().try_clone_to_owned().ok()
}

fn send(address: SocketAddr, text: &str) -> io::Result<()> {
    let any: SocketAddr = if address.is_ipv4() {
        (Ipv4Addr::UNSPECIFIED, 0).into()
    } else {
        (Ipv6Addr::UNSPECIFIED, 0).into()
    };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    socket.send_to(text.as_bytes(), address)?;
    Ok(())
}
