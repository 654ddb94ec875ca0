//! Buffer of outgoing messages to one peer. Messages queued between two polls of the writer go out in one write.
use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncWriteExt, FutureExt};

use crate::base::memory_budget::{MemoryBudget, Reservation};

/// A write fails if the peer reads nothing for this long. Longer than any expected pause of the machine.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Capacity in bytes that a buffer keeps once its messages are written.
const KEPT_CAPACITY_BYTES: usize = 4 * 1024;

/// Queue of encoded messages to one peer.
#[derive(Debug, Default)]
pub struct Outbox {
    pending: RefCell<Vec<u8>>,
    added: Event,
    progressed: Event,
    /// Bytes queued since creation.
    total_queued: Cell<u64>,
    /// Bytes written to the socket since creation.
    total_written: Cell<u64>,
    closed: Cell<bool>,
    /// Time of the last write, or of the first message after all were written.
    last_progress: Cell<Option<Instant>>,
    /// Memory of the unsent bytes, if they count towards a budget.
    reservation: RefCell<Option<Reservation>>,
}

impl Outbox {
    /// Creates an outbox whose unsent bytes count towards `budget`.
    pub fn with_budget(budget: &Rc<MemoryBudget>) -> Outbox {
        Outbox {
            reservation: RefCell::new(Some(budget.reserve_unchecked(0))),
            ..Outbox::default()
        }
    }

    fn update_reservation(&self) {
        if let Some(reservation) = self.reservation.borrow_mut().as_mut() {
            reservation.resize(self.unsent_bytes());
        }
    }

    /// Queues a message that `write` appends, and returns its byte position for [`Outbox::may_have_been_sent`].
    pub fn put(&self, write: impl FnOnce(&mut Vec<u8>)) -> u64 {
        let position = self.total_queued.get();
        let mut pending = self.pending.borrow_mut();
        if self.unsent_bytes() == 0 {
            self.last_progress.set(Some(Instant::now()));
        }
        let before = pending.len();
        write(&mut pending);
        let added = (pending.len() - before) as u64;
        self.total_queued.set(position + added);
        drop(pending);
        self.update_reservation();
        self.added.notify(1);
        position
    }

    /// Returns whether any byte of the message at `position` may have been sent.
    pub fn may_have_been_sent(&self, position: u64) -> bool {
        self.total_written.get() > position
    }

    /// Returns the number of bytes queued but not yet written to the socket.
    pub fn unsent_bytes(&self) -> usize {
        (self.total_queued.get() - self.total_written.get()) as usize
    }

    /// Returns whether bytes are unsent and the peer has taken none for `duration` before `now`.
    pub fn is_stalled(&self, now: Instant, duration: Duration) -> bool {
        let last_progress = self.last_progress.get();
        self.unsent_bytes() > 0
            && last_progress.is_some_and(|last| now.saturating_duration_since(last) >= duration)
    }

    /// Closes the outbox: writing ends once all pending bytes are written.
    pub fn close(&self) {
        self.closed.set(true);
        self.added.notify(usize::MAX);
    }

    /// Waits until at most `max_bytes` are unsent.
    pub async fn wait_until_unsent_at_most(&self, max_bytes: usize) {
        while self.unsent_bytes() > max_bytes {
            let progressed = self.progressed.listen();
            if self.unsent_bytes() > max_bytes {
                progressed.await;
            }
        }
    }

    /// Returns whether any message was ever queued.
    pub fn was_used(&self) -> bool {
        self.total_queued.get() > 0
    }

    /// Writes queued messages to `stream`; returns once the outbox is closed and all messages are written.
    ///
    /// # Errors
    /// Fails if the socket fails or the peer reads nothing for 30 s.
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
            // Guards against idle connections that keep the memory of their largest replies.
            batch.clear();
            batch.shrink_to(KEPT_CAPACITY_BYTES);
        }
        Ok(())
    }

    /// Waits until bytes are pending; returns `false` if the outbox is closed and none are.
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
        let mut remaining = batch;
        while !remaining.is_empty() {
            let expired = async {
                Timer::after(timeout).await;
                Err(io::Error::from(io::ErrorKind::TimedOut))
            };
            let count = stream.write(remaining).or(expired).await?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            remaining = &remaining[count..];
            self.total_written
                .set(self.total_written.get() + count as u64);
            self.last_progress.set(Some(Instant::now()));
            self.update_reservation();
            self.progressed.notify(usize::MAX);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
