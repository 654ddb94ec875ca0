//! The idempotency keys by which repeats are known: of which RPC each is, whether that has run, and
//! for how long one that ran must not run again. Reads no clock; the caller passes the time in.
use std::collections::{HashMap, VecDeque};

use coralstep::{RpcId, Span, Time};

/// A key, and the method that it was sent to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// Index of the method.
    pub method: usize,
    /// The key, as its caller wrote it.
    pub key: Box<[u8]>,
}

/// What came with a key: attempts of one RPC have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PayloadFingerprint {
    /// Digest of the body.
    pub body_digest: u64,
    /// Index of the tenant, where the front knows one.
    pub tenant: Option<usize>,
}

impl PayloadFingerprint {
    /// Whether both may be attempts of one RPC. A front that knows no tenants says nothing of them.
    fn matches(self, other: PayloadFingerprint) -> bool {
        let tenants = self.tenant.zip(other.tenant);
        let same_tenant = tenants.is_none_or(|(one, other)| one == other);
        self.body_digest == other.body_digest && same_tenant
    }
}

/// What is known of a key.
#[derive(Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nothing: the RPC is the first of it.
    Unknown,
    /// An attempt of the same RPC is here, or has run.
    RepeatOf(RpcId),
    /// The RPC must not run, and must not be told another's result.
    Conflict,
}

struct RetainedKey {
    rpc: RpcId,
    fingerprint: PayloadFingerprint,
    until: Time,
    started: bool,
}

struct Expiry {
    at: Time,
    key: IdempotencyKey,
}

/// All idempotency keys that are known.
#[derive(Default)]
pub struct IdempotencyKeys {
    retained: HashMap<IdempotencyKey, RetainedKey>,
    /// Keys that ran and are no longer retained: what came to the machine by then must not run.
    released: HashMap<IdempotencyKey, Time>,
    /// When these may be forgotten, in order.
    expiries: VecDeque<Expiry>,
    max_released: usize,
}

impl IdempotencyKeys {
    /// A table that remembers at most `max_released` keys beyond those that are retained.
    pub fn new(max_released: usize) -> IdempotencyKeys {
        IdempotencyKeys {
            max_released,
            ..IdempotencyKeys::default()
        }
    }

    /// Whether an RPC of this key is here, or has run within the window.
    pub fn is_retained(&self, key: &IdempotencyKey) -> bool {
        self.retained.contains_key(key)
    }

    /// What an RPC that came to the machine at `arrived` repeats.
    pub fn lookup(
        &self,
        key: &IdempotencyKey,
        fingerprint: PayloadFingerprint,
        arrived: Time,
    ) -> Lookup {
        if let Some(retained) = self.retained.get(key) {
            // Guards against a stranger who has seen a key: neither is the result theirs, nor may
            // theirs run in its place.
            return if retained.fingerprint.matches(fingerprint) {
                Lookup::RepeatOf(retained.rpc)
            } else {
                Lookup::Conflict
            };
        }
        // Guards against a second run of what came within the window and was read after it: after a
        // pause, or from a full socket.
        if self
            .released
            .get(key)
            .is_some_and(|until| arrived <= *until)
        {
            return Lookup::Conflict;
        }
        Lookup::Unknown
    }

    /// Keeps `key` for `rpc`, whose repeats are known until `until`.
    pub fn retain(
        &mut self,
        key: IdempotencyKey,
        fingerprint: PayloadFingerprint,
        rpc: RpcId,
        until: Time,
    ) {
        let retained = RetainedKey {
            rpc,
            fingerprint,
            until,
            started: false,
        };
        self.retained.insert(key, retained);
    }

    /// The run of `rpc` begins.
    pub fn mark_started(&mut self, key: &IdempotencyKey, rpc: RpcId) {
        self.set_started(key, rpc, true);
    }

    /// The run of `rpc` provably never began.
    pub fn mark_never_started(&mut self, key: &IdempotencyKey, rpc: RpcId) {
        self.set_started(key, rpc, false);
    }

    fn set_started(&mut self, key: &IdempotencyKey, rpc: RpcId, started: bool) {
        if let Some(retained) = self
            .retained
            .get_mut(key)
            .filter(|retained| retained.rpc == rpc)
        {
            retained.started = started;
        }
    }

    /// `key` need not be retained for `rpc` any more. An attempt of it may lie unread for `unread` at
    /// the most.
    pub fn release(&mut self, now: Time, key: &IdempotencyKey, rpc: RpcId, max_read_delay: Span) {
        self.forget_expired(now, max_read_delay);
        if self
            .retained
            .get(key)
            .is_none_or(|retained| retained.rpc != rpc)
        {
            return;
        }
        if let Some(retained) = self
            .retained
            .remove(key)
            .filter(|retained| retained.started)
        {
            self.released.insert(key.clone(), retained.until);
            self.expiries.push_back(Expiry {
                at: retained.until + max_read_delay,
                key: key.clone(),
            });
        }
    }

    fn forget_expired(&mut self, now: Time, max_read_delay: Span) {
        let max_released = self.max_released.max(1);
        while self.expiries.front().is_some_and(|first| first.at <= now)
            || self.expiries.len() >= max_released
        {
            let Some(Expiry { at, key }) = self.expiries.pop_front() else {
                break;
            };
            // A later run of the same key has a later expiry of its own.
            let released = self.released.get(&key);
            if released.is_some_and(|until| *until + max_read_delay <= at) {
                self.released.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests;
