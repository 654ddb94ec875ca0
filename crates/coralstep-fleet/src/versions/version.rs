//! A settings version and the rollout stages that servers belong to.
use serde::{Deserialize, Serialize};

use crate::UnixMillis;
use crate::membership::MAX_NAME_BYTES;
use crate::versions::id::{VersionId, hash};

/// Rollout stages of one version at the most.
const MAX_STAGES: usize = 16;

/// A complete set of settings, as an operator published it. Its encoded form never changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Position in the history: one more than the version that it replaces.
    pub number: u64,
    /// The version that was the newest where this one was published.
    pub replaces: VersionId,
    /// Whether a server that rejects it excludes itself.
    pub mandatory: bool,
    /// Name of the server that published it.
    pub publisher: String,
    /// Time of publication by the publisher's hybrid clock, in Unix milliseconds.
    pub published_at_ms: UnixMillis,
    /// Cumulative fractions of the fleet, 0 to 1, that activate it stage by stage. Without any
    /// all servers activate it at once.
    pub stages: Vec<f32>,
    /// Pause between two stages, in milliseconds.
    pub stage_pause_ms: u64,
    /// JSON of the sections of the site file that it sets.
    pub content: String,
}

/// A version together with its id.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedVersion {
    /// The id that the content is bound to.
    pub id: VersionId,
    /// The version itself.
    pub version: Version,
}

impl Version {
    /// Returns the encoded form, whose hash is part of the id.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads an encoded version and derives its id; none where the bytes are corrupt.
    pub fn decode(encoded: &[u8]) -> Option<PublishedVersion> {
        let number = postcard::from_bytes::<Version>(encoded).ok()?.number;
        let id = VersionId {
            number,
            hash: hash(encoded),
        };
        let version = Version::decode_as(id, encoded)?;
        Some(PublishedVersion { id, version })
    }

    /// Reads an encoded version; none where it is corrupt or not the version `id`.
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

    /// Returns how long after the version's arrival `server` may activate it, in milliseconds;
    /// none where the server is in no stage.
    pub fn stage_delay_ms(&self, server: &str) -> Option<u64> {
        let stage = self.stage(server)?;
        Some(self.stage_pause_ms.saturating_mul(stage as u64))
    }

    /// Returns the stage of `server`, counted from 0; none where the server is in no stage.
    ///
    /// Which servers come first changes with each version.
    pub fn stage(&self, server: &str) -> Option<usize> {
        if self.stages.is_empty() {
            return Some(0);
        }
        let digest = hash(format!("{server} {}", self.published_at_ms).as_bytes());
        let draw = u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]]);
        let position = f64::from(draw) / f64::from(u32::MAX);
        self.stages
            .iter()
            .position(|until| position <= f64::from(*until))
    }
}
