//! The line protocol of engine and store: words on a line ended by CR LF, some lines with a body behind them. Does no I/O.
use std::fmt;
use std::io::Write;
use std::str;

/// The longest line that is read, in bytes with its end.
pub const MAX_LINE_BYTES: usize = 1024;
/// The longest body that is read, in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024;

const LINE_END: &[u8] = b"\r\n";

/// The bytes are no message, and where the next one would begin is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("corrupt line")]
pub struct CorruptLine;

/// A message that borrows from the bytes it was decoded from.
#[derive(Debug, PartialEq, Eq)]
pub struct LineMessage<'a> {
    /// The words of its line, the length of the body among them.
    pub words: Vec<&'a str>,
    /// Its body; empty where it has none.
    pub body: &'a [u8],
    /// Its size in bytes, with the empty lines before it.
    pub encoded_len: usize,
}

/// A line without its end.
struct Line<'a> {
    text: &'a str,
    encoded_len: usize,
}

/// The first line of `bytes`, or `None` while more must be read.
fn decode_line(bytes: &[u8]) -> Result<Option<Line<'_>>, CorruptLine> {
    let end = bytes
        .iter()
        .take(MAX_LINE_BYTES)
        .position(|byte| *byte == b'\n');
    let Some(end) = end else {
        return if bytes.len() >= MAX_LINE_BYTES {
            Err(CorruptLine)
        } else {
            Ok(None)
        };
    };
    let line = bytes[..end].strip_suffix(b"\r").ok_or(CorruptLine)?;
    Ok(Some(Line {
        text: str::from_utf8(line).map_err(|_| CorruptLine)?,
        encoded_len: end + 1,
    }))
}

/// The first message of `bytes`, or `None` while more must be read. Empty lines before it are skipped.
///
/// `has_body` says by its words whether a message has a body, whose length is then the last word.
///
/// # Errors
/// A line that is too long, not ended by CR LF or no UTF-8, or a body of another length than stated.
pub fn decode(
    bytes: &[u8],
    has_body: impl Fn(&[&str]) -> bool,
) -> Result<Option<LineMessage<'_>>, CorruptLine> {
    let mut start = 0;
    loop {
        let Some(line) = decode_line(&bytes[start..])? else {
            return Ok(None);
        };
        start += line.encoded_len;
        if line.text.is_empty() {
            continue;
        }
        let words: Vec<&str> = line.text.split(' ').collect();
        if !has_body(&words) {
            return Ok(Some(LineMessage {
                words,
                body: &[],
                encoded_len: start,
            }));
        }
        let end = start + body_length(&words)? + LINE_END.len();
        let Some(body) = bytes.get(start..end) else {
            return Ok(None);
        };
        let body = body.strip_suffix(LINE_END).ok_or(CorruptLine)?;
        return Ok(Some(LineMessage {
            words,
            body,
            encoded_len: end,
        }));
    }
}

/// The length of a body in bytes, which is the last word.
fn body_length(words: &[&str]) -> Result<usize, CorruptLine> {
    words
        .last()
        .and_then(|word| word.parse().ok())
        .filter(|length| *length <= MAX_BODY_BYTES)
        .ok_or(CorruptLine)
}

/// Appends a line to `out`, and a body where there is one.
pub fn encode(out: &mut Vec<u8>, line: fmt::Arguments<'_>, body: Option<&[u8]>) {
    // Writing to a Vec can't fail.
    let _ = match body {
        Some(body) => write!(out, "{line} {}\r\n", body.len()),
        None => write!(out, "{line}\r\n"),
    };
    if let Some(body) = body {
        out.extend_from_slice(body);
        out.extend_from_slice(LINE_END);
    }
}

#[cfg(test)]
mod tests;
