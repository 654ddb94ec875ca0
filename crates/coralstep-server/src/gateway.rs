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

use coralstep::Span;

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
/// Guards against clients that say nothing and messages that never end: a connection's first message, and the rest of
/// any, has so long to come.
const MESSAGE: Duration = Duration::from_millis(1_500);
/// What is still open on a connection that can't be read any more is given up after so long.
const LEFT_OPEN: Duration = Duration::from_millis(1_000);
/// Messages that can't be carried out before a connection counts as one of no gateway, and the pause after each:
/// guards against a client that repeats them at full speed.
const FAULTS_MOST: u32 = 8;
const FAULT_PAUSE: Duration = Duration::from_millis(20);
/// The age of a request may be anything up to this; what is older, nobody waits for. A machine's pause is shorter.
const AGE_MOST: Span = Span::ms(60_000);
/// How far ahead of ours the clock of a sender's stamps may be.
const AHEAD_MOST: Duration = Duration::from_millis(500);
/// Nothing more is read of a gateway that leaves so many bytes of answers unread.
const OUT_MOST: usize = 32 * 1024;
const READ: usize = 4 * 1024;

/// One connection.
struct Peer {
    out: Outbox,
    /// Sequence numbers of what is open, and the last one read.
    open: RefCell<Vec<i32>>,
    last: Cell<i32>,
    /// It has sent a whole message.
    spoke: Cell<bool>,
    /// An RPC of it was served, so it is a gateway's: what it says of ages is believed.
    proven: Cell<bool>,
    faults: Cell<u32>,
    /// Its callers have gone.
    gone: Cell<bool>,
    /// Nor is anything more to be written on it.
    cut: Cell<bool>,
    going: Event,
    /// Since when it carries nothing.
    idle: Cell<Instant>,
    /// When it was asked to leave.
    closing: Cell<Option<Instant>>,
    answered: Event,
}

impl Peer {
    fn new() -> Peer {
        Peer {
            out: Outbox::default(),
            open: RefCell::default(),
            last: Cell::new(0),
            spoke: Cell::new(false),
            proven: Cell::new(false),
            faults: Cell::new(0),
            gone: Cell::new(false),
            cut: Cell::new(false),
            going: Event::new(),
            idle: Cell::new(Instant::now()),
            closing: Cell::new(None),
            answered: Event::new(),
        }
    }

    fn busy(&self) -> bool {
        !self.open.borrow().is_empty()
    }

    /// Ends when all that is open has its answer.
    async fn answered(&self) {
        while self.busy() {
            let answered = self.answered.listen();
            if self.busy() {
                answered.await;
            }
        }
    }

    /// Whatever is open on it, nobody waits for that any more.
    fn abandon(&self) {
        self.gone.set(true);
        self.going.notify(usize::MAX);
    }

    async fn abandoned(&self) {
        while !self.gone.get() {
            let going = self.going.listen();
            if !self.gone.get() {
                going.await;
            }
        }
    }

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
        self.peer.proven.set(self.peer.proven.get() || matches!(reply, Reply::Ok(_)));
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
        self.peer.open.borrow_mut().retain(|seq| *seq != self.seq);
        self.peer.idle.set(Instant::now());
        self.peer.answered.notify(usize::MAX);
    }
}

async fn after(span: Duration) {
    Timer::after(span).await;
}

/// A figure from 0 to under `most`.
fn within(value: &str, most: f64) -> Option<f64> {
    value.parse().ok().filter(|figure: &f64| *figure >= 0.0 && *figure < most)
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
                    let left = self.left.listen();
                    self.make_room();
                    left.or(after(FULL)).await;
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

    /// Ends the connection that is missed least: guards against silent clients that lock gateways out. First one that
    /// never said anything, else one that carries nothing, each for the longest time; `false` where all carry something.
    fn make_room(&self) -> bool {
        let peers = self.peers.borrow();
        let free = peers.iter().filter(|peer| !peer.busy() && !peer.gone.get());
        let least = free.min_by_key(|peer| (peer.spoke.get(), peer.idle.get()));
        least.inspect(|peer| peer.abandon()).is_some()
    }

    fn admit(self: &Rc<Self>, stream: Async<TcpStream>) {
        if self.peers.borrow().len() >= self.limits.connections {
            note!(client: "the table of connections is full");
            if !self.make_room() {
                return;
            }
        }
        let _ = stream.get_ref().set_nodelay(true);
        let peer = Rc::new(Peer::new());
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
            peer.abandon();
            gateway.peers.borrow_mut().retain(|other| !Rc::ptr_eq(other, &peer));
            gateway.left.notify(usize::MAX);
        };
        self.executor.spawn(task).detach();
    }

    async fn serve(self: &Rc<Self>, stream: &Async<TcpStream>, peer: &Rc<Peer>) {
        let read = async {
            if let Err(why) = self.read(stream, peer).await {
                note!(client: "connection ended: {why}");
            }
            // Open answers still go out; then the connection ends.
            peer.answered().or(after(LEFT_OPEN)).await;
            peer.abandon();
            std::future::pending().await
        };
        let write = async {
            let _ = peer.out.run(stream, STUCK).await;
        };
        let gone = async {
            peer.abandoned().await;
            if !peer.cut.get() {
                // What was open gets its answer, and all answers a moment to be read.
                peer.answered().or(after(LEFT_OPEN)).await;
                peer.out.close();
                after(LEFT_OPEN).await;
            }
        };
        write.or(gone).or(read).await;
    }

    /// Until the gateway has gone or what it writes can't be understood.
    async fn read(self: &Rc<Self>, mut stream: &Async<TcpStream>, peer: &Rc<Peer>) -> Result<(), String> {
        let (mut buffer, mut filled) = (vec![0; READ], 0);
        // Since when a message is awaited.
        let mut since = Instant::now();
        loop {
            peer.out.below(OUT_MOST).await;
            if filled == buffer.len() {
                buffer.resize(2 * filled, 0);
            }
            let patience = async {
                if filled == 0 && peer.spoke.get() {
                    std::future::pending::<()>().await;
                }
                Timer::at(since + MESSAGE).await;
                // Guards against a pause of the process: the rest may have come, unread as yet.
                yield_now().await;
                Err(io::ErrorKind::TimedOut.into())
            };
            match stream.read(&mut buffer[filled..]).or(patience).await {
                Ok(0) if filled == 0 => return Ok(()),
                Ok(0) => return Err("a frame was cut short".to_owned()),
                Ok(count) => {
                    if filled == 0 && peer.spoke.get() {
                        since = Instant::now();
                    }
                    filled += count;
                }
                Err(why) => {
                    if why.kind() != io::ErrorKind::TimedOut {
                        peer.abandon();
                    }
                    return Err(why.to_string());
                }
            }
            // Guards against a gateway that always has more to read: others and the timers come in between.
            yield_now().await;
            let mut used = 0;
            loop {
                match thrift::frame(&buffer[used..filled]) {
                    Ok(Some((frame, length))) => {
                        let faults = peer.faults.get();
                        match thrift::decode(frame) {
                            Ok(message) => self.message(peer, message)?,
                            Err(Fault::Message(seq, why)) => self.refuse(peer, seq, why),
                            Err(Fault::Garbled) => return Err("garbled message".to_owned()),
                        }
                        used += length;
                        since = Instant::now();
                        if peer.faults.get() >= FAULTS_MOST {
                            return Err("too many messages that can't be carried out".to_owned());
                        } else if peer.faults.get() > faults {
                            Timer::after(FAULT_PAUSE).await;
                        }
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
        note!(client: "a request was not understood: {why}");
        peer.faults.set(peer.faults.get() + 1);
        peer.out.put(|out| thrift::exception(out, seq, why));
    }

    fn message(self: &Rc<Self>, peer: &Rc<Peer>, message: Message<'_>) -> Result<(), String> {
        peer.idle.set(Instant::now());
        peer.spoke.set(true);
        let (Message::Ping { seq } | Message::Invoke { seq, .. }) = message;
        // Guards against two requests under one number: the answer to one would pass as that to the other.
        if seq <= peer.last.replace(seq) {
            return Err("a sequence number again".to_owned());
        }
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
        Ok(())
    }

    fn invoke(
        self: &Rc<Self>,
        peer: &Rc<Peer>,
        seq: i32,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Result<(), &'static str> {
        if peer.open.borrow().len() >= OPEN_MOST {
            return Err("too many open requests");
        }
        if body.len() > BODY_MOST {
            return Err("body too long");
        }
        let (mut offer, mut method, mut id, mut age, mut room) = (Offer::default(), None, None, None, None);
        for (key, value) in fields {
            match *key {
                "service" => method = Some(self.facade.method(value).ok_or("unknown service")?),
                "ref" => id = Some(Ref::parse(value).ok_or("malformed ref")?),
                "since" => {
                    let stamp = value.parse().map_err(|_| "malformed since")?;
                    // Guards against stamps that would bend what is believed of the load.
                    let known = clock::age(stamp, AHEAD_MOST).filter(|age| *age <= AGE_MOST);
                    age = Some(known.ok_or("since out of range")?);
                }
                "project" => offer.tenant = Some(self.facade.tenant(value).ok_or("unknown project")?),
                "sender" => drop(value.parse::<u32>().map_err(|_| "malformed sender")?),
                "dup" if *value != "1" => return Err("malformed dup"),
                "dup" => offer.retry = true,
                "room" => {
                    room = Some(within(value, ROOM_MOST).filter(|kb| *kb > 0.0).ok_or("malformed room")?)
                }
                "class_rank" => drop(within(value, 1.0).ok_or("malformed class_rank")?),
                "replay" if value.len() > TOKEN_MOST => return Err("token too long"),
                "replay" => offer.token = Some(value.as_bytes().into()),
                _ => {}
            }
        }
        let (method, id) = (method.ok_or("no service")?, id.ok_or("no ref")?);
        offer.method = method;
        offer.age = age.ok_or("no since")?;
        offer.claimed = !peer.proven.get();
        offer.room_kb = room.ok_or("no room")?;
        if !self.course.free(id) {
            return Err("this ref is here already");
        }
        peer.open.borrow_mut().push(seq);
        let open = Open { gateway: self.clone(), peer: peer.clone(), seq, answered: false };
        let (course, body, peer) = (self.course.clone(), body.to_vec(), peer.clone());
        let task = async move {
            let run = course.run(offer, id, body, peer.abandoned(), |reply| open.answer(reply));
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
            for peer in self.peers.borrow().iter().filter(|peer| !peer.busy()) {
                if limit.is_some_and(|limit| now.saturating_duration_since(peer.idle.get()) >= limit) {
                    peer.close();
                }
                if peer.closing.get().is_some_and(|since| now.saturating_duration_since(since) >= LEAVE) {
                    peer.out.close();
                }
            }
            self.bound_answers();
        }
    }

    /// Guards against callers that read nothing: together their answers would fill the memory.
    fn bound_answers(&self) {
        let peers = self.peers.borrow();
        let waiting: usize = peers.iter().map(|peer| peer.out.waiting()).sum();
        if waiting > self.limits.answers
            && let Some(most) = peers.iter().max_by_key(|peer| peer.out.waiting())
        {
            note!("unread answers fill the memory: one connection is ended");
            most.cut.set(true);
            most.abandon();
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

#[cfg(test)]
mod tests {
    use coralstep::{Method, Terms};
    use coralstep_terms::Names;

    use super::*;
    use crate::engine::Engine;
    use crate::reload::{Place, Places};
    use crate::store::Store;

    fn gateway() -> Gateway {
        let limits = Limits { connections: 3, answers: 100, rpcs: 1, results: 1 };
        let terms = Terms { methods: vec![Method::default()], ..Terms::default() };
        let facade = Rc::new(Facade::new(terms, Names::default(), 1, &limits));
        let nowhere = "127.0.0.1:9".parse().unwrap();
        let places =
            Places { engine: Place::new(nowhere), store: Place::new(None), control: Place::new(nowhere) };
        let (engine, store) = (Rc::new(Engine::default()), Store(Rc::new(places)));
        let course = Rc::new(Course { facade: facade.clone(), engine, store });
        Gateway::new(Rc::new(LocalExecutor::new()), facade, course, limits)
    }

    fn peers(gateway: &Gateway, count: usize) -> Vec<Rc<Peer>> {
        let peers: Vec<_> = (0..count).map(|_| Rc::new(Peer::new())).collect();
        gateway.peers.borrow_mut().extend(peers.iter().cloned());
        peers
    }

    #[test]
    fn who_never_spoke_makes_room_first_and_who_carries_something_never() {
        let gateway = gateway();
        let peers = peers(&gateway, 4);
        let (busy, longest, idle, silent) = (&peers[0], &peers[1], &peers[2], &peers[3]);
        busy.open.borrow_mut().push(1);
        [busy, longest, idle].iter().for_each(|peer| peer.spoke.set(true));
        idle.idle.set(longest.idle.get() + Duration::from_millis(1));
        for next in [silent, longest, idle] {
            assert!(!next.gone.get() && gateway.make_room() && next.gone.get());
        }
        assert!(!gateway.make_room() && !busy.gone.get());
    }

    #[test]
    fn unread_answers_of_all_connections_are_bounded_together() {
        let gateway = gateway();
        let peers = peers(&gateway, 3);
        for (peer, bytes) in peers.iter().zip([30, 50, 20]) {
            peer.out.put(|out| out.resize(bytes, 0));
        }
        gateway.bound_answers();
        assert!(peers.iter().all(|peer| !peer.cut.get()));
        peers[2].out.put(|out| out.push(0));
        gateway.bound_answers();
        assert_eq!(peers.iter().map(|peer| peer.cut.get()).collect::<Vec<_>>(), [false, true, false]);
    }
}
