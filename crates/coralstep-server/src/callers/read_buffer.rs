//! Buffer of received bytes that are not decoded yet, with a timeout for incomplete messages.
use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, FutureExt};

use crate::base::memory_budget::{MemoryBudget, Reservation};
use crate::callers::connection::{Connection, sleep};
use crate::callers::error::ConnectionError;
use crate::note;

/// Timeout for a connection's first message and for the rest of any message. After it, the connection closes as soon as no
/// request is open.
///
/// Guards against clients that send nothing and against messages that are never completed.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without input after which a message is overdue while others wait for its memory.
const STALLED_MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum time for which a message waits unread for memory.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(5);
/// The buffer's initial size in bytes, which every connection has. Enough for the start of a message, which states its length.
const INITIAL_CAPACITY_BYTES: usize = 4 * 1024;

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// More bytes were added to the buffer.
    Data,
    /// The peer closed the connection between two messages.
    Closed,
    /// The connection is closing: all requests are answered, all replies are written, and no input is unread.
    Drained,
    /// A message did not arrive in time, and the connection is closing as under [`ReadOutcome::Drained`].
    TimedOut,
}

/// What a read waits for, and gets first.
enum ReadEvent {
    Input(io::Result<usize>),
    Overdue,
    Drained,
}

/// Bytes received on one connection that are not decoded yet.
///
/// Beyond its initial size the buffer grows to the length of the message that it begins with, once the budget has that much.
/// Guards against receive buffers of all connections that together exceed the memory. The whole message is reserved at once:
/// guards against messages that have half of their memory each and wait for one another.
#[derive(Debug)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    filled: usize,
    budget: Rc<MemoryBudget>,
    /// Memory beyond the initial size.
    reservation: Option<Reservation>,
    last_input: Instant,
    /// Start of the wait for the current message.
    waiting_since: Instant,
    /// Whether it was logged that the current message is overdue.
    overdue_logged: Cell<bool>,
}

impl ReadBuffer {
    /// Creates an empty buffer that may grow within `budget`. The timeout of the first message starts now.
    pub fn new(budget: &Rc<MemoryBudget>) -> ReadBuffer {
        ReadBuffer {
            budget: budget.clone(),
            reservation: None,
            last_input: Instant::now(),
            bytes: vec![0; INITIAL_CAPACITY_BYTES],
            filled: 0,
            waiting_since: Instant::now(),
            overdue_logged: Cell::new(false),
        }
    }

    /// Returns the bytes that are not consumed yet.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[..self.filled]
    }

    /// Removes the first `count` bytes, which must be whole messages.
    pub fn consume(&mut self, count: usize) {
        self.bytes.copy_within(count..self.filled, 0);
        self.filled -= count;
        self.waiting_since = Instant::now();
        self.overdue_logged.set(false);
        if self.filled == 0 && self.bytes.len() > INITIAL_CAPACITY_BYTES {
            self.bytes = vec![0; INITIAL_CAPACITY_BYTES];
            self.reservation = None;
        }
    }

    /// Makes room for the message that the buffer begins with, of `message_len` bytes, waiting for memory if there is too
    /// little. Returns why the message is not read, or `None` once there is room.
    ///
    /// The time until then doesn't count towards the message's timeout: its caller can't help it.
    async fn make_room(
        &mut self,
        message_len: usize,
        connection: &Connection,
    ) -> Option<ReadOutcome> {
        if message_len <= self.bytes.len() {
            return None;
        }
        let reserved = async { Ok(self.budget.reserve(message_len).await) };
        let expired = async {
            sleep(MEMORY_TIMEOUT).await;
            connection.close_when_answered().await;
            Err(ReadOutcome::TimedOut)
        };
        let drained = async {
            connection.wait_until_drained().await;
            Err(ReadOutcome::Drained)
        };
        match reserved.or(expired).or(drained).await {
            Ok(reservation) => self.reservation = Some(reservation),
            Err(outcome) => return Some(outcome),
        }
        self.bytes.reserve_exact(message_len - self.bytes.len());
        self.bytes.resize(message_len, 0);
        self.waiting_since = Instant::now();
        self.last_input = Instant::now();
        None
    }

    /// Returns the reserved memory, once the buffer is no longer needed.
    pub fn take_reservation(&mut self) -> Option<Reservation> {
        self.reservation.take()
    }

    /// Reads once. `message_len` is the stated length of the message that the buffer begins with, if it is known. Between
    /// messages the wait has no time limit; once a message has begun, the timeout applies. A connection whose message is
    /// overdue is read until its open requests are answered.
    ///
    /// # Errors
    /// Fails if the socket fails or the peer closes the connection in the middle of a message.
    pub async fn read(
        &mut self,
        mut stream: &Async<TcpStream>,
        connection: &Connection,
        message_len: Option<usize>,
    ) -> Result<ReadOutcome, ConnectionError> {
        if let Some(outcome) = self.make_room(message_len.unwrap_or(0), connection).await {
            return Ok(outcome);
        }
        // Guards against a caller that sends without pause and starves other tasks and timers. Yields before the read, since
        // input must be handled right after it is read, before the connection may be closed.
        yield_now().await;
        let between_messages = self.filled == 0 && connection.has_received_message();
        let stalled = async {
            if self.reservation.is_none() {
                std::future::pending::<()>().await;
            }
            self.budget
                .wait_until_stalled(self.last_input, STALLED_MESSAGE_TIMEOUT)
                .await;
        };
        let input = async { ReadEvent::Input(stream.read(&mut self.bytes[self.filled..]).await) };
        let overdue = async {
            wait_until_overdue(between_messages, self.waiting_since)
                .or(stalled)
                .await;
            close_overdue(connection, &self.overdue_logged).await;
            ReadEvent::Overdue
        };
        let drained = async {
            connection.wait_until_drained().await;
            ReadEvent::Drained
        };
        // The order matters: the other events count only while no input is unread.
        match input.or(overdue).or(drained).await {
            ReadEvent::Input(Ok(0)) if self.filled == 0 => Ok(ReadOutcome::Closed),
            ReadEvent::Input(Ok(0)) => Err(ConnectionError::TruncatedMessage),
            ReadEvent::Input(Ok(count)) => {
                if between_messages {
                    self.waiting_since = Instant::now();
                }
                self.filled += count;
                self.last_input = Instant::now();
                Ok(ReadOutcome::Data)
            }
            ReadEvent::Input(Err(error)) => {
                connection.abort();
                Err(error.into())
            }
            ReadEvent::Overdue => Ok(ReadOutcome::TimedOut),
            ReadEvent::Drained => Ok(ReadOutcome::Drained),
        }
    }
}

/// Waits until the message awaited since `waiting_since` is overdue; never returns between two messages.
async fn wait_until_overdue(between_messages: bool, waiting_since: Instant) {
    if between_messages {
        std::future::pending::<()>().await;
    }
    Timer::at(waiting_since + MESSAGE_TIMEOUT).await;
    // Guards against a false timeout after a pause of the process: the rest may have arrived but not been read.
    yield_now().await;
}

/// Closes a connection whose message is overdue, but not while requests are open on it.
///
/// Guards against requests behind a message that is written slowly: a caller that waits for replies has reason to complete
/// that message, and to send more.
async fn close_overdue(connection: &Connection, logged: &Cell<bool>) {
    if connection.is_busy() && !logged.replace(true) {
        note!(client: peer = %connection.peer, "message overdue, requests still open");
    }
    connection.close_when_answered().await;
}
