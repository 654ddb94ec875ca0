//! What the protocols of all callers have in common: a [`Protocol`] reads requests and decides nothing.
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;

use async_io::Async;

use crate::callers::connection::{ClosingNotice, Connection};
use crate::callers::dispatcher::RequestDispatcher;
use crate::callers::error::ConnectionError;

/// Reads one connection; ends when nothing more is read from it.
pub type ReadFuture<'a> = Pin<Box<dyn Future<Output = Result<(), ConnectionError>> + 'a>>;

/// A protocol that callers speak.
pub trait Protocol: ClosingNotice {
    /// Reads requests from `stream` and dispatches them, until the caller has gone.
    ///
    /// # Errors
    /// The future fails where the socket does, or where what the caller sends can't be understood.
    fn read_connection<'a>(
        self: Rc<Self>,
        dispatcher: &'a RequestDispatcher,
        stream: &'a Async<TcpStream>,
        connection: &'a Rc<Connection>,
    ) -> ReadFuture<'a>;
}
