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
pub struct Fingerprint {
    /// Digest of the body.
    pub body_digest: u64,
    /// Index of the tenant, where the front knows one.
    pub tenant: Option<usize>,
}

impl Fingerprint {
    /// Whether both may be attempts of one RPC. A front that knows no tenants says nothing of them.
    fn matches(self, other: Fingerprint) -> bool {
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

struct KeptKey {
    rpc: RpcId,
    fingerprint: Fingerprint,
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
    kept: HashMap<IdempotencyKey, KeptKey>,
    /// Keys that ran and are no longer kept: what came to the machine by then must not run.
    past: HashMap<IdempotencyKey, Time>,
    /// When these may be forgotten, in order.
    expiries: VecDeque<Expiry>,
    max_past: usize,
}

impl IdempotencyKeys {
    /// A table that remembers at most `max_past` keys beyond those that are kept.
    pub fn new(max_past: usize) -> IdempotencyKeys {
        IdempotencyKeys {
            max_past,
            ..IdempotencyKeys::default()
        }
    }

    /// Whether an RPC of this key is here, or has run within the window.
    pub fn is_kept(&self, key: &IdempotencyKey) -> bool {
        self.kept.contains_key(key)
    }

    /// What an RPC that came to the machine at `arrived` repeats.
    pub fn find(&self, key: &IdempotencyKey, fingerprint: Fingerprint, arrived: Time) -> Lookup {
        if let Some(kept) = self.kept.get(key) {
            // Guards against a stranger who has seen a key: neither is the result theirs, nor may
            // theirs run in its place.
            return if kept.fingerprint.matches(fingerprint) {
                Lookup::RepeatOf(kept.rpc)
            } else {
                Lookup::Conflict
            };
        }
        // Guards against a second run of what came within the window and was read after it: after a
        // pause, or from a full socket.
        if self.past.get(key).is_some_and(|until| arrived <= *until) {
            return Lookup::Conflict;
        }
        Lookup::Unknown
    }

    /// Keeps `key` for `rpc`, whose repeats are known until `until`.
    pub fn keep(&mut self, key: IdempotencyKey, fingerprint: Fingerprint, rpc: RpcId, until: Time) {
        let kept = KeptKey {
            rpc,
            fingerprint,
            until,
            started: false,
        };
        self.kept.insert(key, kept);
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
        if let Some(kept) = self.kept.get_mut(key).filter(|kept| kept.rpc == rpc) {
            kept.started = started;
        }
    }

    /// `key` need not be kept for `rpc` any more. An attempt of it may lie unread for `unread` at
    /// the most.
    pub fn release(&mut self, now: Time, key: &IdempotencyKey, rpc: RpcId, unread: Span) {
        self.forget_expired(now, unread);
        if self.kept.get(key).is_none_or(|kept| kept.rpc != rpc) {
            return;
        }
        if let Some(kept) = self.kept.remove(key).filter(|kept| kept.started) {
            self.past.insert(key.clone(), kept.until);
            self.expiries.push_back(Expiry {
                at: kept.until + unread,
                key: key.clone(),
            });
        }
    }

    fn forget_expired(&mut self, now: Time, unread: Span) {
        let max_past = self.max_past.max(1);
        while self.expiries.front().is_some_and(|first| first.at <= now)
            || self.expiries.len() >= max_past
        {
            let Some(Expiry { at, key }) = self.expiries.pop_front() else {
                break;
            };
            // A later run of the same key has a later expiry of its own.
            let past = self.past.get(&key);
            if past.is_some_and(|until| *until + unread <= at) {
                self.past.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests;
