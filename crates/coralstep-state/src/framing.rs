//! Framing of files and records. Each file begins with a magic number, its kind and its format
//! version. Each record begins with a marker, its length and a checksum; bytes with a wrong checksum
//! are not part of any record.

/// First bytes of every file.
pub const MAGIC: &[u8; 8] = b"CORALST\n";
/// Length of a file's header: magic, kind and version, in bytes.
pub const HEADER_BYTES: usize = 11;
/// Maximum length of a record's payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 20;

/// Precedes each record, so that reading can resume after a record with a corrupt length.
const RECORD_MARKER: [u8; 2] = [0xc5, 0x7e];
const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const RECORD_OVERHEAD_BYTES: usize = RECORD_MARKER.len() + LENGTH_BYTES + CHECKSUM_BYTES;

/// Kind of a file; the discriminant is its byte in the header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// A snapshot of the scheduler's learned state.
    Learned = 1,
    /// A segment of the write-ahead log of idempotency keys.
    IdempotencyKeys = 2,
    /// The record of active and past configuration versions.
    Fleet = 3,
}

/// A record at the start of some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FramedRecord<'a> {
    /// Contents of the record.
    pub payload: &'a [u8],
    /// Length of the record including its frame, in bytes.
    pub framed_bytes: usize,
}

/// All intact records of some bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScannedRecords<'a> {
    /// Payloads in their order in the file.
    pub payloads: Vec<&'a [u8]>,
    /// Number of bytes that belong to no intact record.
    pub corrupt_bytes: usize,
}

/// Returns the header of a file of this kind and format version.
pub fn file_header(kind: FileKind, version: u16) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.push(kind as u8);
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes
}

/// Returns the format version of a file of this kind, or `None` if the file has no header of this
/// kind.
pub fn read_version(file: &[u8], kind: FileKind) -> Option<u16> {
    let rest = file.strip_prefix(MAGIC)?;
    let (actual_kind, rest) = rest.split_first()?;
    if *actual_kind != kind as u8 {
        return None;
    }
    Some(u16::from_le_bytes(*rest.first_chunk()?))
}

/// Appends a record: marker, length, checksum of length and payload, payload.
pub fn append_record(out: &mut Vec<u8>, payload: &[u8]) {
    let length = (payload.len() as u32).to_le_bytes();
    out.extend_from_slice(&RECORD_MARKER);
    out.extend_from_slice(&length);
    out.extend_from_slice(&checksum(length, payload).to_le_bytes());
    out.extend_from_slice(payload);
}

/// Returns the record at the start of `bytes`, or `None` if there is no intact one.
pub fn first_record(bytes: &[u8]) -> Option<FramedRecord<'_>> {
    let rest = bytes.strip_prefix(&RECORD_MARKER)?;
    let (length, rest) = rest.split_first_chunk::<LENGTH_BYTES>()?;
    let (expected_checksum, rest) = rest.split_first_chunk::<CHECKSUM_BYTES>()?;
    let payload_bytes = u32::from_le_bytes(*length) as usize;
    if payload_bytes > MAX_PAYLOAD_BYTES {
        return None;
    }
    let payload = rest.get(..payload_bytes)?;
    if checksum(*length, payload) != u32::from_le_bytes(*expected_checksum) {
        return None;
    }
    Some(FramedRecord {
        payload,
        framed_bytes: RECORD_OVERHEAD_BYTES + payload_bytes,
    })
}

/// Finds all intact records, also those after a corrupt record.
pub fn scan_records(mut bytes: &[u8]) -> ScannedRecords<'_> {
    let mut scanned = ScannedRecords::default();
    while !bytes.is_empty() {
        let consumed = match first_record(bytes) {
            Some(record) => {
                scanned.payloads.push(record.payload);
                record.framed_bytes
            }
            None => {
                let skipped = next_marker(bytes).unwrap_or(bytes.len());
                scanned.corrupt_bytes += skipped;
                skipped
            }
        };
        bytes = &bytes[consumed..];
    }
    scanned
}

/// Returns the position of the next marker after the first byte.
fn next_marker(bytes: &[u8]) -> Option<usize> {
    let position = bytes
        .get(1..)?
        .windows(RECORD_MARKER.len())
        .position(|window| window == RECORD_MARKER)?;
    Some(position + 1)
}

fn checksum(length: [u8; LENGTH_BYTES], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(payload);
    hasher.finalize()
}

#[cfg(test)]
mod tests;
