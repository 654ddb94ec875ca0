//! The versions that a server holds, has rejected, or only knows of.
use std::collections::BTreeMap;

use crate::Millis;
use crate::membership::Member;
use crate::versions::fetch::{ChunkRequest, Fetch, Poll, VersionMessage, cut_chunks};
use crate::versions::id::{VersionId, hash};
use crate::versions::version::Version;

/// Bytes of an encoded version.
pub const MAX_VERSION_BYTES: usize = 256 * 1024;
/// Versions that are held; the oldest are dropped first.
pub const MAX_VERSIONS: usize = 16;
/// Bytes of the reason of a rejection.
pub const MAX_REASON_BYTES: usize = 96;
/// How far the number of a version that a peer knows of may exceed the newest known one. Guards
/// against one forged status that no later version could exceed.
pub const MAX_NUMBER_LEAD: u64 = 1_000_000;

/// A version that can't be published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// Its encoded form is longer than [`MAX_VERSION_BYTES`].
    #[error("{bytes} bytes, {MAX_VERSION_BYTES} at most")]
    TooLong {
        /// Bytes of the encoded form.
        bytes: usize,
    },
}

/// A version that is held here.
#[derive(Debug)]
pub struct StoredVersion {
    /// The version's id.
    pub id: VersionId,
    /// The version itself.
    pub version: Version,
    /// When it arrived, by this server's clock; 0 where it was restored after a restart.
    pub received_at: Millis,
    encoded: Vec<u8>,
}

/// Two versions that replace the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fork {
    /// The one with the smaller id, which loses.
    pub superseded: VersionId,
    /// The one that all servers settle on.
    pub winner: VersionId,
}

/// The result of a [`VersionMessage`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MessageOutcome {
    /// What is to be sent back to the sender.
    pub replies: Vec<VersionMessage>,
    /// The version that is complete now, if the message completed one.
    pub completed: Option<VersionId>,
}

/// The versions of the fleet's settings as far as this server has or knows them.
#[derive(Debug, Default)]
pub struct VersionStore {
    held: BTreeMap<VersionId, StoredVersion>,
    rejected: BTreeMap<VersionId, String>,
    /// The newest that a peer has reported.
    reported: VersionId,
    fetch: Option<Fetch>,
    forks: Vec<Fork>,
}

impl VersionStore {
    /// Returns the version `id`, if it is held.
    pub fn get(&self, id: VersionId) -> Option<&Version> {
        self.held.get(&id).map(|stored| &stored.version)
    }

    /// Returns when `id` arrived here, if it is held.
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

    /// Returns the forks that were found, in the order of their discovery.
    pub fn forks(&self) -> &[Fork] {
        &self.forks
    }

    /// Returns why `id` was rejected here, if it was.
    pub fn rejection_reason(&self, id: VersionId) -> Option<&str> {
        self.rejected.get(&id).map(String::as_str)
    }

    /// Returns the newest version that is known, held or not.
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

    /// Marks `id` as rejected. The reason is cut to [`MAX_REASON_BYTES`].
    pub fn reject(&mut self, id: VersionId, reason: &str) {
        let end = reason.floor_char_boundary(MAX_REASON_BYTES);
        self.rejected.insert(id, reason[..end].to_owned());
        while self.rejected.len() > MAX_VERSIONS {
            self.rejected.pop_first();
        }
    }

    /// Adds a version that was published here and returns its id.
    ///
    /// # Errors
    ///
    /// [`PublishError::TooLong`] where its encoded form exceeds [`MAX_VERSION_BYTES`].
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

    /// Adds a version from before a restart and returns its id; none where it is corrupt. Its
    /// rollout stage counts as reached.
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
        self.note_fork(&stored);
        self.held.insert(stored.id, stored);
        while self.held.len() > MAX_VERSIONS {
            self.held.pop_first();
        }
    }

    fn note_fork(&mut self, stored: &StoredVersion) {
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

    /// Notes that a peer knows of `id`.
    pub fn record_reported(&mut self, id: VersionId) {
        let max_number = self.newest().number.saturating_add(MAX_NUMBER_LEAD);
        if id > self.reported && id.number <= max_number {
            self.reported = id;
        }
    }

    /// Returns the requests that are due to fetch the newest known version, where it is missing.
    ///
    /// `holders` names the members that hold a version; `jitter`, from 0 to below 1, spreads the
    /// requests of a fleet.
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

    /// Answers a request, or takes a chunk in.
    pub fn handle_message(&mut self, now: Millis, message: VersionMessage) -> MessageOutcome {
        match message {
            VersionMessage::Request { id, chunks } => {
                let encoded = self.encoded(id);
                MessageOutcome {
                    replies: encoded
                        .map_or_else(Vec::new, |encoded| cut_chunks(id, encoded, chunks)),
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
            // Corrupted on the way or by a holder.
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
