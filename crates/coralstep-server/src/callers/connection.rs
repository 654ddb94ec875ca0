//! One caller's connection: its open requests, and how it closes.
//!
//! | closed by | open requests | then |
//! | --- | --- | --- |
//! | [`Connection::begin_close`] | are answered, each by its deadline; what is read from then on is rejected | all replies are flushed, the connection is half-closed, and read on to its end or a bound |
//! | [`Connection::abort`] | are abandoned: their callers are known to have gone | closed at once |
use std::cell::Cell;
use std::net::{IpAddr, Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, FutureExt};

use crate::base::outbox::Outbox;

/// How long a half-closed connection is read on.
///
/// Guards against lost replies: bytes that lie unread at the close turn it into a reset, which discards replies that the peer
/// has not read.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How many bytes a half-closed connection is read on.
const MAX_LINGER_BYTES: usize = 64 * 1024;
/// How long the last replies may take to be written to a peer that reads slowly.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(5_000);
/// How long a caller that sends nothing more is taken to wait for its replies.
const HALF_CLOSED_GRACE: Duration = Duration::from_millis(1_000);
/// Time between two checks for a reset by the peer, after that.
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How a protocol asks its peer to close a connection.
pub trait ClosingNotice: 'static {
    /// Appends the notice to `out`; nothing where the protocol has none.
    fn write_closing_notice(&self, out: &mut Vec<u8>);
}

/// One connection of a caller.
pub struct Connection {
    protocol: Rc<dyn ClosingNotice>,
    /// The address of the peer.
    pub peer: IpAddr,
    /// Replies on their way to the peer.
    pub outbox: Outbox,
    open_requests: Cell<usize>,
    pub(super) received_message: Cell<bool>,
    served_request: Cell<bool>,
    aborted: Cell<bool>,
    closing: Cell<bool>,
    lingering: Cell<bool>,
    state_changed: Event,
    pub(super) idle_since: Cell<Instant>,
    close_requested_at: Cell<Option<Instant>>,
    request_done: Event,
}

impl Connection {
    /// A connection just accepted from `peer`.
    pub fn new(protocol: Rc<dyn ClosingNotice>, peer: IpAddr) -> Connection {
        Connection {
            protocol,
            peer,
            outbox: Outbox::default(),
            open_requests: Cell::new(0),
            received_message: Cell::new(false),
            served_request: Cell::new(false),
            aborted: Cell::new(false),
            closing: Cell::new(false),
            lingering: Cell::new(false),
            state_changed: Event::new(),
            idle_since: Cell::new(Instant::now()),
            close_requested_at: Cell::new(None),
            request_done: Event::new(),
        }
    }

    /// Whether both connections belong to one protocol instance.
    pub fn same_protocol(&self, other: &Connection) -> bool {
        Rc::ptr_eq(&self.protocol, &other.protocol)
    }

    /// Whether it belongs to `protocol`.
    pub fn uses(&self, protocol: &Rc<dyn ClosingNotice>) -> bool {
        Rc::ptr_eq(&self.protocol, protocol)
    }

    /// How many requests await their replies.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Whether any request awaits its reply.
    pub fn is_busy(&self) -> bool {
        self.open_requests.get() > 0
    }

    /// Whether no new request is served on it.
    pub fn is_closing(&self) -> bool {
        self.closing.get() || self.aborted.get()
    }

    /// Whether it is half-closed, with all replies written.
    pub fn is_lingering(&self) -> bool {
        self.lingering.get() && !self.aborted.get()
    }

    /// Whether a whole message has arrived on it.
    pub fn has_received_message(&self) -> bool {
        self.received_message.get()
    }

    /// Whether a request of it was served: the ages that its peer states are believed from then on.
    pub fn has_served_request(&self) -> bool {
        self.served_request.get()
    }

    /// Since when it has had no open request and received no message.
    pub fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// Records that a whole message arrived.
    pub fn message_received(&self) {
        self.idle_since.set(Instant::now());
        self.received_message.set(true);
    }

    /// Records that a request is open.
    pub fn request_started(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
    }

    /// Records that a request was served successfully.
    pub fn request_served(&self) {
        self.served_request.set(true);
    }

    /// Records that an open request has its reply.
    pub fn request_finished(&self) {
        self.open_requests.set(self.open_requests.get() - 1);
        self.idle_since.set(Instant::now());
        self.request_done.notify(usize::MAX);
    }

    /// Begins a graceful close: no new request is served, and it closes once all open ones have their replies.
    pub fn begin_close(&self) {
        self.closing.set(true);
        self.state_changed.notify(usize::MAX);
    }

    /// Closes it at once; nobody waits for the open requests any more.
    pub fn abort(&self) {
        self.aborted.set(true);
        self.state_changed.notify(usize::MAX);
    }

    /// Ends when the connection is aborted.
    pub async fn aborted(&self) {
        self.wait_for(&self.aborted).await;
    }

    /// Asks the caller, once, to close the connection, where its protocol has a message for that.
    pub fn request_close(&self) {
        if self.close_requested_at.get().is_none() {
            self.close_requested_at.set(Some(Instant::now()));
            self.outbox
                .put(|out| self.protocol.write_closing_notice(out));
        }
    }

    /// Whether the caller was asked to close it at least `span` before `now`.
    pub fn close_requested_before(&self, now: Instant, span: Duration) -> bool {
        self.close_requested_at
            .get()
            .is_some_and(|requested| now.saturating_duration_since(requested) >= span)
    }

    /// Runs `read` until it ends or the connection is aborted, writes all replies, and closes as the module's table says.
    pub async fn serve(&self, stream: &Async<TcpStream>, read: impl Future<Output = ()>) {
        let read = async {
            read.await;
            self.begin_close();
            self.detect_reset(stream).await
        };
        let aborted = async {
            self.aborted().await;
            false
        };
        let flush_expired = async {
            self.wait_for(&self.closing).await;
            self.all_answered().await;
            self.outbox.close();
            Timer::after(FLUSH_TIMEOUT).await;
            false
        };
        let write = async { self.outbox.write_to(stream).await.is_ok() };
        // In this order: what had arrived by the time of the close is read first, and gets its reply.
        let flushed = read.or(aborted).or(flush_expired).or(write).await;
        if flushed {
            self.linger(stream).await;
        }
    }

    /// Ends when no request is open.
    async fn all_answered(&self) {
        while self.is_busy() {
            let done = self.request_done.listen();
            if self.is_busy() {
                done.await;
            }
        }
    }

    async fn wait_for(&self, flag: &Cell<bool>) {
        while !flag.get() {
            let changed = self.state_changed.listen();
            if !flag.get() {
                changed.await;
            }
        }
    }

    /// Aborts once the peer of a half-closed connection has reset it; never ends.
    ///
    /// Guards against work for callers that have gone: the closing notice draws a reset from a peer that has closed, and nothing
    /// from one that has only half-closed and waits for its replies.
    async fn detect_reset(&self, stream: &Async<TcpStream>) -> bool {
        Timer::after(HALF_CLOSED_GRACE).await;
        while self.is_busy() {
            self.request_close();
            Timer::after(RESET_CHECK_INTERVAL).await;
            if !matches!(stream.get_ref().take_error(), Ok(None)) {
                self.abort();
            }
        }
        std::future::pending().await
    }

    /// Half-closes the connection and discards what still arrives, up to a bound.
    async fn linger(&self, stream: &Async<TcpStream>) {
        self.lingering.set(true);
        if stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        // Guards against floods of silent clients that keep their descriptors: nothing was sent that could get lost.
        let timeout = if self.received_message.get() || self.outbox.was_used() {
            LINGER_TIMEOUT
        } else {
            Duration::ZERO
        };
        let expired = async {
            Timer::after(timeout).await;
        };
        discard_input(stream).or(expired).or(self.aborted()).await;
    }
}

/// Reads to the end of the input, or `MAX_LINGER_BYTES` far; without yielding, for the bound is small.
async fn discard_input(mut stream: &Async<TcpStream>) {
    let mut buffer = [0; 4 * 1024];
    let mut discarded = 0;
    while discarded < MAX_LINGER_BYTES {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => discarded += count,
        }
    }
}
