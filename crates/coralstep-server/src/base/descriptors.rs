//! Descriptors of this process: how many there are, and places kept for the server's own. Callers' connections are bounded by
//! count (`Limits`); here is what holds where that count is wrong, because somebody else uses them or the system has fewer.
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use async_io::{Async, Timer};
use event_listener::{Event, EventListener};
use futures_lite::FutureExt;
use rustix::io::Errno;
use rustix::process::{Resource, getrlimit};

/// Places that callers' connections never take: links to engine, store and control plane, an operator's question, the
/// files of a reload.
const KEPT: usize = 6;
/// A dial that found no descriptor is made again after so long, unless one comes free sooner.
const AGAIN: Duration = Duration::from_millis(20);

/// How many this process may have open, as the system has it.
pub fn allowed() -> usize {
    getrlimit(Resource::Nofile)
        .current
        .map_or(usize::MAX, |most| {
            usize::try_from(most).unwrap_or(usize::MAX)
        })
}

/// Whether that failed for want of a descriptor, of this process's or of the whole system's.
pub fn are_exhausted(why: &io::Error) -> bool {
    let code = why.raw_os_error();
    code == Some(Errno::MFILE.raw_os_error()) || code == Some(Errno::NFILE.raw_os_error())
}

pub struct Descriptors {
    most: usize,
    short: Event,
    freed: Event,
}

impl Descriptors {
    pub fn new(most: usize) -> Descriptors {
        Descriptors {
            most,
            short: Event::new(),
            freed: Event::new(),
        }
    }

    /// Whether a new one lies in the places kept: the system gives the lowest number that is free, so all below are in use.
    pub fn are_scarce(&self, new: &impl AsRawFd) -> bool {
        new.as_raw_fd() as usize + KEPT >= self.most
    }

    /// Ends when one of the server's own found none.
    pub fn short(&self) -> EventListener {
        self.short.listen()
    }

    /// One has come free.
    pub fn freed(&self) {
        self.freed.notify(usize::MAX);
    }

    /// Connects for the server's own ends. Guards against callers that hold all descriptors: they are asked for one, and the dial
    /// is made again, as long as its caller has patience.
    pub async fn dial(&self, address: SocketAddr) -> io::Result<Async<TcpStream>> {
        loop {
            match Async::<TcpStream>::connect(address).await {
                Err(why) if are_exhausted(&why) => {
                    let freed = self.freed.listen();
                    self.short.notify(usize::MAX);
                    let again = async {
                        Timer::after(AGAIN).await;
                    };
                    freed.or(again).await;
                }
                other => return other,
            }
        }
    }
}
