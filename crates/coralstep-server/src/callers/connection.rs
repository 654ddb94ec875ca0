//! One connection of a caller: what is open on it, and how it ends.
//!
//! | it ends by | what is open | then |
//! | --- | --- | --- |
//! | [`Connection::end`] | is answered, each by its own due time; what is read from then on is pushed back and never sent on | all is flushed, it is half-closed, and read on to its end or a bound |
//! | [`Connection::lose`] | its callers are known to have gone | at once |
use std::cell::Cell;
use std::net::{IpAddr, Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, FutureExt};

use crate::base::outbox::Outbox;
use crate::callers::front::Front;

/// A half-closed connection is read on for so long and so far, for its caller to read the last answers: bytes that lie
/// unread at the close would turn it into a reset, which takes answers along that have not been read over there.
const LINGER: Duration = Duration::from_millis(1_000);
const LINGER_BYTES: usize = 64 * 1024;
/// The last answers have so long to be taken by the system, for a caller that reads slowly.
const FLUSH: Duration = Duration::from_millis(5_000);
/// A caller that sends nothing more is taken to wait for its answers so long, and then looked after each time that `LOOK` passes.
const TRUSTED: Duration = Duration::from_millis(1_000);
const LOOK: Duration = Duration::from_millis(100);

pub struct Connection {
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
    /// Its callers have gone, or nothing is to be written on it any more.
    lost: Cell<bool>,
    /// Nothing more is begun for it.
    ending: Cell<bool>,
    /// All was written, and it is half-closed.
    lingers: Cell<bool>,
    going: Event,
    /// Since when it carries nothing.
    pub idle: Cell<Instant>,
    /// When it was asked to leave.
    asked: Cell<Option<Instant>>,
    answered: Event,
}

impl Connection {
    pub fn new(front: Rc<dyn Front>, from: IpAddr) -> Connection {
        Connection {
            front,
            from,
            out: Outbox::default(),
            open: Cell::new(0),
            spoke: Cell::new(false),
            proven: Cell::new(false),
            lost: Cell::new(false),
            ending: Cell::new(false),
            lingers: Cell::new(false),
            going: Event::new(),
            idle: Cell::new(Instant::now()),
            asked: Cell::new(None),
            answered: Event::new(),
        }
    }

    pub fn front(&self) -> &Rc<dyn Front> {
        &self.front
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    pub fn is_busy(&self) -> bool {
        self.open.get() > 0
    }

    pub fn is_ending(&self) -> bool {
        self.ending.get() || self.lost.get()
    }

    /// Whether it is only kept for what its caller may still send or read.
    pub fn lingers(&self) -> bool {
        self.lingers.get() && !self.lost.get()
    }

    /// A whole message came.
    pub fn heard(&self) {
        self.idle.set(Instant::now());
        self.spoke.set(true);
    }

    /// An RPC is open on it from now on.
    pub fn begins(&self) {
        self.open.set(self.open.get() + 1);
    }

    /// One that was open has its answer.
    pub fn ends(&self) {
        self.open.set(self.open.get() - 1);
        self.idle.set(Instant::now());
        self.answered.notify(usize::MAX);
    }

    /// Ends when all that is open has its answer.
    async fn answered(&self) {
        while self.is_busy() {
            let answered = self.answered.listen();
            if self.is_busy() {
                answered.await;
            }
        }
    }

    /// Nothing more is begun for it; it ends once what is open has its answer.
    pub fn end(&self) {
        self.ending.set(true);
        self.going.notify(usize::MAX);
    }

    /// Whatever is open on it, nobody waits for that any more.
    pub fn lose(&self) {
        self.lost.set(true);
        self.going.notify(usize::MAX);
    }

    async fn until(&self, flag: &Cell<bool>) {
        while !flag.get() {
            let going = self.going.listen();
            if !flag.get() {
                going.await;
            }
        }
    }

    pub async fn lost(&self) {
        self.until(&self.lost).await;
    }

    /// Asks the caller to leave, where its protocol has words for that.
    pub fn ask_to_leave(&self) {
        if self.asked.get().is_none() {
            self.asked.set(Some(Instant::now()));
            self.out.put(|out| self.front.farewell(out));
        }
    }

    /// Whether it was asked so long ago.
    pub fn was_asked(&self, now: Instant, ago: Duration) -> bool {
        self.asked
            .get()
            .is_some_and(|since| now.saturating_duration_since(since) >= ago)
    }

    /// Reads with `read` until that ends or it is lost, writes all answers, and leaves it as the table above says.
    pub async fn serve(&self, stream: &Async<TcpStream>, read: impl Future<Output = ()>) {
        let read = async {
            read.await;
            self.end();
            self.watch(stream).await
        };
        let lost = async {
            self.lost().await;
            false
        };
        let ended = async {
            self.until(&self.ending).await;
            self.answered().await;
            self.out.close();
            Timer::after(FLUSH).await;
            false
        };
        let write = async { self.out.run(stream).await.is_ok() };
        // In this order: what had come by the time that it ends is read first, and gets its answer.
        let flushed = read.or(lost).or(ended).or(write).await;
        if flushed {
            self.linger(stream).await;
        }
    }

    /// Nothing more is read. Guards against work for callers that have gone: the word of leaving draws a reset from a peer that has
    /// closed, and nothing from one that has only half-closed and waits for its answers.
    async fn watch(&self, stream: &Async<TcpStream>) -> bool {
        Timer::after(TRUSTED).await;
        while self.is_busy() {
            self.ask_to_leave();
            Timer::after(LOOK).await;
            if !matches!(stream.get_ref().take_error(), Ok(None)) {
                self.lose();
            }
        }
        std::future::pending().await
    }

    /// What comes from now on was never read: it is thrown away, and its caller sees the end of the connection in place of an answer.
    async fn linger(&self, mut stream: &Async<TcpStream>) {
        self.lingers.set(true);
        if stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        // Guards against floods of silent clients that keep their descriptors: nothing was said that could get lost.
        let span = if self.spoke.get() || self.out.was_used() {
            LINGER
        } else {
            Duration::ZERO
        };
        let read = async {
            let (mut bytes, mut count) = ([0; 4 * 1024], 0);
            while count < LINGER_BYTES {
                match stream.read(&mut bytes).await {
                    Ok(0) | Err(_) => return,
                    // Without a pause: the bound is small.
                    Ok(more) => count += more,
                }
            }
        };
        let late = async {
            Timer::after(span).await;
        };
        read.or(late).or(self.lost()).await;
    }
}
