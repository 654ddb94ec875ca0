//! The SCGI protocol: one request per connection, answered with a CGI response.
//!
//! The site file configures which headers contain the properties that the scheduler uses. If a caller closes its connection
//! before the reply, its request is cancelled; if it only half-closes it, it gets its reply.
use std::cell::RefCell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use coralstep_config::Names;
use coralstep_config::site::{ScgiConfig, SiteError};
use coralstep_scgi::request::{self, Request};
use coralstep_scgi::response;
use futures_lite::AsyncReadExt;
use futures_lite::future::yield_now;

use crate::callers::connection::{ClosingNotice, Connection};
use crate::callers::dispatcher::RequestDispatcher;
use crate::callers::error::ConnectionError;
use crate::callers::protocol::{Protocol, ReadFuture};
use crate::callers::read_buffer::{ReadBuffer, ReadOutcome};
use crate::decisions::{SchedulerHandle, ServerStatus};
use crate::note;

mod config;
mod error;
mod reply;
mod request_parser;

use config::ProtocolConfig;
use error::RequestError;
use request_parser::{ParsedRequest, RequestParser};

pub(super) use reply::ScgiReplyWriter;

/// Maximum number of bytes ignored after a request, where none are expected.
const MAX_TRAILING_BYTES: usize = 4 * 1024;

/// The SCGI protocol.
pub struct ScgiProtocol {
    config: RefCell<Rc<ProtocolConfig>>,
}

impl ScgiProtocol {
    /// Creates the protocol from the section `scgi` of the site file.
    ///
    /// # Errors
    /// Fails if the section's routes are invalid.
    pub fn new(section: &ScgiConfig, names: &Names) -> Result<ScgiProtocol, SiteError> {
        let config = ProtocolConfig::new(section, names)?;
        Ok(ScgiProtocol {
            config: RefCell::new(Rc::new(config)),
        })
    }

    /// Replaces the configuration for all later requests.
    ///
    /// # Errors
    /// Fails if the section's routes are invalid; the old configuration then stays in force.
    pub fn reload(&self, section: &ScgiConfig, names: &Names) -> Result<(), SiteError> {
        let config = ProtocolConfig::new(section, names)?;
        *self.config.borrow_mut() = Rc::new(config);
        Ok(())
    }

    async fn serve(
        &self,
        dispatcher: &RequestDispatcher,
        stream: &Async<TcpStream>,
        connection: &Rc<Connection>,
    ) -> Result<(), ConnectionError> {
        let config = self.config.borrow().clone();
        let mut buffer = ReadBuffer::new(&dispatcher.budgets.receive);
        match receive_request(&mut buffer, &config, stream, connection).await? {
            ReceiveOutcome::Request => {}
            ReceiveOutcome::Closed => return Ok(()),
            ReceiveOutcome::Invalid(error) => {
                reject_invalid(connection, error);
                return Ok(());
            }
        }
        connection.record_message();
        if connection.has_caller_left(stream).await {
            connection.abort();
            return Err(ConnectionError::CallerLeft);
        }
        let parsed = match request::decode(buffer.bytes(), &config.limits) {
            Ok(Some((request, _))) => parse_request(&request, &config, dispatcher, connection),
            Ok(None) => return Err(ConnectionError::IncompleteRequest),
            Err(error) => Err(error.into()),
        };
        match parsed {
            Ok(ParsedRequest::HealthCheck) => answer_health(connection, &dispatcher.scheduler),
            Ok(ParsedRequest::Rpc(mut incoming)) => {
                incoming.body.receive_memory = buffer.take_reservation();
                dispatcher.dispatch(incoming, connection, ScgiReplyWriter);
            }
            Err(error) => {
                reject_invalid(connection, error);
                return Ok(());
            }
        }
        drop(buffer);
        wait_for_close(stream, connection).await
    }
}

impl ClosingNotice for ScgiProtocol {
    /// SCGI has no closing notice: a connection closes after its only reply.
    fn write_closing_notice(&self, _out: &mut Vec<u8>) {}

    fn write_reply_start(&self, out: &mut Vec<u8>) -> usize {
        out.extend_from_slice(response::START);
        response::START.len()
    }

    /// The beginning of the reply does no harm, so a caller that has left is noticed at once.
    fn probe_delay(&self) -> Duration {
        Duration::ZERO
    }
}

impl Protocol for ScgiProtocol {
    fn read_connection<'a>(
        self: Rc<Self>,
        dispatcher: &'a RequestDispatcher,
        stream: &'a Async<TcpStream>,
        connection: &'a Rc<Connection>,
    ) -> ReadFuture<'a> {
        Box::pin(async move { self.serve(dispatcher, stream, connection).await })
    }
}

/// Result of waiting for a request.
enum ReceiveOutcome {
    /// The buffer contains a complete request.
    Request,
    /// The connection was closed without a request.
    Closed,
    /// The input is not a valid request.
    Invalid(RequestError),
}

/// Reads until the buffer contains a complete request.
async fn receive_request(
    buffer: &mut ReadBuffer,
    config: &ProtocolConfig,
    stream: &Async<TcpStream>,
    connection: &Connection,
) -> Result<ReceiveOutcome, ConnectionError> {
    // Guards against parsing the headers again after each read of a body that arrives in small pieces.
    let mut encoded_len = None;
    loop {
        if encoded_len.is_none() {
            match request::encoded_len(buffer.bytes(), &config.limits) {
                Ok(known) => encoded_len = known,
                Err(error) => return Ok(ReceiveOutcome::Invalid(error.into())),
            }
        }
        if encoded_len.is_some_and(|needed| buffer.bytes().len() >= needed) {
            return Ok(ReceiveOutcome::Request);
        }
        let stated_len = request::stated_len(buffer.bytes(), &config.limits);
        match buffer.read(stream, connection, stated_len).await? {
            ReadOutcome::Data => {}
            ReadOutcome::Closed | ReadOutcome::Drained => return Ok(ReceiveOutcome::Closed),
            ReadOutcome::TimedOut => return Ok(ReceiveOutcome::Invalid(RequestError::TimedOut)),
        }
    }
}

/// Parses a request from its headers.
fn parse_request(
    request: &Request<'_>,
    config: &ProtocolConfig,
    dispatcher: &RequestDispatcher,
    connection: &Connection,
) -> Result<ParsedRequest, RequestError> {
    let parser = RequestParser {
        request,
        config,
        trusted: config.trusts(connection.peer),
        scheduler: &dispatcher.scheduler,
        handler: &dispatcher.handler,
    };
    parser.parse()
}

fn answer_health(connection: &Connection, scheduler: &SchedulerHandle) {
    let (http_status, body) = if scheduler.is_healthy() {
        (200, &b"good\n"[..])
    } else {
        (503, &b"bad\n"[..])
    };
    let server_status = scheduler.server_status();
    connection.queue_reply(|out| reply::encode(out, &server_status, http_status, &[], body));
    connection.outbox.close();
}

/// Answers an invalid request with an HTTP status and the error text.
fn reject_invalid(connection: &Connection, error: RequestError) {
    note!(client: peer = %connection.peer, %error, "invalid request");
    let fields = [reply::plain_text()];
    let body = format!("{error}\n");
    connection.queue_reply(|out| {
        reply::encode(
            out,
            &ServerStatus::default(),
            error.http_status(),
            &fields,
            body.as_bytes(),
        );
    });
    connection.outbox.close();
}

/// Waits until the caller ends its input. Whether it has closed the connection or only half-closed it is found out by the
/// connection's probe.
async fn wait_for_close(
    mut stream: &Async<TcpStream>,
    connection: &Connection,
) -> Result<(), ConnectionError> {
    let mut buffer = [0; 256];
    let mut trailing = 0;
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) => return Ok(()),
            Err(_) => {
                connection.abort();
                return Ok(());
            }
            Ok(count) => trailing += count,
        }
        // Guards against a caller that keeps sending after its request and starves all others on the same thread.
        if trailing > MAX_TRAILING_BYTES {
            return Err(ConnectionError::TrailingBytes);
        }
        yield_now().await;
    }
}
