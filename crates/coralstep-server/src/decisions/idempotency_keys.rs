//! Table of idempotency keys, which identify repeats: maps each key to its RPC, and records whether
//! the RPC has run and until when it must not run again. Reads no clock; the caller passes the time.
use std::collections::{HashMap, VecDeque};

use coralstep::{RpcId, Span, Time};

/// An idempotency key and the method that it was sent to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// Index of the method.
    pub method: usize,
    /// The key as sent by the caller.
    pub key: Box<[u8]>,
}

/// Fingerprint of a request's payload, which is the same for all attempts of one RPC.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PayloadFingerprint {
    /// Digest of the body.
    pub body_digest: u64,
    /// Index of the tenant, or `None` if the caller's protocol carries none.
    pub tenant: Option<usize>,
}

impl PayloadFingerprint {
    /// Returns whether both may belong to attempts of one RPC. Tenants are compared only if both
    /// are known.
    fn matches(self, other: PayloadFingerprint) -> bool {
        let tenants = self.tenant.zip(other.tenant);
        let same_tenant = tenants.is_none_or(|(one, other)| one == other);
        self.body_digest == other.body_digest && same_tenant
    }
}

/// Result of [`IdempotencyKeys::lookup`].
#[derive(Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The key is not in use: the RPC is the first attempt.
    Unknown,
    /// An attempt of the same RPC is in progress or has run.
    RepeatOf(RpcId),
    /// The RPC must not run and must not receive the result of another RPC.
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

/// Table of all idempotency keys that are in use or have run.
#[derive(Default)]
pub struct IdempotencyKeys {
    retained: HashMap<IdempotencyKey, RetainedKey>,
    /// End of the retry window of released keys that ran. An attempt that arrived by then must not
    /// run.
    released: HashMap<IdempotencyKey, Time>,
    /// Expiry times of released keys, in order of their release.
    expiries: VecDeque<Expiry>,
    max_released: usize,
    /// Latest end of the retry window of all keys that were forgotten before their expiry.
    forgotten_until: Option<Time>,
}

impl IdempotencyKeys {
    /// Creates a table that remembers at most `max_released` keys after their release.
    pub fn new(max_released: usize) -> IdempotencyKeys {
        IdempotencyKeys {
            max_released,
            ..IdempotencyKeys::default()
        }
    }

    /// Returns whether an RPC with this key is in progress or has run within the retry window.
    pub fn is_retained(&self, key: &IdempotencyKey) -> bool {
        self.retained.contains_key(key)
    }

    /// Looks up which RPC an attempt that arrived at this machine at `arrived` repeats.
    pub fn lookup(
        &self,
        key: &IdempotencyKey,
        fingerprint: PayloadFingerprint,
        arrived: Time,
    ) -> Lookup {
        if let Some(retained) = self.retained.get(key) {
            // Guards against a client that learned another's key: it may neither get the result nor run.
            return if retained.fingerprint.matches(fingerprint) {
                Lookup::RepeatOf(retained.rpc)
            } else {
                Lookup::Conflict
            };
        }
        // Guards against a second run of an attempt that arrived within the retry window but is read
        // after it, because the process was paused or the socket's buffer was full. An unknown key may
        // be one that was forgotten early.
        let released_until = self.released.get(key).copied();
        if released_until.max(self.forgotten_until) >= Some(arrived) {
            return Lookup::Conflict;
        }
        Lookup::Unknown
    }

    /// Retains `key` for `rpc`, whose retry window ends at `until`.
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

    /// Marks the run of `rpc` as started.
    pub fn mark_started(&mut self, key: &IdempotencyKey, rpc: RpcId) {
        self.set_started(key, rpc, true);
    }

    /// Marks the run of `rpc` as never started.
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

    /// Releases `key`, which no longer needs to be retained for `rpc`.
    ///
    /// If the RPC ran, the key is remembered until `max_read_delay` after its retry window: an attempt
    /// that arrives within the window may be read that late. Beyond the maximum number of released
    /// keys, the one released first is forgotten early; from then on no attempt runs that arrived
    /// before the end of its window, whatever its key.
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
            // Guards against forgetting a later run of the same key, which has a later expiry.
            let released = self.released.get(&key).copied();
            let Some(until) = released.filter(|until| *until + max_read_delay <= at) else {
                continue;
            };
            self.released.remove(&key);
            if at > now {
                self.forgotten_until = self.forgotten_until.max(Some(until));
            }
        }
    }
}

#[cfg(test)]
mod tests;
