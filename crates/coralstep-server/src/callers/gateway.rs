//! The protocol of gateways: framed Thrift, many open requests on a connection, replies in any order.
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use coralstep::Span;

use crate::base::clock;
use crate::base::request_id::RequestId;
use crate::callers::connection::{ClosingNotice, Connection};
use crate::callers::dispatcher::{IncomingRequest, RequestDispatcher};
use crate::callers::error::ConnectionError;
use crate::callers::protocol::{Protocol, ReadFuture};
use crate::callers::read_buffer::{ReadBuffer, ReadOutcome};
use crate::callers::reply_writer::ReplyWriter;
use crate::callers::request_fields::{
    MAX_AGE, MAX_CLOCK_SKEW, MAX_IDEMPOTENCY_KEY_BYTES, MAX_MEMORY_KB, parse_below,
};
use crate::callers::thrift::{self, Answer, DecodeError, Message, ReplyField, RequestField};
use crate::decisions::{RpcRequest, SchedulerHandle, ServerStatus};
use crate::note;
use crate::runs::reply::Reply;

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
/// Class ranks are below this.
const CLASS_RANK_LIMIT: f64 = 1.0;

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

/// The fields of every reply that report the server's load and degradation level.
fn status_fields(status: &ServerStatus) -> Vec<ReplyField> {
    let load = status.value.map(|value| ReplyField {
        key: "pressure",
        value: value.to_string(),
    });
    let level = status.level.clone().map(|level| ReplyField {
        key: "level",
        value: level,
    });
    load.into_iter().chain(level).collect()
}

/// Writes the reply to the request with this sequence number.
#[derive(Debug)]
pub(super) struct GatewayReplyWriter {
    pub(super) sequence: i32,
}

impl GatewayReplyWriter {
    fn write_rejection(
        &self,
        out: &mut Vec<u8>,
        mut fields: Vec<ReplyField>,
        retry_after_ms: u64,
        is_final: bool,
    ) {
        if retry_after_ms > 0 {
            fields.push(ReplyField {
                key: "cooldown",
                value: retry_after_ms.to_string(),
            });
        }
        if is_final {
            fields.push(ReplyField {
                key: "nowhere",
                value: "1".to_owned(),
            });
        }
        thrift::encode_overloaded(out, self.sequence, &fields);
    }
}

impl ReplyWriter for GatewayReplyWriter {
    fn write_reply(&self, out: &mut Vec<u8>, reply: &Reply<'_>, status: &ServerStatus) {
        let fields = status_fields(status);
        match *reply {
            Reply::Ok(body) => Answer {
                method: "invoke",
                sequence: self.sequence,
                body,
                fields: &fields,
                success: true,
            }
            .encode(out),
            Reply::Aborted => thrift::encode_internal_error(out, self.sequence, &fields),
            Reply::Rejected {
                retry_after_ms,
                is_final,
            } => self.write_rejection(out, fields, retry_after_ms, is_final),
        }
    }

    fn write_internal_error(&self, out: &mut Vec<u8>) {
        thrift::encode_application_exception(out, self.sequence, "internal error");
    }

    fn closes_connection(&self) -> bool {
        false
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

/// Why a request can't be served; its text is what the gateway is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum RequestError {
    #[error("too many open requests")]
    TooManyOpenRequests,
    #[error("no {0}")]
    Missing(&'static str),
    #[error("malformed {0}")]
    Malformed(&'static str),
    #[error("unknown {0}")]
    Unknown(&'static str),
    #[error("{0} too long")]
    TooLong(&'static str),
    #[error("{0} out of range")]
    OutOfRange(&'static str),
}

/// The fields of a request as far as they were read.
#[derive(Default)]
struct ParsedFields {
    request: RpcRequest,
    method: Option<usize>,
    id: Option<RequestId>,
    age: Option<Span>,
    memory_kb: Option<f64>,
}

impl ParsedFields {
    /// Takes in one field; unknown ones are ignored.
    fn parse(
        &mut self,
        field: RequestField<'_>,
        scheduler: &SchedulerHandle,
    ) -> Result<(), RequestError> {
        let value = field.value;
        match field.key {
            "service" => {
                let method = scheduler.method_index(value);
                self.method = Some(method.ok_or(RequestError::Unknown("service"))?);
            }
            "ref" => self.id = Some(RequestId::parse(value).ok_or(RequestError::Malformed("ref"))?),
            "since" => self.age = Some(parse_age(value)?),
            "project" => {
                let tenant = scheduler.tenant_index(value);
                self.request.tenant = Some(tenant.ok_or(RequestError::Unknown("project"))?);
            }
            "sender" => check_sender(value)?,
            "dup" => self.request.retry = parse_retry(value)?,
            "room" => self.memory_kb = Some(parse_memory(value)?),
            "class_rank" => check_class_rank(value)?,
            "replay" => self.request.idempotency_key = Some(parse_idempotency_key(value)?),
            _ => {}
        }
        Ok(())
    }

    /// The request, if no required field is missing.
    fn into_request(self, trusts_age: bool, body: &[u8]) -> Result<IncomingRequest, RequestError> {
        let method = self.method.ok_or(RequestError::Missing("service"))?;
        let id = self.id.ok_or(RequestError::Missing("ref"))?;
        let age = self.age.ok_or(RequestError::Missing("since"))?;
        let memory_kb = self.memory_kb.ok_or(RequestError::Missing("room"))?;
        let request = RpcRequest {
            method,
            age,
            age_unverified: !trusts_age,
            memory_kb,
            ..self.request
        };
        Ok(IncomingRequest {
            request,
            id,
            body: body.to_vec(),
        })
    }
}

/// The age of a request that was sent at a Unix time in ms.
fn parse_age(value: &str) -> Result<Span, RequestError> {
    let sent_ms = value
        .parse()
        .map_err(|_| RequestError::Malformed("since"))?;
    // Guards against stamps that would bend what is believed of the load.
    clock::age_of_timestamp(sent_ms, MAX_CLOCK_SKEW)
        .filter(|age| *age <= MAX_AGE)
        .ok_or(RequestError::OutOfRange("since"))
}

fn check_sender(value: &str) -> Result<(), RequestError> {
    match value.parse::<u32>() {
        Ok(_) => Ok(()),
        Err(_) => Err(RequestError::Malformed("sender")),
    }
}

fn parse_retry(value: &str) -> Result<bool, RequestError> {
    match value {
        "1" => Ok(true),
        _ => Err(RequestError::Malformed("dup")),
    }
}

fn parse_memory(value: &str) -> Result<f64, RequestError> {
    parse_below(value, MAX_MEMORY_KB)
        .filter(|kb| *kb > 0.0)
        .ok_or(RequestError::Malformed("room"))
}

fn check_class_rank(value: &str) -> Result<(), RequestError> {
    match parse_below(value, CLASS_RANK_LIMIT) {
        Some(_) => Ok(()),
        None => Err(RequestError::Malformed("class_rank")),
    }
}

fn parse_idempotency_key(value: &str) -> Result<Box<[u8]>, RequestError> {
    if value.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(RequestError::TooLong("token"));
    }
    Ok(value.as_bytes().into())
}
