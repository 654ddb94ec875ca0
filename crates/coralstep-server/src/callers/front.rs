//! What callers of every protocol have in common: listeners, the one table of connections and its bounds, who makes room,
//! the limits on messages that never end, the drain. A protocol is a [`Front`]: it reads what its callers write and
//! writes the answers, and decides nothing.
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::io;
use std::net::{IpAddr, TcpListener, TcpStream};
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, FutureExt};

use crate::base::config::Limits;
use crate::base::lines::Ref;
use crate::base::outbox::{Outbox, STUCK};
use crate::decisions::facade::{About, Facade, Offer};
use crate::note;
use crate::runs::course::{Course, Reply};

/// Pause after a connection could not be accepted: descriptors come free as connections close.
const FULL: Duration = Duration::from_millis(100);
/// Between two looks at idle connections; the shortest limit is longer.
const SWEEP: Duration = Duration::from_millis(100);
/// A caller asked to leave that still holds an idle connection open is left after so long.
const LEAVE: Duration = Duration::from_secs(5);
/// Guards against clients that say nothing and messages that never end: a connection's first message, and the rest of
/// any, has so long to come.
const MESSAGE: Duration = Duration::from_millis(1_500);
/// What is still open on a connection that can't be read any more is given up after so long.
const LEFT_OPEN: Duration = Duration::from_millis(1_000);
const READ: usize = 4 * 1024;

pub type Reading<'a> = Pin<Box<dyn Future<Output = Result<(), String>> + 'a>>;

/// A protocol that callers speak.
pub trait Front: 'static {
    /// Reads one connection until its caller has gone or what it writes can't be understood.
    fn read<'a>(
        self: Rc<Self>,
        table: &'a Rc<Table>,
        stream: &'a Async<TcpStream>,
        peer: &'a Rc<Peer>,
    ) -> Reading<'a>;

    /// Asks a caller to leave a connection, where the protocol has words for that.
    fn farewell(&self, out: &mut Vec<u8>);
}

/// Writes the one answer to an open RPC, in the words of its protocol.
pub trait Writer: 'static {
    fn answer(&self, out: &mut Vec<u8>, reply: &Reply<'_>, about: &About);

    /// In place of an answer, where its task failed.
    fn failed(&self, out: &mut Vec<u8>);

    /// Whether the connection ends with this answer.
    fn last(&self) -> bool;
}

/// One connection.
pub struct Peer {
    front: Rc<dyn Front>,
    /// Who is at the other end.
    pub from: IpAddr,
    pub out: Outbox,
    /// How many RPCs are open on it.
    open: Cell<usize>,
    /// It has sent a whole message.
    pub spoke: Cell<bool>,
    /// An RPC of it was served, so it is a gateway's: what it says of ages is believed.
    pub proven: Cell<bool>,
    /// Its callers have gone.
    gone: Cell<bool>,
    /// Nor is anything more to be written on it.
    cut: Cell<bool>,
    going: Event,
    /// Since when it carries nothing.
    pub idle: Cell<Instant>,
    /// When it was asked to leave.
    closing: Cell<Option<Instant>>,
    answered: Event,
}

impl Peer {
    pub fn new(front: Rc<dyn Front>, from: IpAddr) -> Peer {
        Peer {
            front,
            from,
            out: Outbox::default(),
            open: Cell::new(0),
            spoke: Cell::new(false),
            proven: Cell::new(false),
            gone: Cell::new(false),
            cut: Cell::new(false),
            going: Event::new(),
            idle: Cell::new(Instant::now()),
            closing: Cell::new(None),
            answered: Event::new(),
        }
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    fn busy(&self) -> bool {
        self.open.get() > 0
    }

    /// A whole message came.
    pub fn heard(&self) {
        self.idle.set(Instant::now());
        self.spoke.set(true);
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
    pub fn abandon(&self) {
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
            self.out.put(|out| self.front.farewell(out));
        }
    }
}

/// An open RPC; ends with its answer or, should its task fail, with word of that.
struct Open<W: Writer> {
    table: Rc<Table>,
    peer: Rc<Peer>,
    writer: W,
    answered: bool,
}

impl<W: Writer> Open<W> {
    fn answer(mut self, reply: &Reply<'_>) {
        self.peer.proven.set(self.peer.proven.get() || matches!(reply, Reply::Ok(_)));
        let about = self.table.facade.about();
        self.peer.out.put(|out| self.writer.answer(out, reply, &about));
        self.answered = true;
    }
}

impl<W: Writer> Drop for Open<W> {
    fn drop(&mut self) {
        if !self.answered {
            self.peer.out.put(|out| self.writer.failed(out));
        }
        if self.writer.last() {
            self.peer.out.close();
        }
        self.peer.open.set(self.peer.open.get() - 1);
        self.peer.idle.set(Instant::now());
        self.peer.answered.notify(usize::MAX);
    }
}

/// What came when more was to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    More,
    /// The caller has gone, with nothing left over.
    End,
    /// Nothing, for too long.
    Late,
}

/// What was read of one connection and not used yet.
pub struct Inbox {
    bytes: Vec<u8>,
    filled: usize,
    /// Since when a message is awaited.
    since: Instant,
}

impl Inbox {
    pub fn new() -> Inbox {
        Inbox { bytes: vec![0; READ], filled: 0, since: Instant::now() }
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes[..self.filled]
    }

    /// A message of so many bytes is done with.
    pub fn used(&mut self, count: usize) {
        self.bytes.copy_within(count..self.filled, 0);
        self.filled -= count;
        self.since = Instant::now();
        if self.filled == 0 && self.bytes.len() > READ {
            self.bytes = vec![0; READ];
        }
    }

    /// Reads on. A message's first byte may take for ever once one message came, its rest may not.
    pub async fn more(&mut self, mut stream: &Async<TcpStream>, peer: &Peer) -> Result<Came, String> {
        if self.filled == self.bytes.len() {
            self.bytes.resize(2 * self.filled, 0);
        }
        let (between, since) = (self.filled == 0 && peer.spoke.get(), self.since);
        let patience = async {
            if between {
                std::future::pending::<()>().await;
            }
            Timer::at(since + MESSAGE).await;
            // Guards against a pause of the process: the rest may have come, unread as yet.
            yield_now().await;
            Err(io::ErrorKind::TimedOut.into())
        };
        match stream.read(&mut self.bytes[self.filled..]).or(patience).await {
            Ok(0) if self.filled == 0 => return Ok(Came::End),
            Ok(0) => return Err("a message was cut short".to_owned()),
            Ok(count) => {
                if between {
                    self.since = Instant::now();
                }
                self.filled += count;
            }
            Err(why) if why.kind() == io::ErrorKind::TimedOut => return Ok(Came::Late),
            Err(why) => {
                peer.abandon();
                return Err(why.to_string());
            }
        }
        // Guards against a caller that always has more to read: others and the timers come in between.
        yield_now().await;
        Ok(Came::More)
    }
}

impl Default for Inbox {
    fn default() -> Inbox {
        Inbox::new()
    }
}

async fn after(span: Duration) {
    Timer::after(span).await;
}

/// All connections of all fronts.
pub struct Table {
    executor: Rc<LocalExecutor<'static>>,
    pub facade: Rc<Facade>,
    pub course: Rc<Course>,
    limits: Limits,
    peers: RefCell<Vec<Rc<Peer>>>,
    /// Nobody is let in any more.
    shut: Cell<bool>,
    shutting: Event,
    left: Event,
}

impl Table {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        facade: Rc<Facade>,
        course: Rc<Course>,
        limits: Limits,
    ) -> Table {
        Table {
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

    /// Accepts until `shut`, then whatever the system had already accepted for us.
    pub async fn listen(self: &Rc<Self>, listener: Async<TcpListener>, front: Rc<dyn Front>) {
        while !self.shut.get() {
            let shutting = self.shutting.listen();
            let stop = async {
                shutting.await;
                Err(io::ErrorKind::Interrupted.into())
            };
            match listener.accept().or(stop).await {
                Ok((stream, from)) => self.admit(stream, from.ip(), &front),
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
        while let Ok((stream, from)) = listener.get_ref().accept() {
            match Async::new(stream) {
                Ok(stream) => self.admit(stream, from.ip(), &front),
                Err(why) => note!("accept: {why}"),
            }
        }
    }

    /// Ends the connection that is missed least: guards against silent clients that lock gateways out. First one that
    /// never said anything, else one that carries nothing, each for the longest time; `false` where all carry something.
    /// Of the silent ones, the front that has most gives one up: guards against a flood at one that leaves callers of
    /// another no time for their first word.
    fn make_room(&self) -> bool {
        let peers = self.peers.borrow();
        let free = |peer: &&Rc<Peer>| !peer.busy() && !peer.gone.get();
        let silent = |front: &Rc<dyn Front>| {
            let of = peers.iter().filter(free).filter(|peer| !peer.spoke.get());
            of.filter(|peer| Rc::ptr_eq(&peer.front, front)).count()
        };
        let least = peers.iter().filter(free).min_by_key(|peer| {
            let spoke = peer.spoke.get();
            (spoke, Reverse(if spoke { 0 } else { silent(&peer.front) }), peer.idle.get())
        });
        least.inspect(|peer| peer.abandon()).is_some()
    }

    fn admit(self: &Rc<Self>, stream: Async<TcpStream>, from: IpAddr, front: &Rc<dyn Front>) {
        if self.peers.borrow().len() >= self.limits.connections {
            note!(client: "the table of connections is full");
            if !self.make_room() {
                return;
            }
        }
        let _ = stream.get_ref().set_nodelay(true);
        let peer = Rc::new(Peer::new(front.clone(), from));
        self.peers.borrow_mut().push(peer.clone());
        if self.shut.get() {
            peer.close();
        }
        let table = self.clone();
        let task = async move {
            let served = AssertUnwindSafe(table.serve(&stream, &peer)).catch_unwind().await;
            if served.is_err() {
                note!("a connection ended by a panic");
            }
            peer.abandon();
            table.peers.borrow_mut().retain(|other| !Rc::ptr_eq(other, &peer));
            table.left.notify(usize::MAX);
        };
        self.executor.spawn(task).detach();
    }

    async fn serve(self: &Rc<Self>, stream: &Async<TcpStream>, peer: &Rc<Peer>) {
        let read = async {
            if let Err(why) = peer.front.clone().read(self, stream, peer).await {
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

    /// Lets an RPC take its course; `writer` writes its one answer to `peer`.
    pub fn begin(
        self: &Rc<Self>,
        offer: Offer,
        id: Ref,
        body: Vec<u8>,
        peer: &Rc<Peer>,
        writer: impl Writer,
    ) {
        peer.open.set(peer.open.get() + 1);
        let open = Open { table: self.clone(), peer: peer.clone(), writer, answered: false };
        let (course, peer) = (self.course.clone(), peer.clone());
        let task = async move {
            let run = course.run(offer, id, body, peer.abandoned(), |reply| open.answer(&reply));
            if AssertUnwindSafe(run).catch_unwind().await.is_err() {
                note!("{id} ended by a panic");
            }
        };
        self.executor.spawn(task).detach();
    }

    /// Asks callers to leave connections that carry nothing for too long.
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
    use crate::base::places::{Place, Places};
    use crate::callers::gateway::Thrift;
    use crate::dependency::store::Store;
    use crate::runs::engine::Engine;

    fn table() -> Table {
        let limits = Limits { connections: 3, answers: 100, rpcs: 1, results: 1, ids: 1 };
        let terms = Terms { methods: vec![Method::default()], ..Terms::default() };
        let facade = Rc::new(Facade::new(terms, Names::default(), 1, &limits));
        let nowhere = Some("127.0.0.1:9".parse().unwrap());
        let places =
            Places { engine: Place::new(nowhere), store: Place::new(None), control: Place::new(nowhere) };
        let (engine, store) = (Rc::new(Engine::default()), Store(Rc::new(places)));
        let course = Rc::new(Course::new(facade.clone(), engine, store, &limits));
        Table::new(Rc::new(LocalExecutor::new()), facade, course, limits)
    }

    fn peers(table: &Table, count: usize) -> Vec<Rc<Peer>> {
        let front: Rc<dyn Front> = Rc::new(Thrift);
        let one = |_| Rc::new(Peer::new(front.clone(), IpAddr::from([127, 0, 0, 1])));
        let peers: Vec<_> = (0..count).map(one).collect();
        table.peers.borrow_mut().extend(peers.iter().cloned());
        peers
    }

    #[test]
    fn who_never_spoke_makes_room_first_and_who_carries_something_never() {
        let table = table();
        let peers = peers(&table, 4);
        let (busy, longest, idle, silent) = (&peers[0], &peers[1], &peers[2], &peers[3]);
        busy.open.set(1);
        [busy, longest, idle].iter().for_each(|peer| peer.spoke.set(true));
        idle.idle.set(longest.idle.get() + Duration::from_millis(1));
        for next in [silent, longest, idle] {
            assert!(!next.gone.get() && table.make_room() && next.gone.get());
        }
        assert!(!table.make_room() && !busy.gone.get());
    }

    #[test]
    fn of_two_fronts_the_one_with_more_silent_callers_makes_room() {
        let table = table();
        let few = peers(&table, 1);
        let many = peers(&table, 3);
        // The caller of the other front waits for the longest time and keeps its place all the same.
        let moment = few[0].idle.get() + Duration::from_millis(1);
        many.iter().for_each(|peer| peer.idle.set(moment));
        assert!(table.make_room() && table.make_room());
        assert!(!few[0].gone.get() && many.iter().filter(|peer| peer.gone.get()).count() == 2);
    }

    #[test]
    fn unread_answers_of_all_connections_are_bounded_together() {
        let table = table();
        let peers = peers(&table, 3);
        for (peer, bytes) in peers.iter().zip([30, 50, 20]) {
            peer.out.put(|out| out.resize(bytes, 0));
        }
        table.bound_answers();
        assert!(peers.iter().all(|peer| !peer.cut.get()));
        peers[2].out.put(|out| out.push(0));
        table.bound_answers();
        assert_eq!(peers.iter().map(|peer| peer.cut.get()).collect::<Vec<_>>(), [false, true, false]);
    }
}
