//! Calls to the store that all servers share, over one connection that is opened when a call needs it.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, FutureExt};

use crate::facade::CallEnd;
use crate::lines::{self, Ref};
use crate::note;
use crate::outbox::{Outbox, STUCK};

/// The store closes what is idle for 10 s; a call that crosses such a close would be in doubt.
const IDLE: Duration = Duration::from_secs(8);
/// The store itself says when the stated time is over. Ours runs out a little later, for a store that says nothing:
/// were both to speak at once, the reply to a call given up could be taken for that to its repeat.
const SILENT: Duration = Duration::from_millis(30);
const READ: usize = 16 * 1024;

/// How a call ended, with the reply of one that went well.
pub struct Ended {
    pub end: CallEnd,
    pub answer: Option<Vec<u8>>,
    pub took: Duration,
}

struct Link {
    number: u64,
    out: Rc<Outbox>,
}

/// One call under way, known by its number: an RPC's second call gives up the first.
struct Slot {
    call: u64,
    link: u64,
    out: Rc<Outbox>,
    /// In the link's outbox.
    place: u64,
    ended: Option<(CallEnd, Option<Vec<u8>>)>,
    ready: Rc<Event>,
}

pub struct Store {
    address: Option<SocketAddr>,
    executor: Rc<LocalExecutor<'static>>,
    link: RefCell<Option<Link>>,
    calls: RefCell<HashMap<Ref, Slot>>,
    count: Cell<u64>,
}

/// A call; given up when dropped before its end.
pub struct Call<'a> {
    store: &'a Rc<Store>,
    id: Ref,
    number: u64,
    patience: Duration,
    body: Vec<u8>,
    began: Instant,
    put: bool,
    over: bool,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        if self.put && !self.over {
            self.store.give_up(self.id, self.number);
        }
    }
}

impl Call<'_> {
    /// May be dropped and asked again; the call goes on meanwhile.
    pub async fn ended(&mut self) -> Ended {
        let deadline = self.began + self.patience + SILENT;
        let out_of_time = async {
            Timer::at(deadline).await;
            // Guards against a pause of the process: the reply may have come, unread as yet.
            yield_now().await;
            None
        };
        let (store, id, number) = (self.store, self.id, self.number);
        let (put, body, patience) = (&mut self.put, &self.body, self.patience);
        let ended = async {
            if !*put {
                if let Err(why) = store.put(id, number, patience, body).await {
                    note!("store: {why}");
                    return Some((CallEnd::Unreachable, None));
                }
                *put = true;
            }
            Some(store.wait(id, number).await)
        };
        let ended = ended.or(out_of_time).await;
        let answered = ended.is_some();
        let (end, answer) = ended.unwrap_or_else(|| {
            // What never left this machine was never run.
            let left = self.put && self.store.left(self.id, self.number);
            // Guards against a reply that is still to come being taken for that to a later call.
            self.store.retire(self.id, self.number);
            (if left { CallEnd::TimedOut } else { CallEnd::Unreachable }, None)
        });
        if self.put && answered {
            self.over = true;
            self.store.forget(self.id, self.number);
        }
        Ended { end, answer, took: self.began.elapsed() }
    }
}

impl Store {
    pub fn new(address: Option<SocketAddr>, executor: Rc<LocalExecutor<'static>>) -> Store {
        Store { address, executor, link: RefCell::default(), calls: RefCell::default(), count: Cell::new(0) }
    }

    pub fn call(self: &Rc<Self>, id: Ref, patience: Duration, body: Vec<u8>) -> Call<'_> {
        self.count.set(self.count.get() + 1);
        let (number, began) = (self.count.get(), Instant::now());
        Call { store: self, id, number, patience, body, began, put: false, over: false }
    }

    /// Writes the call to a link, a new one if need be.
    async fn put(self: &Rc<Self>, id: Ref, call: u64, patience: Duration, body: &[u8]) -> io::Result<()> {
        if self.link.borrow().is_none() {
            let address = self.address.ok_or_else(|| io::Error::other("no address is configured"))?;
            let stream = Async::<TcpStream>::connect(address).await?;
            // Another call may have opened one meanwhile.
            if self.link.borrow().is_none() {
                let _ = stream.get_ref().set_nodelay(true);
                self.count.set(self.count.get() + 1);
                let link = Link { number: self.count.get(), out: Rc::new(Outbox::default()) };
                let (number, out) = (link.number, link.out.clone());
                *self.link.borrow_mut() = Some(link);
                let store = self.clone();
                let serve = async move {
                    let read = AssertUnwindSafe(store.serve(&stream, number, &out)).catch_unwind().await;
                    let why = read.unwrap_or_else(|_| io::Error::other("ended by a panic"));
                    store.ended(number, &why);
                };
                self.executor.spawn(serve).detach();
            }
        }
        let link = self.link.borrow();
        let Some(link) = link.as_ref() else { return Err(io::ErrorKind::NotConnected.into()) };
        let ms = patience.as_micros().div_ceil(1000);
        let place = link.out.put(|out| lines::put(out, format_args!("CALL {id} {ms}"), Some(body)));
        let (number, out, ready) = (link.number, link.out.clone(), Rc::new(Event::new()));
        let slot = Slot { call, link: number, out, place, ended: None, ready };
        self.calls.borrow_mut().insert(id, slot);
        Ok(())
    }

    async fn wait(&self, id: Ref, call: u64) -> (CallEnd, Option<Vec<u8>>) {
        loop {
            let listener = {
                let mut calls = self.calls.borrow_mut();
                match calls.get_mut(&id).filter(|slot| slot.call == call) {
                    Some(slot) => match slot.ended.take() {
                        Some(ended) => return ended,
                        None => slot.ready.listen(),
                    },
                    None => return (CallEnd::Broken, None),
                }
            };
            listener.await;
        }
    }

    fn left(&self, id: Ref, call: u64) -> bool {
        let calls = self.calls.borrow();
        calls.get(&id).filter(|slot| slot.call == call).is_none_or(|slot| slot.out.sent(slot.place))
    }

    fn forget(&self, id: Ref, call: u64) -> Option<Slot> {
        let mut calls = self.calls.borrow_mut();
        if calls.get(&id).is_some_and(|slot| slot.call == call) { calls.remove(&id) } else { None }
    }

    fn give_up(&self, id: Ref, call: u64) {
        if let Some(slot) = self.forget(id, call) {
            slot.out.put(|out| lines::put(out, format_args!("DROP {id}"), None));
        }
    }

    /// Later calls take another link than this one.
    fn retire(&self, id: Ref, call: u64) {
        let calls = self.calls.borrow();
        let number = calls.get(&id).filter(|slot| slot.call == call).map(|slot| slot.link);
        self.link.borrow_mut().take_if(|link| Some(link.number) == number);
    }

    async fn serve(&self, stream: &Async<TcpStream>, number: u64, out: &Outbox) -> io::Error {
        let write =
            async { out.run(stream, STUCK).await.err().unwrap_or(io::ErrorKind::UnexpectedEof.into()) };
        write.or(self.read(stream, number)).await
    }

    fn ended(&self, number: u64, why: &io::Error) {
        self.link.borrow_mut().take_if(|link| link.number == number);
        let mut broken = 0;
        for slot in self.calls.borrow_mut().values_mut().filter(|slot| slot.link == number) {
            let end = if slot.out.sent(slot.place) { CallEnd::Broken } else { CallEnd::Unreachable };
            slot.ended.get_or_insert((end, None));
            slot.ready.notify(1);
            broken += 1;
        }
        if broken > 0 {
            note!("store link ended with {broken} calls: {why}");
        }
    }

    async fn read(&self, mut stream: &Async<TcpStream>, number: u64) -> io::Error {
        let (mut buffer, mut filled) = (vec![0; lines::BODY_MOST + READ], 0);
        loop {
            let idle = async {
                Timer::after(IDLE).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            match stream.read(&mut buffer[filled..]).or(idle).await {
                Ok(0) => return io::ErrorKind::UnexpectedEof.into(),
                Ok(count) => filled += count,
                Err(why) if why.kind() != io::ErrorKind::TimedOut => return why,
                Err(why) if !self.calls.borrow().values().any(|slot| slot.link == number) => return why,
                Err(_) => continue,
            }
            let mut used = 0;
            loop {
                match lines::message(&buffer[used..filled], |words| words.get(1) == Some(&"OK")) {
                    Ok(Some((words, body, length))) => {
                        self.message(number, &words, body);
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

    fn message(&self, number: u64, words: &[&str], body: &[u8]) {
        let end = match *words {
            [_, "OK", _] => CallEnd::Ok,
            [_, "BUSY"] => CallEnd::PushedBack,
            [_, "ERR"] => CallEnd::Error,
            [_, "LATE"] => CallEnd::TimedOut,
            [_, "VOID"] => CallEnd::Moot,
            _ => return note!("store: unknown message {}", words.join(" ")),
        };
        let mut calls = self.calls.borrow_mut();
        let slot = Ref::parse(words[0]).and_then(|id| calls.get_mut(&id));
        match slot.filter(|slot| slot.link == number && slot.ended.is_none()) {
            Some(slot) => {
                slot.ended = Some((end, (end == CallEnd::Ok).then(|| body.to_vec())));
                slot.ready.notify(1);
            }
            None => note!("store: a late reply for {}", words[0]),
        }
    }
}
