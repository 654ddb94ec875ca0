//! Versions that a server holds, has rejected, or knows only from the reports of peers.
use std::collections::BTreeMap;

use crate::Millis;
use crate::membership::Member;
use crate::versions::fetch::{ChunkRequest, Fetch, Poll, VersionMessage, chunk_messages};
use crate::versions::id::{VersionId, hash};
use crate::versions::version::Version;

/// Maximum size of an encoded version, in bytes.
pub const MAX_VERSION_BYTES: usize = 256 * 1024;
/// Maximum number of held versions. The oldest are dropped first.
pub const MAX_VERSIONS: usize = 16;
/// Maximum length of the reason of a rejection, in bytes.
pub const MAX_REASON_BYTES: usize = 96;
/// Maximum difference between the number of a version that a peer reports and the newest known
/// number. Guards against a forged status that no later version could supersede.
pub const MAX_NUMBER_LEAD: u64 = 1_000_000;

/// Error for a version that cannot be published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// The encoded version exceeds [`MAX_VERSION_BYTES`].
    #[error("version of {bytes} bytes exceeds the maximum of {MAX_VERSION_BYTES} bytes")]
    TooLong {
        /// Size of the encoded version, in bytes.
        bytes: usize,
    },
}

/// A version held by this server.
#[derive(Debug)]
pub struct StoredVersion {
    /// The version's id.
    pub id: VersionId,
    /// The version itself.
    pub version: Version,
    /// When it arrived, by this server's clock; 0 if it was restored after a restart.
    pub received_at: Millis,
    encoded: Vec<u8>,
}

/// Two versions that replace the same predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fork {
    /// The version with the smaller id, which no server activates any more.
    pub superseded: VersionId,
    /// The version with the greater id, which all servers activate.
    pub winner: VersionId,
}

/// Result of handling a [`VersionMessage`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MessageOutcome {
    /// Replies to the sender.
    pub replies: Vec<VersionMessage>,
    /// The version that the message completed, if any.
    pub completed: Option<VersionId>,
}

/// The versions of the fleet's settings that this server holds or knows of.
#[derive(Debug, Default)]
pub struct VersionStore {
    held: BTreeMap<VersionId, StoredVersion>,
    rejected: BTreeMap<VersionId, String>,
    /// The newest version that a peer has reported.
    reported: VersionId,
    fetch: Option<Fetch>,
    forks: Vec<Fork>,
}

impl VersionStore {
    /// Returns the version `id`, if it is held.
    pub fn get(&self, id: VersionId) -> Option<&Version> {
        self.held.get(&id).map(|stored| &stored.version)
    }

    /// Returns when `id` arrived, if it is held.
    pub fn received_at(&self, id: VersionId) -> Option<Millis> {
        self.held.get(&id).map(|stored| stored.received_at)
    }

    /// Returns the encoded form of `id`, if it is held.
    pub fn encoded(&self, id: VersionId) -> Option<&[u8]> {
        self.held.get(&id).map(|stored| stored.encoded.as_slice())
    }

    /// Iterates over the held versions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &StoredVersion> {
        self.held.values()
    }

    /// Returns the detected forks, in the order of detection.
    pub fn forks(&self) -> &[Fork] {
        &self.forks
    }

    /// Returns the reason why this server rejected `id`, if it did.
    pub fn rejection_reason(&self, id: VersionId) -> Option<&str> {
        self.rejected.get(&id).map(String::as_str)
    }

    /// Returns the newest known version, whether held or not.
    pub fn newest(&self) -> VersionId {
        self.reported.max(self.newest_held())
    }

    /// Returns the newest version that is held.
    pub fn newest_held(&self) -> VersionId {
        self.held.keys().next_back().copied().unwrap_or_default()
    }

    /// Returns the newest version that is held and was not rejected.
    pub fn newest_accepted(&self) -> Option<&StoredVersion> {
        self.held
            .values()
            .rev()
            .find(|stored| !self.rejected.contains_key(&stored.id))
    }

    /// Marks `id` as rejected. The reason is truncated to [`MAX_REASON_BYTES`].
    pub fn reject(&mut self, id: VersionId, reason: &str) {
        let end = reason.floor_char_boundary(MAX_REASON_BYTES);
        self.rejected.insert(id, reason[..end].to_owned());
        while self.rejected.len() > MAX_VERSIONS {
            self.rejected.pop_first();
        }
    }

    /// Adds a version that is published at this server and returns its id.
    ///
    /// # Errors
    ///
    /// Returns [`PublishError::TooLong`] if the encoded version exceeds [`MAX_VERSION_BYTES`].
    pub fn publish(&mut self, now: Millis, version: Version) -> Result<VersionId, PublishError> {
        let encoded = version.encode();
        if encoded.len() > MAX_VERSION_BYTES {
            return Err(PublishError::TooLong {
                bytes: encoded.len(),
            });
        }
        let id = VersionId {
            number: version.number,
            hash: hash(&encoded),
        };
        self.insert(StoredVersion {
            id,
            version,
            received_at: now,
            encoded,
        });
        Ok(id)
    }

    /// Adds a version saved before a restart and returns its id, or `None` if it is corrupt. Its
    /// rollout stage counts as due.
    pub fn restore(&mut self, encoded: &[u8]) -> Option<VersionId> {
        let published = Version::decode(encoded)?;
        self.insert(StoredVersion {
            id: published.id,
            version: published.version,
            received_at: 0,
            encoded: encoded.to_vec(),
        });
        Some(published.id)
    }

    fn insert(&mut self, stored: StoredVersion) {
        self.record_fork(&stored);
        self.held.insert(stored.id, stored);
        while self.held.len() > MAX_VERSIONS {
            self.held.pop_first();
        }
    }

    fn record_fork(&mut self, stored: &StoredVersion) {
        let sibling = self.held.values().find(|other| {
            other.id != stored.id && other.version.replaces == stored.version.replaces
        });
        let Some(sibling) = sibling else { return };
        let fork = Fork {
            superseded: stored.id.min(sibling.id),
            winner: stored.id.max(sibling.id),
        };
        if !self.forks.contains(&fork) && self.forks.len() < MAX_VERSIONS {
            self.forks.push(fork);
        }
    }

    /// Records that a peer reported the version `id`.
    pub fn record_reported(&mut self, id: VersionId) {
        let max_number = self.newest().number.saturating_add(MAX_NUMBER_LEAD);
        if id > self.reported && id.number <= max_number {
            self.reported = id;
        }
    }

    /// Returns the requests that are due to fetch the newest known version if it is not held.
    ///
    /// `holders` returns the members that hold a version. `jitter`, from 0 to below 1, spreads the
    /// requests of the fleet's servers over time.
    pub fn poll_fetch(
        &mut self,
        now: Millis,
        holders: impl Fn(VersionId) -> Vec<Member>,
        jitter: f64,
    ) -> Vec<ChunkRequest> {
        let newest = self.newest();
        if newest == VersionId::default() || self.held.contains_key(&newest) {
            self.fetch = None;
            return Vec::new();
        }
        let fetch = match &mut self.fetch {
            Some(fetch) if fetch.id == newest => fetch,
            slot => slot.insert(Fetch::new(newest, now, jitter)),
        };
        match fetch.poll(now, holders, jitter) {
            Poll::Requests(requests) => requests,
            Poll::Abandoned => {
                self.reported = VersionId::default();
                self.fetch = None;
                Vec::new()
            }
        }
    }

    /// Answers a request for chunks, or stores a received chunk.
    pub fn handle_message(&mut self, now: Millis, message: VersionMessage) -> MessageOutcome {
        match message {
            VersionMessage::Request { id, chunks } => {
                let encoded = self.encoded(id);
                MessageOutcome {
                    replies: encoded
                        .map_or_else(Vec::new, |encoded| chunk_messages(id, encoded, chunks)),
                    completed: None,
                }
            }
            VersionMessage::Chunk {
                id,
                version_bytes,
                index,
                data,
            } => MessageOutcome {
                replies: Vec::new(),
                completed: self.handle_chunk(now, id, version_bytes as usize, index, data),
            },
        }
    }

    fn handle_chunk(
        &mut self,
        now: Millis,
        id: VersionId,
        version_bytes: usize,
        index: u16,
        data: Vec<u8>,
    ) -> Option<VersionId> {
        let fetch = self.fetch.as_mut().filter(|fetch| fetch.id == id)?;
        let encoded = fetch.add_chunk(now, version_bytes, index, data)?;
        let Some(version) = Version::decode_as(id, &encoded) else {
            // A chunk was corrupted in transit or by its holder.
            fetch.discard_chunks();
            return None;
        };
        self.fetch = None;
        self.insert(StoredVersion {
            id,
            version,
            received_at: now,
            encoded,
        });
        Some(id)
    }
}
