//! File descriptors of this process: their limit, and a reserve for the server's outgoing connections.
//!
//! [`Limits`](super::limits::Limits) limits the number of callers' connections. This module covers the case that this limit
//! is too high, because something else uses descriptors or the system has fewer.
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use async_io::{Async, Timer};
use event_listener::{Event, EventListener};
use futures_lite::FutureExt;
use rustix::io::Errno;
use rustix::process::{Resource, getrlimit};

/// Number of descriptors that callers' connections never use: for connections to the engine, store and control plane, an
/// operator's connection, and the files of a reload.
const RESERVED_DESCRIPTORS: usize = 6;
/// Delay before a dial that found no descriptor is retried, unless one is freed sooner.
const DIAL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Returns the maximum number of open descriptors that the system allows this process.
pub fn max_open() -> usize {
    getrlimit(Resource::Nofile)
        .current
        .map_or(usize::MAX, |limit| {
            usize::try_from(limit).unwrap_or(usize::MAX)
        })
}

/// Returns whether `error` means that this process or the whole system has run out of descriptors.
fn is_exhausted(error: &io::Error) -> bool {
    let code = error.raw_os_error();
    code == Some(Errno::MFILE.raw_os_error()) || code == Some(Errno::NFILE.raw_os_error())
}

/// Tracks the exhaustion of this process's file descriptors.
#[derive(Debug)]
pub struct Descriptors {
    max_open: usize,
    exhausted: Event,
    freed: Event,
}

impl Descriptors {
    /// Creates the descriptors of a process that may open at most `max_open`.
    pub fn new(max_open: usize) -> Descriptors {
        Descriptors {
            max_open,
            exhausted: Event::new(),
            freed: Event::new(),
        }
    }

    /// Returns whether a new descriptor belongs to the reserve.
    ///
    /// The system assigns the lowest free number, so all lower numbers are in use.
    pub fn is_reserved(&self, descriptor: &impl AsRawFd) -> bool {
        descriptor.as_raw_fd() as usize + RESERVED_DESCRIPTORS >= self.max_open
    }

    /// Returns a listener that is notified when a dial finds no descriptor.
    pub fn listen_for_exhaustion(&self) -> EventListener {
        self.exhausted.listen()
    }

    /// Wakes all dials that wait for a descriptor.
    pub fn notify_freed(&self) {
        self.freed.notify(usize::MAX);
    }

    /// Connects to `address`, waiting without a time limit while no descriptor is available.
    ///
    /// Guards against callers that use up all descriptors: one of their connections is shed and the dial is retried.
    ///
    /// # Errors
    /// Fails if the connection fails for any other reason.
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
