//! The ids of RPCs, one table for all fronts: the same id is the same RPC, whichever way it comes.
//!
//! Guards against a second run of what must not run twice: a non-idempotent RPC's id stays claimed
//! until its deadline has passed. Reads no clock; the caller passes the time in.
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Instant;

use crate::base::request_id::RequestId;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    /// Its RPC is in the server, and no run of it need be remembered.
    Active,
    /// Its RPC is in the server and may have run: it must not run again before this.
    Started(Instant),
    /// Its RPC has left and may have run: it must not run again before this.
    Left(Instant),
}

/// Why an id could not be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// An RPC of this id is in the server, or may have run.
    #[error("the id is in use, or its RPC may have run")]
    Duplicate,
    /// The table holds as many ids as it may.
    #[error("the table of request ids is full")]
    Full,
}

/// The ids of all RPCs in the server, and of those that must not run again.
#[derive(Default)]
pub struct RequestIds {
    /// For ids that nobody else can foresee.
    hash_keys: RandomState,
    generated: Cell<u64>,
    entries: RefCell<HashMap<RequestId, Entry>>,
    /// Ids whose RPC has left, by when they may be forgotten.
    expiries: RefCell<BinaryHeap<Reverse<(Instant, RequestId)>>>,
    max_ids: usize,
}

/// A claimed id; released when dropped.
pub struct IdClaim {
    table: Rc<RequestIds>,
    id: RequestId,
}

impl RequestIds {
    /// A table of at most `max_ids` ids.
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
    /// The id is in use or its RPC may have run, or the table is full.
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
            if entries.get(&id) == Some(&Entry::Left(expiry)) {
                entries.remove(&id);
            }
        }
    }

    /// An id that no other RPC has, but for a collision of 64-bit hashes.
    pub fn generate(&self) -> RequestId {
        self.generated.set(self.generated.get() + 1);
        RequestId::from_number(self.hash_keys.hash_one(self.generated.get()))
    }

    /// The id that a text stands for, the same each time; a text that is an id stands for itself.
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
    /// The claimed id.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// The RPC may have run from now on, and must not run again before `until`.
    pub fn mark_started(&self, until: Instant) {
        self.table.set(self.id, Entry::Started(until));
    }

    /// The RPC provably never ran.
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
        entries.insert(self.id, Entry::Left(until));
        let mut expiries = self.table.expiries.borrow_mut();
        expiries.push(Reverse((until, self.id)));
    }
}

#[cfg(test)]
mod tests;
