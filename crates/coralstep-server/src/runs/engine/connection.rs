//! Keeps a link to the engine up: reconnects after a loss, and moves the link when the engine's
//! address changes.
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, FutureExt};

use crate::base::backoff::Backoff;
use crate::base::descriptors::Descriptors;
use crate::base::endpoints::{Endpoint, Endpoints};
use crate::base::outbox::Outbox;
use crate::decisions::SchedulerHandle;
use crate::note;
use crate::runs::engine::Engine;
use crate::runs::engine::link::Link;
use crate::runs::engine::protocol::{self, Command};

/// Bounds of the delay between two attempts to connect. The delay is short because no command
/// reaches current runs meanwhile, and the engine is on this machine.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time to wait until the engine has read everything on the old link before a new one replaces
/// it.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Half of the read buffer's size, in bytes. A message must fit into the buffer.
const READ_SIZE: usize = 64 * 1024;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("message too long")]
    MessageTooLong,
    #[error("corrupt message")]
    Corrupt,
}

/// An open connection to the engine.
struct Connection {
    address: SocketAddr,
    stream: Async<TcpStream>,
}

async fn connect(address: SocketAddr, descriptors: &Descriptors) -> io::Result<Connection> {
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = descriptors.dial(address).or(timeout).await?;
    Ok(Connection { address, stream })
}

/// Returns the engine's address, waiting until one is configured.
async fn current_address(endpoint: &Endpoint<Option<SocketAddr>>) -> SocketAddr {
    loop {
        let moved = endpoint.listen_for_change();
        if let Some(address) = endpoint.get() {
            return address;
        }
        moved.await;
    }
}

impl Engine {
    /// Keeps a link to the engine's current address. Never returns.
    pub async fn maintain_link(
        &self,
        endpoints: &Endpoints,
        scheduler: &SchedulerHandle,
        seed: u64,
    ) {
        let mut backoff = Backoff::new(MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY, seed);
        let mut replacement = None;
        loop {
            let connection = match replacement.take() {
                Some(connection) => connection,
                None => establish(endpoints, &mut backoff).await,
            };
            let opened = Instant::now();
            replacement = self.serve_link(connection, endpoints, scheduler).await;
            // Guards against a peer that closes each link without a message: reconnects with backoff.
            let message_received = self.close_link();
            if message_received {
                backoff.reset();
            }
            if !message_received || opened.elapsed() < MIN_RECONNECT_DELAY {
                Timer::after(backoff.next_delay()).await;
            }
        }
    }

    /// Serves one link to its end. Returns a connection to the engine's new address if it has moved.
    async fn serve_link(
        &self,
        connection: Connection,
        endpoints: &Endpoints,
        scheduler: &SchedulerHandle,
    ) -> Option<Connection> {
        let address = connection.address;
        let served = AssertUnwindSafe(self.serve(connection, endpoints, scheduler)).catch_unwind();
        match served.await {
            Ok(Ok(replacement)) => {
                note!(engine = %replacement.address, "engine link moved");
                return Some(replacement);
            }
            Ok(Err(error)) => note!(engine = %address, %error, "engine link lost"),
            Err(_) => note!(engine = %address, "engine link task panicked"),
        }
        None
    }

    async fn serve(
        &self,
        connection: Connection,
        endpoints: &Endpoints,
        scheduler: &SchedulerHandle,
    ) -> Result<Connection, LinkError> {
        let Connection { address, stream } = connection;
        let _ = stream.get_ref().set_nodelay(true);
        let outbox = self.open_link();
        let write = async {
            let ended = outbox.write_to(&stream).await;
            let error = ended.err().unwrap_or(io::ErrorKind::UnexpectedEof.into());
            Err(error.into())
        };
        let read = async { Err(self.read(&stream, scheduler).await) };
        let replace = async { Ok(self.replacement(endpoints, address).await) };
        let send = async {
            loop {
                let command_queued = self.command_queued.listen();
                self.send_queued();
                command_queued.await;
            }
        };
        write.or(read).or(replace).or(send).await
    }

    fn open_link(&self) -> Rc<Outbox> {
        let outbox = Rc::new(Outbox::default());
        let number = self.links_opened.get() + 1;
        self.links_opened.set(number);
        let link = Link::new(number, outbox.clone());
        link.write(Command::Attach {
            last_notification: self.last_notification.get(),
        });
        *self.link.borrow_mut() = Some(link);
        outbox
    }

    /// Closes the link. Returns whether the engine sent a message on it.
    fn close_link(&self) -> bool {
        self.gauge_readings.borrow_mut().clear();
        let Some(link) = self.link.borrow_mut().take() else {
            return false;
        };
        self.runs.borrow_mut().handle_link_lost(&link);
        link.message_received
    }

    fn send_queued(&self) {
        if let Some(link) = self.link.borrow_mut().as_mut() {
            self.runs.borrow_mut().send_queued(link);
        }
    }

    async fn read(&self, mut stream: &Async<TcpStream>, scheduler: &SchedulerHandle) -> LinkError {
        let (mut buffer, mut filled) = (vec![0; 2 * READ_SIZE], 0);
        loop {
            if filled == buffer.len() {
                return LinkError::MessageTooLong;
            }
            // Guards against an engine that sends without pause and starves all other tasks and timers.
            yield_now().await;
            match stream.read(&mut buffer[filled..]).await {
                Ok(0) => return io::Error::from(io::ErrorKind::UnexpectedEof).into(),
                Ok(count) => filled += count,
                Err(error) => return error.into(),
            }
            let Ok(used) = self.dispatch_all(&buffer[..filled], scheduler) else {
                return LinkError::Corrupt;
            };
            buffer.copy_within(used..filled, 0);
            filled -= used;
        }
    }

    /// Dispatches all complete messages and returns their total length in bytes.
    fn dispatch_all(
        &self,
        bytes: &[u8],
        scheduler: &SchedulerHandle,
    ) -> Result<usize, protocol::CorruptMessage> {
        let mut used = 0;
        while let Some(parsed) = protocol::parse(&bytes[used..])? {
            used += parsed.length;
            self.dispatch(parsed, scheduler);
        }
        Ok(used)
    }

    /// Waits until the engine's address changes and returns a connection to the new address, after
    /// the engine has read everything on the old link.
    ///
    /// Guards against commands that are lost with the old link.
    async fn replacement(&self, endpoints: &Endpoints, from: SocketAddr) -> Connection {
        let endpoint = &endpoints.engine;
        loop {
            let moved = endpoint.listen_for_change();
            let Some(to) = endpoint.get().filter(|to| *to != from) else {
                moved.await;
                continue;
            };
            match connect(to, &endpoints.descriptors).await {
                Ok(connection) => {
                    self.drain_link().await;
                    return connection;
                }
                Err(error) => {
                    note!(engine = %to, %error, "engine unreachable, keeping old link");
                    Timer::after(MIN_RECONNECT_DELAY).await;
                }
            }
        }
    }

    /// Stops sending commands and waits until those already sent are read.
    async fn drain_link(&self) {
        let drained = self.drained.listen();
        {
            let mut link = self.link.borrow_mut();
            let Some(link) = link.as_mut().filter(|link| link.ready) else {
                return;
            };
            link.ready = false;
            link.write(Command::ConfirmDrained);
        }
        let timeout = async {
            Timer::after(DRAIN_TIMEOUT).await;
        };
        drained.or(timeout).await;
    }
}

/// Connects to the engine, retrying until it succeeds. Logs only the first failure.
async fn establish(endpoints: &Endpoints, backoff: &mut Backoff) -> Connection {
    let mut failed = false;
    loop {
        let address = current_address(&endpoints.engine).await;
        match connect(address, &endpoints.descriptors).await {
            Ok(connection) => return connection,
            Err(error) => {
                if !std::mem::replace(&mut failed, true) {
                    note!(engine = %address, %error, "engine unreachable, retrying");
                }
                Timer::after(backoff.next_delay()).await;
            }
        }
    }
}
