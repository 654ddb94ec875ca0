//! Where gateways connect: the listener, its connections, and Thrift on each. Answers go out in any order.
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, FutureExt};

use crate::clock;
use crate::config::Limits;
use crate::course::{Course, Reply};
use crate::facade::{Facade, Offer};
use crate::lines::Ref;
use crate::note;
use crate::outbox::{Outbox, STUCK};
use crate::thrift::{self, Fault, Message};

/// Open requests on one connection, by the protocol.
const OPEN_MOST: usize = 32;
/// The longest body, and the most that one RPC may be said to book, by the protocol.
const BODY_MOST: usize = 2 * 1024;
const ROOM_MOST: f64 = 2_000.0;
/// The longest token: kept for as long as the window, so it is bounded more closely than a frame.
const TOKEN_MOST: usize = 256;
/// Pause after a connection could not be accepted: descriptors come free as connections close.
const FULL: Duration = Duration::from_millis(100);
/// Between two looks at idle connections; the shortest limit is longer.
const SWEEP: Duration = Duration::from_millis(100);
/// A gateway asked to leave that still holds an idle connection open is left after so long.
const LEAVE: Duration = Duration::from_secs(5);
/// Bytes of a frame may trickle in for so long; a pause of the machine is shorter.
const TRICKLE: Duration = Duration::from_secs(30);
/// Nothing more is read of a gateway that leaves so many bytes of answers unread.
const OUT_MOST: usize = 32 * 1024;
const READ: usize = 4 * 1024;

/// One connection.
struct Peer {
    out: Outbox,
    open: Cell<usize>,
    /// Since when it carries nothing.
    idle: Cell<Instant>,
    /// When it was asked to leave.
    closing: Cell<Option<Instant>>,
    answered: Event,
}

impl Peer {
    fn close(&self) {
        if self.closing.get().is_none() {
            self.closing.set(Some(Instant::now()));
            self.out.put(thrift::closing);
        }
    }
}

/// An open request; ends with its answer or, should its task fail, with an exception.
struct Open {
    gateway: Rc<Gateway>,
    peer: Rc<Peer>,
    seq: i32,
    answered: bool,
}

impl Open {
    fn answer(mut self, reply: Reply<'_>) {
        let mut fields = self.gateway.fields();
        let seq = self.seq;
        self.peer.out.put(|out| match reply {
            Reply::Ok(body) => thrift::answer(out, "invoke", seq, body, &fields, true),
            Reply::Aborted => thrift::internal(out, seq, &fields),
            Reply::PushedBack { after_ms, last } => {
                if after_ms > 0 {
                    fields.push(("cooldown", after_ms.to_string()));
                }
                if last {
                    fields.push(("nowhere", "1".to_owned()));
                }
                thrift::overloaded(out, seq, &fields);
            }
        });
        self.answered = true;
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        if !self.answered {
            self.peer.out.put(|out| thrift::exception(out, self.seq, "internal error"));
        }
        self.peer.open.set(self.peer.open.get() - 1);
        self.peer.idle.set(Instant::now());
        self.peer.answered.notify(usize::MAX);
    }
}

pub struct Gateway {
    executor: Rc<LocalExecutor<'static>>,
    facade: Rc<Facade>,
    course: Rc<Course>,
    limits: Limits,
    peers: RefCell<Vec<Rc<Peer>>>,
    /// Nobody is let in any more.
    shut: Cell<bool>,
    shutting: Event,
    left: Event,
}

impl Gateway {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        facade: Rc<Facade>,
        course: Rc<Course>,
        limits: Limits,
    ) -> Gateway {
        Gateway {
            executor,
            facade,
            course,
            limits,
            peers: RefCell::default(),
            shut: Cell::new(false),
            shutting: Event::new(),
            left: Event::new(),
        }
    }

    /// What every answer carries.
    fn fields(&self) -> Vec<(&'static str, String)> {
        self.facade.value().map(|value| ("pressure", value.to_string())).into_iter().collect()
    }

    /// Accepts until `shut`, then whatever the system had already accepted for us.
    pub async fn listen(self: &Rc<Self>, listener: Async<TcpListener>) {
        while !self.shut.get() {
            if self.peers.borrow().len() >= self.limits.connections {
                let left = self.left.listen();
                if self.peers.borrow().len() >= self.limits.connections {
                    left.or(self.shutting.listen()).await;
                    continue;
                }
            }
            let shutting = self.shutting.listen();
            let stop = async {
                shutting.await;
                Err(io::ErrorKind::Interrupted.into())
            };
            match listener.accept().or(stop).await {
                Ok((stream, _)) => self.admit(stream),
                Err(why) if why.kind() == io::ErrorKind::Interrupted => {}
                Err(why) => {
                    note!("accept: {why}");
                    Timer::after(FULL).await;
                }
            }
        }
        // Guards against connections reset in the backlog, with requests that were written already.
        while let Ok((stream, _)) = listener.get_ref().accept() {
            match Async::new(stream) {
                Ok(stream) => self.admit(stream),
                Err(why) => note!("accept: {why}"),
            }
        }
    }

    fn admit(self: &Rc<Self>, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        let peer = Rc::new(Peer {
            out: Outbox::default(),
            open: Cell::new(0),
            idle: Cell::new(Instant::now()),
            closing: Cell::new(None),
            answered: Event::new(),
        });
        self.peers.borrow_mut().push(peer.clone());
        if self.shut.get() {
            peer.close();
        }
        let gateway = self.clone();
        let task = async move {
            let served = AssertUnwindSafe(gateway.serve(&stream, &peer)).catch_unwind().await;
            if served.is_err() {
                note!("a connection ended by a panic");
            }
            gateway.peers.borrow_mut().retain(|other| !Rc::ptr_eq(other, &peer));
            gateway.left.notify(usize::MAX);
        };
        self.executor.spawn(task).detach();
    }

    async fn serve(self: &Rc<Self>, stream: &Async<TcpStream>, peer: &Rc<Peer>) {
        let read = async {
            if let Err(why) = self.read(stream, peer).await {
                note!("connection ended: {why}");
            }
            // Open answers still go out; then the connection ends.
            while peer.open.get() > 0 {
                let answered = peer.answered.listen();
                if peer.open.get() > 0 {
                    answered.await;
                }
            }
            peer.out.close();
            std::future::pending().await
        };
        let write = async {
            let _ = peer.out.run(stream, STUCK).await;
        };
        write.or(read).await;
    }

    /// Until the gateway has gone or what it writes can't be understood.
    async fn read(self: &Rc<Self>, mut stream: &Async<TcpStream>, peer: &Rc<Peer>) -> Result<(), String> {
        let (mut buffer, mut filled) = (vec![0; READ], 0);
        loop {
            peer.out.below(OUT_MOST).await;
            if filled == buffer.len() {
                buffer.resize(2 * filled, 0);
            }
            let patience = async {
                if filled == 0 {
                    std::future::pending::<()>().await;
                }
                Timer::after(TRICKLE).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            match stream.read(&mut buffer[filled..]).or(patience).await {
                Ok(0) if filled == 0 => return Ok(()),
                Ok(0) => return Err("a frame was cut short".to_owned()),
                Ok(count) => filled += count,
                Err(why) => return Err(why.to_string()),
            }
            // Guards against a gateway that always has more to read: others and the timers come in between.
            yield_now().await;
            let mut used = 0;
            loop {
                match thrift::frame(&buffer[used..filled]) {
                    Ok(Some((frame, length))) => {
                        match thrift::decode(frame) {
                            Ok(message) => self.message(peer, message),
                            Err(Fault::Message(seq, why)) => self.refuse(peer, seq, why),
                            Err(Fault::Garbled) => return Err("garbled message".to_owned()),
                        }
                        used += length;
                    }
                    Ok(None) => break,
                    Err(_) => return Err("no frame of a proper length".to_owned()),
                }
            }
            buffer.copy_within(used..filled, 0);
            filled -= used;
            if filled == 0 && buffer.len() > READ {
                buffer = vec![0; READ];
            }
        }
    }

    fn refuse(&self, peer: &Rc<Peer>, seq: i32, why: &str) {
        note!("a request was not understood: {why}");
        peer.out.put(|out| thrift::exception(out, seq, why));
    }

    fn message(self: &Rc<Self>, peer: &Rc<Peer>, message: Message<'_>) {
        peer.idle.set(Instant::now());
        match message {
            Message::Ping { seq } => {
                let (fields, good) = (self.fields(), self.facade.healthy());
                peer.out.put(|out| thrift::answer(out, "ping", seq, b"", &fields, good));
            }
            Message::Invoke { seq, fields, body } => {
                if let Err(why) = self.invoke(peer, seq, &fields, body) {
                    self.refuse(peer, seq, why);
                }
            }
        }
    }

    fn invoke(
        self: &Rc<Self>,
        peer: &Rc<Peer>,
        seq: i32,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Result<(), &'static str> {
        if peer.open.get() >= OPEN_MOST {
            return Err("too many open requests");
        }
        if body.len() > BODY_MOST {
            return Err("body too long");
        }
        let (mut offer, mut method, mut id, mut since, mut room) = (Offer::default(), None, None, None, None);
        for (key, value) in fields {
            match *key {
                "service" => method = Some(self.facade.method(value).ok_or("unknown service")?),
                "ref" => id = Some(Ref::parse(value).ok_or("malformed ref")?),
                "since" => since = Some(value.parse().map_err(|_| "malformed since")?),
                "project" => offer.tenant = self.facade.tenant(value),
                "dup" => offer.retry = *value == "1",
                "room" => {
                    let kb = value.parse().ok().filter(|kb: &f64| *kb > 0.0 && *kb < ROOM_MOST);
                    room = Some(kb.ok_or("malformed room")?);
                }
                "replay" if value.len() > TOKEN_MOST => return Err("token too long"),
                "replay" => offer.token = Some(value.as_bytes().into()),
                _ => {}
            }
        }
        let (method, id) = (method.ok_or("no service")?, id.ok_or("no ref")?);
        offer.method = method;
        offer.age = clock::age(since.ok_or("no since")?);
        offer.room_kb = room.ok_or("no room")?;
        peer.open.set(peer.open.get() + 1);
        let open = Open { gateway: self.clone(), peer: peer.clone(), seq, answered: false };
        let (course, body) = (self.course.clone(), body.to_vec());
        let task = async move {
            let run = course.run(offer, id, body, |reply| open.answer(reply));
            if AssertUnwindSafe(run).catch_unwind().await.is_err() {
                note!("{id} ended by a panic");
            }
        };
        self.executor.spawn(task).detach();
        Ok(())
    }

    /// Asks gateways to leave connections that carry nothing for too long.
    pub async fn sweep(&self) {
        loop {
            Timer::after(SWEEP).await;
            let now = Instant::now();
            let limit = self.facade.idle_limit();
            for peer in self.peers.borrow().iter().filter(|peer| peer.open.get() == 0) {
                if limit.is_some_and(|limit| now.saturating_duration_since(peer.idle.get()) >= limit) {
                    peer.close();
                }
                if peer.closing.get().is_some_and(|since| now.saturating_duration_since(since) >= LEAVE) {
                    peer.out.close();
                }
            }
        }
    }

    /// Lets nobody in any more and asks all to leave.
    pub fn shut(&self) {
        self.shut.set(true);
        self.shutting.notify(usize::MAX);
        self.peers.borrow().iter().for_each(|peer| peer.close());
    }

    /// Ends when no connection is left.
    pub async fn empty(&self) {
        while !self.peers.borrow().is_empty() {
            let left = self.left.listen();
            if !self.peers.borrow().is_empty() {
                left.await;
            }
        }
    }
}
