//! Lines of words ending in CR LF, some with a body behind them: what engine and store speak. Pure.
use std::fmt::{self, Display};
use std::str;

/// The longest line and the longest body that are read.
pub const LINE_MOST: usize = 1024;
pub const BODY_MOST: usize = 8 * 1024;

/// These bytes are no message; what follows them can't be told apart.
#[derive(Debug, PartialEq, Eq)]
pub struct Garbled;

/// An RPC's id on every socket: 16 hex digits, given back as they came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ref([u8; 16]);

impl Ref {
    /// The id of a number.
    pub fn of(number: u64) -> Ref {
        let mut digits = [0; 16];
        for (at, digit) in digits.iter_mut().enumerate() {
            *digit = b"0123456789abcdef"[(number >> (60 - 4 * at)) as usize & 15];
        }
        Ref(digits)
    }

    pub fn parse(text: &str) -> Option<Ref> {
        let digits = text.as_bytes().try_into().ok()?;
        text.bytes()
            .all(|byte| byte.is_ascii_hexdigit())
            .then_some(Ref(digits))
    }
}

impl Display for Ref {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(str::from_utf8(&self.0).unwrap_or("?"))
    }
}

/// The first line of `bytes` and what it takes with its end; `None` while more must be read.
fn line(bytes: &[u8]) -> Result<Option<(&str, usize)>, Garbled> {
    match bytes.iter().take(LINE_MOST).position(|byte| *byte == b'\n') {
        Some(end) => {
            let line = bytes[..end].strip_suffix(b"\r").ok_or(Garbled)?;
            Ok(Some((str::from_utf8(line).map_err(|_| Garbled)?, end + 1)))
        }
        None if bytes.len() >= LINE_MOST => Err(Garbled),
        None => Ok(None),
    }
}

/// The words of the first message, its body where `has_body` says that the last word is a length, and what both
/// take. Empty lines are passed over.
#[allow(clippy::type_complexity)]
pub fn message(
    bytes: &[u8],
    has_body: impl Fn(&[&str]) -> bool,
) -> Result<Option<(Vec<&str>, &[u8], usize)>, Garbled> {
    let mut start = 0;
    loop {
        let Some((text, used)) = line(&bytes[start..])? else {
            return Ok(None);
        };
        start += used;
        if text.is_empty() {
            continue;
        }
        let words: Vec<&str> = text.split(' ').collect();
        if !has_body(&words) {
            return Ok(Some((words, &[], start)));
        }
        let length: usize = words
            .last()
            .and_then(|word| word.parse().ok())
            .ok_or(Garbled)?;
        if length > BODY_MOST {
            return Err(Garbled);
        }
        let Some(body) = bytes.get(start..start + length + 2) else {
            return Ok(None);
        };
        let body = body.strip_suffix(b"\r\n").ok_or(Garbled)?;
        return Ok(Some((words, body, start + length + 2)));
    }
}

/// Writes a line, and a body where there is one.
pub fn put(out: &mut Vec<u8>, line: fmt::Arguments<'_>, body: Option<&[u8]>) {
    use std::io::Write;
    // Writing to a Vec can't fail.
    let _ = match body {
        Some(body) => write!(out, "{line} {}\r\n", body.len()),
        None => write!(out, "{line}\r\n"),
    };
    if let Some(body) = body {
        out.extend_from_slice(body);
        out.extend_from_slice(b"\r\n");
    }
}

#[cfg(test)]
mod tests;
