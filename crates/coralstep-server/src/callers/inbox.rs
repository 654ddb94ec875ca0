//! What was read of one connection and not used yet, and how long a message may take to come.
use std::io;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, FutureExt};

use crate::callers::connection::Connection;

/// Guards against clients that say nothing and messages that never end: a connection's first message, and the rest of
/// any, has so long to come.
const MESSAGE: Duration = Duration::from_millis(1_500);
const READ: usize = 4 * 1024;

/// What came when more was to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    More,
    /// The caller has gone, with nothing left over.
    End,
    /// Nothing, for too long.
    Late,
}

/// What was read of one connection and not used yet.
pub struct Inbox {
    bytes: Vec<u8>,
    filled: usize,
    /// Since when a message is awaited.
    since: Instant,
}

impl Inbox {
    pub fn new() -> Inbox {
        Inbox {
            bytes: vec![0; READ],
            filled: 0,
            since: Instant::now(),
        }
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes[..self.filled]
    }

    /// A message of so many bytes is done with.
    pub fn used(&mut self, count: usize) {
        self.bytes.copy_within(count..self.filled, 0);
        self.filled -= count;
        self.since = Instant::now();
        if self.filled == 0 && self.bytes.len() > READ {
            self.bytes = vec![0; READ];
        }
    }

    /// Reads on. A message's first byte may take for ever once one message came, its rest may not.
    pub async fn more(
        &mut self,
        mut stream: &Async<TcpStream>,
        connection: &Connection,
    ) -> Result<Came, String> {
        // Guards against a caller that always has more to read: others and the timers come in between. Before the read, not behind it:
        // what is read is seen to at once, so that nothing lies here read and unanswered when its connection is ended.
        yield_now().await;
        if self.filled == self.bytes.len() {
            self.bytes.resize(2 * self.filled, 0);
        }
        let (between, since) = (self.filled == 0 && connection.spoke.get(), self.since);
        let patience = async {
            if between {
                std::future::pending::<()>().await;
            }
            Timer::at(since + MESSAGE).await;
            // Guards against a pause of the process: the rest may have come, unread as yet.
            yield_now().await;
            Err(io::ErrorKind::TimedOut.into())
        };
        match stream
            .read(&mut self.bytes[self.filled..])
            .or(patience)
            .await
        {
            Ok(0) if self.filled == 0 => return Ok(Came::End),
            Ok(0) => return Err("a message was cut short".to_owned()),
            Ok(count) => {
                if between {
                    self.since = Instant::now();
                }
                self.filled += count;
            }
            Err(why) if why.kind() == io::ErrorKind::TimedOut => return Ok(Came::Late),
            Err(why) => {
                connection.lose();
                return Err(why.to_string());
            }
        }
        Ok(Came::More)
    }
}

impl Default for Inbox {
    fn default() -> Inbox {
        Inbox::new()
    }
}
