//! One caller's connection: its open requests, and how it closes.
//!
//! | closed by | open requests | then |
//! | --- | --- | --- |
//! | [`Connection::begin_close`] | are answered by their deadlines; requests read later are rejected | once all replies are flushed and no input is unread, the connection is half-closed, and later input is discarded up to a limit |
//! | [`Connection::abort`] | are cancelled, since their callers have disconnected | the connection is closed at once |
use std::cell::Cell;
use std::net::{IpAddr, Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, FutureExt};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::base::memory_budget::MemoryBudget;
use crate::base::outbox::Outbox;

/// Time limit for reading from a half-closed connection.
///
/// Guards against lost replies: closing a socket with unread input sends a reset, which discards replies that the peer has
/// not read.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of bytes read from a half-closed connection.
const MAX_LINGER_BYTES: usize = 64 * 1024;
/// Time limit for writing the last replies to a peer that reads slowly.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Interval between two checks for a reset by a peer that was probed.
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a peer that has closed its socket responds to a probe with a reset: longer than a round trip on a busy
/// machine.
const PROBE_RESPONSE_TIME: Duration = Duration::from_millis(50);

/// What a protocol writes to a peer apart from replies.
pub trait ClosingNotice: 'static {
    /// Appends the message that asks the peer to close the connection; appends nothing if the protocol has none.
    fn write_closing_notice(&self, out: &mut Vec<u8>);

    /// Appends the bytes with which every reply begins, if the protocol has no closing notice, and returns their number.
    ///
    /// Either is a probe: a peer that has closed its socket responds to it with a reset, one that has only half-closed it and
    /// waits for its replies does not.
    fn write_reply_start(&self, out: &mut Vec<u8>) -> usize;

    /// Returns the time for which a caller that has ended its input is assumed to wait for its replies before it is probed.
    fn probe_delay(&self) -> Duration;
}

/// What is known of the peer's end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerState {
    /// The peer may send more.
    Open,
    /// The peer has ended its input. It has closed its socket, or has half-closed it and waits for its replies.
    InputEnded,
    /// The connection was reset.
    Reset,
}

/// Returns the state of the peer, which is known before its input is read.
fn peer_state(stream: &TcpStream) -> PeerState {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let without_waiting = Timespec::default();
    if poll(&mut polled, Some(&without_waiting)).is_err() {
        return PeerState::Open;
    }
    let events = polled[0].revents();
    if events.intersects(PollFlags::ERR | PollFlags::HUP) {
        PeerState::Reset
    } else if events.contains(PollFlags::RDHUP) {
        PeerState::InputEnded
    } else {
        PeerState::Open
    }
}

/// A connection of one caller.
pub struct Connection {
    protocol: Rc<dyn ClosingNotice>,
    /// IP address of the peer.
    pub peer: IpAddr,
    /// Outgoing replies.
    pub outbox: Outbox,
    open_requests: Cell<usize>,
    pub(super) received_message: Cell<bool>,
    served_request: Cell<bool>,
    aborted: Cell<bool>,
    closing: Cell<bool>,
    reading_ended: Cell<bool>,
    lingering: Cell<bool>,
    state_changed: Event,
    pub(super) idle_since: Cell<Instant>,
    close_requested_at: Cell<Option<Instant>>,
    request_done: Event,
    probed: Cell<bool>,
    /// Number of bytes of the next reply that were sent as a probe.
    reply_bytes_sent: Cell<usize>,
}

impl Connection {
    /// Creates the state of a connection that was just accepted from `peer`. Its unread replies count towards `replies`.
    pub fn new(
        protocol: Rc<dyn ClosingNotice>,
        peer: IpAddr,
        replies: &Rc<MemoryBudget>,
    ) -> Connection {
        Connection {
            protocol,
            peer,
            outbox: Outbox::with_budget(replies),
            open_requests: Cell::new(0),
            received_message: Cell::new(false),
            served_request: Cell::new(false),
            aborted: Cell::new(false),
            closing: Cell::new(false),
            reading_ended: Cell::new(false),
            lingering: Cell::new(false),
            state_changed: Event::new(),
            idle_since: Cell::new(Instant::now()),
            close_requested_at: Cell::new(None),
            request_done: Event::new(),
            probed: Cell::new(false),
            reply_bytes_sent: Cell::new(0),
        }
    }

    /// Returns whether both connections use the same protocol instance.
    pub fn has_same_protocol(&self, other: &Connection) -> bool {
        Rc::ptr_eq(&self.protocol, &other.protocol)
    }

    /// Returns whether the connection uses `protocol`.
    pub fn uses_protocol(&self, protocol: &Rc<dyn ClosingNotice>) -> bool {
        Rc::ptr_eq(&self.protocol, protocol)
    }

    /// Returns the number of requests without a reply.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Returns whether any request has no reply yet.
    pub fn is_busy(&self) -> bool {
        self.open_requests.get() > 0
    }

    /// Returns whether the connection is closing, so that no new request is served.
    pub fn is_closing(&self) -> bool {
        self.closing.get() || self.aborted.get()
    }

    /// Returns whether the connection is half-closed, with all replies written.
    pub fn is_lingering(&self) -> bool {
        self.lingering.get() && !self.aborted.get()
    }

    /// Returns whether a complete message has arrived.
    pub fn has_received_message(&self) -> bool {
        self.received_message.get()
    }

    /// Returns whether a request was served. From then on the request ages that the peer states are trusted.
    pub fn has_served_request(&self) -> bool {
        self.served_request.get()
    }

    /// Returns the time of the last message or finished request, or of the accept if there was none.
    pub fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// Records that a complete message arrived.
    pub fn record_message(&self) {
        self.idle_since.set(Instant::now());
        self.received_message.set(true);
    }

    /// Queues the reply that `write` appends, less what of it was sent as a probe.
    pub fn queue_reply(&self, write: impl FnOnce(&mut Vec<u8>)) {
        let sent = self.reply_bytes_sent.take();
        self.outbox.put(|out| {
            let start = out.len();
            write(out);
            out.drain(start..start + sent);
        });
    }

    /// Returns whether the caller has left: its connection was reset, or it has closed its socket.
    ///
    /// Guards against work for a caller that has left: what it wrote before stays readable.
    pub async fn has_caller_left(&self, stream: &Async<TcpStream>) -> bool {
        match peer_state(stream.get_ref()) {
            PeerState::Open => false,
            PeerState::Reset => true,
            PeerState::InputEnded => {
                self.probe_and_wait().await;
                peer_state(stream.get_ref()) == PeerState::Reset
            }
        }
    }

    /// Probes the peer unless that was done before, and waits until it has had time to respond.
    async fn probe_and_wait(&self) {
        if self.probed.get() {
            return;
        }
        self.probe();
        sleep(PROBE_RESPONSE_TIME).await;
    }

    /// Writes a probe, once.
    fn probe(&self) {
        if !self.probed.replace(true) {
            self.request_close();
            self.outbox.put(|out| {
                self.reply_bytes_sent
                    .set(self.protocol.write_reply_start(out))
            });
        }
    }

    /// Records a new open request.
    pub fn record_request_start(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
    }

    /// Records that a request was served successfully.
    pub fn record_request_served(&self) {
        self.served_request.set(true);
    }

    /// Records that an open request was answered.
    pub fn record_request_end(&self) {
        self.open_requests.set(self.open_requests.get() - 1);
        self.idle_since.set(Instant::now());
        self.request_done.notify(usize::MAX);
    }

    /// Begins a graceful close: new requests are rejected, and the connection closes once all open requests are answered.
    pub fn begin_close(&self) {
        self.closing.set(true);
        self.state_changed.notify(usize::MAX);
    }

    /// Closes the connection at once and cancels its open requests.
    pub fn abort(&self) {
        self.aborted.set(true);
        self.state_changed.notify(usize::MAX);
    }

    /// Closes the connection once all open requests are answered. Returns once all replies are written.
    pub async fn close_when_answered(&self) {
        self.wait_until_all_answered().await;
        self.announce_close();
        self.wait_until_drained().await;
    }

    /// Begins a graceful close and tells the caller, unless it never sent a message.
    ///
    /// Silent callers are not told, so that their descriptors are freed at once.
    pub fn announce_close(&self) {
        if self.has_received_message() {
            self.request_close();
        }
        self.begin_close();
    }

    /// Waits until the connection is closing, all requests are answered, and all replies are written.
    ///
    /// The protocol reads until then.
    /// Guards against requests that are written before the caller can know of the close, and never read.
    pub async fn wait_until_drained(&self) {
        self.wait_for(&self.closing).await;
        self.wait_until_all_answered().await;
        self.outbox.wait_until_unsent_at_most(0).await;
    }

    /// Waits until the connection is aborted.
    pub async fn wait_until_aborted(&self) {
        self.wait_for(&self.aborted).await;
    }

    /// Asks the caller to close the connection, if its protocol has a closing notice. Further calls have no effect.
    pub fn request_close(&self) {
        if self.close_requested_at.get().is_none() {
            self.close_requested_at.set(Some(Instant::now()));
            self.outbox
                .put(|out| self.protocol.write_closing_notice(out));
        }
    }

    /// Returns whether the caller was asked to close the connection at least `duration` before `now`.
    pub fn close_requested_before(&self, now: Instant, duration: Duration) -> bool {
        self.close_requested_at
            .get()
            .is_some_and(|requested| now.saturating_duration_since(requested) >= duration)
    }

    /// Runs `read` until it ends or the connection is aborted, writes all replies, and closes as described in the module
    /// documentation.
    pub async fn serve(&self, stream: &Async<TcpStream>, read: impl Future<Output = ()>) {
        let read = async {
            read.await;
            self.reading_ended.set(true);
            // Until its replies are written the connection counts as active. Guards against half-closed callers that are taken
            // for closing ones and keep the listener from accepting others.
            self.detect_reset(stream)
                .or(self.wait_until_all_answered())
                .or(self.wait_for(&self.closing))
                .await;
            self.begin_close();
            self.detect_reset(stream).await;
            std::future::pending().await
        };
        let aborted = async {
            self.wait_until_aborted().await;
            false
        };
        let flush_expired = async {
            self.wait_for(&self.closing).await;
            self.wait_until_all_answered().await;
            self.close_outbox_after_reading()
                .or(sleep(FLUSH_TIMEOUT))
                .await;
            false
        };
        let write = async { self.outbox.write_to(stream).await.is_ok() };
        // The order matters: input that arrived before the close is read first, so that it gets its reply.
        let flushed = read.or(aborted).or(flush_expired).or(write).await;
        if flushed {
            self.linger(stream).await;
        }
    }

    /// Closes the outbox once the protocol reads no more; never returns.
    async fn close_outbox_after_reading(&self) {
        self.wait_for(&self.reading_ended).await;
        self.outbox.close();
        std::future::pending().await
    }

    /// Waits until no request is open.
    async fn wait_until_all_answered(&self) {
        while self.is_busy() {
            let done = self.request_done.listen();
            if self.is_busy() {
                done.await;
            }
        }
    }

    /// Waits until `flag` is set.
    async fn wait_for(&self, flag: &Cell<bool>) {
        while !flag.get() {
            let changed = self.state_changed.listen();
            if !flag.get() {
                changed.await;
            }
        }
    }

    /// Aborts a half-closed connection once the peer has reset it; returns when no request is open.
    ///
    /// Guards against work for callers that have disconnected: the probe makes a peer that has closed its socket respond with
    /// a reset, but not one that has only half-closed it and waits for its replies.
    async fn detect_reset(&self, stream: &Async<TcpStream>) {
        if self.is_busy() {
            sleep(self.protocol.probe_delay()).await;
        }
        while self.is_busy() {
            self.probe();
            sleep(PROBE_RESPONSE_TIME).await;
            if peer_state(stream.get_ref()) == PeerState::Reset {
                self.abort();
            }
            sleep(RESET_CHECK_INTERVAL).await;
        }
    }

    /// Half-closes the connection and discards further input, up to a time and size limit.
    async fn linger(&self, stream: &Async<TcpStream>) {
        self.lingering.set(true);
        if stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        // Guards against a flood of silent clients that use up descriptors: they have no replies that a reset could discard.
        let timeout = if self.received_message.get() || self.outbox.was_used() {
            LINGER_TIMEOUT
        } else {
            Duration::ZERO
        };
        discard_input(stream)
            .or(sleep(timeout))
            .or(self.wait_until_aborted())
            .await;
    }
}

pub(super) async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}

/// Reads and discards up to [`MAX_LINGER_BYTES`] of input, without yielding, since the limit is small.
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
