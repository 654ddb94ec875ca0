//! The link to the engine that owns the cores: kept up, attached anew after a break, its notices handed to the runs.
use std::cell::{Cell, RefCell};
use std::collections::hash_map::{Entry, HashMap};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, FutureExt};

use crate::base::backoff::Backoff;
use crate::base::descriptors::Descriptors;
use crate::base::endpoints::{Endpoint, Endpoints};
use crate::base::lines::{self, Ref};
use crate::base::outbox::Outbox;
use crate::decisions::facade::{Facade, RunEnd};
use crate::note;
use crate::runs::{Notice, Notices, Order, Runs};

/// Between two attempts to connect, at first and at the most. What runs meanwhile can't be told anything, and the engine is on
/// this machine: the waits stay short.
const AGAIN: Duration = Duration::from_millis(20);
const AGAIN_MOST: Duration = Duration::from_millis(200);
/// The longest wait for a connection, and for an old link's word that it has read all, before another replaces it.
const CONNECT: Duration = Duration::from_millis(500);
const SETTLE: Duration = Duration::from_millis(300);
/// The start of an engine is only known to a few milliseconds; one that moved by more is another engine.
const SAME_START: Duration = Duration::from_millis(500);
/// An answer has reached its gateway after so long, and the engine knows that the RPC is over.
const KNOWN: Duration = Duration::from_secs(1);
/// A link whose questions stay without answer for so long is made anew; a pause of the machine costs no more than that.
const DEAF: Duration = Duration::from_secs(2);
const READ: usize = 64 * 1024;

/// The last command of a run, until a notice proves that it was read.
struct Command {
    bytes: Vec<u8>,
    /// Begins the run.
    starts: bool,
    /// May be sent again though it may have been read.
    repeatable: bool,
    /// The link and the place in its outbox.
    sent: Option<(u64, u64)>,
    /// The engine is known to have read it.
    read: bool,
}

#[derive(Default)]
struct Run {
    notices: Notices,
    command: Option<Command>,
    started: bool,
    /// When its RPC was answered.
    answered: Option<Instant>,
    halted: bool,
}

struct Link {
    number: u64,
    out: Rc<Outbox>,
    /// All older notices were read; commands may be sent.
    ready: bool,
    /// The engine has said that it is up.
    spoke: bool,
    /// The place of the question for gauges that is open, and since when.
    asked: Option<(u64, Instant)>,
    /// That was found to be long at the last tick.
    late: bool,
    /// What was sent before this place has been read: a later question was answered.
    read: u64,
    /// Runs whose commands wait until all that was sent is known to be read.
    waiting: Vec<Ref>,
}

impl Link {
    fn ask(&mut self) {
        let place = self
            .out
            .put(|out| lines::put(out, format_args!("STAT gauges"), None));
        self.asked = Some((place, Instant::now()));
    }

    fn send(&self, command: &mut Command) {
        let place = self.out.put(|out| out.extend_from_slice(&command.bytes));
        command.sent = Some((self.number, place));
    }
}

#[derive(Default)]
pub struct Engine {
    runs: RefCell<HashMap<Ref, Run>>,
    link: RefCell<Option<Link>>,
    links: Cell<u64>,
    /// The last notice read.
    last: Cell<u64>,
    /// Nobody knows whether these run.
    doubts: RefCell<Vec<Ref>>,
    readings: RefCell<Vec<Option<f64>>>,
    /// A command waits.
    more: Event,
    /// The old link has read all that was sent on it.
    settled: Event,
    began: Cell<Option<Instant>>,
}

/// One RPC's place at the engine.
struct Handle {
    engine: Rc<Engine>,
    id: Ref,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.engine.runs.borrow_mut().remove(&self.id);
    }
}

impl crate::runs::Run for Handle {
    fn start(&self, order: &Order<'_>) {
        let mut bytes = Vec::new();
        lines::put(
            &mut bytes,
            format_args!("RUN {} {}", self.id, order.method),
            Some(order.body),
        );
        self.engine.command(self.id, bytes, order.idempotent, true);
    }

    /// Never sent again: the run may have come to its next call, which another reply would then answer.
    fn feed(&self, answer: &[u8]) {
        let mut bytes = Vec::new();
        lines::put(&mut bytes, format_args!("FEED {}", self.id), Some(answer));
        self.engine.command(self.id, bytes, false, false);
    }

    /// The RPC has its answer.
    fn answered(&self) {
        if let Some(run) = self.engine.runs.borrow_mut().get_mut(&self.id) {
            run.answered = Some(Instant::now());
        }
    }

    /// Asks whether a run that has its answer goes on. Its RPC is over, so nothing can begin any more: the same command
    /// again draws the end of a run that has ended, and nothing of one that goes on. Guards against ends that were never
    /// told, which would keep their places.
    fn inquire(&self, order: &Order<'_>) {
        let known = |run: &Run| {
            run.answered
                .is_some_and(|answered| answered.elapsed() >= KNOWN)
        };
        if !self.engine.runs.borrow().get(&self.id).is_some_and(known) {
            return;
        }
        if let Some(link) = self.engine.link.borrow().as_ref().filter(|link| link.ready) {
            link.out.put(|out| {
                lines::put(
                    out,
                    format_args!("RUN {} {}", self.id, order.method),
                    Some(order.body),
                )
            });
        }
    }

    /// Sent again on a new link, as long as the run has not ended.
    fn halt(&self) {
        if let Some(run) = self.engine.runs.borrow_mut().get_mut(&self.id) {
            run.halted = true;
        }
        if let Some(link) = self.engine.link.borrow().as_ref().filter(|link| link.ready) {
            link.out
                .put(|out| lines::put(out, format_args!("HALT {}", self.id), None));
        }
    }

    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Notice> {
        match self.engine.runs.borrow_mut().get_mut(&self.id) {
            Some(run) => run.notices.poll(cx),
            None => Poll::Pending,
        }
    }
}

impl Runs for Engine {
    fn open(self: Rc<Self>, id: Ref) -> Option<Box<dyn crate::runs::Run>> {
        match self.runs.borrow_mut().entry(id) {
            Entry::Occupied(_) => return None,
            Entry::Vacant(place) => drop(place.insert(Run::default())),
        }
        Some(Box::new(Handle { engine: self, id }))
    }
}

async fn connect(address: SocketAddr, descriptors: &Descriptors) -> io::Result<Async<TcpStream>> {
    let patience = async {
        Timer::after(CONNECT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    descriptors.dial(address).or(patience).await
}

fn has_body(words: &[&str]) -> bool {
    matches!(words[0], "DONE" | "NEED")
}

impl Engine {
    /// Asks for the gauges, once at a time. The answer also proves that all commands before it were read.
    pub fn ask(&self) {
        if let Some(link) = self.link.borrow_mut().as_mut().filter(|link| link.ready) {
            match link.asked {
                None => link.ask(),
                // Guards against a link that looks alive and isn't read any more: all commands would wait for it. At the second tick:
                // after a pause of the process the answer lies unread at the first.
                Some((_, since)) if since.elapsed() > DEAF => {
                    if std::mem::replace(&mut link.late, true) {
                        link.out.close();
                    }
                }
                Some(_) => {}
            }
            self.settle_doubts(link);
        }
    }

    /// Sends what waits, with a question behind it, once all that was sent before is known to be read. Guards against
    /// commands lost with a link: only the last batch can be in doubt.
    fn flush(&self) {
        let mut link = self.link.borrow_mut();
        let Some(link) = link
            .as_mut()
            .filter(|link| link.ready && link.asked.is_none())
        else {
            return;
        };
        let mut runs = self.runs.borrow_mut();
        let mut any = false;
        for id in std::mem::take(&mut link.waiting) {
            let command = runs.get_mut(&id).and_then(|run| run.command.as_mut());
            if let Some(command) = command.filter(|command| command.sent.is_none()) {
                link.send(command);
                any = true;
            }
        }
        if any {
            link.ask();
        }
    }

    /// Guards against a run that never began but counts as one for good: once its RPC is over nothing can begin any
    /// more, so the same command draws its end.
    fn settle_doubts(&self, link: &Link) {
        self.doubts.borrow_mut().retain(|id| {
            let mut runs = self.runs.borrow_mut();
            let Some((run, command)) = runs
                .get_mut(id)
                .and_then(|run| Some((run.answered, run.command.as_mut()?)))
            else {
                return false;
            };
            let known = run.is_some_and(|answered| answered.elapsed() >= KNOWN);
            if known {
                link.send(command);
            }
            !known
        });
    }

    /// The last gauges read; none while there is no link.
    pub fn readings(&self) -> Vec<Option<f64>> {
        self.readings.borrow().clone()
    }

    fn command(&self, id: Ref, bytes: Vec<u8>, repeatable: bool, starts: bool) {
        let mut runs = self.runs.borrow_mut();
        let Some(run) = runs.get_mut(&id) else { return };
        run.started |= starts;
        run.command = Some(Command {
            bytes,
            starts,
            repeatable,
            sent: None,
            read: false,
        });
        if let Some(link) = self.link.borrow_mut().as_mut().filter(|link| link.ready) {
            link.waiting.push(id);
            self.more.notify(1);
        }
    }

    /// Where the engine is; waits until it is said.
    async fn somewhere(&self, endpoint: &Endpoint<Option<SocketAddr>>) -> Option<SocketAddr> {
        let moved = endpoint.moved();
        if endpoint.get().is_none() {
            moved.await;
        }
        endpoint.get()
    }

    /// Keeps a link for good, to wherever the engine is.
    pub async fn keep(&self, endpoints: &Endpoints, facade: &Facade, seed: u64) {
        let endpoint = &endpoints.engine;
        let mut backoff = Backoff::new(AGAIN, AGAIN_MOST, seed);
        let mut failed = false;
        let mut next = None;
        loop {
            let (address, opened) = match next.take() {
                Some((address, stream)) => (address, Ok(stream)),
                None => {
                    let Some(address) = self.somewhere(endpoint).await else {
                        continue;
                    };
                    (address, connect(address, &endpoints.descriptors).await)
                }
            };
            match opened {
                Ok(stream) => {
                    let began = Instant::now();
                    let end = AssertUnwindSafe(self.serve(stream, endpoints, address, facade))
                        .catch_unwind();
                    match end.await {
                        Ok(Ok((address, stream))) => {
                            note!("engine link moves to {address}");
                            next = Some((address, stream));
                        }
                        Ok(Err(why)) => note!("engine link ended: {why}"),
                        Err(_) => note!("engine link ended by a panic"),
                    }
                    // Guards against a peer that takes each link and ends it without a word: only a link on which the engine
                    // spoke is made anew at once.
                    let spoke = self.unlink();
                    failed = false;
                    if spoke {
                        backoff.fresh();
                    }
                    if !spoke || began.elapsed() < AGAIN {
                        Timer::after(backoff.wait()).await;
                    }
                }
                Err(why) => {
                    if !std::mem::replace(&mut failed, true) {
                        note!("engine at {address}: {why}; it is tried again and again");
                    }
                    Timer::after(backoff.wait()).await;
                }
            }
        }
    }

    /// Ends when the engine has moved, with a connection to where it is now, after all that was sent on the old link
    /// was read there: guards against commands that are lost with it.
    async fn successor(
        &self,
        endpoints: &Endpoints,
        from: SocketAddr,
    ) -> (SocketAddr, Async<TcpStream>) {
        let endpoint = &endpoints.engine;
        loop {
            let moved = endpoint.moved();
            let Some(to) = endpoint.get().filter(|to| *to != from) else {
                moved.await;
                continue;
            };
            match connect(to, &endpoints.descriptors).await {
                Ok(stream) => {
                    self.settle().await;
                    return (to, stream);
                }
                Err(why) => {
                    note!("engine at {to}: {why}; the old link is kept");
                    Timer::after(AGAIN).await;
                }
            }
        }
    }

    async fn settle(&self) {
        let settled = self.settled.listen();
        if let Some(link) = self.link.borrow_mut().as_mut().filter(|link| link.ready) {
            link.ready = false;
            link.out
                .put(|out| lines::put(out, format_args!("STAT settled"), None));
        } else {
            return;
        }
        let patience = async {
            Timer::after(SETTLE).await;
        };
        settled.or(patience).await;
    }

    async fn serve(
        &self,
        stream: Async<TcpStream>,
        endpoints: &Endpoints,
        address: SocketAddr,
        facade: &Facade,
    ) -> io::Result<(SocketAddr, Async<TcpStream>)> {
        let _ = stream.get_ref().set_nodelay(true);
        let out = Rc::new(Outbox::default());
        let number = self.links.get() + 1;
        self.links.set(number);
        out.put(|out| lines::put(out, format_args!("ATTACH {}", self.last.get()), None));
        *self.link.borrow_mut() = Some(Link {
            number,
            out: out.clone(),
            ready: false,
            spoke: false,
            asked: None,
            late: false,
            read: 0,
            waiting: Vec::new(),
        });
        let write = async {
            Err(out
                .run(&stream)
                .await
                .err()
                .unwrap_or(io::ErrorKind::UnexpectedEof.into()))
        };
        let read = async { Err(self.read(&stream, facade).await) };
        let next = async { Ok(self.successor(endpoints, address).await) };
        let send = async {
            loop {
                let more = self.more.listen();
                self.flush();
                more.await;
            }
        };
        write.or(read).or(next).or(send).await
    }

    /// What never left on the link that ends is known to be unread, what a later answer proves is known to be read;
    /// the rest is in doubt until the notices are replayed. Whether the engine spoke on it.
    fn unlink(&self) -> bool {
        self.readings.borrow_mut().clear();
        let Some(link) = self.link.borrow_mut().take() else {
            return false;
        };
        for command in self
            .runs
            .borrow_mut()
            .values_mut()
            .filter_map(|run| run.command.as_mut())
        {
            if let Some((_, place)) = command.sent.filter(|sent| sent.0 == link.number) {
                command.read = place < link.read;
                command.sent = command.sent.filter(|_| link.out.sent(place));
            }
        }
        link.spoke
    }

    async fn read(&self, mut stream: &Async<TcpStream>, facade: &Facade) -> io::Error {
        let (mut buffer, mut filled) = (vec![0; 2 * READ], 0);
        loop {
            if filled == buffer.len() {
                return io::Error::other("a message without end");
            }
            match stream.read(&mut buffer[filled..]).await {
                Ok(0) => return io::ErrorKind::UnexpectedEof.into(),
                Ok(count) => filled += count,
                Err(why) => return why,
            }
            let mut used = 0;
            loop {
                match lines::message(&buffer[used..filled], has_body) {
                    Ok(Some((words, body, length))) => {
                        self.message(&words, body, facade);
                        used += length;
                    }
                    Ok(None) => break,
                    Err(_) => return io::Error::other("garbled"),
                }
            }
            buffer.copy_within(used..filled, 0);
            filled -= used;
        }
    }

    fn message(&self, words: &[&str], body: &[u8], facade: &Facade) {
        match *words {
            ["HELLO", state, ms] => match ms.parse() {
                Ok(ms) => self.hello(state, Duration::from_millis(ms), facade),
                Err(_) => note!("engine: HELLO {state} {ms}"),
            },
            ["STATS", "attached", ..] => self.attached(),
            ["STATS", "settled", ..] => {
                if let Some(link) = self.link.borrow_mut().as_mut().filter(|link| !link.ready) {
                    link.read = u64::MAX;
                    self.settled.notify(usize::MAX);
                }
            }
            ["STATS", _, ref gauges @ ..] => {
                if let Some(link) = self.link.borrow_mut().as_mut() {
                    link.late = false;
                    link.read = link.asked.take().map_or(link.read, |(place, _)| place);
                    self.more.notify(1);
                }
                let number = |text: &&str| {
                    text.parse()
                        .ok()
                        .filter(|value: &f64| value.is_finite() && *value >= 0.0)
                };
                *self.readings.borrow_mut() = gauges.iter().map(number).collect();
            }
            ["DONE", number, id, end, _, _] if self.fresh(number) => self.done(id, end, body),
            ["NEED", number, id, _] if self.fresh(number) => {
                self.notice(id, Notice::Need(body.to_vec()))
            }
            ["NOTE", number, ..] => {
                self.fresh(number);
            }
            ["NO", command, id] => {
                note!("engine: no {command} for {id}");
                if command == "RUN" {
                    // Guards against a run that is never to begin and counts as one for good.
                    self.notice(id, Notice::Done(RunEnd::Moot));
                }
            }
            // A notice again, which is nothing new.
            ["DONE" | "NEED", number, ..]
                if number
                    .parse()
                    .is_ok_and(|number: u64| number <= self.last.get()) => {}
            _ => note!("engine: unknown message {}", words.join(" ")),
        }
    }

    /// Whether a notice of this number is new; it is then read.
    fn fresh(&self, number: &str) -> bool {
        match number.parse() {
            Ok(number) if number > self.last.get() => {
                self.last.set(number);
                true
            }
            _ => false,
        }
    }

    fn hello(&self, state: &str, ago: Duration, facade: &Facade) {
        let now = Instant::now();
        let began = now.checked_sub(ago).unwrap_or(now);
        let another = self
            .began
            .get()
            .is_some_and(|known| began.saturating_duration_since(known) > SAME_START);
        self.began.set(Some(began));
        note!("engine up since {} ms, {state}", ago.as_millis());
        if another {
            // All that ran has ended with the engine that ran it.
            note!("it is another engine");
            self.last.set(0);
            let unsent = |command: &Command| command.starts && command.sent.is_none();
            let ran = |run: &&mut Run| run.started && !run.command.as_ref().is_some_and(unsent);
            for run in self.runs.borrow_mut().values_mut().filter(ran) {
                run.command = None;
                run.notices.put(Notice::Done(RunEnd::Cancelled));
            }
        }
        facade.start(Some(state == "new"), ago);
        if let Some(link) = self.link.borrow_mut().as_mut() {
            link.spoke = true;
            link.out
                .put(|out| lines::put(out, format_args!("STAT attached"), None));
        }
    }

    /// All notices since the last link were read: what is still without one is sent, where that is safe.
    fn attached(&self) {
        let mut link = self.link.borrow_mut();
        let Some(link) = link.as_mut().filter(|link| !link.ready) else {
            return;
        };
        link.ready = true;
        for (id, run) in self.runs.borrow_mut().iter_mut() {
            if run.halted {
                link.out
                    .put(|out| lines::put(out, format_args!("HALT {id}"), None));
            }
            let Some(command) = run.command.as_mut().filter(|command| !command.read) else {
                continue;
            };
            if command.sent.is_none() || command.repeatable {
                link.send(command);
            } else {
                note!("engine: in doubt whether {id} runs");
                if command.starts && !self.doubts.borrow().contains(id) {
                    self.doubts.borrow_mut().push(*id);
                }
            }
        }
        link.ask();
    }

    fn done(&self, id: &str, end: &str, body: &[u8]) {
        let end = match end {
            "good" => RunEnd::Ok(body.into()),
            "bad" => RunEnd::Error,
            "cut" => RunEnd::Cancelled,
            "gone" => RunEnd::Moot,
            _ => return note!("engine: unknown end {end} of {id}"),
        };
        self.notice(id, Notice::Done(end));
    }

    fn notice(&self, id: &str, notice: Notice) {
        let mut runs = self.runs.borrow_mut();
        match Ref::parse(id)
            .and_then(|id| runs.get_mut(&id))
            .filter(|run| run.started)
        {
            Some(run) => {
                run.command = None;
                run.notices.put(notice);
            }
            None => note!("engine: a notice for {id}, which is not known"),
        }
    }
}
