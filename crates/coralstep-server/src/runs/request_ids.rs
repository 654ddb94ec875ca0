//! Table of the ids of RPCs, shared by all protocols: an id identifies the same RPC on each of them.
//!
//! Guards against a second run of a non-idempotent RPC: its id stays claimed until its deadline.
//! Reads no clock; the caller passes the time.
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Instant;

use crate::base::request_id::RequestId;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    /// The RPC is in progress; its id is free again when it ends.
    Active,
    /// The RPC is in progress and may have run. It must not run again before this time.
    Started(Instant),
    /// The RPC has ended and may have run. It must not run again before this time.
    Ended(Instant),
}

/// Error returned by [`RequestIds::claim`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// An RPC with this id is in progress or may have run.
    #[error("the id is in use, or its RPC may have run")]
    Duplicate,
    /// The table is full.
    #[error("the table of request ids is full")]
    Full,
}

/// Table of the ids of all RPCs in progress, and of those that must not run again.
#[derive(Default)]
pub struct RequestIds {
    /// Random keys, so that generated ids are unpredictable.
    hash_keys: RandomState,
    generated: Cell<u64>,
    entries: RefCell<HashMap<RequestId, Entry>>,
    /// Ids whose RPC has ended, ordered by the time at which they may be forgotten.
    expiries: RefCell<BinaryHeap<Reverse<(Instant, RequestId)>>>,
    max_ids: usize,
}

/// A claimed id; released when dropped.
pub struct IdClaim {
    table: Rc<RequestIds>,
    id: RequestId,
}

impl RequestIds {
    /// Creates a table of at most `max_ids` ids.
    pub fn new(max_ids: usize) -> RequestIds {
        RequestIds {
            max_ids,
            ..RequestIds::default()
        }
    }

    /// Claims `id` for one RPC.
    ///
    /// # Errors
    ///
    /// Returns an error if the id is in use, if its RPC may have run, or if the table is full.
    pub fn claim(self: &Rc<Self>, now: Instant, id: RequestId) -> Result<IdClaim, ClaimError> {
        self.forget_expired(now);
        let mut entries = self.entries.borrow_mut();
        if entries.contains_key(&id) {
            return Err(ClaimError::Duplicate);
        }
        if entries.len() >= self.max_ids {
            return Err(ClaimError::Full);
        }
        entries.insert(id, Entry::Active);
        Ok(IdClaim {
            table: self.clone(),
            id,
        })
    }

    fn forget_expired(&self, now: Instant) {
        let mut entries = self.entries.borrow_mut();
        let mut expiries = self.expiries.borrow_mut();
        while let Some(Reverse((expiry, id))) = expiries.peek().copied() {
            if expiry > now {
                break;
            }
            expiries.pop();
            if entries.get(&id) == Some(&Entry::Ended(expiry)) {
                entries.remove(&id);
            }
        }
    }

    /// Generates an id that is unique except for collisions of 64-bit hashes.
    pub fn generate(&self) -> RequestId {
        self.generated.set(self.generated.get() + 1);
        RequestId::from_number(self.hash_keys.hash_one(self.generated.get()))
    }

    /// Returns the id for a text: the id itself if the text is one, otherwise a hash of the text.
    pub fn id_of(&self, text: &str) -> RequestId {
        RequestId::parse(text)
            .unwrap_or_else(|| RequestId::from_number(self.hash_keys.hash_one(text)))
    }

    #[cfg(test)]
    fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    fn set(&self, id: RequestId, entry: Entry) {
        self.entries.borrow_mut().insert(id, entry);
    }
}

impl IdClaim {
    /// Returns the claimed id.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Records that the RPC may have run and must not run again before `until`.
    pub fn mark_started(&self, until: Instant) {
        self.table.set(self.id, Entry::Started(until));
    }

    /// Records that the RPC is known not to have run.
    pub fn mark_never_started(&self) {
        self.table.set(self.id, Entry::Active);
    }
}

impl Drop for IdClaim {
    fn drop(&mut self) {
        let mut entries = self.table.entries.borrow_mut();
        let Some(Entry::Started(until)) = entries.get(&self.id).copied() else {
            entries.remove(&self.id);
            return;
        };
        entries.insert(self.id, Entry::Ended(until));
        let mut expiries = self.table.expiries.borrow_mut();
        expiries.push(Reverse((until, self.id)));
    }
}

#[cfg(test)]
mod tests;
