//! Settings in numbered versions. A version is a blob: what stands behind its id is bound to it by a hash, so two contents never pass under
//! one id. Every server that holds one hands it on, in pieces; whoever fetches it believes nothing before the hash is right. Which of
//! several known versions is the one to act on is the same for all who know the same: the greatest id.
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Ms;
use crate::members::{Member, NAME_MOST};
use crate::words::REASON_MOST;

/// The longest version, in bytes.
pub const BYTES_MOST: usize = 256 * 1024;
/// Bytes of a piece, so that it fits a datagram beside all else.
pub const PIECE: usize = 1_000;
/// Versions that are kept whole; the oldest go.
pub const KEPT: usize = 16;
/// Pieces that are asked for at a time.
const WINDOW: usize = 8;
/// Between two tries to fetch, at first and at the most; each doubles, less a chance part so that a fleet doesn't ask as one.
const AGAIN: Ms = 200;
const AGAIN_MOST: Ms = 5_000;
/// A version that nobody holds any more for so long is given up.
pub const LOST: Ms = 10_000;
/// How far above the greatest known a number may be: guards against one forged word that no later version could exceed.
pub const AHEAD_MOST: u64 = 1_000_000;
/// RPCs on either side before a wave is compared with the rest, and how unlikely its being worse must be by chance alone.
const COMPARED: u64 = 100;
const WORSE: f64 = 0.001;

/// A version: its number, and the hash of all that it is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Id {
    pub number: u64,
    pub hash: [u8; 12],
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number)?;
        if self.number > 0 {
            write!(f, "-")?;
            self.hash
                .iter()
                .try_for_each(|byte| write!(f, "{byte:02x}"))?;
        }
        Ok(())
    }
}

impl FromStr for Id {
    type Err = String;

    fn from_str(text: &str) -> Result<Id, String> {
        let wrong = || format!("{text:?} is no version");
        let (number, hash) = text.split_once('-').unwrap_or((text, ""));
        let mut id = Id {
            number: number.parse().map_err(|_| wrong())?,
            ..Id::default()
        };
        for (at, byte) in id.hash.iter_mut().enumerate().filter(|_| !hash.is_empty()) {
            let digits = hash.get(at * 2..at * 2 + 2).ok_or_else(wrong)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| wrong())?;
        }
        if hash.is_empty() || hash.len() == 24 {
            Ok(id)
        } else {
            Err(wrong())
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    pub number: u64,
    pub replaces: Id,
    /// Who can't act on it shuts itself out.
    pub must: bool,
    pub by: String,
    /// When it was published (hybrid clock, Unix milliseconds).
    pub at_ms: u64,
    /// Parts of the fleet that take it, one after another, with a pause between.
    pub waves: Vec<f32>,
    pub pause_ms: u64,
    /// JSON: the sections of the site file that it sets.
    pub content: String,
}

impl Version {
    pub fn blob(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// A version from its bytes alone, with the id that they are bound to.
    pub fn of(blob: &[u8]) -> Option<(Id, Version)> {
        let number = postcard::from_bytes::<Version>(blob).ok()?.number;
        let id = Id {
            number,
            hash: hash(blob),
        };
        Some((id, Version::read(id, blob)?))
    }

    fn read(id: Id, blob: &[u8]) -> Option<Version> {
        let version: Version = postcard::from_bytes(blob)
            .ok()
            .filter(|_| hash(blob) == id.hash)?;
        let waves = version.waves.len() <= 16
            && version.waves.iter().all(|part| (0.0..=1.0).contains(part));
        (version.number == id.number
            && waves
            && version.by.len() <= NAME_MOST
            && version.replaces < id)
            .then_some(version)
    }

    /// When the wave that `server` belongs to is due, in milliseconds after the publishing; none where it is of none.
    pub fn due_ms(&self, server: &str) -> Option<u64> {
        let wave = self.wave(server)?;
        Some(self.pause_ms.saturating_mul(wave as u64))
    }

    /// The wave that `server` belongs to. Which servers come first changes with each version.
    pub fn wave(&self, server: &str) -> Option<usize> {
        if self.waves.is_empty() {
            return Some(0);
        }
        let sum = hash(format!("{server} {}", self.at_ms).as_bytes());
        let part =
            f64::from(u32::from_le_bytes([sum[0], sum[1], sum[2], sum[3]])) / f64::from(u32::MAX);
        self.waves
            .iter()
            .position(|until| part <= f64::from(*until))
    }
}

pub fn hash(bytes: &[u8]) -> [u8; 12] {
    let sum = Sha256::digest(bytes);
    std::array::from_fn(|at| sum[at])
}

/// Whether `ok` of `rpcs` here is worse than there by more than chance: two proportions, one side.
pub fn worse(here: (u64, u64), there: (u64, u64)) -> bool {
    use statrs::distribution::{ContinuousCDF, Normal};
    let ((ok, rpcs), (other_ok, others)) = (here, there);
    if rpcs < COMPARED || others < COMPARED {
        return false;
    }
    let (part, other) = (ok as f64 / rpcs as f64, other_ok as f64 / others as f64);
    let all = (ok + other_ok) as f64 / (rpcs + others) as f64;
    let spread = (all * (1.0 - all) * (1.0 / rpcs as f64 + 1.0 / others as f64)).sqrt();
    spread > 0.0 && Normal::standard().cdf((part - other) / spread) < WORSE
}

/// What two servers say to each other about versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Letter {
    Want {
        id: Id,
        pieces: Vec<u16>,
    },
    Piece {
        id: Id,
        bytes: u32,
        at: u16,
        piece: Vec<u8>,
    },
}

/// A version on its way.
#[derive(Debug)]
struct Fetch {
    id: Id,
    /// Its length, once a piece told it, and the pieces.
    bytes: Option<usize>,
    pieces: BTreeMap<u16, Vec<u8>>,
    next: Ms,
    pause: Ms,
    asked: usize,
    /// Since when nobody is known who holds it.
    lost: Option<Ms>,
}

/// A version, its bytes, and when it came here.
#[derive(Debug)]
struct Held {
    version: Version,
    blob: Vec<u8>,
    since: Ms,
}

#[derive(Debug, Default)]
pub struct Versions {
    held: BTreeMap<Id, Held>,
    turned_down: BTreeMap<Id, String>,
    /// Heard of in words.
    heard_of: Id,
    fetch: Option<Fetch>,
    /// Two versions that replace the same one.
    forks: Vec<(Id, Id)>,
}

impl Versions {
    pub fn held(&self, id: Id) -> Option<&Version> {
        self.held.get(&id).map(|held| &held.version)
    }

    /// When it came here.
    pub fn since(&self, id: Id) -> Option<Ms> {
        self.held.get(&id).map(|held| held.since)
    }

    pub fn all(&self) -> impl Iterator<Item = (Id, &Version)> {
        self.held.iter().map(|(id, held)| (*id, &held.version))
    }

    pub fn forks(&self) -> &[(Id, Id)] {
        &self.forks
    }

    pub fn why_not(&self, id: Id) -> Option<&str> {
        self.turned_down.get(&id).map(String::as_str)
    }

    /// The newest that is known, held or not.
    pub fn newest(&self) -> Id {
        self.heard_of.max(self.newest_held())
    }

    pub fn newest_held(&self) -> Id {
        self.held.keys().next_back().copied().unwrap_or_default()
    }

    /// The newest that is held and was not turned down.
    pub fn wanted(&self) -> Option<(Id, &Version)> {
        self.held
            .iter()
            .rev()
            .find(|(id, _)| !self.turned_down.contains_key(id))
            .map(|(id, held)| (*id, &held.version))
    }

    pub fn turn_down(&mut self, id: Id, why: &str) {
        let end = (0..=why.len().min(REASON_MOST))
            .rev()
            .find(|end| why.is_char_boundary(*end))
            .unwrap_or(0);
        self.turned_down.insert(id, why[..end].to_owned());
        while self.turned_down.len() > KEPT {
            self.turned_down.pop_first();
        }
    }

    pub fn publish(&mut self, now: Ms, version: Version) -> Result<Id, String> {
        let blob = version.blob();
        if blob.len() > BYTES_MOST {
            return Err(format!("{} bytes, {BYTES_MOST} at most", blob.len()));
        }
        let id = Id {
            number: version.number,
            hash: hash(&blob),
        };
        self.keep(now, id, version, blob);
        Ok(id)
    }

    fn keep(&mut self, since: Ms, id: Id, version: Version, blob: Vec<u8>) {
        let twin = self
            .held
            .iter()
            .find(|(other, held)| **other != id && held.version.replaces == version.replaces);
        if let Some((other, _)) = twin {
            let fork = (id.min(*other), id.max(*other));
            if !self.forks.contains(&fork) && self.forks.len() < KEPT {
                self.forks.push(fork);
            }
        }
        self.held.insert(
            id,
            Held {
                version,
                blob,
                since,
            },
        );
        while self.held.len() > KEPT {
            self.held.pop_first();
        }
    }

    /// One that was held before a restart: its wave is over.
    pub fn restore(&mut self, blob: &[u8]) -> Option<Id> {
        let (id, version) = Version::of(blob)?;
        self.keep(0, id, version, blob.to_vec());
        Some(id)
    }

    pub fn blob(&self, id: Id) -> Option<&[u8]> {
        self.held.get(&id).map(|held| held.blob.as_slice())
    }

    /// Somebody knows of `id`.
    pub fn heard_of(&mut self, id: Id) {
        if id > self.heard_of && id.number <= self.newest().number.saturating_add(AHEAD_MOST) {
            self.heard_of = id;
        }
    }

    /// What is to be asked for now, and of whom: `holders` hold what is missing. `chance` is below 1.
    pub fn ask(
        &mut self,
        now: Ms,
        holders: impl Fn(Id) -> Vec<Member>,
        chance: f64,
    ) -> Vec<(Member, Letter)> {
        let newest = self.newest();
        if newest == Id::default() || self.held.contains_key(&newest) {
            self.fetch = None;
            return Vec::new();
        }
        if self.fetch.as_ref().is_none_or(|fetch| fetch.id != newest) {
            // The first question comes at a moment of its own: a fleet that hears of a version doesn't fall on its publisher.
            let next = now + (AGAIN as f64 * chance) as Ms;
            self.fetch = Some(Fetch {
                id: newest,
                bytes: None,
                pieces: BTreeMap::new(),
                next,
                pause: AGAIN,
                asked: 0,
                lost: None,
            });
        }
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| now >= fetch.next) else {
            return Vec::new();
        };
        let mut from = holders(fetch.id);
        if from.is_empty() {
            fetch.next = now + AGAIN;
            if now.saturating_sub(*fetch.lost.get_or_insert(now)) >= LOST {
                // Guards against a version that died with its only holder: nobody is behind what nobody can have.
                self.heard_of = Id::default();
                self.fetch = None;
            }
            return Vec::new();
        }
        fetch.lost = None;
        from.sort();
        let count = fetch.bytes.map_or(1, |bytes| bytes.div_ceil(PIECE));
        let missing: Vec<u16> = (0..count as u16)
            .filter(|at| !fetch.pieces.contains_key(at))
            .take(WINDOW)
            .collect();
        let start = (chance * from.len() as f64) as usize + fetch.asked;
        fetch.asked += 1;
        fetch.next = now + (fetch.pause as f64 * (1.0 - 0.5 * chance)) as Ms;
        fetch.pause = (fetch.pause * 2).min(AGAIN_MOST);
        // From several at a time: none has to carry all of it, and a dead one costs a part.
        let parts = missing.chunks(WINDOW.div_ceil(2)).enumerate();
        parts
            .map(|(at, pieces)| {
                let of = from[(start + at) % from.len()].clone();
                (
                    of,
                    Letter::Want {
                        id: fetch.id,
                        pieces: pieces.to_vec(),
                    },
                )
            })
            .collect()
    }

    /// What is answered to a letter; `Some` id where a version is whole now.
    pub fn heard(&mut self, now: Ms, letter: Letter) -> (Vec<Letter>, Option<Id>) {
        match letter {
            Letter::Want { id, pieces } => {
                let Some(Held { blob, .. }) = self.held.get(&id) else {
                    return (Vec::new(), None);
                };
                let piece = |at: u16| {
                    let start = usize::from(at) * PIECE;
                    let piece = blob.get(start..(start + PIECE).min(blob.len()))?.to_vec();
                    Some(Letter::Piece {
                        id,
                        bytes: blob.len() as u32,
                        at,
                        piece,
                    })
                };
                (
                    pieces.into_iter().take(WINDOW).filter_map(piece).collect(),
                    None,
                )
            }
            Letter::Piece {
                id,
                bytes,
                at,
                piece,
            } => {
                let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.id == id) else {
                    return (Vec::new(), None);
                };
                let bytes = bytes as usize;
                let count = bytes.div_ceil(PIECE);
                let length = (bytes.saturating_sub(usize::from(at) * PIECE)).min(PIECE);
                if bytes > BYTES_MOST || usize::from(at) >= count || piece.len() != length {
                    return (Vec::new(), None);
                }
                if fetch
                    .bytes
                    .replace(bytes)
                    .is_some_and(|known| known != bytes)
                {
                    // Two holders don't agree: one of them is wrong, and which one only the hash tells.
                    fetch.pieces.clear();
                }
                fetch.pieces.insert(at, piece);
                if fetch.pieces.len() < count {
                    // It comes: the rest is asked for at once.
                    (fetch.next, fetch.pause) =
                        if fetch.pieces.len() % 4 == 0 || fetch.pieces.len() == 1 {
                            (now, AGAIN)
                        } else {
                            (fetch.next, AGAIN)
                        };
                    return (Vec::new(), None);
                }
                let blob: Vec<u8> = fetch.pieces.values().flatten().copied().collect();
                match Version::read(id, &blob) {
                    Some(version) => {
                        self.fetch = None;
                        self.keep(now, id, version, blob);
                        (Vec::new(), Some(id))
                    }
                    None => {
                        // Spoilt on the way or by a holder: all of it again.
                        fetch.pieces.clear();
                        fetch.bytes = None;
                        (Vec::new(), None)
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
