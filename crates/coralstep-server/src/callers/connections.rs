//! All connections of all fronts: who is let in, who makes room, who is asked to leave, and the end of all.
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::io;
use std::net::{IpAddr, TcpListener, TcpStream};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::FutureExt;

use crate::base::config::Limits;
use crate::base::descriptors::Descriptors;
use crate::base::lines::Ref;
use crate::callers::connection::Connection;
use crate::callers::front::{Front, Writer};
use crate::decisions::{RpcRequest, SchedulerHandle};
use crate::note;
use crate::runs::reply::Reply;
use crate::runs::request_handler::RequestHandler;

/// Pause where nobody can be accepted, unless a place comes free sooner.
const FULL: Duration = Duration::from_millis(100);
/// Who was let in so lately may not have had the time for a first word.
const FRESH: Duration = Duration::from_millis(50);
/// Between two looks at idle connections; the shortest limit is longer.
const SWEEP: Duration = Duration::from_millis(100);
/// A caller asked to leave that still holds an idle connection open is left after so long.
const LEAVE: Duration = Duration::from_secs(5);

/// An open RPC; ends with its answer or, should its task fail, with word of that.
struct Open<W: Writer> {
    facade: Rc<SchedulerHandle>,
    connection: Rc<Connection>,
    writer: W,
    answered: bool,
}

impl<W: Writer> Open<W> {
    fn answer(mut self, reply: &Reply<'_>) {
        let connection = &self.connection;
        connection
            .proven
            .set(connection.proven.get() || matches!(reply, Reply::Ok(_)));
        let about = self.facade.server_status();
        connection
            .out
            .put(|out| self.writer.answer(out, reply, &about));
        self.answered = true;
    }
}

impl<W: Writer> Drop for Open<W> {
    fn drop(&mut self) {
        if !self.answered {
            self.connection.out.put(|out| self.writer.failed(out));
        }
        if self.writer.last() {
            self.connection.out.close();
        }
        self.connection.ends();
    }
}

pub struct Connections {
    executor: Rc<LocalExecutor<'static>>,
    pub facade: Rc<SchedulerHandle>,
    pub course: Rc<RequestHandler>,
    descriptors: Rc<Descriptors>,
    limits: Limits,
    all: RefCell<Vec<Rc<Connection>>>,
    /// Nobody is let in any more.
    shut: Cell<bool>,
    shutting: Event,
    left: Event,
}

impl Connections {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        facade: Rc<SchedulerHandle>,
        course: Rc<RequestHandler>,
        descriptors: Rc<Descriptors>,
        limits: Limits,
    ) -> Connections {
        Connections {
            executor,
            facade,
            course,
            descriptors,
            limits,
            all: RefCell::default(),
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
            let accept = async {
                self.place(&listener, &front).await?;
                listener.accept().await
            };
            match accept.or(stop).await {
                Ok((stream, from)) => self.admit(stream, from.ip(), &front),
                Err(why) if why.kind() == io::ErrorKind::Interrupted => {}
                Err(why) => {
                    // Guards against a loop that spins: who waits stays readable while there is no descriptor.
                    note!("accept: {why}");
                    let left = self.left.listen();
                    self.shed();
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

    /// Those that are not on their way out.
    fn staying(&self) -> usize {
        self.all
            .borrow()
            .iter()
            .filter(|one| !one.is_ending())
            .count()
    }

    /// Whether a listener of `front` has to wait: as many of its own still leave as may, or all who stay carry something.
    fn is_full(&self, front: &Rc<dyn Front>) -> bool {
        let all = self.all.borrow();
        let leave = all
            .iter()
            .filter(|one| one.is_ending() && Rc::ptr_eq(one.front(), front))
            .count();
        leave >= self.limits.spare
            || all.iter().filter(|one| !one.is_ending()).count() >= self.most()
    }

    fn most(&self) -> usize {
        self.limits.connections + self.limits.spare
    }

    /// Ends when one more may be accepted. Guards against callers who wait to be let in and take the descriptors of those who still
    /// leave, and then the server's own. Those of one front hold up no other.
    async fn place(&self, listener: &Async<TcpListener>, front: &Rc<dyn Front>) -> io::Result<()> {
        while self.is_full(front) {
            // Nobody is shed for nobody.
            listener.readable().await?;
            let left = self.left.listen();
            if !self.is_full(front) {
                break;
            }
            // Those that linger have all their answers on the way: the first of them goes now.
            let lingers = self.all.borrow().iter().find(|one| one.lingers()).cloned();
            match lingers {
                Some(lingers) => lingers.lose(),
                None if self.staying() >= self.most() => drop(self.shed()),
                None => {}
            }
            left.or(after(FULL)).await;
        }
        Ok(())
    }

    /// Ends the connection that is missed least: guards against silent clients that lock gateways out. First one that
    /// never said anything, else one that carries nothing, else one that had hardly the time to, each for the longest time;
    /// `false` where all carry something.
    /// Of the silent ones, the front that has most gives one up: guards against a flood at one that leaves callers of
    /// another no time for their first word.
    fn shed(&self) -> bool {
        let all = self.all.borrow();
        let free = |one: &&Rc<Connection>| !one.is_busy() && !one.is_ending();
        let silent = |front: &Rc<dyn Front>| {
            let of = all.iter().filter(free).filter(|one| !one.spoke.get());
            of.filter(|one| Rc::ptr_eq(one.front(), front)).count()
        };
        let now = Instant::now();
        let least = all.iter().filter(free).min_by_key(|one| {
            let spoke = one.spoke.get();
            let fresh = !spoke && now.saturating_duration_since(one.idle.get()) < FRESH;
            (
                fresh,
                spoke,
                Reverse(if spoke { 0 } else { silent(one.front()) }),
                one.idle.get(),
            )
        });
        // Who never said anything is told nothing: its descriptor comes free at once.
        least
            .inspect(|one| {
                if one.spoke.get() {
                    one.ask_to_leave()
                }
            })
            .inspect(|one| one.end())
            .is_some()
    }

    /// Sheds an idle connection for each of the server's own that found no descriptor.
    pub async fn make_way(&self) {
        loop {
            let short = self.descriptors.short();
            short.await;
            note!("descriptors are short: an idle connection is shed");
            self.shed();
        }
    }

    fn admit(self: &Rc<Self>, stream: Async<TcpStream>, from: IpAddr, front: &Rc<dyn Front>) {
        let _ = stream.get_ref().set_nodelay(true);
        let connection = Rc::new(Connection::new(front.clone(), from));
        if self.staying() >= self.limits.connections || self.descriptors.are_scarce(&stream) {
            note!(client: "the table of connections is full");
            if !self.shed() {
                // All carry something: what this one brings is still answered, for its caller may have written it already.
                connection.ask_to_leave();
            }
        }
        self.all.borrow_mut().push(connection.clone());
        if self.shut.get() {
            connection.ask_to_leave();
        }
        let connections = self.clone();
        let task = async move {
            let read = async {
                let front = connection.front().clone();
                if let Err(why) = front.read(&connections, &stream, &connection).await {
                    note!(client: "connection ended: {why}");
                }
            };
            let served = AssertUnwindSafe(connection.serve(&stream, read))
                .catch_unwind()
                .await;
            if served.is_err() {
                note!("a connection ended by a panic");
            }
            connection.lose();
            connections
                .all
                .borrow_mut()
                .retain(|other| !Rc::ptr_eq(other, &connection));
            drop(stream);
            connections.descriptors.freed();
            connections.left.notify(usize::MAX);
        };
        self.executor.spawn(task).detach();
    }

    /// Lets an RPC take its course; `writer` writes its one answer to `connection`.
    pub fn begin(
        self: &Rc<Self>,
        offer: RpcRequest,
        id: Ref,
        body: Vec<u8>,
        connection: &Rc<Connection>,
        writer: impl Writer,
    ) {
        connection.begins();
        let (facade, connection) = (self.facade.clone(), connection.clone());
        let open = Open {
            facade,
            connection: connection.clone(),
            writer,
            answered: false,
        };
        if connection.is_ending() {
            // Guards against work for an answer that may not get through any more: it may go elsewhere, at once.
            return open.answer(&Reply::Rejected {
                retry_after_ms: 0,
                is_final: false,
            });
        }
        let course = self.course.clone();
        let task = async move {
            let run = course.handle(offer, id, body, connection.lost(), |reply| {
                open.answer(&reply)
            });
            if AssertUnwindSafe(run).catch_unwind().await.is_err() {
                note!("{id} ended by a panic");
            }
        };
        self.executor.spawn(task).detach();
    }

    /// Asks callers to leave connections that carry nothing for too long, and leaves those that stay all the same.
    pub async fn sweep(&self) {
        loop {
            Timer::after(SWEEP).await;
            let now = Instant::now();
            let limit = self.facade.idle_limit();
            for one in self.all.borrow().iter().filter(|one| !one.is_busy()) {
                if limit.is_some_and(|limit| now.saturating_duration_since(one.idle.get()) >= limit)
                {
                    one.ask_to_leave();
                }
                if one.was_asked(now, LEAVE) {
                    one.end();
                }
            }
            self.bound_answers();
        }
    }

    /// Guards against callers that read nothing: together their answers would fill the memory.
    fn bound_answers(&self) {
        let all = self.all.borrow();
        let waiting: usize = all.iter().map(|one| one.out.waiting()).sum();
        if waiting > self.limits.answers
            && let Some(most) = all.iter().max_by_key(|one| one.out.waiting())
        {
            note!("unread answers fill the memory: one connection is ended");
            most.lose();
        }
    }

    /// Lets nobody in any more and asks all to leave.
    pub fn shut(&self) {
        self.shut.set(true);
        self.shutting.notify(usize::MAX);
        self.all.borrow().iter().for_each(|one| one.ask_to_leave());
    }

    /// Ends all that are still there, each after its open answers.
    pub fn end(&self) {
        self.all.borrow().iter().for_each(|one| one.end());
    }

    /// Ends when no connection is left.
    pub async fn empty(&self) {
        while !self.all.borrow().is_empty() {
            let left = self.left.listen();
            if !self.all.borrow().is_empty() {
                left.await;
            }
        }
    }
}

async fn after(span: Duration) {
    Timer::after(span).await;
}

#[cfg(test)]
mod tests;
