//! What callers of every protocol have in common: a protocol is a [`Front`]. It reads what its callers write and writes the
//! answers, and decides nothing.
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;

use async_io::Async;

use crate::callers::connection::Connection;
use crate::callers::connections::Connections;
use crate::decisions::ServerStatus;
use crate::runs::reply::Reply;

pub type Reading<'a> = Pin<Box<dyn Future<Output = Result<(), String>> + 'a>>;

/// A protocol that callers speak.
pub trait Front: 'static {
    /// Reads one connection until its caller has gone or what it writes can't be understood.
    fn read<'a>(
        self: Rc<Self>,
        connections: &'a Rc<Connections>,
        stream: &'a Async<TcpStream>,
        connection: &'a Rc<Connection>,
    ) -> Reading<'a>;

    /// Asks a caller to leave a connection, where the protocol has words for that.
    fn farewell(&self, out: &mut Vec<u8>);
}

/// Writes the one answer to an open RPC, in the words of its protocol.
pub trait Writer: 'static {
    fn answer(&self, out: &mut Vec<u8>, reply: &Reply<'_>, about: &ServerStatus);

    /// In place of an answer, where its task failed.
    fn failed(&self, out: &mut Vec<u8>);

    /// Whether the connection ends with this answer.
    fn last(&self) -> bool;
}
