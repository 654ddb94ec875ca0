//! Fetches a version in chunks from several holders at a time.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::membership::Member;
use crate::versions::id::VersionId;
use crate::versions::store::MAX_VERSION_BYTES;

/// Bytes of a chunk, so that it fits a datagram.
pub const CHUNK_BYTES: usize = 1_000;
/// Chunks that one request, or one round of requests, asks for.
const MAX_REQUESTED_CHUNKS: usize = 8;
/// Backoff between two rounds of requests: it doubles from the minimum to the maximum.
const MIN_RETRY_DELAY_MS: Millis = 200;
const MAX_RETRY_DELAY_MS: Millis = 5_000;
/// Part of the backoff that jitter may take away.
const MAX_JITTER_FRACTION: f64 = 0.5;
/// Chunks after whose arrival the next round of requests is sent at once.
const CHUNKS_BETWEEN_ROUNDS: usize = 4;
/// A version without any known holder for so long is given up.
pub const HOLDERLESS_TIMEOUT_MS: Millis = 10_000;

/// What two servers send each other to transfer a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum VersionMessage {
    /// Asks for chunks of a version.
    Request {
        /// The version.
        id: VersionId,
        /// Positions of the chunks.
        chunks: Vec<u16>,
    },
    /// One chunk of a version.
    Chunk {
        /// The version.
        id: VersionId,
        /// Bytes of the whole encoded version.
        version_bytes: u32,
        /// Position of the chunk.
        index: u16,
        /// The chunk itself: [`CHUNK_BYTES`] long, the last one shorter.
        data: Vec<u8>,
    },
}

/// A request for chunks, and the member that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct ChunkRequest {
    /// A member that holds the version.
    pub holder: Member,
    /// The request.
    pub message: VersionMessage,
}

/// Progress of a fetch after one more look for holders.
pub(super) enum Poll {
    /// Nothing is due, or these requests are.
    Requests(Vec<ChunkRequest>),
    /// Nobody holds the version any more.
    Abandoned,
}

/// A version that is being fetched.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) id: VersionId,
    /// Length of the encoded version, known from the first chunk on.
    version_bytes: Option<usize>,
    chunks: BTreeMap<u16, Vec<u8>>,
    next_round: Millis,
    retry_delay: Millis,
    rounds: usize,
    /// Since when no holder is known.
    holderless_since: Option<Millis>,
}

impl Fetch {
    /// Begins to fetch `id`. `jitter`, below 1, spreads the first requests of a fleet, so that
    /// not all servers ask the publisher at the same moment.
    pub(super) fn new(id: VersionId, now: Millis, jitter: f64) -> Fetch {
        Fetch {
            id,
            version_bytes: None,
            chunks: BTreeMap::new(),
            next_round: now + (MIN_RETRY_DELAY_MS as f64 * jitter) as Millis,
            retry_delay: MIN_RETRY_DELAY_MS,
            rounds: 0,
            holderless_since: None,
        }
    }

    /// Returns the requests that are due.
    pub(super) fn poll(
        &mut self,
        now: Millis,
        holders: impl Fn(VersionId) -> Vec<Member>,
        jitter: f64,
    ) -> Poll {
        if now < self.next_round {
            return Poll::Requests(Vec::new());
        }
        let mut holders = holders(self.id);
        if holders.is_empty() {
            return self.wait_for_holder(now);
        }
        self.holderless_since = None;
        holders.sort();
        let first = (jitter * holders.len() as f64) as usize + self.rounds;
        self.rounds += 1;
        let jittered = self.retry_delay as f64 * (1.0 - MAX_JITTER_FRACTION * jitter);
        self.next_round = now + jittered as Millis;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY_MS);
        Poll::Requests(self.requests(&holders, first))
    }

    /// Guards against a version that died with its only holder: it must not make servers lag.
    fn wait_for_holder(&mut self, now: Millis) -> Poll {
        self.next_round = now + MIN_RETRY_DELAY_MS;
        let since = *self.holderless_since.get_or_insert(now);
        if now.saturating_sub(since) >= HOLDERLESS_TIMEOUT_MS {
            Poll::Abandoned
        } else {
            Poll::Requests(Vec::new())
        }
    }

    /// Spreads the missing chunks over two holders: none carries all, and a dead one costs half.
    fn requests(&self, holders: &[Member], first: usize) -> Vec<ChunkRequest> {
        let count = self
            .version_bytes
            .map_or(1, |bytes| bytes.div_ceil(CHUNK_BYTES));
        let missing: Vec<u16> = (0..count as u16)
            .filter(|index| !self.chunks.contains_key(index))
            .take(MAX_REQUESTED_CHUNKS)
            .collect();
        missing
            .chunks(MAX_REQUESTED_CHUNKS.div_ceil(2))
            .enumerate()
            .map(|(offset, chunks)| ChunkRequest {
                holder: holders[(first + offset) % holders.len()].clone(),
                message: VersionMessage::Request {
                    id: self.id,
                    chunks: chunks.to_vec(),
                },
            })
            .collect()
    }

    /// Takes a chunk in; returns the encoded version once all chunks are there.
    pub(super) fn add_chunk(
        &mut self,
        now: Millis,
        version_bytes: usize,
        index: u16,
        data: Vec<u8>,
    ) -> Option<Vec<u8>> {
        let count = version_bytes.div_ceil(CHUNK_BYTES);
        let start = usize::from(index) * CHUNK_BYTES;
        let expected_bytes = version_bytes.saturating_sub(start).min(CHUNK_BYTES);
        if version_bytes > MAX_VERSION_BYTES
            || usize::from(index) >= count
            || data.len() != expected_bytes
        {
            return None;
        }
        let known_bytes = self.version_bytes.replace(version_bytes);
        if known_bytes.is_some_and(|known| known != version_bytes) {
            // Two holders disagree, and only the hash of the whole tells which one is wrong.
            self.chunks.clear();
        }
        self.chunks.insert(index, data);
        if self.chunks.len() < count {
            self.retry_delay = MIN_RETRY_DELAY_MS;
            if self.chunks.len() == 1 || self.chunks.len().is_multiple_of(CHUNKS_BETWEEN_ROUNDS) {
                self.next_round = now;
            }
            return None;
        }
        Some(self.chunks.values().flatten().copied().collect())
    }

    /// Starts over: the chunks did not make up the version.
    pub(super) fn discard_chunks(&mut self) {
        self.chunks.clear();
        self.version_bytes = None;
    }
}

/// Cuts the requested chunks out of an encoded version.
pub(super) fn cut_chunks(id: VersionId, encoded: &[u8], chunks: Vec<u16>) -> Vec<VersionMessage> {
    let cut = |index: u16| {
        let start = usize::from(index) * CHUNK_BYTES;
        let end = (start + CHUNK_BYTES).min(encoded.len());
        let data = encoded.get(start..end)?.to_vec();
        Some(VersionMessage::Chunk {
            id,
            version_bytes: encoded.len() as u32,
            index,
            data,
        })
    };
    chunks
        .into_iter()
        .take(MAX_REQUESTED_CHUNKS)
        .filter_map(cut)
        .collect()
}
