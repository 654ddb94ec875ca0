//! Settings in numbered versions. A version is a blob: what stands behind its id is bound to it by a hash, so two contents never pass under
//! one id. Every server that holds one hands it on, in pieces; whoever fetches it believes nothing before the hash is right. Which of
//! several known versions is the one to act on is the same for all who know the same: the greatest id.
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Millis;
use crate::membership::{MAX_NAME_BYTES, Member};
use crate::status::MAX_REASON_BYTES;

/// The longest version, in bytes.
pub const MAX_VERSION_BYTES: usize = 256 * 1024;
/// Bytes of a piece, so that it fits a datagram beside all else.
pub const CHUNK_BYTES: usize = 1_000;
/// VersionStore that are kept whole; the oldest go.
pub const MAX_VERSIONS: usize = 16;
/// Pieces that are asked for at a time.
const MAX_REQUESTED_CHUNKS: usize = 8;
/// Between two tries to fetch, at first and at the most; each doubles, less a chance part so that a fleet doesn't ask as one.
const MIN_RETRY_DELAY_MS: Millis = 200;
const MAX_RETRY_DELAY_MS: Millis = 5_000;
/// A version that nobody holds any more for so long is given up.
pub const HOLDERLESS_TIMEOUT_MS: Millis = 10_000;
/// How far above the greatest known a number may be: guards against one forged word that no later version could exceed.
pub const MAX_NUMBER_LEAD: u64 = 1_000_000;
/// RPCs on either side before a wave is compared with the rest, and how unlikely its being worse must be by chance alone.
const MIN_COMPARED_RPCS: u64 = 100;
const MAX_CHANCE_PROBABILITY: f64 = 0.001;

/// A version: its number, and the hash of all that it is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct VersionId {
    pub number: u64,
    pub hash: [u8; 12],
}

impl fmt::Display for VersionId {
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

impl FromStr for VersionId {
    type Err = String;

    fn from_str(text: &str) -> Result<VersionId, String> {
        let wrong = || format!("{text:?} is no version");
        let (number, hash) = text.split_once('-').unwrap_or((text, ""));
        let mut id = VersionId {
            number: number.parse().map_err(|_| wrong())?,
            ..VersionId::default()
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
    pub replaces: VersionId,
    /// Who can't act on it shuts itself out.
    pub mandatory: bool,
    pub publisher: String,
    /// When it was published (hybrid clock, Unix milliseconds).
    pub published_at_ms: u64,
    /// Parts of the fleet that take it, one after another, with a pause between.
    pub stages: Vec<f32>,
    pub stage_pause_ms: u64,
    /// JSON: the sections of the site file that it sets.
    pub content: String,
}

impl Version {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// A version from its bytes alone, with the id that they are bound to.
    pub fn decode(blob: &[u8]) -> Option<(VersionId, Version)> {
        let number = postcard::from_bytes::<Version>(blob).ok()?.number;
        let id = VersionId {
            number,
            hash: hash(blob),
        };
        Some((id, Version::decode_as(id, blob)?))
    }

    fn decode_as(id: VersionId, blob: &[u8]) -> Option<Version> {
        let version: Version = postcard::from_bytes(blob)
            .ok()
            .filter(|_| hash(blob) == id.hash)?;
        let waves = version.stages.len() <= 16
            && version.stages.iter().all(|part| (0.0..=1.0).contains(part));
        (version.number == id.number
            && waves
            && version.publisher.len() <= MAX_NAME_BYTES
            && version.replaces < id)
            .then_some(version)
    }

    /// When the wave that `server` belongs to is due, in milliseconds after the publishing; none where it is of none.
    pub fn stage_delay_ms(&self, server: &str) -> Option<u64> {
        let wave = self.stage(server)?;
        Some(self.stage_pause_ms.saturating_mul(wave as u64))
    }

    /// The wave that `server` belongs to. Which servers come first changes with each version.
    pub fn stage(&self, server: &str) -> Option<usize> {
        if self.stages.is_empty() {
            return Some(0);
        }
        let sum = hash(format!("{server} {}", self.published_at_ms).as_bytes());
        let part =
            f64::from(u32::from_le_bytes([sum[0], sum[1], sum[2], sum[3]])) / f64::from(u32::MAX);
        self.stages
            .iter()
            .position(|until| part <= f64::from(*until))
    }
}

pub fn hash(bytes: &[u8]) -> [u8; 12] {
    let sum = Sha256::digest(bytes);
    std::array::from_fn(|at| sum[at])
}

/// Whether `ok` of `rpcs` here is worse than there by more than chance: two proportions, one side.
pub fn is_significantly_worse(here: (u64, u64), there: (u64, u64)) -> bool {
    use statrs::distribution::{ContinuousCDF, Normal};
    let ((ok, rpcs), (other_ok, others)) = (here, there);
    if rpcs < MIN_COMPARED_RPCS || others < MIN_COMPARED_RPCS {
        return false;
    }
    let (part, other) = (ok as f64 / rpcs as f64, other_ok as f64 / others as f64);
    let all = (ok + other_ok) as f64 / (rpcs + others) as f64;
    let spread = (all * (1.0 - all) * (1.0 / rpcs as f64 + 1.0 / others as f64)).sqrt();
    spread > 0.0 && Normal::standard().cdf((part - other) / spread) < MAX_CHANCE_PROBABILITY
}

/// What two servers say to each other about versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum VersionMessage {
    Request {
        id: VersionId,
        chunks: Vec<u16>,
    },
    Chunk {
        id: VersionId,
        version_bytes: u32,
        index: u16,
        data: Vec<u8>,
    },
}

/// A version on its way.
#[derive(Debug)]
struct Fetch {
    id: VersionId,
    /// Its length, once a piece told it, and the pieces.
    bytes: Option<usize>,
    pieces: BTreeMap<u16, Vec<u8>>,
    next: Millis,
    pause: Millis,
    asked: usize,
    /// Since when nobody is known who holds it.
    lost: Option<Millis>,
}

/// A version, its bytes, and when it came here.
#[derive(Debug)]
struct Held {
    version: Version,
    blob: Vec<u8>,
    since: Millis,
}

#[derive(Debug, Default)]
pub struct VersionStore {
    held: BTreeMap<VersionId, Held>,
    turned_down: BTreeMap<VersionId, String>,
    /// Received of in words.
    heard_of: VersionId,
    fetch: Option<Fetch>,
    /// Two versions that replace the same one.
    forks: Vec<(VersionId, VersionId)>,
}

impl VersionStore {
    pub fn get(&self, id: VersionId) -> Option<&Version> {
        self.held.get(&id).map(|held| &held.version)
    }

    /// When it came here.
    pub fn received_at(&self, id: VersionId) -> Option<Millis> {
        self.held.get(&id).map(|held| held.since)
    }

    pub fn iter(&self) -> impl Iterator<Item = (VersionId, &Version)> {
        self.held.iter().map(|(id, held)| (*id, &held.version))
    }

    pub fn forks(&self) -> &[(VersionId, VersionId)] {
        &self.forks
    }

    pub fn rejection_reason(&self, id: VersionId) -> Option<&str> {
        self.turned_down.get(&id).map(String::as_str)
    }

    /// The newest that is known, held or not.
    pub fn newest(&self) -> VersionId {
        self.heard_of.max(self.newest_held())
    }

    pub fn newest_held(&self) -> VersionId {
        self.held.keys().next_back().copied().unwrap_or_default()
    }

    /// The newest that is held and was not turned down.
    pub fn newest_accepted(&self) -> Option<(VersionId, &Version)> {
        self.held
            .iter()
            .rev()
            .find(|(id, _)| !self.turned_down.contains_key(id))
            .map(|(id, held)| (*id, &held.version))
    }

    pub fn reject(&mut self, id: VersionId, why: &str) {
        let end = (0..=why.len().min(MAX_REASON_BYTES))
            .rev()
            .find(|end| why.is_char_boundary(*end))
            .unwrap_or(0);
        self.turned_down.insert(id, why[..end].to_owned());
        while self.turned_down.len() > MAX_VERSIONS {
            self.turned_down.pop_first();
        }
    }

    pub fn publish(&mut self, now: Millis, version: Version) -> Result<VersionId, String> {
        let blob = version.encode();
        if blob.len() > MAX_VERSION_BYTES {
            return Err(format!("{} bytes, {MAX_VERSION_BYTES} at most", blob.len()));
        }
        let id = VersionId {
            number: version.number,
            hash: hash(&blob),
        };
        self.keep(now, id, version, blob);
        Ok(id)
    }

    fn keep(&mut self, since: Millis, id: VersionId, version: Version, blob: Vec<u8>) {
        let twin = self
            .held
            .iter()
            .find(|(other, held)| **other != id && held.version.replaces == version.replaces);
        if let Some((other, _)) = twin {
            let fork = (id.min(*other), id.max(*other));
            if !self.forks.contains(&fork) && self.forks.len() < MAX_VERSIONS {
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
        while self.held.len() > MAX_VERSIONS {
            self.held.pop_first();
        }
    }

    /// One that was held before a restart: its wave is over.
    pub fn restore(&mut self, blob: &[u8]) -> Option<VersionId> {
        let (id, version) = Version::decode(blob)?;
        self.keep(0, id, version, blob.to_vec());
        Some(id)
    }

    pub fn blob(&self, id: VersionId) -> Option<&[u8]> {
        self.held.get(&id).map(|held| held.blob.as_slice())
    }

    /// Somebody knows of `id`.
    pub fn learn_of(&mut self, id: VersionId) {
        if id > self.heard_of && id.number <= self.newest().number.saturating_add(MAX_NUMBER_LEAD) {
            self.heard_of = id;
        }
    }

    /// What is to be asked for now, and of whom: `holders` hold what is missing. `chance` is below 1.
    pub fn poll_fetch(
        &mut self,
        now: Millis,
        holders: impl Fn(VersionId) -> Vec<Member>,
        chance: f64,
    ) -> Vec<(Member, VersionMessage)> {
        let newest = self.newest();
        if newest == VersionId::default() || self.held.contains_key(&newest) {
            self.fetch = None;
            return Vec::new();
        }
        if self.fetch.as_ref().is_none_or(|fetch| fetch.id != newest) {
            // The first question comes at a moment of its own: a fleet that hears of a version doesn't fall on its publisher.
            let next = now + (MIN_RETRY_DELAY_MS as f64 * chance) as Millis;
            self.fetch = Some(Fetch {
                id: newest,
                bytes: None,
                pieces: BTreeMap::new(),
                next,
                pause: MIN_RETRY_DELAY_MS,
                asked: 0,
                lost: None,
            });
        }
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| now >= fetch.next) else {
            return Vec::new();
        };
        let mut from = holders(fetch.id);
        if from.is_empty() {
            fetch.next = now + MIN_RETRY_DELAY_MS;
            if now.saturating_sub(*fetch.lost.get_or_insert(now)) >= HOLDERLESS_TIMEOUT_MS {
                // Guards against a version that died with its only holder: nobody is behind what nobody can have.
                self.heard_of = VersionId::default();
                self.fetch = None;
            }
            return Vec::new();
        }
        fetch.lost = None;
        from.sort();
        let count = fetch.bytes.map_or(1, |bytes| bytes.div_ceil(CHUNK_BYTES));
        let missing: Vec<u16> = (0..count as u16)
            .filter(|at| !fetch.pieces.contains_key(at))
            .take(MAX_REQUESTED_CHUNKS)
            .collect();
        let start = (chance * from.len() as f64) as usize + fetch.asked;
        fetch.asked += 1;
        fetch.next = now + (fetch.pause as f64 * (1.0 - 0.5 * chance)) as Millis;
        fetch.pause = (fetch.pause * 2).min(MAX_RETRY_DELAY_MS);
        // From several at a time: none has to carry all of it, and a dead one costs a part.
        let parts = missing.chunks(MAX_REQUESTED_CHUNKS.div_ceil(2)).enumerate();
        parts
            .map(|(at, pieces)| {
                let of = from[(start + at) % from.len()].clone();
                (
                    of,
                    VersionMessage::Request {
                        id: fetch.id,
                        chunks: pieces.to_vec(),
                    },
                )
            })
            .collect()
    }

    /// What is answered to a letter; `Some` id where a version is whole now.
    pub fn handle_message(
        &mut self,
        now: Millis,
        letter: VersionMessage,
    ) -> (Vec<VersionMessage>, Option<VersionId>) {
        match letter {
            VersionMessage::Request { id, chunks } => {
                let Some(Held { blob, .. }) = self.held.get(&id) else {
                    return (Vec::new(), None);
                };
                let piece = |at: u16| {
                    let start = usize::from(at) * CHUNK_BYTES;
                    let piece = blob
                        .get(start..(start + CHUNK_BYTES).min(blob.len()))?
                        .to_vec();
                    Some(VersionMessage::Chunk {
                        id,
                        version_bytes: blob.len() as u32,
                        index: at,
                        data: piece,
                    })
                };
                (
                    chunks
                        .into_iter()
                        .take(MAX_REQUESTED_CHUNKS)
                        .filter_map(piece)
                        .collect(),
                    None,
                )
            }
            VersionMessage::Chunk {
                id,
                version_bytes,
                index,
                data,
            } => {
                let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.id == id) else {
                    return (Vec::new(), None);
                };
                let bytes = version_bytes as usize;
                let count = bytes.div_ceil(CHUNK_BYTES);
                let length =
                    (bytes.saturating_sub(usize::from(index) * CHUNK_BYTES)).min(CHUNK_BYTES);
                if bytes > MAX_VERSION_BYTES || usize::from(index) >= count || data.len() != length
                {
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
                fetch.pieces.insert(index, data);
                if fetch.pieces.len() < count {
                    // It comes: the rest is asked for at once.
                    (fetch.next, fetch.pause) =
                        if fetch.pieces.len() % 4 == 0 || fetch.pieces.len() == 1 {
                            (now, MIN_RETRY_DELAY_MS)
                        } else {
                            (fetch.next, MIN_RETRY_DELAY_MS)
                        };
                    return (Vec::new(), None);
                }
                let blob: Vec<u8> = fetch.pieces.values().flatten().copied().collect();
                match Version::decode_as(id, &blob) {
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
