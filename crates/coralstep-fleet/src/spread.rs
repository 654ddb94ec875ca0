//! What may be stale: each server's newest saying of itself, handed on to all. Newest per source wins, by the process's start and the
//! number of the saying; its age is known, and past a stated age it is worth nothing. What was told least goes first, so none starves.
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Ms;
use crate::members::Member;

/// Sources that are kept; more are not listened to.
pub const SOURCES_MOST: usize = 8_192;
/// Sayings of others in one datagram at the most.
const PASSED_MOST: usize = 32;

/// Something that a server says of itself.
pub trait Saying: Clone + Serialize + DeserializeOwned {
    /// Who has not been heard of for so long is forgotten.
    const FORGET: Ms;
    fn of(&self) -> &Member;
    /// Rises with each saying of one process.
    fn number(&self) -> u64;
    /// Whether a peer may have said so.
    fn is_sound(&self) -> bool;
}

#[derive(Clone, Debug)]
pub struct Heard<T> {
    pub word: T,
    /// When it was said, on this server's clock.
    pub at: Ms,
    told: u32,
}

type Key = (String, SocketAddr);

pub struct Spread<T> {
    heard: HashMap<Key, Heard<T>>,
    /// The same by how often each was told: what is said next is found without a look at all.
    order: BTreeSet<(u32, Key)>,
    own: Option<T>,
}

impl<T> Default for Spread<T> {
    fn default() -> Spread<T> {
        Spread {
            heard: HashMap::new(),
            order: BTreeSet::new(),
            own: None,
        }
    }
}

fn key(member: &Member) -> Key {
    (member.name.clone(), member.at)
}

fn length<S: Serialize>(what: &S) -> usize {
    postcard::to_allocvec(what).map_or(usize::MAX / 2, |bytes| bytes.len())
}

impl<T: Saying> Spread<T> {
    pub fn own(&mut self, word: T) {
        self.own = Some(word);
    }

    /// What goes into `room` bytes: this server's own first.
    pub fn said(&mut self, now: Ms, room: usize) -> Option<Vec<u8>> {
        let mut out: Vec<(T, u32)> = self.own.iter().map(|own| (own.clone(), 0)).collect();
        // Of two told as often names decide: the order is the same everywhere.
        let next: Vec<(u32, Key)> = self.order.iter().take(PASSED_MOST).cloned().collect();
        let mut size = length(&out) + 2;
        for entry in next {
            let Some(heard) = self.heard.get_mut(&entry.1) else {
                continue;
            };
            let age = now.saturating_sub(heard.at).min(u64::from(u32::MAX)) as u32;
            let passed = (heard.word.clone(), age);
            let more = length(&passed);
            if size.saturating_add(more) > room {
                break;
            }
            size += more;
            heard.told = heard.told.saturating_add(1);
            let told = heard.told;
            self.order.remove(&entry);
            self.order.insert((told, entry.1));
            out.push(passed);
        }
        postcard::to_allocvec(&out)
            .ok()
            .filter(|bytes| !out.is_empty() && bytes.len() <= room)
    }

    /// The sayings that were news.
    pub fn heard(&mut self, now: Ms, own: &Member, bytes: &[u8]) -> Vec<T> {
        let Ok(words) = postcard::from_bytes::<Vec<(T, u32)>>(bytes) else {
            return Vec::new();
        };
        let mut news = Vec::new();
        for (word, age) in words {
            // Nobody else speaks for this server.
            let mine = word.of().name == own.name && word.of().at == own.at;
            if !word.is_sound() || Ms::from(age) > T::FORGET || mine {
                continue;
            }
            let key = key(word.of());
            let newest = (word.of().started, word.number());
            let known = self.heard.get(&key);
            let old =
                known.is_some_and(|known| (known.word.of().started, known.word.number()) >= newest);
            if old || (known.is_none() && self.heard.len() >= SOURCES_MOST) {
                continue;
            }
            known.map(|known| known.told).inspect(|told| {
                self.order.remove(&(*told, key.clone()));
            });
            self.order.insert((0, key.clone()));
            let at = now.saturating_sub(Ms::from(age));
            self.heard.insert(
                key,
                Heard {
                    word: word.clone(),
                    at,
                    told: 0,
                },
            );
            news.push(word);
        }
        news
    }

    pub fn forget(&mut self, now: Ms) {
        let order = &mut self.order;
        self.heard.retain(|key, heard| {
            let keep = now.saturating_sub(heard.at) <= T::FORGET;
            if !keep {
                order.remove(&(heard.told, key.clone()));
            }
            keep
        });
    }

    /// What is known of a process.
    pub fn of(&self, member: &Member) -> Option<&Heard<T>> {
        self.heard.get(&key(member))
    }

    pub fn all(&self) -> impl Iterator<Item = &Heard<T>> {
        self.heard.values()
    }
}
