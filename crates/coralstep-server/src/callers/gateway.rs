//! The front for gateways: framed Thrift, up to 32 open RPCs on a connection, answers in any order.
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use std::net::TcpStream;

use crate::base::clock;
use crate::base::lines::Ref;
use crate::callers::connection::Connection;
use crate::callers::connections::Connections;
use crate::callers::front::{Front, Reading, Writer};
use crate::callers::inbox::{Came, Inbox};
use crate::callers::said::{AGE_MOST, AHEAD_MOST, ROOM_MOST, TOKEN_MOST, within};
use crate::callers::thrift::{self, Fault, Message};
use crate::decisions::{RpcRequest, ServerStatus};
use crate::note;
use crate::runs::reply::Reply;

/// Open requests on one connection, by the protocol.
const OPEN_MOST: usize = 32;
/// The longest body, by the protocol.
const BODY_MOST: usize = 2 * 1024;
/// Messages that can't be carried out before a connection counts as one of no gateway, and the pause after each:
/// guards against a client that repeats them at full speed.
const FAULTS_MOST: u32 = 8;
const FAULT_PAUSE: Duration = Duration::from_millis(20);
/// Nothing more is read of a gateway that leaves so many bytes of answers unread.
const OUT_MOST: usize = 32 * 1024;

pub struct Thrift;

impl Front for Thrift {
    fn read<'a>(
        self: Rc<Self>,
        connections: &'a Rc<Connections>,
        stream: &'a Async<TcpStream>,
        connection: &'a Rc<Connection>,
    ) -> Reading<'a> {
        let talk = Talk {
            connections,
            connection,
            last: 0,
            faults: 0,
        };
        Box::pin(talk.read(stream))
    }

    fn farewell(&self, out: &mut Vec<u8>) {
        thrift::closing(out);
    }
}

/// What every answer carries.
fn fields(about: &ServerStatus) -> Vec<(&'static str, String)> {
    let value = about.value.map(|value| ("pressure", value.to_string()));
    value
        .into_iter()
        .chain(about.level.clone().map(|level| ("level", level)))
        .collect()
}

/// An open request, by its sequence number.
pub(super) struct Seq(pub(super) i32);

impl Writer for Seq {
    fn answer(&self, out: &mut Vec<u8>, reply: &Reply<'_>, about: &ServerStatus) {
        let (mut fields, seq) = (fields(about), self.0);
        match *reply {
            Reply::Ok(body) => thrift::answer(out, "invoke", seq, body, &fields, true),
            Reply::Aborted => thrift::internal(out, seq, &fields),
            Reply::Rejected {
                retry_after_ms,
                is_final,
            } => {
                if retry_after_ms > 0 {
                    fields.push(("cooldown", retry_after_ms.to_string()));
                }
                if is_final {
                    fields.push(("nowhere", "1".to_owned()));
                }
                thrift::overloaded(out, seq, &fields);
            }
        }
    }

    fn failed(&self, out: &mut Vec<u8>) {
        thrift::exception(out, self.0, "internal error");
    }

    fn last(&self) -> bool {
        false
    }
}

/// One connection's conversation.
struct Talk<'a> {
    connections: &'a Rc<Connections>,
    connection: &'a Rc<Connection>,
    /// The last sequence number.
    last: i32,
    faults: u32,
}

impl Talk<'_> {
    /// Until the gateway has gone or what it writes can't be understood.
    async fn read(mut self, stream: &Async<TcpStream>) -> Result<(), String> {
        let mut inbox = Inbox::new();
        loop {
            self.connection.out.below(OUT_MOST).await;
            match inbox.more(stream, self.connection).await? {
                Came::More => {}
                Came::End => return Ok(()),
                Came::Late => return Err("timed out".to_owned()),
            }
            let mut used = 0;
            loop {
                match thrift::frame(&inbox.bytes()[used..]) {
                    Ok(Some((frame, length))) => {
                        let faults = self.faults;
                        match thrift::decode(frame) {
                            Ok(message) => self.message(message)?,
                            Err(Fault::Message(seq, why)) => self.refuse(seq, why),
                            Err(Fault::Garbled) => return Err("garbled message".to_owned()),
                        }
                        used += length;
                        if self.faults >= FAULTS_MOST {
                            return Err("too many messages that can't be carried out".to_owned());
                        } else if self.faults > faults {
                            Timer::after(FAULT_PAUSE).await;
                        }
                    }
                    Ok(None) => break,
                    Err(_) => return Err("no frame of a proper length".to_owned()),
                }
            }
            if used > 0 {
                inbox.used(used);
            }
        }
    }

    fn refuse(&mut self, seq: i32, why: &str) {
        note!(client: "a request was not understood: {why}");
        self.faults += 1;
        self.connection
            .out
            .put(|out| thrift::exception(out, seq, why));
    }

    fn message(&mut self, message: Message<'_>) -> Result<(), String> {
        self.connection.heard();
        let (Message::Ping { seq } | Message::Invoke { seq, .. }) = message;
        // Guards against two requests under one number: the answer to one would pass as that to the other.
        if seq <= std::mem::replace(&mut self.last, seq) {
            return Err("a sequence number again".to_owned());
        }
        match message {
            Message::Ping { seq } => {
                let facade = &self.connections.facade;
                let (fields, good) = (fields(&facade.server_status()), facade.is_healthy());
                self.connection
                    .out
                    .put(|out| thrift::answer(out, "ping", seq, b"", &fields, good));
            }
            Message::Invoke { seq, fields, body } => match self.offer(&fields, body) {
                Ok((offer, id)) => {
                    self.connections
                        .begin(offer, id, body.to_vec(), self.connection, Seq(seq))
                }
                Err(why) => self.refuse(seq, why),
            },
        }
        Ok(())
    }

    fn offer(
        &self,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Result<(RpcRequest, Ref), &'static str> {
        if self.connection.open() >= OPEN_MOST {
            return Err("too many open requests");
        }
        if body.len() > BODY_MOST {
            return Err("body too long");
        }
        let facade = &self.connections.facade;
        let (mut offer, mut method, mut id, mut age, mut room) =
            (RpcRequest::default(), None, None, None, None);
        for (key, value) in fields {
            match *key {
                "service" => method = Some(facade.method_index(value).ok_or("unknown service")?),
                "ref" => id = Some(Ref::parse(value).ok_or("malformed ref")?),
                "since" => {
                    let stamp = value.parse().map_err(|_| "malformed since")?;
                    // Guards against stamps that would bend what is believed of the load.
                    let known = clock::age(stamp, AHEAD_MOST).filter(|age| *age <= AGE_MOST);
                    age = Some(known.ok_or("since out of range")?);
                }
                "project" => {
                    offer.tenant = Some(facade.tenant_index(value).ok_or("unknown project")?)
                }
                "sender" => drop(value.parse::<u32>().map_err(|_| "malformed sender")?),
                "dup" if *value != "1" => return Err("malformed dup"),
                "dup" => offer.retry = true,
                "room" => {
                    room = Some(
                        within(value, ROOM_MOST)
                            .filter(|kb| *kb > 0.0)
                            .ok_or("malformed room")?,
                    )
                }
                "class_rank" => drop(within(value, 1.0).ok_or("malformed class_rank")?),
                "replay" if value.len() > TOKEN_MOST => return Err("token too long"),
                "replay" => offer.idempotency_key = Some(value.as_bytes().into()),
                _ => {}
            }
        }
        let (method, id) = (method.ok_or("no service")?, id.ok_or("no ref")?);
        offer.method = method;
        offer.age = age.ok_or("no since")?;
        offer.age_unverified = !self.connection.proven.get();
        offer.memory_kb = room.ok_or("no room")?;
        Ok((offer, id))
    }
}
