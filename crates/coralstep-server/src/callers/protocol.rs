//! Interface of the protocols that callers speak. A [`Protocol`] parses requests; it makes no scheduling decisions.
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;

use async_io::Async;

use crate::callers::connection::{ClosingNotice, Connection};
use crate::callers::dispatcher::RequestDispatcher;
use crate::callers::error::ConnectionError;

/// Future that reads one connection and completes when nothing more is read from it.
pub type ReadFuture<'a> = Pin<Box<dyn Future<Output = Result<(), ConnectionError>> + 'a>>;

/// A protocol spoken by callers.
pub trait Protocol: ClosingNotice {
    /// Reads requests from `stream` and dispatches them until the caller disconnects.
    ///
    /// # Errors
    /// The future fails if the socket fails or the caller violates the protocol.
    fn read_connection<'a>(
        self: Rc<Self>,
        dispatcher: &'a RequestDispatcher,
        stream: &'a Async<TcpStream>,
        connection: &'a Rc<Connection>,
    ) -> ReadFuture<'a>;
}
