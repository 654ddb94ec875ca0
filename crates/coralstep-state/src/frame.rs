//! What every file begins with and every record is wrapped in: magic, version, length and checksum. Bytes that don't add up are nobody's.

pub const MAGIC: &[u8; 8] = b"CORALST\n";
/// Before each record: guards against a length that is wrong, which would make all behind it unreadable.
const RECORD: [u8; 2] = [0xc5, 0x7e];
/// The longest payload.
pub const MOST: usize = 1 << 20;

/// What kind of file it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Learned = 1,
    Tokens = 2,
    Fleet = 3,
}

/// Magic, kind, version: eleven bytes.
pub const HEAD: usize = 11;

pub fn head(kind: Kind, version: u16) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.push(kind as u8);
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes
}

/// The version of a file of this kind; none where it is no such file.
pub fn version(bytes: &[u8], kind: Kind) -> Option<u16> {
    let rest = bytes.strip_prefix(MAGIC)?;
    (rest.first() == Some(&(kind as u8))).then_some(())?;
    Some(u16::from_le_bytes(rest.get(1..3)?.try_into().ok()?))
}

/// Adds a record: mark, length, checksum of length and payload, payload.
pub fn put(out: &mut Vec<u8>, payload: &[u8]) {
    let length = (payload.len() as u32).to_le_bytes();
    let mut sum = crc32fast::Hasher::new();
    sum.update(&length);
    sum.update(payload);
    out.extend_from_slice(&RECORD);
    out.extend_from_slice(&length);
    out.extend_from_slice(&sum.finalize().to_le_bytes());
    out.extend_from_slice(payload);
}

/// The record at the start of `bytes` and what it takes; none where there is no whole one.
pub fn take(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let rest = bytes.strip_prefix(&RECORD)?;
    let length = rest.get(..4)?;
    let count = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let stated = u32::from_le_bytes(rest.get(4..8)?.try_into().ok()?);
    let payload = rest.get(8..8usize.checked_add(count).filter(|_| count <= MOST)?)?;
    let mut sum = crc32fast::Hasher::new();
    sum.update(length);
    sum.update(payload);
    (sum.finalize() == stated).then_some((payload, 10 + count))
}

/// All whole records, and how many bytes belong to none. What is spoilt in the middle costs what is spoilt, not all behind it.
pub fn records(mut bytes: &[u8]) -> (Vec<&[u8]>, usize) {
    let (mut all, mut lost) = (Vec::new(), 0);
    while !bytes.is_empty() {
        match take(bytes) {
            Some((payload, used)) => {
                all.push(payload);
                bytes = &bytes[used..];
            }
            None => {
                let next = bytes
                    .get(1..)
                    .and_then(|rest| rest.windows(2).position(|two| two == RECORD));
                let skipped = next.map_or(bytes.len(), |at| at + 1);
                lost += skipped;
                bytes = &bytes[skipped..];
            }
        }
    }
    (all, lost)
}

#[cfg(test)]
mod tests;
