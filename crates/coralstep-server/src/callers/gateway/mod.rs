//! The gateway protocol: framed Thrift, with multiple open requests per connection and replies in any order.
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

/// Maximum number of open requests per connection, defined by the protocol.
const MAX_OPEN_REQUESTS: usize = 32;
/// Maximum length of a body in bytes, defined by the protocol.
const MAX_BODY_BYTES: usize = 2 * 1024;
/// Number of invalid messages after which a connection begins to close.
const MAX_INVALID_MESSAGES: u32 = 8;
/// Maximum number of messages read from a closing connection: all requests that a gateway may have sent before it learned of
/// the close.
const MAX_MESSAGES_WHILE_CLOSING: usize = MAX_OPEN_REQUESTS;
/// Pause after each invalid message. Guards against a client that repeats them at full speed.
const INVALID_MESSAGE_DELAY: Duration = Duration::from_millis(20);
/// Maximum size of unread replies in bytes. Above it, nothing more is read from the gateway.
const MAX_UNREAD_REPLY_BYTES: usize = 32 * 1024;

/// Time during which a gateway that has half-closed its connection is assumed to wait for its replies: a probe asks it to
/// leave.
const HALF_CLOSED_GRACE: Duration = Duration::from_millis(1_000);

/// The gateway protocol.
#[derive(Debug)]
pub struct GatewayProtocol;

impl ClosingNotice for GatewayProtocol {
    fn write_closing_notice(&self, out: &mut Vec<u8>) {
        thrift::encode_closing(out);
    }

    fn write_reply_start(&self, _out: &mut Vec<u8>) -> usize {
        0
    }

    fn probe_delay(&self) -> Duration {
        HALF_CLOSED_GRACE
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
            messages_while_closing: 0,
        };
        Box::pin(session.run(stream))
    }
}

/// State of reading one gateway connection.
struct Session<'a> {
    dispatcher: &'a RequestDispatcher,
    connection: &'a Rc<Connection>,
    last_sequence: i32,
    invalid_messages: u32,
    messages_while_closing: usize,
}

impl Session<'_> {
    /// Reads until the gateway disconnects, the connection has closed, or its input can't be split into messages.
    async fn run(mut self, stream: &Async<TcpStream>) -> Result<(), ConnectionError> {
        let mut buffer = ReadBuffer::new(&self.dispatcher.budgets.receive);
        loop {
            self.wait_for_unread_replies().await;
            let message_len = thrift::stated_len(buffer.bytes());
            match buffer.read(stream, self.connection, message_len).await? {
                ReadOutcome::Data => {}
                ReadOutcome::Closed | ReadOutcome::Drained => return Ok(()),
                ReadOutcome::TimedOut => return Err(ConnectionError::TimedOut),
            }
            // Half a message is not handed on, so its sender need not be probed.
            if matches!(thrift::split_frame(buffer.bytes()), Ok(Some(_))) {
                self.check_caller_present(stream).await?;
            }
            let consumed = self.handle_frames(stream, buffer.bytes()).await?;
            if consumed > 0 {
                buffer.consume(consumed);
            }
        }
    }

    /// Guards against requests of a gateway that has left: what it wrote before stays readable.
    async fn check_caller_present(&self, stream: &Async<TcpStream>) -> Result<(), ConnectionError> {
        if self.connection.has_caller_left(stream).await {
            self.connection.abort();
            return Err(ConnectionError::CallerLeft);
        }
        Ok(())
    }

    /// Waits until the gateway has read most of its replies; all of them if unread replies have used up their memory.
    async fn wait_for_unread_replies(&self) {
        let outbox = &self.connection.outbox;
        outbox
            .wait_until_unsent_at_most(MAX_UNREAD_REPLY_BYTES)
            .await;
        if self.dispatcher.budgets.replies.is_exhausted() {
            outbox.wait_until_unsent_at_most(0).await;
        }
    }

    /// Handles all complete frames of `bytes` and returns their total size in bytes.
    async fn handle_frames(
        &mut self,
        stream: &Async<TcpStream>,
        bytes: &[u8],
    ) -> Result<usize, ConnectionError> {
        let mut consumed = 0;
        loop {
            let Ok(frame) = thrift::split_frame(&bytes[consumed..]) else {
                self.connection.announce_close();
                return Err(ConnectionError::InvalidFrameLength);
            };
            let Some(frame) = frame else {
                return Ok(consumed);
            };
            self.limit_messages_while_closing()?;
            let invalid_before = self.invalid_messages;
            match thrift::decode(frame.content) {
                Ok(message) => self.handle_message(&message),
                Err(DecodeError::Invalid { sequence, reason }) => {
                    self.reject_invalid(sequence, reason);
                }
                Err(DecodeError::Corrupt) => self.close_after(&ConnectionError::CorruptMessage),
            }
            consumed += frame.encoded_len;
            if self.invalid_messages > invalid_before {
                Timer::after(INVALID_MESSAGE_DELAY).await;
                self.check_caller_present(stream).await?;
            }
        }
    }

    /// Begins to close the connection after a violation of the protocol that leaves the frames behind it readable.
    ///
    /// Those are still read until the connection is closed.
    /// Guards against valid requests that are never answered because an invalid message came before them.
    fn close_after(&self, error: &ConnectionError) {
        if !self.connection.is_closing() {
            note!(client: peer = %self.connection.peer, %error, "connection failed");
            self.connection.announce_close();
        }
    }

    /// Guards against a client that sends without pause and so keeps a closing connection open.
    fn limit_messages_while_closing(&mut self) -> Result<(), ConnectionError> {
        if !self.connection.is_closing() {
            return Ok(());
        }
        self.messages_while_closing += 1;
        if self.messages_while_closing > MAX_MESSAGES_WHILE_CLOSING {
            return Err(ConnectionError::TooManyMessagesWhileClosing);
        }
        Ok(())
    }

    /// Answers an invalid message with an application exception.
    fn reject_invalid(&mut self, sequence: i32, reason: &str) {
        note!(client: peer = %self.connection.peer, error = %reason, "invalid request");
        self.invalid_messages += 1;
        self.connection
            .outbox
            .put(|out| thrift::encode_application_exception(out, sequence, reason));
        if self.invalid_messages >= MAX_INVALID_MESSAGES {
            self.close_after(&ConnectionError::TooManyInvalidMessages);
        }
    }

    fn handle_message(&mut self, message: &Message<'_>) {
        self.connection.record_message();
        let (Message::Ping { sequence } | Message::Invoke { sequence, .. }) = *message;
        // Guards against two requests with the same sequence number, whose replies could be confused.
        if sequence <= std::mem::replace(&mut self.last_sequence, sequence) {
            return self.close_after(&ConnectionError::NonIncreasingSequenceNumber);
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

#[cfg(test)]
mod tests;
