//! All connections of all protocols: accepting, bounds, idle timeouts, shedding, and closing at a drain.
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

use crate::base::descriptors::Descriptors;
use crate::base::limits::Limits;
use crate::callers::connection::{ClosingNotice, Connection};
use crate::callers::dispatcher::RequestDispatcher;
use crate::callers::protocol::Protocol;
use crate::decisions::SchedulerHandle;
use crate::note;
use crate::runs::request_handler::RequestHandler;

/// Pause of a listener that can't accept, unless a connection closes sooner.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// A connection younger than this may not have had the time to send its first message.
const FIRST_MESSAGE_GRACE: Duration = Duration::from_millis(50);
/// Time between two checks of idle connections; shorter than any idle limit.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// How long after the closing notice an idle connection is closed from this side.
const CLOSE_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The connections of all protocols.
pub struct Connections {
    executor: Rc<LocalExecutor<'static>>,
    dispatcher: RequestDispatcher,
    descriptors: Rc<Descriptors>,
    limits: Limits,
    all: RefCell<Vec<Rc<Connection>>>,
    stopped_accepting: Cell<bool>,
    accept_stopped: Event,
    closed: Event,
}

impl Connections {
    /// No connection yet; tasks run on `executor`, and requests go to `handler`.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        scheduler: Rc<SchedulerHandle>,
        handler: Rc<RequestHandler>,
        descriptors: Rc<Descriptors>,
        limits: Limits,
    ) -> Connections {
        Connections {
            dispatcher: RequestDispatcher::new(executor.clone(), scheduler, handler),
            executor,
            descriptors,
            limits,
            all: RefCell::default(),
            stopped_accepting: Cell::new(false),
            accept_stopped: Event::new(),
            closed: Event::new(),
        }
    }

    /// Accepts until [`Connections::stop_accepting`], then whatever the system had accepted already.
    pub async fn listen(self: &Rc<Self>, listener: Async<TcpListener>, protocol: Rc<dyn Protocol>) {
        while !self.stopped_accepting.get() {
            let stopped = self.accept_stopped.listen();
            let stop = async {
                stopped.await;
                Err(io::ErrorKind::Interrupted.into())
            };
            let accept = async {
                let closing_notice: Rc<dyn ClosingNotice> = protocol.clone();
                self.wait_for_capacity(&listener, &closing_notice).await?;
                listener.accept().await
            };
            match accept.or(stop).await {
                Ok((stream, address)) => self.add(stream, address.ip(), &protocol),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // Guards against a loop that spins: the listener stays readable while there is no descriptor.
                    note!(%error, "accept failed");
                    let closed = self.closed.listen();
                    self.shed_one();
                    closed.or(sleep(ACCEPT_RETRY_DELAY)).await;
                }
            }
        }
        self.drain_backlog(&listener, &protocol);
    }

    /// Guards against connections reset in the backlog, with requests that were written already.
    fn drain_backlog(self: &Rc<Self>, listener: &Async<TcpListener>, protocol: &Rc<dyn Protocol>) {
        while let Ok((stream, address)) = listener.get_ref().accept() {
            match Async::new(stream) {
                Ok(stream) => self.add(stream, address.ip(), protocol),
                Err(error) => note!(%error, "accept failed"),
            }
        }
    }

    /// How many connections are not closing.
    fn active_count(&self) -> usize {
        self.all
            .borrow()
            .iter()
            .filter(|connection| !connection.is_closing())
            .count()
    }

    /// Whether a listener of `protocol` has to wait: too many of its own are closing, or too many of all are not.
    fn is_full(&self, protocol: &Rc<dyn ClosingNotice>) -> bool {
        let closing = self
            .all
            .borrow()
            .iter()
            .filter(|connection| connection.is_closing() && connection.uses(protocol))
            .count();
        closing >= self.limits.spare_connections || self.active_count() >= self.max_active()
    }

    fn max_active(&self) -> usize {
        self.limits.connections + self.limits.spare_connections
    }

    /// Ends when one more connection may be accepted.
    ///
    /// Guards against waiting callers that take the descriptors of closing connections, and then the server's own. Those of one
    /// protocol hold up no other.
    async fn wait_for_capacity(
        &self,
        listener: &Async<TcpListener>,
        protocol: &Rc<dyn ClosingNotice>,
    ) -> io::Result<()> {
        while self.is_full(protocol) {
            // Nothing is shed before somebody waits.
            listener.readable().await?;
            let closed = self.closed.listen();
            if !self.is_full(protocol) {
                break;
            }
            self.free_capacity();
            closed.or(sleep(ACCEPT_RETRY_DELAY)).await;
        }
        Ok(())
    }

    /// Aborts the first lingering connection, whose replies are all written, or else sheds one.
    fn free_capacity(&self) {
        let lingering = self
            .all
            .borrow()
            .iter()
            .find(|connection| connection.is_lingering())
            .cloned();
        if let Some(lingering) = lingering {
            lingering.abort();
        } else if self.active_count() >= self.max_active() {
            self.shed_one();
        }
    }

    /// Closes the least useful connection; `false` where all have open requests.
    ///
    /// The order is: one that never sent a message, one that is idle, one that is younger than [`FIRST_MESSAGE_GRACE`]; of
    /// these the one idle longest. Guards against silent clients that lock gateways out. Of the silent ones, the protocol with
    /// most gives one up: guards against a flood at one protocol that leaves callers of another no time for a first message.
    fn shed_one(&self) -> bool {
        let all = self.all.borrow();
        let is_idle =
            |connection: &&Rc<Connection>| !connection.is_busy() && !connection.is_closing();
        let silent_of_protocol = |of: &Connection| {
            all.iter()
                .filter(is_idle)
                .filter(|other| !other.has_received_message() && other.same_protocol(of))
                .count()
        };
        let now = Instant::now();
        let victim = all.iter().filter(is_idle).min_by_key(|connection| {
            let spoke = connection.has_received_message();
            let idle = now.saturating_duration_since(connection.idle_since());
            (
                !spoke && idle < FIRST_MESSAGE_GRACE,
                spoke,
                Reverse(if spoke {
                    0
                } else {
                    silent_of_protocol(connection)
                }),
                connection.idle_since(),
            )
        });
        let Some(victim) = victim else {
            return false;
        };
        // A silent one gets no notice: its descriptor comes free at once.
        if victim.has_received_message() {
            victim.request_close();
        }
        victim.begin_close();
        true
    }

    /// Sheds an idle connection for each of the server's own dials that found no descriptor; never ends.
    pub async fn shed_for_outgoing_connections(&self) {
        loop {
            self.descriptors.listen_for_exhaustion().await;
            note!("descriptors exhausted, shedding an idle connection");
            self.shed_one();
        }
    }

    /// Registers an accepted connection and starts the task that serves it.
    fn add(self: &Rc<Self>, stream: Async<TcpStream>, peer: IpAddr, protocol: &Rc<dyn Protocol>) {
        let _ = stream.get_ref().set_nodelay(true);
        let connection = Rc::new(Connection::new(protocol.clone(), peer));
        if self.active_count() >= self.limits.connections || self.descriptors.is_reserved(&stream) {
            note!(client: %peer, "connection table full");
            if !self.shed_one() {
                // All have open requests: what this one brings is still answered, for its caller may have written it already.
                connection.request_close();
            }
        }
        self.all.borrow_mut().push(connection.clone());
        if self.stopped_accepting.get() {
            connection.request_close();
        }
        let (connections, protocol) = (self.clone(), protocol.clone());
        let task = async move { connections.serve(stream, &connection, protocol).await };
        self.executor.spawn(task).detach();
    }

    /// Serves one connection to its end and removes it.
    async fn serve(
        &self,
        stream: Async<TcpStream>,
        connection: &Rc<Connection>,
        protocol: Rc<dyn Protocol>,
    ) {
        let peer = connection.peer;
        let read = async {
            let read = protocol.read_connection(&self.dispatcher, &stream, connection);
            if let Err(error) = read.await {
                note!(client: %peer, %error, "connection failed");
            }
        };
        let served = AssertUnwindSafe(connection.serve(&stream, read))
            .catch_unwind()
            .await;
        if served.is_err() {
            note!(%peer, "connection task panicked");
        }
        connection.abort();
        self.all
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, connection));
        drop(stream);
        self.descriptors.notify_freed();
        self.closed.notify(usize::MAX);
    }

    /// Enforces the idle limit and the bound on unread replies ten times a second; never ends.
    pub async fn sweep(&self) {
        loop {
            Timer::after(SWEEP_INTERVAL).await;
            self.close_idle(Instant::now());
            self.bound_unread_replies();
        }
    }

    /// Asks callers to close connections that are idle too long, and closes those that stay open all the same.
    fn close_idle(&self, now: Instant) {
        let idle_limit = self.dispatcher.scheduler.idle_limit();
        let all = self.all.borrow();
        for connection in all.iter().filter(|connection| !connection.is_busy()) {
            let idle = now.saturating_duration_since(connection.idle_since());
            if idle_limit.is_some_and(|limit| idle >= limit) {
                connection.request_close();
            }
            if connection.close_requested_before(now, CLOSE_REQUEST_TIMEOUT) {
                connection.begin_close();
            }
        }
    }

    /// Guards against callers that read nothing: together their replies would fill the memory.
    fn bound_unread_replies(&self) {
        let all = self.all.borrow();
        let unread: usize = all
            .iter()
            .map(|connection| connection.outbox.unsent_bytes())
            .sum();
        if unread <= self.limits.unread_reply_bytes {
            return;
        }
        let slowest = all
            .iter()
            .max_by_key(|connection| connection.outbox.unsent_bytes());
        if let Some(slowest) = slowest {
            note!(peer = %slowest.peer, "unread replies exceed memory limit, closing connection");
            slowest.abort();
        }
    }

    /// Stops accepting and asks all callers to close their connections.
    pub fn stop_accepting(&self) {
        self.stopped_accepting.set(true);
        self.accept_stopped.notify(usize::MAX);
        for connection in self.all.borrow().iter() {
            connection.request_close();
        }
    }

    /// Closes all connections, each after the replies to its open requests.
    pub fn close_all(&self) {
        for connection in self.all.borrow().iter() {
            connection.begin_close();
        }
    }

    /// Ends when no connection is left.
    pub async fn wait_until_all_closed(&self) {
        while !self.all.borrow().is_empty() {
            let closed = self.closed.listen();
            if !self.all.borrow().is_empty() {
                closed.await;
            }
        }
    }
}

async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}

#[cfg(test)]
mod tests;
