//! Settings versions and the assignment of servers to rollout stages.
use serde::{Deserialize, Serialize};

use crate::UnixMillis;
use crate::membership::MAX_NAME_BYTES;
use crate::versions::id::{VersionId, hash};

/// Maximum number of rollout stages of a version.
const MAX_STAGES: usize = 16;

/// A set of settings published by an operator. Its encoded form never changes, because the hash of
/// the encoded form is part of its id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Version number: one more than that of the version it replaces.
    pub number: u64,
    /// The newest version known to the publisher at the time of publication.
    pub replaces: VersionId,
    /// Whether a server that rejects the version excludes itself.
    pub mandatory: bool,
    /// Name of the server that published it.
    pub publisher: String,
    /// Time of publication on the publisher's hybrid clock, in Unix milliseconds.
    pub published_at_ms: UnixMillis,
    /// Cumulative fractions of the fleet, from 0 to 1, that activate the version in each stage. If
    /// empty, all servers activate it immediately.
    pub stages: Vec<f32>,
    /// Pause between two stages, in milliseconds.
    pub stage_pause_ms: u64,
    /// JSON of the sections of the site file that the version sets.
    pub content: String,
}

/// A version and its id.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedVersion {
    /// The id of the version.
    pub id: VersionId,
    /// The version itself.
    pub version: Version,
}

impl Version {
    /// Returns the encoded form, whose hash is part of the id.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a version and computes its id. Returns `None` if the bytes are corrupt.
    pub fn decode(encoded: &[u8]) -> Option<PublishedVersion> {
        let number = postcard::from_bytes::<Version>(encoded).ok()?.number;
        let id = VersionId {
            number,
            hash: hash(encoded),
        };
        let version = Version::decode_as(id, encoded)?;
        Some(PublishedVersion { id, version })
    }

    /// Decodes a version. Returns `None` if it is corrupt or does not have the id `id`.
    pub(super) fn decode_as(id: VersionId, encoded: &[u8]) -> Option<Version> {
        let version: Version = postcard::from_bytes(encoded).ok()?;
        let is_valid = hash(encoded) == id.hash
            && version.number == id.number
            && version.replaces < id
            && version.has_valid_stages()
            && version.publisher.len() <= MAX_NAME_BYTES;
        is_valid.then_some(version)
    }

    fn has_valid_stages(&self) -> bool {
        self.stages.len() <= MAX_STAGES
            && self
                .stages
                .iter()
                .all(|fraction| (0.0..=1.0).contains(fraction))
    }

    /// Returns the time between the version's arrival and its activation by `server`, in
    /// milliseconds, or `None` if the server is in no stage.
    pub fn stage_delay_ms(&self, server: &str) -> Option<u64> {
        let stage = self.stage(server)?;
        Some(self.stage_pause_ms.saturating_mul(stage as u64))
    }

    /// Returns the stage of `server`, counted from 0, or `None` if the server is in no stage.
    ///
    /// The assignment of servers to stages differs between versions.
    pub fn stage(&self, server: &str) -> Option<usize> {
        if self.stages.is_empty() {
            return Some(0);
        }
        let digest = hash(format!("{server} {}", self.published_at_ms).as_bytes());
        let random_value = u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]]);
        let position = f64::from(random_value) / f64::from(u32::MAX);
        self.stages
            .iter()
            .position(|fraction| position <= f64::from(*fraction))
    }
}
