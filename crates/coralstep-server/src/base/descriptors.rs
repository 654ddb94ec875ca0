//! Descriptors of this process: how many there are, and a reserve for the server's own connections.
//!
//! [`Limits`](super::limits::Limits) bounds callers' connections by count; this module holds where that count is wrong, because
//! something else uses descriptors or the system has fewer.
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use async_io::{Async, Timer};
use event_listener::{Event, EventListener};
use futures_lite::FutureExt;
use rustix::io::Errno;
use rustix::process::{Resource, getrlimit};

/// Descriptors that callers' connections never take: links to engine, store and control plane, an operator's question, the
/// files of a reload.
const RESERVED: usize = 6;
/// Pause before a dial that found no descriptor is made again, unless one is freed sooner.
const DIAL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How many descriptors the system allows this process to have open.
pub fn max_open() -> usize {
    getrlimit(Resource::Nofile)
        .current
        .map_or(usize::MAX, |limit| {
            usize::try_from(limit).unwrap_or(usize::MAX)
        })
}

/// Whether `error` means that this process, or the whole system, has no descriptor left.
fn is_exhausted(error: &io::Error) -> bool {
    let code = error.raw_os_error();
    code == Some(Errno::MFILE.raw_os_error()) || code == Some(Errno::NFILE.raw_os_error())
}

/// The descriptors of this process.
#[derive(Debug)]
pub struct Descriptors {
    max_open: usize,
    exhausted: Event,
    freed: Event,
}

impl Descriptors {
    /// Descriptors of a process that may have `max_open` of them.
    pub fn new(max_open: usize) -> Descriptors {
        Descriptors {
            max_open,
            exhausted: Event::new(),
            freed: Event::new(),
        }
    }

    /// Whether a new descriptor lies in the reserve: the system gives the lowest free number, so all below are in use.
    pub fn is_reserved(&self, descriptor: &impl AsRawFd) -> bool {
        descriptor.as_raw_fd() as usize + RESERVED >= self.max_open
    }

    /// Ends when a dial finds no descriptor.
    pub fn listen_for_exhaustion(&self) -> EventListener {
        self.exhausted.listen()
    }

    /// Wakes dials that wait for a descriptor.
    pub fn notify_freed(&self) {
        self.freed.notify(usize::MAX);
    }

    /// Connects to one of the server's own endpoints, waiting for a descriptor as long as it takes.
    ///
    /// Guards against callers that hold all descriptors: one of them is shed, and the dial is made again.
    ///
    /// # Errors
    /// The connection fails for another reason.
    pub async fn dial(&self, address: SocketAddr) -> io::Result<Async<TcpStream>> {
        loop {
            match Async::<TcpStream>::connect(address).await {
                Err(error) if is_exhausted(&error) => {
                    let freed = self.freed.listen();
                    self.exhausted.notify(usize::MAX);
                    let expired = async {
                        Timer::after(DIAL_RETRY_DELAY).await;
                    };
                    freed.or(expired).await;
                }
                other => return other,
            }
        }
    }
}
