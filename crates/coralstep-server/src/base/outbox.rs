//! Bytes on their way to one peer, gathered so that what is written in one turn leaves in one write.
use std::cell::{Cell, RefCell};
use std::io;
use std::time::Duration;

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncWriteExt, FutureExt};
use std::net::TcpStream;

/// A peer that reads nothing for so long is given up; a pause of the machine is shorter.
const STUCK: Duration = Duration::from_secs(30);

#[derive(Default)]
pub struct Outbox {
    bytes: RefCell<Vec<u8>>,
    more: Event,
    moved: Event,
    /// Bytes put in and bytes handed to the system, since the start.
    put: Cell<u64>,
    written: Cell<u64>,
    closed: Cell<bool>,
}

impl Outbox {
    /// Lets `write` add a message. Its place: the message surely never left while `sent` is not past it.
    pub fn put(&self, write: impl FnOnce(&mut Vec<u8>)) -> u64 {
        let place = self.put.get();
        let mut bytes = self.bytes.borrow_mut();
        let before = bytes.len();
        write(&mut bytes);
        self.put.set(place + (bytes.len() - before) as u64);
        self.more.notify(1);
        place
    }

    /// Whether something of the message at `place` may have left.
    pub fn sent(&self, place: u64) -> bool {
        self.written.get() > place
    }

    pub fn waiting(&self) -> usize {
        (self.put.get() - self.written.get()) as usize
    }

    /// Nothing more is written after what is there.
    pub fn close(&self) {
        self.closed.set(true);
        self.more.notify(usize::MAX);
    }

    /// Ends when no more than `most` bytes wait.
    pub async fn below(&self, most: usize) {
        while self.waiting() > most {
            let moved = self.moved.listen();
            if self.waiting() > most {
                moved.await;
            }
        }
    }

    /// Whether anything was ever put in.
    pub fn was_used(&self) -> bool {
        self.put.get() > 0
    }

    /// Writes what comes until the peer is gone, has read nothing for too long, or all is written after `close`.
    pub async fn run(&self, stream: &Async<TcpStream>) -> io::Result<()> {
        self.run_for(stream, STUCK).await
    }

    async fn run_for(&self, mut stream: &Async<TcpStream>, patience: Duration) -> io::Result<()> {
        let mut batch = Vec::new();
        loop {
            while self.bytes.borrow().is_empty() {
                if self.closed.get() {
                    return Ok(());
                }
                let more = self.more.listen();
                if self.bytes.borrow().is_empty() && !self.closed.get() {
                    more.await;
                }
            }
            std::mem::swap(&mut batch, &mut self.bytes.borrow_mut());
            let mut rest = &batch[..];
            while !rest.is_empty() {
                // Nothing may have left before this, all of it after.
                let stuck = async {
                    Timer::after(patience).await;
                    Err(io::Error::from(io::ErrorKind::TimedOut))
                };
                let count = stream.write(rest).or(stuck).await?;
                if count == 0 {
                    return Err(io::ErrorKind::WriteZero.into());
                }
                rest = &rest[count..];
                self.written.set(self.written.get() + count as u64);
                self.moved.notify(usize::MAX);
            }
            batch.clear();
        }
    }
}

#[cfg(test)]
mod tests;
