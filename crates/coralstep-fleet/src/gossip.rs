//! What may be stale: each server's newest saying of itself, handed on to all. Newest per source wins, by the process's start and the
//! number of the saying; its age is known, and past a stated age it is worth nothing. What was times_relayed least goes first, so none starves.
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Millis;
use crate::membership::Member;

/// Sources that are kept; more are not listened to.
pub const MAX_SOURCES: usize = 8_192;
/// Sayings of others in one datagram at the most.
const MAX_RELAYED: usize = 32;

/// Something that a server says of itself.
pub trait Gossip: Clone + Serialize + DeserializeOwned {
    /// Who has not been heard of for so long is forgotten.
    const MAX_AGE_MS: Millis;
    fn origin(&self) -> &Member;
    /// Rises with each saying of one process.
    fn sequence(&self) -> u64;
    /// Whether a peer may have said so.
    fn is_valid(&self) -> bool;
}

#[derive(Clone, Debug)]
pub struct Received<T> {
    pub value: T,
    /// When it was said, on this server's clock.
    pub sent_at: Millis,
    times_relayed: u32,
}

type Key = (String, SocketAddr);

pub struct Disseminator<T> {
    received: HashMap<Key, Received<T>>,
    /// The same by how often each was times_relayed: what is said next is found without a look at all.
    order: BTreeSet<(u32, Key)>,
    own: Option<T>,
}

impl<T> Default for Disseminator<T> {
    fn default() -> Disseminator<T> {
        Disseminator {
            received: HashMap::new(),
            order: BTreeSet::new(),
            own: None,
        }
    }
}

fn key(member: &Member) -> Key {
    (member.name.clone(), member.address)
}

fn length<S: Serialize>(what: &S) -> usize {
    postcard::to_allocvec(what).map_or(usize::MAX / 2, |bytes| bytes.len())
}

impl<T: Gossip> Disseminator<T> {
    pub fn set_own(&mut self, value: T) {
        self.own = Some(value);
    }

    /// What goes into `max_bytes` bytes: this server's own first.
    pub fn next_payload(&mut self, now: Millis, max_bytes: usize) -> Option<Vec<u8>> {
        let mut out: Vec<(T, u32)> = self.own.iter().map(|own| (own.clone(), 0)).collect();
        // Of two times_relayed as often names decide: the order is the same everywhere.
        let next: Vec<(u32, Key)> = self.order.iter().take(MAX_RELAYED).cloned().collect();
        let mut size = length(&out) + 2;
        for entry in next {
            let Some(received) = self.received.get_mut(&entry.1) else {
                continue;
            };
            let age = now
                .saturating_sub(received.sent_at)
                .min(u64::from(u32::MAX)) as u32;
            let passed = (received.value.clone(), age);
            let more = length(&passed);
            if size.saturating_add(more) > max_bytes {
                break;
            }
            size += more;
            received.times_relayed = received.times_relayed.saturating_add(1);
            let times_relayed = received.times_relayed;
            self.order.remove(&entry);
            self.order.insert((times_relayed, entry.1));
            out.push(passed);
        }
        postcard::to_allocvec(&out)
            .ok()
            .filter(|bytes| !out.is_empty() && bytes.len() <= max_bytes)
    }

    /// The sayings that were news.
    pub fn receive(&mut self, now: Millis, own: &Member, bytes: &[u8]) -> Vec<T> {
        let Ok(values) = postcard::from_bytes::<Vec<(T, u32)>>(bytes) else {
            return Vec::new();
        };
        let mut news = Vec::new();
        for (value, age) in values {
            // Nobody else speaks for this server.
            let mine = value.origin().name == own.name && value.origin().address == own.address;
            if !value.is_valid() || Millis::from(age) > T::MAX_AGE_MS || mine {
                continue;
            }
            let key = key(value.origin());
            let newest = (value.origin().incarnation, value.sequence());
            let known = self.received.get(&key);
            let old = known.is_some_and(|known| {
                (known.value.origin().incarnation, known.value.sequence()) >= newest
            });
            if old || (known.is_none() && self.received.len() >= MAX_SOURCES) {
                continue;
            }
            known
                .map(|known| known.times_relayed)
                .inspect(|times_relayed| {
                    self.order.remove(&(*times_relayed, key.clone()));
                });
            self.order.insert((0, key.clone()));
            let sent_at = now.saturating_sub(Millis::from(age));
            self.received.insert(
                key,
                Received {
                    value: value.clone(),
                    sent_at,
                    times_relayed: 0,
                },
            );
            news.push(value);
        }
        news
    }

    pub fn expire(&mut self, now: Millis) {
        let order = &mut self.order;
        self.received.retain(|key, received| {
            let keep = now.saturating_sub(received.sent_at) <= T::MAX_AGE_MS;
            if !keep {
                order.remove(&(received.times_relayed, key.clone()));
            }
            keep
        });
    }

    /// What is known of a process.
    pub fn get(&self, member: &Member) -> Option<&Received<T>> {
        self.received.get(&key(member))
    }

    pub fn iter(&self) -> impl Iterator<Item = &Received<T>> {
        self.received.values()
    }
}
