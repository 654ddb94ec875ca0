//! Numbered versions of the fleet's settings.
//!
//! The id of a version contains the hash of its content, so two contents never share an id. Every
//! server that holds a version, that is, stores its content, sends chunks of it on request. A server
//! that fetches a version uses it only after the hash of the complete content has been verified.
//! The newest version is the one with the greatest id, so servers that know the same versions agree
//! on it.
mod fetch;
mod id;
mod store;
mod version;

pub use fetch::{CHUNK_BYTES, ChunkRequest, NO_HOLDER_TIMEOUT_MS, VersionMessage};
pub use id::{ContentHash, HASH_BYTES, ParseVersionIdError, VersionId, hash};
pub use store::{
    Fork, MAX_NUMBER_LEAD, MAX_REASON_BYTES, MAX_VERSION_BYTES, MAX_VERSIONS, MessageOutcome,
    PublishError, StoredVersion, VersionStore,
};
pub use version::{PublishedVersion, Version};

#[cfg(test)]
mod tests;
