//! Dissemination of values that may be stale: each server's newest report of itself, relayed by
//! all.
//!
//! The newest value of an origin wins, by the incarnation of the process and the sequence number
//! of the value. Each value travels with its age and is dropped past a stated one.
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::membership::Member;

/// Origins whose values are kept; further ones are ignored.
pub const MAX_SOURCES: usize = 8_192;
/// Values of other servers in one payload.
const MAX_RELAYED: usize = 32;
/// Bytes of a payload beside its values.
const PAYLOAD_OVERHEAD_BYTES: usize = 2;

/// A value that a server publishes of itself.
pub trait Gossip: Clone + Serialize + DeserializeOwned {
    /// A value of this age, in milliseconds, is dropped.
    const MAX_AGE_MS: Millis;

    /// Returns the server that published it.
    fn origin(&self) -> &Member;

    /// Returns a number that rises with each value of one process.
    fn sequence(&self) -> u64;

    /// Returns whether a correct peer could have published it.
    fn is_valid(&self) -> bool;
}

/// A value of another server.
#[derive(Clone, Debug)]
pub struct Received<T> {
    /// The value.
    pub value: T,
    /// When its origin published it, on this server's clock.
    pub sent_at: Millis,
    times_relayed: u32,
}

/// A value on its way.
#[derive(Clone, Serialize, Deserialize)]
struct AgedValue<T> {
    value: T,
    age_ms: u32,
}

/// An origin, whatever its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Origin {
    name: String,
    address: SocketAddr,
}

impl Origin {
    fn of(member: &Member) -> Origin {
        Origin {
            name: member.name.clone(),
            address: member.address,
        }
    }
}

/// Place of a value among those to be relayed: the least relayed first, then by origin.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RelayPosition {
    times_relayed: u32,
    origin: Origin,
}

/// This server's own value and the newest ones of the others.
///
/// The least relayed values are sent first, so that none starves.
pub struct Disseminator<T> {
    received: HashMap<Origin, Received<T>>,
    /// The same values in the order in which they are relayed.
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
    /// Publishes this server's own value in place of the one before.
    pub fn set_own(&mut self, value: T) {
        self.own = Some(value);
    }

    /// Returns what fits `max_bytes`: this server's own value, then the least relayed of the
    /// others'. None where there is nothing to send or no room for it.
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
            let more = encoded_bytes(&relayed);
            if bytes.saturating_add(more) > max_bytes {
                break;
            }
            bytes += more;
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

    /// Takes in a payload of another server and returns the values that were new. What can't be
    /// read, is invalid or claims to be of this server is ignored.
    pub fn receive(&mut self, now: Millis, own: &Member, payload: &[u8]) -> Vec<T> {
        let Ok(values) = postcard::from_bytes::<Vec<AgedValue<T>>>(payload) else {
            return Vec::new();
        };
        let mut news = Vec::new();
        for AgedValue { value, age_ms } in values {
            let age = Millis::from(age_ms);
            let origin = value.origin();
            let is_own = origin.name == own.name && origin.address == own.address;
            if !value.is_valid() || age > T::MAX_AGE_MS || is_own {
                continue;
            }
            if self.insert(now.saturating_sub(age), &value) {
                news.push(value);
            }
        }
        news
    }

    /// Returns false where the value is not newer than the known one, or where there is no room.
    fn insert(&mut self, sent_at: Millis, value: &T) -> bool {
        let origin = Origin::of(value.origin());
        let known = self.received.get(&origin);
        let rank = |value: &T| (value.origin().incarnation, value.sequence());
        if known.is_some_and(|known| rank(&known.value) >= rank(value)) {
            return false;
        }
        if known.is_none() && self.received.len() >= MAX_SOURCES {
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

    /// Drops the values that are too old.
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
        self.received.get(&Origin::of(member))
    }

    /// Iterates over the newest values of the others, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Received<T>> {
        self.received.values()
    }
}
