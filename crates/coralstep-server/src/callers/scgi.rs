//! The front for callers that speak SCGI: one RPC a connection, the answer in CGI form. What a header means is set in the
//! operator's file; a caller that closes its connection before the answer is gone, and the decisions hear of it.
use std::cell::RefCell;
use std::net::{IpAddr, TcpStream};
use std::rc::Rc;

use async_io::Async;
use coralstep::Span;
use coralstep_config::Names;
use coralstep_config::site::{RouteTarget, ScgiConfig};
use coralstep_route::{RouteMatch, RouteTable};
use coralstep_scgi::request::{self, Request};
use coralstep_scgi::{DecodeError, Limits, response};
use futures_lite::AsyncReadExt;
use futures_lite::future::yield_now;

use crate::base::clock;
use crate::base::lines::Ref;
use crate::callers::connection::Connection;
use crate::callers::connections::Connections;
use crate::callers::front::{Front, Reading, Writer};
use crate::callers::inbox::{Came, Inbox};
use crate::callers::said::{AGE_MOST, AHEAD_MOST, PATIENCE_MOST_MS, ROOM_MOST, TOKEN_MOST, within};
use crate::decisions::{RpcRequest, ServerStatus};
use crate::note;
use crate::runs::reply::Reply;

/// Headers and bytes of headers of one request at the most.
const HEADERS_MOST: usize = 128;
const HEAD_MOST: usize = 16 * 1024;
/// Bytes behind a request that are passed over, for they mean nothing.
const REST_MOST: usize = 4 * 1024;
/// The longest id; any text is one.
const ID_MOST: usize = 256;

/// Headers of ours in answers: the free value, the exact advice, and that no other server is to be tried.
pub const LEVEL: &str = "X-Coralstep-Level";
pub const VALUE: &str = "X-Coralstep-Value";
pub const RETRY_AFTER_MS: &str = "X-Coralstep-Retry-After-Ms";
pub const NOWHERE: &str = "X-Coralstep-Nowhere";

/// What is known from the operator's file.
struct Known {
    terms: ScgiConfig,
    routes: RouteTable<RouteTarget>,
    limits: Limits,
}

impl Known {
    fn new(terms: &ScgiConfig, names: &Names) -> Result<Known, String> {
        let limits = Limits {
            max_head_bytes: HEAD_MOST,
            max_headers: HEADERS_MOST,
            max_body_bytes: terms.body_kb as usize * 1024,
        };
        Ok(Known {
            routes: terms.routes(names).map_err(|error| error.to_string())?,
            terms: terms.clone(),
            limits,
        })
    }

    /// Whether a connection's word on tenant, room and age is good.
    fn trusts(&self, from: IpAddr) -> bool {
        // Guards against an IPv4 connection that is seen under its IPv6 form and then matches no network.
        let from = from.to_canonical();
        self.terms
            .trusted
            .iter()
            .any(|network| network.contains(&from))
    }
}

pub struct Scgi {
    known: RefCell<Rc<Known>>,
}

/// A request that is answered at once, with a status and the reason.
#[derive(Debug, PartialEq)]
struct Refusal(u16, &'static str);

/// What a request asks for.
#[derive(Debug)]
enum Asked {
    Rpc(RpcRequest, Ref),
    Health,
}

impl Scgi {
    pub fn new(terms: &ScgiConfig, names: &Names) -> Result<Scgi, String> {
        Ok(Scgi {
            known: RefCell::new(Rc::new(Known::new(terms, names)?)),
        })
    }

    /// What can change without a restart changes for the requests to come.
    pub fn reload(&self, terms: &ScgiConfig, names: &Names) -> Result<(), String> {
        let known = Known::new(terms, names)?;
        *self.known.borrow_mut() = Rc::new(known);
        Ok(())
    }

    fn asked(
        &self,
        known: &Known,
        request: &Request<'_>,
        from: IpAddr,
        connections: &Connections,
    ) -> Result<Asked, Refusal> {
        let verb = request
            .text("REQUEST_METHOD")
            .ok_or(Refusal(400, "no REQUEST_METHOD"))?;
        // As servers differ in which of these they send, the first that says something counts.
        let path = ["PATH_INFO", "DOCUMENT_URI", "REQUEST_URI"].into_iter();
        let path = path
            .filter_map(|name| request.text(name))
            .find(|path| !path.is_empty());
        let method = match known
            .routes
            .find(verb, path.ok_or(Refusal(400, "no path"))?)
        {
            RouteMatch::Found(RouteTarget::Health) => return Ok(Asked::Health),
            RouteMatch::Found(RouteTarget::Method(method)) => *method,
            RouteMatch::MethodNotAllowed => return Err(Refusal(405, "not with this verb")),
            RouteMatch::NotFound => return Err(Refusal(404, "no such path")),
        };
        let (names, trusted) = (&known.terms.headers, known.trusts(from));
        let text = |name: &str| match request.get(name) {
            None => Ok(None),
            Some(value) => std::str::from_utf8(value)
                .map(Some)
                .map_err(|_| Refusal(400, "a header that is no text")),
        };
        let mut offer = RpcRequest {
            method,
            age_unverified: !trusted,
            memory_kb: known.terms.room_kb,
            accepts_new_id: true,
            ..RpcRequest::default()
        };
        if let Some(stamp) = text(&names.arrived)? {
            let stamp = stamp
                .parse()
                .map_err(|_| Refusal(400, "malformed time of arrival"))?;
            // Guards against stamps that would bend what is believed of the load.
            let age = clock::age(stamp, AHEAD_MOST).filter(|age| *age <= AGE_MOST);
            offer.age = age.ok_or(Refusal(400, "time of arrival out of range"))?;
        }
        if let Some(patience) = text(&names.patience)? {
            let ms = patience
                .parse()
                .ok()
                .filter(|ms| (1..=PATIENCE_MOST_MS).contains(ms));
            offer.timeout = Some(Span::ms(ms.ok_or(Refusal(400, "malformed patience"))?));
        }
        match text(&names.retry)? {
            None | Some("0") => {}
            Some("1") => offer.retry = true,
            Some(_) => return Err(Refusal(400, "malformed mark of a further try")),
        }
        if let Some(rank) = text(&names.rank)? {
            within(rank, 1.0).ok_or(Refusal(400, "malformed rank"))?;
        }
        if let Some(token) = request.get(&names.token) {
            if token.len() > TOKEN_MOST {
                return Err(Refusal(400, "token too long"));
            }
            offer.idempotency_key = (!token.is_empty()).then(|| token.into());
        }
        // Guards against strangers who book others' memory or speak for others.
        if trusted {
            if let Some(tenant) = text(&names.tenant)? {
                offer.tenant = Some(
                    connections
                        .facade
                        .tenant_index(tenant)
                        .ok_or(Refusal(400, "unknown tenant"))?,
                );
            }
            if let Some(room) = text(&names.room)? {
                let room = within(room, ROOM_MOST).filter(|kb| *kb > 0.0);
                offer.memory_kb = room.ok_or(Refusal(400, "malformed room"))?;
            }
        }
        let id = text(&names.id)?.filter(|id| !id.is_empty());
        if id.is_some_and(|id| id.len() > ID_MOST) {
            return Err(Refusal(400, "id too long"));
        }
        Ok(Asked::Rpc(offer, connections.course.request_id(id)))
    }

    async fn talk(
        &self,
        connections: &Rc<Connections>,
        stream: &Async<TcpStream>,
        connection: &Rc<Connection>,
    ) -> Result<(), String> {
        let known = self.known.borrow().clone();
        let mut inbox = Inbox::new();
        // Guards against the work of reading headers again for each byte of a body that comes in drops.
        let mut need = None;
        loop {
            let bytes = inbox.bytes();
            let whole = match need {
                None => match request::encoded_len(bytes, &known.limits) {
                    Ok(known) => {
                        need = known;
                        need.is_some_and(|need| bytes.len() >= need)
                    }
                    Err(fault) => {
                        return self.refuse(connection, status(fault), fault.reason());
                    }
                },
                Some(need) => bytes.len() >= need,
            };
            if whole {
                break;
            }
            match inbox.more(stream, connection).await? {
                Came::More => {}
                Came::End => return Ok(()),
                Came::Late => {
                    return self.refuse(connection, 408, "the request takes too long to come");
                }
            }
        }
        connection.heard();
        let request = match request::decode(inbox.bytes(), &known.limits) {
            Ok(Some((request, _))) => request,
            Ok(None) => return Err("a request without an end".to_owned()),
            Err(fault) => return self.refuse(connection, status(fault), fault.reason()),
        };
        match self.asked(&known, &request, connection.from, connections) {
            Ok(Asked::Health) => {
                let (status, text) = if connections.facade.is_healthy() {
                    (200, &b"good\n"[..])
                } else {
                    (503, &b"bad\n"[..])
                };
                self.write(
                    connection,
                    &connections.facade.server_status(),
                    status,
                    &[],
                    text,
                );
            }
            Ok(Asked::Rpc(offer, id)) => {
                connections.begin(offer, id, request.body.to_vec(), connection, One)
            }
            Err(Refusal(status, why)) => return self.refuse(connection, status, why),
        }
        drop(inbox);
        // Nothing more is to come; what ends the connection before the answer does is its caller's leaving.
        let (mut rest, mut more) = ([0; 256], 0);
        loop {
            match { stream }.read(&mut rest).await {
                Ok(0) | Err(_) => {
                    connection.lose();
                    return Ok(());
                }
                Ok(count) => more += count,
            }
            // Guards against a caller that sends without end behind its request and keeps all others from the one thread.
            if more > REST_MOST {
                return Err("bytes without end behind a request".to_owned());
            }
            yield_now().await;
        }
    }

    fn write(
        &self,
        connection: &Connection,
        about: &ServerStatus,
        status: u16,
        fields: &[(&str, &dyn std::fmt::Display)],
        body: &[u8],
    ) {
        connection
            .out
            .put(|out| put(out, about, status, fields, body));
        connection.out.close();
    }

    fn refuse(
        &self,
        connection: &Connection,
        status: u16,
        why: &'static str,
    ) -> Result<(), String> {
        note!(client: "a request was not understood: {why}");
        self.write(
            connection,
            &ServerStatus::default(),
            status,
            &[("Content-Type", &"text/plain")],
            format!("{why}\n").as_bytes(),
        );
        Ok(())
    }
}

fn status(fault: DecodeError) -> u16 {
    match fault {
        DecodeError::Malformed(_) => 400,
        DecodeError::TooLarge(_) => 413,
    }
}

fn put(
    out: &mut Vec<u8>,
    about: &ServerStatus,
    status: u16,
    fields: &[(&str, &dyn std::fmt::Display)],
    body: &[u8],
) {
    let mut all = fields.to_vec();
    if let Some(value) = &about.value {
        all.push((VALUE, value));
    }
    if let Some(level) = &about.level {
        all.push((LEVEL, level));
    }
    response::encode(out, status, &all, body);
}

/// The one RPC of a connection.
pub(super) struct One;

impl Writer for One {
    fn answer(&self, out: &mut Vec<u8>, reply: &Reply<'_>, about: &ServerStatus) {
        match *reply {
            Reply::Ok(body) => put(
                out,
                about,
                200,
                &[("Content-Type", &"application/octet-stream")],
                body,
            ),
            Reply::Aborted => put(out, about, 500, &[], b""),
            Reply::Rejected {
                retry_after_ms,
                is_final,
            } => {
                let seconds = retry_after_ms.div_ceil(1000);
                let mut fields: Vec<(&str, &dyn std::fmt::Display)> = Vec::new();
                if retry_after_ms > 0 {
                    fields.extend([
                        ("Retry-After", &seconds as &dyn std::fmt::Display),
                        (RETRY_AFTER_MS, &retry_after_ms),
                    ]);
                }
                if is_final {
                    fields.push((NOWHERE, &1));
                }
                put(out, about, 503, &fields, b"");
            }
        }
    }

    fn failed(&self, out: &mut Vec<u8>) {
        put(out, &ServerStatus::default(), 500, &[], b"");
    }

    fn last(&self) -> bool {
        true
    }
}

impl Front for Scgi {
    fn read<'a>(
        self: Rc<Self>,
        connections: &'a Rc<Connections>,
        stream: &'a Async<TcpStream>,
        connection: &'a Rc<Connection>,
    ) -> Reading<'a> {
        Box::pin(async move { self.talk(connections, stream, connection).await })
    }

    /// SCGI has no words for it: a connection ends with its one answer.
    fn farewell(&self, _out: &mut Vec<u8>) {}
}
