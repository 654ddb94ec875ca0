//! The ids of RPCs, one ledger for all fronts: the same id is the same RPC, whichever way it comes. Guards against a second
//! run of what must not run twice: a non-idempotent RPC's id stays known until its deadline has passed. Pure; the caller
//! passes the time in.
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Instant;

use crate::base::lines::Ref;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    /// It is here; where it may have run and must not run again, so long after it left.
    Here(Option<Instant>),
    Ran(Instant),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// One of this id is here, or ran.
    Already,
    /// No room to tell it from its repeat.
    Full,
}

#[derive(Default)]
pub struct Ledger {
    /// For ids that nobody else names.
    keys: RandomState,
    counter: Cell<u64>,
    entries: RefCell<HashMap<Ref, Entry>>,
    /// What ran, by when it may be forgotten.
    until: RefCell<BinaryHeap<Reverse<(Instant, Ref)>>>,
    most: usize,
}

/// An id's place; given back when dropped.
pub struct Claim {
    ledger: Rc<Ledger>,
    id: Ref,
}

impl Ledger {
    pub fn new(most: usize) -> Ledger {
        Ledger {
            most,
            ..Ledger::default()
        }
    }

    pub fn claim(self: &Rc<Self>, now: Instant, id: Ref) -> Result<Claim, Known> {
        let (mut entries, mut until) = (self.entries.borrow_mut(), self.until.borrow_mut());
        while let Some(Reverse((at, old))) =
            until.peek().copied().filter(|Reverse((at, _))| *at <= now)
        {
            until.pop();
            if entries.get(&old) == Some(&Entry::Ran(at)) {
                entries.remove(&old);
            }
        }
        if entries.contains_key(&id) {
            return Err(Known::Already);
        }
        if entries.len() >= self.most {
            return Err(Known::Full);
        }
        entries.insert(id, Entry::Here(None));
        Ok(Claim {
            ledger: self.clone(),
            id,
        })
    }

    /// An id that no other RPC has, as far as chance goes.
    pub fn fresh(&self) -> Ref {
        self.counter.set(self.counter.get() + 1);
        Ref::of(self.keys.hash_one(self.counter.get()))
    }

    /// The id that any text stands for, the same each time; as other fronts write ids, it is that id.
    pub fn id(&self, text: &str) -> Ref {
        Ref::parse(text).unwrap_or_else(|| Ref::of(self.keys.hash_one(text)))
    }

    #[cfg(test)]
    fn len(&self) -> usize {
        self.entries.borrow().len()
    }
}

impl Claim {
    pub fn id(&self) -> Ref {
        self.id
    }

    /// It may have run, and must not run again before `until`.
    pub fn runs(&self, until: Instant) {
        self.ledger
            .entries
            .borrow_mut()
            .insert(self.id, Entry::Here(Some(until)));
    }

    /// It provably never ran.
    pub fn never_ran(&self) {
        self.ledger
            .entries
            .borrow_mut()
            .insert(self.id, Entry::Here(None));
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let mut entries = self.ledger.entries.borrow_mut();
        match entries.get(&self.id) {
            Some(Entry::Here(Some(until))) => {
                let until = *until;
                entries.insert(self.id, Entry::Ran(until));
                self.ledger
                    .until
                    .borrow_mut()
                    .push(Reverse((until, self.id)));
            }
            _ => drop(entries.remove(&self.id)),
        }
    }
}

#[cfg(test)]
mod tests;
