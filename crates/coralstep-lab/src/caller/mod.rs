//! RPC clients over sockets. Thrift multiplexes RPCs on one connection, SCGI uses one connection per RPC.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;

pub mod scgi;
pub mod thrift;

/// An RPC to send.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingRpc {
    pub method: String,
    /// Id of this attempt.
    pub reference: u64,
    /// Idempotency key, equal for all attempts of one request.
    pub token: Option<u64>,
    pub tenant: String,
    /// Time at which the client began to wait, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    pub room_kb: f64,
    pub retry: bool,
    pub body: Vec<u8>,
}

/// Outcome of an RPC as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum RpcOutcome {
    Ok(Vec<u8>),
    /// Rejected with a Retry-After; `nowhere`: no other server is better.
    PushedBack {
        after: Duration,
        nowhere: bool,
    },
    Aborted,
    /// The server doesn't know the method or doesn't accept the request.
    Refused,
    /// No connection, or the connection broke, so the outcome is unknown.
    Broken,
    /// The caller's deadline has passed.
    TimedOut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Thrift,
    Scgi,
}

/// A client's connection to one server.
#[derive(Clone)]
pub enum Connection {
    Thrift(Rc<thrift::ThriftConnection>),
    Scgi(SocketAddr),
}

impl Connection {
    pub fn new(
        protocol: Protocol,
        address: SocketAddr,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Connection {
        match protocol {
            Protocol::Thrift => Connection::Thrift(Rc::new(thrift::ThriftConnection::new(
                address,
                executor.clone(),
            ))),
            Protocol::Scgi => Connection::Scgi(address),
        }
    }

    /// Sends an RPC and waits for its outcome until `until`.
    pub async fn send(&self, rpc: &OutgoingRpc, until: Instant) -> RpcOutcome {
        let over = async {
            Timer::at(until).await;
            RpcOutcome::TimedOut
        };
        let outcome = async {
            match self {
                Connection::Thrift(link) => link.send(rpc).await,
                Connection::Scgi(address) => scgi::send(*address, rpc).await,
            }
        };
        outcome.or(over).await
    }
}

/// Formats an RPC id or an idempotency key as servers expect it.
pub fn format_id(number: u64) -> String {
    format!("{number:016x}")
}
