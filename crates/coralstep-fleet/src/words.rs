//! What each server says of itself, spread to all: newest per source wins, its age is known, past its age it is worth nothing. A rider of
//! the channel: it fills what room a datagram has, with what was told least.
use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Ms;
use crate::members::Member;
use crate::versions::Id;

/// Sources that are kept; more are not listened to.
pub const SOURCES_MOST: usize = 8_192;
/// Letters of a reason.
pub const REASON_MOST: usize = 96;
/// A server's own word is made anew this often, so that its silence shows.
pub const OWN: Ms = 1_000;
/// Who has not been heard of for so long is forgotten here; the audit still has its rows.
pub const FORGET: Ms = 120_000;
/// A word that is said to be older than that tells nothing new.
const AGE_MOST: u32 = FORGET as u32;

/// A version that a server acted on, from when to when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    pub version: Id,
    pub from_ms: u64,
    pub to_ms: u64,
    pub rpcs: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    pub of: Member,
    /// Rises with each word of one process.
    pub number: u64,
    pub leaving: bool,
    /// Shut out, by itself or by an operator.
    pub shut: bool,
    /// It would shut itself out for a version, if not too many do.
    pub wants_out: bool,
    /// The version it acts on, and since when (hybrid clock, Unix milliseconds).
    pub acts_on: Id,
    pub since_ms: u64,
    /// RPCs decided under it, and of these those that got their result.
    pub rpcs: u64,
    pub ok: u64,
    /// What it acted on before that, as it stands in its record.
    pub before: Option<Past>,
    /// The newest version it holds.
    pub knows: Id,
    /// What it would not take, and why.
    pub turned_down: Option<(Id, String)>,
    /// The end of its record, and how many entries that has.
    pub chain: [u8; 8],
    pub entries: u32,
}

impl Word {
    fn is_sound(&self) -> bool {
        let reason = self.turned_down.as_ref().is_none_or(|(_, why)| why.len() <= REASON_MOST);
        self.of.is_sound() && reason && self.ok <= self.rpcs
    }
}

#[derive(Clone, Debug)]
pub struct Heard {
    pub word: Word,
    /// When it was said, on this server's clock.
    pub at: Ms,
    told: u32,
}

#[derive(Default)]
pub struct Words {
    heard: HashMap<(String, SocketAddr), Heard>,
    own: Option<Word>,
}

/// A word and its age.
type Passed = (Word, u32);

impl Words {
    pub fn own(&mut self, word: Word) {
        self.own = Some(word);
    }

    /// What goes into `room` bytes.
    pub fn said(&mut self, now: Ms, room: usize) -> Option<Vec<u8>> {
        let mut out: Vec<Passed> = self.own.iter().map(|own| (own.clone(), 0)).collect();
        let mut order: Vec<(&(String, SocketAddr), u32)> =
            self.heard.iter().map(|(of, heard)| (of, heard.told)).collect();
        // Of two told as often, the one heard of later: its news is newer. Names keep the order the same everywhere.
        order.sort_by(|a, b| (a.1, a.0).cmp(&(b.1, b.0)));
        let names: Vec<(String, SocketAddr)> = order.into_iter().take(32).map(|(of, _)| of.clone()).collect();
        let mut size = postcard::to_allocvec(&out).map_or(0, |bytes| bytes.len()) + 2;
        for of in names {
            let Some(heard) = self.heard.get_mut(&of) else { continue };
            let passed: Passed =
                (heard.word.clone(), now.saturating_sub(heard.at).min(u64::from(u32::MAX)) as u32);
            let more = postcard::to_allocvec(&passed).map_or(usize::MAX, |bytes| bytes.len());
            if size.saturating_add(more) > room {
                break;
            }
            size += more;
            heard.told = heard.told.saturating_add(1);
            out.push(passed);
        }
        postcard::to_allocvec(&out).ok().filter(|bytes| !out.is_empty() && bytes.len() <= room)
    }

    /// The words that were news.
    pub fn heard(&mut self, now: Ms, own: &Member, bytes: &[u8]) -> Vec<Word> {
        let Ok(words) = postcard::from_bytes::<Vec<Passed>>(bytes) else { return Vec::new() };
        let mut news = Vec::new();
        for (word, age) in words {
            // Nobody else speaks for this server.
            if !word.is_sound() || age > AGE_MOST || (word.of.name == own.name && word.of.at == own.at) {
                continue;
            }
            let key = (word.of.name.clone(), word.of.at);
            let newest = (word.of.started, word.number);
            let known = self.heard.get(&key).map(|heard| (heard.word.of.started, heard.word.number));
            if known.is_some_and(|known| known >= newest)
                || (known.is_none() && self.heard.len() >= SOURCES_MOST)
            {
                continue;
            }
            let at = now.saturating_sub(Ms::from(age));
            self.heard.insert(key, Heard { word: word.clone(), at, told: 0 });
            news.push(word);
        }
        news
    }

    pub fn forget(&mut self, now: Ms) {
        self.heard.retain(|_, heard| now.saturating_sub(heard.at) <= FORGET);
    }

    pub fn all(&self) -> impl Iterator<Item = &Heard> {
        self.heard.values()
    }

    pub fn of(&self, member: &Member) -> Option<&Heard> {
        self.heard.get(&(member.name.clone(), member.at))
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;

    pub fn word(name: &str, started: u64, number: u64) -> Word {
        Word {
            of: Member::new(name, "127.0.0.1:1".parse().unwrap(), started),
            number,
            leaving: false,
            shut: false,
            wants_out: false,
            acts_on: Id::default(),
            since_ms: 0,
            rpcs: 0,
            ok: 0,
            before: None,
            knows: Id::default(),
            turned_down: None,
            chain: [0; 8],
            entries: 0,
        }
    }

    fn pass(words: &[Passed]) -> Vec<u8> {
        postcard::to_allocvec(words).unwrap()
    }

    #[test]
    fn the_newest_word_of_a_source_wins_whatever_way_it_came() {
        let (mut words, own) = (Words::default(), Member::new("me", "127.0.0.1:9".parse().unwrap(), 1));
        assert_eq!(words.heard(1_000, &own, &pass(&[(word("a", 5, 2), 300)])).len(), 1);
        assert_eq!(words.of(&word("a", 5, 2).of).unwrap().at, 700);
        // Older, the same again, of the process before, and of this server itself.
        for (old, age) in [(word("a", 5, 1), 0), (word("a", 5, 2), 0), (word("a", 4, 9), 0)] {
            assert!(words.heard(1_000, &own, &pass(&[(old, age)])).is_empty());
        }
        let mut mine = word("me", 7, 7);
        mine.of.at = own.at;
        assert!(words.heard(1_000, &own, &pass(&[(mine, 0)])).is_empty());
        // A restart.
        assert_eq!(words.heard(1_000, &own, &pass(&[(word("a", 6, 1), 0)])).len(), 1);
        // Figures that nobody could have are not taken, nor is what can't be read.
        let mut wild = word("b", 1, 1);
        wild.ok = 5;
        assert!(words.heard(1_000, &own, &pass(&[(wild, 0)])).is_empty());
        assert!(words.heard(1_000, &own, b"\xff\xff\xff\xff\x0f").is_empty());
        words.forget(1_000 + FORGET + 1);
        assert_eq!(words.all().count(), 0);
    }

    #[test]
    fn what_was_told_least_goes_first_and_the_room_is_kept() {
        let (mut words, own) = (Words::default(), Member::new("me", "127.0.0.1:9".parse().unwrap(), 1));
        for number in 0..40 {
            words.heard(0, &own, &pass(&[(word(&format!("n{number}"), 1, 1), 0)]));
        }
        words.own(word("me", 1, 1));
        let mut seen = std::collections::HashSet::new();
        for _ in 0..8 {
            let bytes = words.said(0, 400).unwrap();
            assert!(bytes.len() <= 400);
            let said: Vec<Passed> = postcard::from_bytes(&bytes).unwrap();
            assert_eq!(said[0].0.of.name, "me");
            seen.extend(said.into_iter().map(|(word, _)| word.of.name));
        }
        assert_eq!(seen.len(), 41, "none starves");
    }
}
