//! Parses an SCGI request from its headers.
use coralstep::Span;
use coralstep_config::site::RouteTarget;
use coralstep_route::RouteMatch;
use coralstep_scgi::request::Request;

use super::config::ProtocolConfig;
use super::error::RequestError;
use crate::base::clock;
use crate::base::request_id::RequestId;
use crate::callers::dispatcher::IncomingRequest;
use crate::callers::request_fields::{
    MAX_AGE, MAX_CLOCK_SKEW, MAX_IDEMPOTENCY_KEY_BYTES, MAX_MEMORY_KB, MAX_TIMEOUT_MS, parse_below,
};
use crate::decisions::{RpcRequest, SchedulerHandle};
use crate::runs::request_handler::RequestHandler;

/// Maximum length of a request id in bytes. Any text is a valid id.
const MAX_ID_BYTES: usize = 256;
/// Exclusive upper bound of class ranks.
const CLASS_RANK_LIMIT: f64 = 1.0;
/// Headers that may contain the path. Web servers differ in which of them they send; the first non-empty one is used.
const PATH_HEADERS: [&str; 3] = ["PATH_INFO", "DOCUMENT_URI", "REQUEST_URI"];

/// A parsed request.
#[derive(Debug)]
pub(super) enum ParsedRequest {
    /// An RPC.
    Rpc(IncomingRequest),
    /// A check of the server's health.
    HealthCheck,
}

/// Parser of one request.
pub(super) struct RequestParser<'a> {
    /// The decoded request.
    pub(super) request: &'a Request<'a>,
    /// The protocol's configuration.
    pub(super) config: &'a ProtocolConfig,
    /// Whether the peer is trusted to state tenant, memory and age.
    pub(super) trusted: bool,
    /// Used to look up tenants.
    pub(super) scheduler: &'a SchedulerHandle,
    /// Used to create request ids.
    pub(super) handler: &'a RequestHandler,
}

impl RequestParser<'_> {
    /// Parses the request, or returns the first error in it.
    pub(super) fn parse(&self) -> Result<ParsedRequest, RequestError> {
        let method = match self.route()? {
            RouteTarget::Health => return Ok(ParsedRequest::HealthCheck),
            RouteTarget::Method(method) => method,
        };
        let request = self.parse_rpc(method)?;
        let id = self.request_id()?;
        Ok(ParsedRequest::Rpc(IncomingRequest {
            request,
            id,
            body: self.request.body.to_vec().into(),
        }))
    }

    fn route(&self) -> Result<RouteTarget, RequestError> {
        let verb = self
            .request
            .text("REQUEST_METHOD")
            .ok_or(RequestError::Missing("REQUEST_METHOD"))?;
        let path = PATH_HEADERS
            .into_iter()
            .filter_map(|name| self.request.text(name))
            .find(|path| !path.is_empty())
            .ok_or(RequestError::Missing("path"))?;
        match self.config.routes.find(verb, path) {
            RouteMatch::Found(target) => Ok(*target),
            RouteMatch::MethodNotAllowed => Err(RequestError::MethodNotAllowed),
            RouteMatch::NotFound => Err(RequestError::NotFound),
        }
    }

    /// Parses the headers in a fixed order, since the reply names the first invalid one.
    fn parse_rpc(&self, method: usize) -> Result<RpcRequest, RequestError> {
        let age = self.age()?;
        let timeout = self.timeout()?;
        let retry = self.is_retry()?;
        self.check_class_rank()?;
        let idempotency_key = self.idempotency_key()?;
        let tenant = self.tenant()?;
        let memory_kb = self.memory_kb()?;
        Ok(RpcRequest {
            method,
            tenant,
            memory_kb,
            retry,
            age,
            age_unverified: !self.trusted,
            idempotency_key,
            timeout,
            accepts_new_id: true,
            ..RpcRequest::default()
        })
    }

    /// Returns the value of a header, or `None` if the request doesn't have it.
    fn text(&self, name: &str) -> Result<Option<&str>, RequestError> {
        match self.request.get(name) {
            None => Ok(None),
            Some(value) => std::str::from_utf8(value)
                .map(Some)
                .map_err(|_| RequestError::HeaderNotUtf8),
        }
    }

    /// Returns the time since the request arrived at the machine, from a Unix timestamp in ms; 0 if it has none.
    fn age(&self) -> Result<Span, RequestError> {
        let Some(value) = self.text(&self.config.headers().arrived)? else {
            return Ok(Span::default());
        };
        let arrived_ms = value
            .parse()
            .map_err(|_| RequestError::Malformed("time of arrival"))?;
        // Guards against wrong timestamps that would distort the load estimate.
        clock::age_of_timestamp(arrived_ms, MAX_CLOCK_SKEW)
            .filter(|age| *age <= MAX_AGE)
            .ok_or(RequestError::OutOfRange("time of arrival"))
    }

    /// Returns the caller's timeout, from a number of ms.
    fn timeout(&self) -> Result<Option<Span>, RequestError> {
        let Some(value) = self.text(&self.config.headers().patience)? else {
            return Ok(None);
        };
        let timeout_ms = value
            .parse()
            .ok()
            .filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms))
            .ok_or(RequestError::Malformed("patience"))?;
        Ok(Some(Span::ms(timeout_ms)))
    }

    fn is_retry(&self) -> Result<bool, RequestError> {
        match self.text(&self.config.headers().retry)? {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(_) => Err(RequestError::Malformed("mark of a further try")),
        }
    }

    fn check_class_rank(&self) -> Result<(), RequestError> {
        let Some(value) = self.text(&self.config.headers().rank)? else {
            return Ok(());
        };
        match parse_below(value, CLASS_RANK_LIMIT) {
            Some(_) => Ok(()),
            None => Err(RequestError::Malformed("rank")),
        }
    }

    /// Returns the idempotency key, which may be any bytes; an empty one counts as none.
    fn idempotency_key(&self) -> Result<Option<Box<[u8]>>, RequestError> {
        let Some(key) = self.request.get(&self.config.headers().token) else {
            return Ok(None);
        };
        if key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
            return Err(RequestError::TooLong("token"));
        }
        Ok((!key.is_empty()).then(|| key.into()))
    }

    /// Returns the tenant that a trusted peer states. Guards against untrusted peers that impersonate other tenants.
    fn tenant(&self) -> Result<Option<usize>, RequestError> {
        if !self.trusted {
            return Ok(None);
        }
        let Some(name) = self.text(&self.config.headers().tenant)? else {
            return Ok(None);
        };
        let tenant = self.scheduler.tenant_index(name);
        tenant.map(Some).ok_or(RequestError::UnknownTenant)
    }

    /// Returns the memory in KB that a trusted peer states, or else the default. Guards against untrusted peers that reserve
    /// too much.
    fn memory_kb(&self) -> Result<f64, RequestError> {
        if !self.trusted {
            return Ok(self.config.default_memory_kb());
        }
        let Some(value) = self.text(&self.config.headers().room)? else {
            return Ok(self.config.default_memory_kb());
        };
        parse_below(value, MAX_MEMORY_KB)
            .filter(|kb| *kb > 0.0)
            .ok_or(RequestError::Malformed("room"))
    }

    /// Returns the id that the caller states, or a new one.
    fn request_id(&self) -> Result<RequestId, RequestError> {
        let id = self.text(&self.config.headers().id)?;
        let id = id.filter(|id| !id.is_empty());
        if id.is_some_and(|id| id.len() > MAX_ID_BYTES) {
            return Err(RequestError::TooLong("id"));
        }
        Ok(self.handler.request_id(id))
    }
}
