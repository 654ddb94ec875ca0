//! The identity of a settings version.
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Size of a truncated SHA-256 digest, in bytes.
pub const HASH_BYTES: usize = 12;

/// A truncated SHA-256 digest.
pub type ContentHash = [u8; HASH_BYTES];

/// Identity of a version: its number and the hash of its encoded form.
///
/// Ids are ordered by number, then by hash, so servers that know the same versions agree on the
/// newest. The default id denotes the settings of the site file without any published version.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct VersionId {
    /// Version number: one more than that of the version it replaces.
    pub number: u64,
    /// Hash of the encoded version, which ties the id to the content.
    pub hash: ContentHash,
}

/// Error for a text that is not a valid [`VersionId`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is no version")]
pub struct ParseVersionIdError {
    /// The invalid text.
    pub text: String,
}

impl fmt::Display for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number)?;
        if self.number > 0 {
            write!(f, "-")?;
            for byte in self.hash {
                write!(f, "{byte:02x}")?;
            }
        }
        Ok(())
    }
}

impl FromStr for VersionId {
    type Err = ParseVersionIdError;

    /// Parses a number, optionally followed by `-` and the full hash in hexadecimal.
    fn from_str(text: &str) -> Result<VersionId, ParseVersionIdError> {
        parse(text).ok_or_else(|| ParseVersionIdError {
            text: text.to_owned(),
        })
    }
}

fn parse(text: &str) -> Option<VersionId> {
    let (number, digits) = text.split_once('-').unwrap_or((text, ""));
    let mut id = VersionId {
        number: number.parse().ok()?,
        ..VersionId::default()
    };
    if digits.is_empty() {
        return Some(id);
    }
    if digits.len() != 2 * HASH_BYTES {
        return None;
    }
    for (index, byte) in id.hash.iter_mut().enumerate() {
        let pair = digits.get(index * 2..index * 2 + 2)?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(id)
}

/// Returns the first [`HASH_BYTES`] bytes of the SHA-256 digest of `bytes`.
pub fn hash(bytes: &[u8]) -> ContentHash {
    let digest = Sha256::digest(bytes);
    std::array::from_fn(|index| digest[index])
}
