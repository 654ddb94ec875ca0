//! The protocol of gateways: framed Thrift, many open requests on a connection, replies in any order.
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};

use crate::callers::connection::{ClosingNotice, Connection};
use crate::callers::dispatcher::{IncomingRequest, RequestDispatcher};
use crate::callers::error::ConnectionError;
use crate::callers::protocol::{Protocol, ReadFuture};
use crate::callers::read_buffer::{ReadBuffer, ReadOutcome};
use crate::callers::thrift::{self, Answer, DecodeError, Message, RequestField};
use crate::note;

mod reply;
mod request_parser;

use reply::status_fields;
use request_parser::{ParsedFields, RequestError};

pub(super) use reply::GatewayReplyWriter;

/// Open requests on one connection, by the protocol.
const MAX_OPEN_REQUESTS: usize = 32;
/// The longest body in bytes, by the protocol.
const MAX_BODY_BYTES: usize = 2 * 1024;
/// Invalid messages after which a connection is closed.
const MAX_INVALID_MESSAGES: u32 = 8;
/// Pause after each invalid message: guards against a client that repeats them at full speed.
const INVALID_MESSAGE_DELAY: Duration = Duration::from_millis(20);
/// Bytes of unread replies above which nothing more is read from a gateway.
const MAX_UNREAD_REPLY_BYTES: usize = 32 * 1024;

/// The protocol of gateways.
#[derive(Debug)]
pub struct GatewayProtocol;

impl ClosingNotice for GatewayProtocol {
    fn write_closing_notice(&self, out: &mut Vec<u8>) {
        thrift::encode_closing(out);
    }
}

impl Protocol for GatewayProtocol {
    fn read_connection<'a>(
        self: Rc<Self>,
        dispatcher: &'a RequestDispatcher,
        stream: &'a Async<TcpStream>,
        connection: &'a Rc<Connection>,
    ) -> ReadFuture<'a> {
        let session = Session {
            dispatcher,
            connection,
            last_sequence: 0,
            invalid_messages: 0,
        };
        Box::pin(session.run(stream))
    }
}

/// One connection of a gateway.
struct Session<'a> {
    dispatcher: &'a RequestDispatcher,
    connection: &'a Rc<Connection>,
    last_sequence: i32,
    invalid_messages: u32,
}

impl Session<'_> {
    /// Reads until the gateway has gone or what it sends can't be understood.
    async fn run(mut self, stream: &Async<TcpStream>) -> Result<(), ConnectionError> {
        let mut buffer = ReadBuffer::new();
        loop {
            self.connection
                .outbox
                .wait_until_at_most(MAX_UNREAD_REPLY_BYTES)
                .await;
            match buffer.read(stream, self.connection).await? {
                ReadOutcome::Data => {}
                ReadOutcome::Closed => return Ok(()),
                ReadOutcome::TimedOut => return Err(ConnectionError::TimedOut),
            }
            let consumed = self.handle_frames(buffer.bytes()).await?;
            if consumed > 0 {
                buffer.consume(consumed);
            }
        }
    }

    /// Handles all whole frames of `bytes`; how many bytes they took.
    async fn handle_frames(&mut self, bytes: &[u8]) -> Result<usize, ConnectionError> {
        let mut consumed = 0;
        loop {
            let frame = thrift::split_frame(&bytes[consumed..])
                .map_err(|_| ConnectionError::InvalidFrameLength)?;
            let Some(frame) = frame else {
                return Ok(consumed);
            };
            let invalid_before = self.invalid_messages;
            match thrift::decode(frame.content) {
                Ok(message) => self.handle_message(&message)?,
                Err(DecodeError::Invalid { sequence, reason }) => {
                    self.reject_invalid(sequence, reason);
                }
                Err(DecodeError::Corrupt) => return Err(ConnectionError::CorruptMessage),
            }
            consumed += frame.encoded_len;
            if self.invalid_messages >= MAX_INVALID_MESSAGES {
                return Err(ConnectionError::TooManyInvalidMessages);
            }
            if self.invalid_messages > invalid_before {
                Timer::after(INVALID_MESSAGE_DELAY).await;
            }
        }
    }

    /// Answers a message that is invalid with an application exception.
    fn reject_invalid(&mut self, sequence: i32, reason: &str) {
        note!(client: peer = %self.connection.peer, error = %reason, "invalid request");
        self.invalid_messages += 1;
        self.connection
            .outbox
            .put(|out| thrift::encode_application_exception(out, sequence, reason));
    }

    fn handle_message(&mut self, message: &Message<'_>) -> Result<(), ConnectionError> {
        self.connection.message_received();
        let (Message::Ping { sequence } | Message::Invoke { sequence, .. }) = *message;
        // Guards against two requests under one number: the reply to one would pass as that to the other.
        if sequence <= std::mem::replace(&mut self.last_sequence, sequence) {
            return Err(ConnectionError::RepeatedSequenceNumber);
        }
        match message {
            Message::Ping { .. } => self.answer_ping(sequence),
            Message::Invoke { fields, body, .. } => match self.parse_request(fields, body) {
                Ok(incoming) => {
                    let writer = GatewayReplyWriter { sequence };
                    self.dispatcher.dispatch(incoming, self.connection, writer);
                }
                Err(error) => self.reject_invalid(sequence, &error.to_string()),
            },
        }
        Ok(())
    }

    fn answer_ping(&self, sequence: i32) {
        let scheduler = &self.dispatcher.scheduler;
        let answer = Answer {
            method: "ping",
            sequence,
            body: b"",
            fields: &status_fields(&scheduler.server_status()),
            success: scheduler.is_healthy(),
        };
        self.connection.outbox.put(|out| answer.encode(out));
    }

    fn parse_request(
        &self,
        fields: &[RequestField<'_>],
        body: &[u8],
    ) -> Result<IncomingRequest, RequestError> {
        if self.connection.open_requests() >= MAX_OPEN_REQUESTS {
            return Err(RequestError::TooManyOpenRequests);
        }
        if body.len() > MAX_BODY_BYTES {
            return Err(RequestError::TooLong("body"));
        }
        let mut parsed = ParsedFields::default();
        for field in fields {
            parsed.parse(*field, &self.dispatcher.scheduler)?;
        }
        let trusts_age = self.connection.has_served_request();
        parsed.into_request(trusts_age, body)
    }
}
