//! Budgets of the bytes that are held for peers. Whoever needs more than is free waits, first come first served.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::Event;
use futures_lite::future::yield_now;

use crate::base::limits::Limits;

/// Maximum number of bytes that all its reservations together may have.
///
/// A reservation that alone exceeds the budget is granted once there is no other.
/// Guards against a wait without end for more memory than there will ever be.
#[derive(Debug, Default)]
pub struct MemoryBudget {
    max_bytes: usize,
    reserved: Cell<usize>,
    queue: RefCell<VecDeque<Waiter>>,
    last_waiter: Cell<u64>,
    /// Notified when somebody begins to wait.
    contended: Event,
}

/// The budgets of this process for what it holds for peers.
#[derive(Clone, Debug)]
pub struct MemoryBudgets {
    /// Receive buffers, beyond the initial one of each connection.
    pub receive: Rc<MemoryBudget>,
    /// Responses of applications, and replies that callers have not read yet.
    pub replies: Rc<MemoryBudget>,
}

impl MemoryBudgets {
    /// Creates the budgets that `limits` states.
    pub fn new(limits: &Limits) -> MemoryBudgets {
        MemoryBudgets {
            receive: Rc::new(MemoryBudget::new(limits.receive_bytes)),
            replies: Rc::new(MemoryBudget::new(limits.unread_reply_bytes)),
        }
    }
}

/// Somebody who waits for a reservation.
#[derive(Debug)]
struct Waiter {
    id: u64,
    waker: Option<Waker>,
}

/// Bytes of a budget; returned to it when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

/// A place in the queue; left when dropped.
struct QueuePlace<'a> {
    budget: &'a MemoryBudget,
    id: u64,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> MemoryBudget {
        MemoryBudget {
            max_bytes,
            ..MemoryBudget::default()
        }
    }

    /// Returns whether no byte is free.
    pub fn is_exhausted(&self) -> bool {
        self.reserved.get() >= self.max_bytes
    }

    /// Returns whether somebody waits for a reservation.
    pub fn is_contended(&self) -> bool {
        !self.queue.borrow().is_empty()
    }

    /// Waits until somebody waits for a reservation.
    pub async fn wait_until_contended(&self) {
        while !self.is_contended() {
            let contended = self.contended.listen();
            if !self.is_contended() {
                contended.await;
            }
        }
    }

    /// Waits until something that holds a reservation, and made its last progress at `last_progress`, has made none for `timeout`
    /// while somebody waits.
    ///
    /// Guards against reservations that are held for nothing while others wait for their memory.
    pub async fn wait_until_stalled(&self, last_progress: Instant, timeout: Duration) {
        loop {
            self.wait_until_contended().await;
            Timer::at(last_progress + timeout).await;
            // Guards against a false timeout after a pause of the process: the rest may have arrived but not been read.
            yield_now().await;
            if self.is_contended() {
                return;
            }
        }
    }

    /// Reserves `bytes` if they are free and nobody waits for a reservation.
    pub fn try_reserve(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        (!self.is_contended() && self.fits(bytes)).then(|| self.reserve_unchecked(bytes))
    }

    /// Reserves `bytes` once they are free and nobody has waited longer.
    pub async fn reserve(self: &Rc<Self>, bytes: usize) -> Reservation {
        if let Some(reservation) = self.try_reserve(bytes) {
            return reservation;
        }
        let place = self.enqueue();
        poll_fn(|cx| self.poll_turn(place.id, bytes, cx)).await;
        self.reserve_unchecked(bytes)
    }

    /// Reserves `bytes` even if they are not free.
    pub fn reserve_unchecked(self: &Rc<Self>, bytes: usize) -> Reservation {
        self.reserved.set(self.reserved.get() + bytes);
        Reservation {
            budget: self.clone(),
            bytes,
        }
    }

    fn fits(&self, bytes: usize) -> bool {
        let reserved = self.reserved.get();
        reserved == 0 || reserved.saturating_add(bytes) <= self.max_bytes
    }

    fn enqueue(&self) -> QueuePlace<'_> {
        let id = self.last_waiter.get() + 1;
        self.last_waiter.set(id);
        self.queue
            .borrow_mut()
            .push_back(Waiter { id, waker: None });
        self.contended.notify(usize::MAX);
        QueuePlace { budget: self, id }
    }

    fn poll_turn(&self, id: u64, bytes: usize, cx: &mut Context<'_>) -> Poll<()> {
        let mut queue = self.queue.borrow_mut();
        let is_first = queue.front().is_some_and(|first| first.id == id);
        if is_first && self.fits(bytes) {
            return Poll::Ready(());
        }
        if let Some(waiter) = queue.iter_mut().find(|waiter| waiter.id == id) {
            waiter.waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    fn release(&self, bytes: usize) {
        self.reserved.set(self.reserved.get() - bytes);
        self.wake_first();
    }

    fn wake_first(&self) {
        let mut queue = self.queue.borrow_mut();
        let first = queue.front_mut().and_then(|first| first.waker.take());
        drop(queue);
        first.inspect(Waker::wake_by_ref);
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let id = self.id;
        self.budget
            .queue
            .borrow_mut()
            .retain(|waiter| waiter.id != id);
        self.budget.wake_first();
    }
}

impl Reservation {
    /// Changes the number of reserved bytes, even if more are not free.
    pub fn resize(&mut self, bytes: usize) {
        let old = std::mem::replace(&mut self.bytes, bytes);
        let budget = &self.budget;
        if bytes < old {
            budget.release(old - bytes);
        } else {
            budget.reserved.set(budget.reserved.get() + bytes - old);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

#[cfg(test)]
mod tests;
