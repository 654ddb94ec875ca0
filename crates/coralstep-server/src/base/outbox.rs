//! Bytes on their way to one peer, gathered so that all messages of one turn leave in one write.
use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpStream;
use std::time::Duration;

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncWriteExt, FutureExt};

/// A peer that reads nothing for so long is given up; longer than a pause of the machine.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Messages to one peer.
#[derive(Debug, Default)]
pub struct Outbox {
    pending: RefCell<Vec<u8>>,
    added: Event,
    progressed: Event,
    /// Bytes put in since the start.
    total_put: Cell<u64>,
    /// Bytes handed to the system since the start.
    total_written: Cell<u64>,
    closed: Cell<bool>,
}

impl Outbox {
    /// Lets `write` append a message; its position in bytes since the start, for [`Outbox::may_have_been_sent`].
    pub fn put(&self, write: impl FnOnce(&mut Vec<u8>)) -> u64 {
        let position = self.total_put.get();
        let mut pending = self.pending.borrow_mut();
        let before = pending.len();
        write(&mut pending);
        let added = (pending.len() - before) as u64;
        self.total_put.set(position + added);
        self.added.notify(1);
        position
    }

    /// Whether any byte of the message at `position` may have left.
    pub fn may_have_been_sent(&self, position: u64) -> bool {
        self.total_written.get() > position
    }

    /// How many bytes were put in and not handed to the system yet.
    pub fn unsent_bytes(&self) -> usize {
        (self.total_put.get() - self.total_written.get()) as usize
    }

    /// Ends the writing once all that is pending is written.
    pub fn close(&self) {
        self.closed.set(true);
        self.added.notify(usize::MAX);
    }

    /// Ends when at most `max_bytes` are unsent.
    pub async fn wait_until_at_most(&self, max_bytes: usize) {
        while self.unsent_bytes() > max_bytes {
            let progressed = self.progressed.listen();
            if self.unsent_bytes() > max_bytes {
                progressed.await;
            }
        }
    }

    /// Whether anything was ever put in.
    pub fn was_used(&self) -> bool {
        self.total_put.get() > 0
    }

    /// Writes to `stream` until all is written after [`Outbox::close`].
    ///
    /// # Errors
    /// The socket failed, or the peer read nothing for 30 s.
    pub async fn write_to(&self, stream: &Async<TcpStream>) -> io::Result<()> {
        self.write_with_timeout(stream, WRITE_TIMEOUT).await
    }

    async fn write_with_timeout(
        &self,
        stream: &Async<TcpStream>,
        timeout: Duration,
    ) -> io::Result<()> {
        let mut batch = Vec::new();
        while self.wait_for_pending().await {
            std::mem::swap(&mut batch, &mut self.pending.borrow_mut());
            self.write_batch(&batch, stream, timeout).await?;
            batch.clear();
        }
        Ok(())
    }

    /// Ends when bytes are pending, or with `false` when none are and it is closed.
    async fn wait_for_pending(&self) -> bool {
        while self.pending.borrow().is_empty() {
            if self.closed.get() {
                return false;
            }
            let added = self.added.listen();
            if self.pending.borrow().is_empty() && !self.closed.get() {
                added.await;
            }
        }
        true
    }

    async fn write_batch(
        &self,
        batch: &[u8],
        mut stream: &Async<TcpStream>,
        timeout: Duration,
    ) -> io::Result<()> {
        let mut rest = batch;
        while !rest.is_empty() {
            let expired = async {
                Timer::after(timeout).await;
                Err(io::Error::from(io::ErrorKind::TimedOut))
            };
            let count = stream.write(rest).or(expired).await?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            rest = &rest[count..];
            self.total_written
                .set(self.total_written.get() + count as u64);
            self.progressed.notify(usize::MAX);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
