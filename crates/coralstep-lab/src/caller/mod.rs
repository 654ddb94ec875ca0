//! Callers on sockets: one RPC in, what the server said out. Thrift shares a connection among RPCs, SCGI has one for each.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;

pub mod scgi;
pub mod thrift;

/// An RPC as its caller has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    pub method: String,
    /// Of this try.
    pub reference: u64,
    /// The same for each try of one request whose method is tokened.
    pub token: Option<u64>,
    pub tenant: String,
    /// Since when its client waits, in milliseconds of the system's clock.
    pub since_ms: u64,
    pub room_kb: f64,
    pub retry: bool,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    Ok(Vec<u8>),
    /// Stay away so long; `nowhere`: another server is no better.
    PushedBack {
        after: Duration,
        nowhere: bool,
    },
    Aborted,
    /// The server doesn't know such an RPC, or not so.
    Refused,
    /// No connection, or none any more: nobody knows what became of it.
    Broken,
    /// The caller's own time is over.
    TimedOut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Thrift,
    Scgi,
}

/// A way to one server.
#[derive(Clone)]
pub enum Way {
    Thrift(Rc<thrift::Link>),
    Scgi(SocketAddr),
}

impl Way {
    pub fn new(
        protocol: Protocol,
        address: SocketAddr,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Way {
        match protocol {
            Protocol::Thrift => Way::Thrift(Rc::new(thrift::Link::new(address, executor.clone()))),
            Protocol::Scgi => Way::Scgi(address),
        }
    }

    /// Asks and waits for the answer, until then.
    pub async fn ask(&self, ask: &Ask, until: Instant) -> Said {
        let over = async {
            Timer::at(until).await;
            Said::TimedOut
        };
        let said = async {
            match self {
                Way::Thrift(link) => link.ask(ask).await,
                Way::Scgi(address) => scgi::ask(*address, ask).await,
            }
        };
        said.or(over).await
    }
}

/// The references of RPCs, as the servers know them.
pub fn reference(number: u64) -> String {
    format!("{number:016x}")
}
