//! The control plane's list: a report every while, as long as this server is to stay on it.
use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use async_io::Timer;

use crate::base::endpoints::Endpoint;
use crate::decisions::SchedulerHandle;
use crate::note;

/// An entry lapses 3 s after its last report. Guards against reports that get lost: of ten in that time, one that comes
/// is enough.
const EVERY: Duration = Duration::from_millis(300);

/// Reports from when the engine is up until `leaving`. Before that and after it nothing can be served here, and a list
/// without this server spares callers the way.
pub async fn report(
    name: &str,
    endpoint: &Endpoint<Option<SocketAddr>>,
    facade: &SchedulerHandle,
    leaving: &Cell<bool>,
) {
    let (mut failed, mut spare) = (false, spare());
    while !leaving.get() {
        let started = facade.earlier_tick();
        if !facade.is_started() {
            started.await;
            continue;
        }
        let state = if facade.is_healthy() {
            "Ready"
        } else {
            "NotReady"
        };
        let moved = endpoint.moved();
        let Some(address) = endpoint.get() else {
            moved.await;
            continue;
        };
        // Made anew each time: the plane may have been down, refusals stick to a socket, and nobody is to write to it meanwhile.
        // Guards against callers that take the last descriptor: a spare one is held in between.
        drop(spare.take());
        let sent = send(address, &format!("lease {name} {state}"));
        spare = self::spare();
        if let Err(why) = &sent
            && !failed
        {
            note!("control plane at {address}: {why}");
        }
        failed = sent.is_err();
        Timer::after(EVERY).await;
    }
}

/// A descriptor that stands for nothing.
fn spare() -> Option<OwnedFd> {
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
    socket.send_to(text.as_bytes(), address).map(|_| ())
}
