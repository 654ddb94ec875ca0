//! Dissemination of values by gossip: each server publishes a value about itself, and all servers
//! relay the newest values of the others. A received value may be stale.
//!
//! Values of one origin are ordered by the incarnation of its process, then by sequence number, and
//! the newest is kept. Each value is sent together with its age and dropped after a maximum age.
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::membership::Member;

/// Maximum number of origins whose values are kept. Values of further origins are ignored.
pub const MAX_ORIGINS: usize = 8_192;
/// Maximum number of values from other servers in one payload.
const MAX_RELAYED: usize = 32;
/// Bytes of a payload in addition to its values.
const PAYLOAD_OVERHEAD_BYTES: usize = 2;

/// A value that a server publishes about itself.
pub trait Gossip: Clone + Serialize + DeserializeOwned {
    /// Maximum age in milliseconds. Older values are dropped.
    const MAX_AGE_MS: Millis;

    /// Returns the server that published the value.
    fn origin(&self) -> &Member;

    /// Returns the sequence number, which increases with each value that a process publishes.
    fn sequence(&self) -> u64;

    /// Returns whether the value is well-formed.
    fn is_valid(&self) -> bool;
}

/// A value received from another server.
#[derive(Clone, Debug)]
pub struct Received<T> {
    /// The value.
    pub value: T,
    /// When its origin published it, by this server's clock.
    pub sent_at: Millis,
    times_relayed: u32,
}

/// A value with its age, as it is sent.
#[derive(Clone, Serialize, Deserialize)]
struct AgedValue<T> {
    value: T,
    age_ms: u32,
}

/// The server that published a value, regardless of its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Origin {
    name: String,
    address: SocketAddr,
}

impl Origin {
    fn from_member(member: &Member) -> Origin {
        Origin {
            name: member.name.clone(),
            address: member.address,
        }
    }
}

/// Position of a value in the relay order: the least relayed first, then by origin.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RelayPosition {
    times_relayed: u32,
    origin: Origin,
}

/// This server's own value and the newest values of other servers.
///
/// The least relayed values are sent first, so that no value starves.
pub struct Disseminator<T> {
    received: HashMap<Origin, Received<T>>,
    /// The received values in the order in which they are relayed.
    relay_order: BTreeSet<RelayPosition>,
    own: Option<T>,
}

impl<T> Default for Disseminator<T> {
    fn default() -> Disseminator<T> {
        Disseminator {
            received: HashMap::new(),
            relay_order: BTreeSet::new(),
            own: None,
        }
    }
}

impl<T> std::fmt::Debug for Disseminator<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Disseminator")
            .field("received", &self.received.len())
            .finish_non_exhaustive()
    }
}

fn encoded_bytes<S: Serialize>(value: &S) -> usize {
    postcard::to_allocvec(value).map_or(usize::MAX / 2, |bytes| bytes.len())
}

impl<T: Gossip> Disseminator<T> {
    /// Publishes this server's own value, replacing the previous one.
    pub fn set_own(&mut self, value: T) {
        self.own = Some(value);
    }

    /// Returns an encoded payload of at most `max_bytes` bytes: this server's own value, followed by
    /// the least relayed values of other servers. Returns `None` if there is nothing to send or the
    /// payload does not fit.
    pub fn next_payload(&mut self, now: Millis, max_bytes: usize) -> Option<Vec<u8>> {
        let mut payload: Vec<AgedValue<T>> = Vec::new();
        payload.extend(self.own.iter().map(|own| AgedValue {
            value: own.clone(),
            age_ms: 0,
        }));
        let mut bytes = encoded_bytes(&payload) + PAYLOAD_OVERHEAD_BYTES;
        let next: Vec<RelayPosition> = self.relay_order.iter().take(MAX_RELAYED).cloned().collect();
        for position in next {
            let Some(received) = self.received.get_mut(&position.origin) else {
                continue;
            };
            let age = now.saturating_sub(received.sent_at);
            let relayed = AgedValue {
                value: received.value.clone(),
                age_ms: age.min(u64::from(u32::MAX)) as u32,
            };
            let relayed_bytes = encoded_bytes(&relayed);
            if bytes.saturating_add(relayed_bytes) > max_bytes {
                break;
            }
            bytes += relayed_bytes;
            received.times_relayed = received.times_relayed.saturating_add(1);
            let times_relayed = received.times_relayed;
            self.relay_order.remove(&position);
            self.relay_order.insert(RelayPosition {
                times_relayed,
                origin: position.origin,
            });
            payload.push(relayed);
        }
        postcard::to_allocvec(&payload)
            .ok()
            .filter(|bytes| !payload.is_empty() && bytes.len() <= max_bytes)
    }

    /// Handles a payload from another server and returns the values that were new. Values that
    /// cannot be decoded, are invalid, are too old or name this server as their origin are ignored.
    pub fn receive(&mut self, now: Millis, own: &Member, payload: &[u8]) -> Vec<T> {
        let Ok(values) = postcard::from_bytes::<Vec<AgedValue<T>>>(payload) else {
            return Vec::new();
        };
        let mut new_values = Vec::new();
        for AgedValue { value, age_ms } in values {
            let age = Millis::from(age_ms);
            let origin = value.origin();
            let is_own = origin.name == own.name && origin.address == own.address;
            if !value.is_valid() || age > T::MAX_AGE_MS || is_own {
                continue;
            }
            if self.insert(now.saturating_sub(age), &value) {
                new_values.push(value);
            }
        }
        new_values
    }

    /// Stores a value. Returns false if it is not newer than the known one or the table is full.
    fn insert(&mut self, sent_at: Millis, value: &T) -> bool {
        let origin = Origin::from_member(value.origin());
        let known = self.received.get(&origin);
        let version = |value: &T| (value.origin().incarnation, value.sequence());
        if known.is_some_and(|known| version(&known.value) >= version(value)) {
            return false;
        }
        if known.is_none() && self.received.len() >= MAX_ORIGINS {
            return false;
        }
        if let Some(known) = known {
            self.relay_order.remove(&RelayPosition {
                times_relayed: known.times_relayed,
                origin: origin.clone(),
            });
        }
        self.relay_order.insert(RelayPosition {
            times_relayed: 0,
            origin: origin.clone(),
        });
        self.received.insert(
            origin,
            Received {
                value: value.clone(),
                sent_at,
                times_relayed: 0,
            },
        );
        true
    }

    /// Drops values older than their maximum age.
    pub fn expire(&mut self, now: Millis) {
        let relay_order = &mut self.relay_order;
        self.received.retain(|origin, received| {
            let keep = now.saturating_sub(received.sent_at) <= T::MAX_AGE_MS;
            if !keep {
                relay_order.remove(&RelayPosition {
                    times_relayed: received.times_relayed,
                    origin: origin.clone(),
                });
            }
            keep
        });
    }

    /// Returns the newest value of the server with the name and address of `member`.
    pub fn get(&self, member: &Member) -> Option<&Received<T>> {
        self.received.get(&Origin::from_member(member))
    }

    /// Iterates over the newest values of other servers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Received<T>> {
        self.received.values()
    }
}
