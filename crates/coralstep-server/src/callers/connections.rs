//! The connections of all protocols: accepting, limits, idle timeouts, load shedding, and closing during a drain.
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
use futures_lite::future::yield_now;

use crate::base::descriptors::Descriptors;
use crate::base::limits::Limits;
use crate::base::memory_budget::MemoryBudgets;
use crate::callers::connection::{ClosingNotice, Connection, sleep};
use crate::callers::dispatcher::RequestDispatcher;
use crate::callers::protocol::Protocol;
use crate::decisions::SchedulerHandle;
use crate::note;
use crate::runs::request_handler::RequestHandler;

/// Delay after which a listener that can't accept connections tries again, unless one closes sooner.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Age up to which a connection without a message is shed last, since it may not have had time to send one.
const FIRST_MESSAGE_GRACE: Duration = Duration::from_millis(50);
/// Interval between two checks for idle connections; shorter than any idle limit.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the closing notice at which the server closes an idle connection itself.
const CLOSE_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a caller that reads none of its replies is closed while responses wait for their memory.
const STALLED_READER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of connections in a listener's backlog: the system's usual limit.
const MAX_BACKLOG: usize = 4_096;

/// The connections of all protocols.
pub struct Connections {
    executor: Rc<LocalExecutor<'static>>,
    dispatcher: RequestDispatcher,
    descriptors: Rc<Descriptors>,
    limits: Limits,
    budgets: MemoryBudgets,
    connections: RefCell<Vec<Rc<Connection>>>,
    stopped_accepting: Cell<bool>,
    accept_stopped: Event,
    closed: Event,
}

impl Connections {
    /// Creates an empty set of connections, whose tasks run on `executor` and whose requests go to `handler`. What is held for
    /// their callers counts towards `budgets`.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        scheduler: Rc<SchedulerHandle>,
        handler: Rc<RequestHandler>,
        descriptors: Rc<Descriptors>,
        limits: Limits,
        budgets: MemoryBudgets,
    ) -> Connections {
        Connections {
            dispatcher: RequestDispatcher::new(
                executor.clone(),
                scheduler,
                handler,
                budgets.clone(),
            ),
            executor,
            budgets,
            descriptors,
            limits,
            connections: RefCell::default(),
            stopped_accepting: Cell::new(false),
            accept_stopped: Event::new(),
            closed: Event::new(),
        }
    }

    /// Accepts connections until [`Connections::stop_accepting`], then those left in the system's backlog.
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
                Ok((stream, address)) => {
                    self.add(stream, address.ip(), &protocol);
                    // Guards against clients that connect at full speed and starve all other tasks.
                    yield_now().await;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // Guards against a busy loop: the listener stays readable while no descriptor is available.
                    note!(%error, "accept failed");
                    let closed = self.closed.listen();
                    self.shed_idle_connection();
                    closed.or(sleep(ACCEPT_RETRY_DELAY)).await;
                }
            }
        }
        self.drain_backlog(&listener, &protocol);
    }

    /// Accepts the connections in the backlog. Guards against resets of connections whose requests were already written.
    ///
    /// Accepts no more than the backlog can have had. Guards against clients that keep connecting and delay the drain.
    fn drain_backlog(self: &Rc<Self>, listener: &Async<TcpListener>, protocol: &Rc<dyn Protocol>) {
        for _ in 0..MAX_BACKLOG {
            let Ok((stream, address)) = listener.get_ref().accept() else {
                return;
            };
            match Async::new(stream) {
                Ok(stream) => self.add(stream, address.ip(), protocol),
                Err(error) => note!(%error, "accept failed"),
            }
        }
    }

    /// Returns the number of connections that are not closing.
    fn active_count(&self) -> usize {
        self.connections
            .borrow()
            .iter()
            .filter(|connection| !connection.is_closing())
            .count()
    }

    /// Returns whether a listener of `protocol` must wait: too many of its connections are closing, or too many connections of
    /// all protocols are active.
    fn is_full(&self, protocol: &Rc<dyn ClosingNotice>) -> bool {
        let closing = self
            .connections
            .borrow()
            .iter()
            .filter(|connection| connection.is_closing() && connection.uses_protocol(protocol))
            .count();
        closing >= self.limits.spare_connections || self.active_count() >= self.max_active()
    }

    fn max_active(&self) -> usize {
        self.limits.connections + self.limits.spare_connections
    }

    /// Waits until one more connection may be accepted.
    ///
    /// Guards against new callers that use up descriptors while old connections are closing, including those reserved for the
    /// server itself. Closing connections of one protocol don't block the listener of another.
    async fn wait_for_capacity(
        &self,
        listener: &Async<TcpListener>,
        protocol: &Rc<dyn ClosingNotice>,
    ) -> io::Result<()> {
        while self.is_full(protocol) {
            // No connection is shed before a caller is waiting.
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

    /// Aborts the first lingering connection, whose replies are all written, or else sheds an idle one.
    fn free_capacity(&self) {
        let lingering = self
            .connections
            .borrow()
            .iter()
            .find(|connection| connection.is_lingering())
            .cloned();
        if let Some(lingering) = lingering {
            lingering.abort();
        } else if self.active_count() >= self.max_active() {
            self.shed_idle_connection();
        }
    }

    /// Closes one idle connection; returns `false` if all connections have open requests or are closing.
    ///
    /// Silent connections, which never sent a message, are closed first, so that silent clients can't lock out gateways.
    /// Other idle connections come next, and silent ones younger than [`FIRST_MESSAGE_GRACE`] last. Within each group, the
    /// connection idle longest is closed.
    ///
    /// Silent connections of the protocol with the most of them come before those of other protocols, so that a flood at
    /// one protocol leaves callers of another time for a first message.
    fn shed_idle_connection(&self) -> bool {
        let connections = self.connections.borrow();
        let is_idle =
            |connection: &&Rc<Connection>| !connection.is_busy() && !connection.is_closing();
        let silent = count_by_protocol(
            connections
                .iter()
                .filter(is_idle)
                .filter(|connection| !connection.has_received_message()),
        );
        let silent_of_protocol = |of: &Connection| {
            silent
                .iter()
                .find(|(connection, _)| connection.has_same_protocol(of))
                .map_or(0, |(_, count)| *count)
        };
        let now = Instant::now();
        let victim = connections.iter().filter(is_idle).min_by_key(|connection| {
            let has_received = connection.has_received_message();
            let idle = now.saturating_duration_since(connection.idle_since());
            (
                !has_received && idle < FIRST_MESSAGE_GRACE,
                has_received,
                Reverse(if has_received {
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
        victim.announce_close();
        true
    }

    /// Sheds an idle connection whenever a dial of the server found no descriptor; never returns.
    pub async fn shed_for_outgoing_connections(&self) {
        loop {
            self.descriptors.listen_for_exhaustion().await;
            note!("descriptors exhausted, shedding an idle connection");
            self.shed_idle_connection();
        }
    }

    /// Adds an accepted connection and spawns the task that serves it.
    fn add(self: &Rc<Self>, stream: Async<TcpStream>, peer: IpAddr, protocol: &Rc<dyn Protocol>) {
        let _ = stream.get_ref().set_nodelay(true);
        let connection = Rc::new(Connection::new(
            protocol.clone(),
            peer,
            &self.budgets.replies,
        ));
        if self.active_count() >= self.limits.connections || self.descriptors.is_reserved(&stream) {
            note!(client: %peer, "connection table full");
            if !self.shed_idle_connection() {
                // All others have open requests. Requests on this one are still answered, since its caller may already
                // have written some.
                connection.request_close();
            }
        }
        self.connections.borrow_mut().push(connection.clone());
        if self.stopped_accepting.get() {
            connection.request_close();
        }
        let (connections, protocol) = (self.clone(), protocol.clone());
        let task = async move { connections.serve(stream, &connection, protocol).await };
        self.executor.spawn(task).detach();
    }

    /// Serves one connection until it closes, then removes it.
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
        self.connections
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, connection));
        drop(stream);
        self.descriptors.notify_freed();
        self.closed.notify(usize::MAX);
    }

    /// Enforces the idle limit and the limit on unread replies ten times per second; never returns.
    pub async fn sweep(&self) {
        loop {
            Timer::after(SWEEP_INTERVAL).await;
            self.close_idle(Instant::now());
            self.enforce_unread_reply_limit();
            self.close_stalled_reader(Instant::now());
        }
    }

    /// Asks callers to close connections that are idle for too long, and closes those that stay open regardless.
    fn close_idle(&self, now: Instant) {
        let idle_limit = self.dispatcher.scheduler.idle_limit();
        let connections = self.connections.borrow();
        for connection in connections
            .iter()
            .filter(|connection| !connection.is_busy())
        {
            let idle = now.saturating_duration_since(connection.idle_since());
            if idle_limit.is_some_and(|limit| idle >= limit) {
                connection.request_close();
            }
            if connection.close_requested_before(now, CLOSE_REQUEST_TIMEOUT) {
                connection.begin_close();
            }
        }
    }

    /// Guards against callers that don't read their replies, which together would exhaust the memory.
    fn enforce_unread_reply_limit(&self) {
        let connections = self.connections.borrow();
        let unread: usize = connections
            .iter()
            .map(|connection| connection.outbox.unsent_bytes())
            .sum();
        if unread <= self.limits.unread_reply_bytes {
            return;
        }
        let slowest = connections
            .iter()
            .max_by_key(|connection| connection.outbox.unsent_bytes());
        if let Some(slowest) = slowest {
            note!(peer = %slowest.peer, "unread replies exceed memory limit, closing connection");
            slowest.abort();
        }
    }

    /// Closes the connection with the most unread replies, if its caller reads none while responses wait for their memory.
    ///
    /// Guards against callers that don't read their replies and keep others from theirs.
    fn close_stalled_reader(&self, now: Instant) {
        if !self.budgets.replies.is_contended() {
            return;
        }
        let connections = self.connections.borrow();
        let stalled = connections
            .iter()
            .filter(|connection| connection.outbox.is_stalled(now, STALLED_READER_TIMEOUT))
            .max_by_key(|connection| connection.outbox.unsent_bytes());
        if let Some(stalled) = stalled {
            note!(peer = %stalled.peer, "replies not read while others wait for their memory, closing connection");
            stalled.abort();
        }
    }

    /// Stops accepting and asks all callers to close their connections.
    pub fn stop_accepting(&self) {
        self.stopped_accepting.set(true);
        self.accept_stopped.notify(usize::MAX);
        for connection in self.connections.borrow().iter() {
            connection.request_close();
        }
    }

    /// Closes all connections, each once its open requests are answered.
    pub fn close_all(&self) {
        for connection in self.connections.borrow().iter() {
            connection.begin_close();
        }
    }

    /// Waits until no connection is left.
    pub async fn wait_until_all_closed(&self) {
        while !self.connections.borrow().is_empty() {
            let closed = self.closed.listen();
            if !self.connections.borrow().is_empty() {
                closed.await;
            }
        }
    }
}

/// Returns one connection of each protocol, and the number of that protocol's connections.
///
/// Guards against work that grows with the square of the number of connections.
fn count_by_protocol<'a>(
    connections: impl Iterator<Item = &'a Rc<Connection>>,
) -> Vec<(&'a Connection, usize)> {
    let mut counts: Vec<(&Connection, usize)> = Vec::new();
    for connection in connections {
        let known = counts
            .iter_mut()
            .find(|(known, _)| known.has_same_protocol(connection));
        match known {
            Some((_, count)) => *count += 1,
            None => counts.push((connection, 1)),
        }
    }
    counts
}

#[cfg(test)]
mod tests;
