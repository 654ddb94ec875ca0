//! Numbered versions of the fleet's settings.
//!
//! A version is bound to its id by a hash, so two contents never share one id. Every server that
//! holds a version serves it in chunks, and a server that fetches one believes nothing before
//! the hash of the whole is right. Servers that know the same versions agree on the newest: the
//! one with the greatest id.
mod fetch;
mod id;
mod store;
mod version;

pub use fetch::{CHUNK_BYTES, ChunkRequest, HOLDERLESS_TIMEOUT_MS, VersionMessage};
pub use id::{ContentHash, HASH_BYTES, ParseVersionIdError, VersionId, hash};
pub use store::{
    Fork, MAX_NUMBER_LEAD, MAX_REASON_BYTES, MAX_VERSION_BYTES, MAX_VERSIONS, MessageOutcome,
    PublishError, StoredVersion, VersionStore,
};
pub use version::{PublishedVersion, Version};

#[cfg(test)]
mod tests;
