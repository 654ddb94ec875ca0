//! Transfer of a version in chunks, requested from several holders at a time.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::membership::Member;
use crate::versions::id::VersionId;
use crate::versions::store::MAX_VERSION_BYTES;

/// Size of a chunk in bytes, which fits into a datagram.
pub const CHUNK_BYTES: usize = 1_000;
/// Maximum number of chunks in one request, and in one round of requests.
const MAX_REQUESTED_CHUNKS: usize = 8;
/// Initial backoff between two rounds of requests. It doubles with each round up to the maximum.
const MIN_RETRY_DELAY_MS: Millis = 200;
/// Maximum backoff between two rounds of requests.
const MAX_RETRY_DELAY_MS: Millis = 5_000;
/// Maximum fraction by which jitter shortens the backoff.
const MAX_JITTER_FRACTION: f64 = 0.5;
/// Number of received chunks after which the next round of requests is sent immediately.
const CHUNKS_BETWEEN_ROUNDS: usize = 4;
/// Time without a known holder after which the fetch of a version is abandoned.
pub const NO_HOLDER_TIMEOUT_MS: Millis = 10_000;

/// Message of the transfer of a version between two servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum VersionMessage {
    /// Requests chunks of a version.
    Request {
        /// The version.
        id: VersionId,
        /// Indexes of the chunks.
        chunks: Vec<u16>,
    },
    /// One chunk of a version.
    Chunk {
        /// The version.
        id: VersionId,
        /// Size of the encoded version, in bytes.
        version_bytes: u32,
        /// Index of the chunk.
        index: u16,
        /// Content of the chunk: [`CHUNK_BYTES`] bytes, or fewer in the last chunk.
        data: Vec<u8>,
    },
}

/// A request for chunks, and its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct ChunkRequest {
    /// A member that holds the version.
    pub holder: Member,
    /// The request.
    pub message: VersionMessage,
}

/// Result of [`Fetch::poll`].
pub(super) enum Poll {
    /// Requests that are due; may be empty.
    Requests(Vec<ChunkRequest>),
    /// No member holds the version any more.
    Abandoned,
}

/// A version that is being fetched.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) id: VersionId,
    /// Size of the encoded version, known once the first chunk has arrived.
    version_bytes: Option<usize>,
    chunks: BTreeMap<u16, Vec<u8>>,
    next_round_at: Millis,
    retry_delay: Millis,
    rounds: usize,
    /// Since when no holder is known.
    no_holder_since: Option<Millis>,
}

impl Fetch {
    /// Starts the fetch of `id`. `jitter`, from 0 to below 1, delays the first request, so that not
    /// all servers of the fleet send requests to the publisher at the same time.
    pub(super) fn new(id: VersionId, now: Millis, jitter: f64) -> Fetch {
        Fetch {
            id,
            version_bytes: None,
            chunks: BTreeMap::new(),
            next_round_at: now + (MIN_RETRY_DELAY_MS as f64 * jitter) as Millis,
            retry_delay: MIN_RETRY_DELAY_MS,
            rounds: 0,
            no_holder_since: None,
        }
    }

    /// Returns the requests that are due, or that the fetch was abandoned.
    pub(super) fn poll(
        &mut self,
        now: Millis,
        holders: impl Fn(VersionId) -> Vec<Member>,
        jitter: f64,
    ) -> Poll {
        if now < self.next_round_at {
            return Poll::Requests(Vec::new());
        }
        let mut holders = holders(self.id);
        if holders.is_empty() {
            return self.wait_for_holder(now);
        }
        self.no_holder_since = None;
        holders.sort();
        let first = (jitter * holders.len() as f64) as usize + self.rounds;
        self.rounds += 1;
        let jittered = self.retry_delay as f64 * (1.0 - MAX_JITTER_FRACTION * jitter);
        self.next_round_at = now + jittered as Millis;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY_MS);
        Poll::Requests(self.requests(&holders, first))
    }

    /// Guards against a version whose only holder failed: waiting for it would make servers lag.
    fn wait_for_holder(&mut self, now: Millis) -> Poll {
        self.next_round_at = now + MIN_RETRY_DELAY_MS;
        let since = *self.no_holder_since.get_or_insert(now);
        if now.saturating_sub(since) >= NO_HOLDER_TIMEOUT_MS {
            Poll::Abandoned
        } else {
            Poll::Requests(Vec::new())
        }
    }

    /// Requests missing chunks from two holders, so that the load is spread and a holder that has
    /// failed delays only half of them.
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

    /// Stores a chunk. Returns the encoded version once all chunks have arrived.
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
            // Two holders report different sizes. Only the hash of the complete version would show
            // which of them is wrong.
            self.chunks.clear();
        }
        self.chunks.insert(index, data);
        if self.chunks.len() < count {
            self.retry_delay = MIN_RETRY_DELAY_MS;
            if self.chunks.len() == 1 || self.chunks.len().is_multiple_of(CHUNKS_BETWEEN_ROUNDS) {
                self.next_round_at = now;
            }
            return None;
        }
        Some(self.chunks.values().flatten().copied().collect())
    }

    /// Discards all chunks because they did not match the hash of the version.
    pub(super) fn discard_chunks(&mut self) {
        self.chunks.clear();
        self.version_bytes = None;
    }
}

/// Returns the messages with the requested chunks of an encoded version.
pub(super) fn chunk_messages(
    id: VersionId,
    encoded: &[u8],
    chunks: Vec<u16>,
) -> Vec<VersionMessage> {
    let chunk_message = |index: u16| {
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
        .filter_map(chunk_message)
        .collect()
}
