//! Bytes read from a connection and not decoded yet, and how long a message may take to arrive.
use std::io;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, FutureExt};

use crate::callers::connection::Connection;
use crate::callers::error::ConnectionError;

/// How long a connection's first message, and the rest of any message, may take to arrive.
///
/// Guards against clients that send nothing and against messages that never end.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The buffer's initial size in bytes.
const INITIAL_CAPACITY_BYTES: usize = 4 * 1024;

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// More bytes are in the buffer.
    Data,
    /// The peer closed the connection between two messages.
    Closed,
    /// Nothing arrived in time.
    TimedOut,
}

/// Bytes read from one connection and not decoded yet.
#[derive(Debug)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    filled: usize,
    /// When waiting for the current message began.
    waiting_since: Instant,
}

impl ReadBuffer {
    /// An empty buffer, whose first message is awaited from now on.
    pub fn new() -> ReadBuffer {
        ReadBuffer {
            bytes: vec![0; INITIAL_CAPACITY_BYTES],
            filled: 0,
            waiting_since: Instant::now(),
        }
    }

    /// The bytes not consumed yet.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[..self.filled]
    }

    /// Removes the first `count` bytes, which hold whole messages.
    pub fn consume(&mut self, count: usize) {
        self.bytes.copy_within(count..self.filled, 0);
        self.filled -= count;
        self.waiting_since = Instant::now();
        if self.filled == 0 && self.bytes.len() > INITIAL_CAPACITY_BYTES {
            self.bytes = vec![0; INITIAL_CAPACITY_BYTES];
        }
    }

    /// Reads once. After the first message the next one may take for ever to begin, but its rest may not.
    ///
    /// # Errors
    /// The socket failed, or the peer closed it inside a message.
    pub async fn read(
        &mut self,
        mut stream: &Async<TcpStream>,
        connection: &Connection,
    ) -> Result<ReadOutcome, ConnectionError> {
        // Guards against a caller that always has more to read: others and the timers run in between. Before the read, for what
        // was read must be handled at once, before its connection may be closed.
        yield_now().await;
        if self.filled == self.bytes.len() {
            self.bytes.resize(2 * self.filled, 0);
        }
        let between_messages = self.filled == 0 && connection.has_received_message();
        let timeout = message_timeout(between_messages, self.waiting_since);
        let read = stream.read(&mut self.bytes[self.filled..]);
        match read.or(timeout).await {
            Ok(0) if self.filled == 0 => Ok(ReadOutcome::Closed),
            Ok(0) => Err(ConnectionError::MessageCutShort),
            Ok(count) => {
                if between_messages {
                    self.waiting_since = Instant::now();
                }
                self.filled += count;
                Ok(ReadOutcome::Data)
            }
            Err(error) if error.kind() == io::ErrorKind::TimedOut => Ok(ReadOutcome::TimedOut),
            Err(error) => {
                connection.abort();
                Err(error.into())
            }
        }
    }
}

/// Fails with `TimedOut` when the message awaited since `waiting_since` is late; between two messages never.
async fn message_timeout(between_messages: bool, waiting_since: Instant) -> io::Result<usize> {
    if between_messages {
        std::future::pending::<()>().await;
    }
    Timer::at(waiting_since + MESSAGE_TIMEOUT).await;
    // Guards against a pause of the process: the rest may have arrived, unread as yet.
    yield_now().await;
    Err(io::ErrorKind::TimedOut.into())
}

impl Default for ReadBuffer {
    fn default() -> ReadBuffer {
        ReadBuffer::new()
    }
}
