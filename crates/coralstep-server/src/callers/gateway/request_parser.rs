//! Parses a gateway request from its fields.
use coralstep::Span;

use crate::base::clock;
use crate::base::request_id::RequestId;
use crate::callers::dispatcher::IncomingRequest;
use crate::callers::request_fields::{
    MAX_AGE, MAX_CLOCK_SKEW, MAX_IDEMPOTENCY_KEY_BYTES, MAX_MEMORY_KB, parse_below,
};
use crate::callers::thrift::RequestField;
use crate::decisions::{RpcRequest, SchedulerHandle};

/// Exclusive upper bound of class ranks.
const CLASS_RANK_LIMIT: f64 = 1.0;

/// Error of parsing a request. Its text is sent to the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
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

/// The request fields parsed so far.
#[derive(Default)]
pub(super) struct ParsedFields {
    request: RpcRequest,
    method: Option<usize>,
    id: Option<RequestId>,
    age: Option<Span>,
    memory_kb: Option<f64>,
}

impl ParsedFields {
    /// Parses one field; unknown fields are ignored.
    pub(super) fn parse(
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

    /// Returns the request if no required field is missing.
    pub(super) fn into_request(
        self,
        trusts_age: bool,
        body: &[u8],
    ) -> Result<IncomingRequest, RequestError> {
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
            body: body.to_vec().into(),
        })
    }
}

/// Returns the age of a request from the Unix time in ms at which it was sent.
fn parse_age(value: &str) -> Result<Span, RequestError> {
    let sent_ms = value
        .parse()
        .map_err(|_| RequestError::Malformed("since"))?;
    // Guards against wrong timestamps that would distort the load estimate.
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
