//! Codec of the line protocol that engine and store speak. Performs no I/O.
//!
//! A message is a line of space-separated words ending with CR LF, followed by a body for some messages.
use std::fmt;
use std::io::Write;
use std::str;

/// Maximum length of a line in bytes, including CR LF.
pub const MAX_LINE_BYTES: usize = 1024;
/// Maximum length of a body in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024;

const LINE_END: &[u8] = b"\r\n";

/// Error of decoding bytes that are not a message. The start of the next message is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("corrupt line")]
pub struct CorruptLine;

/// A decoded message, borrowed from the input.
#[derive(Debug, PartialEq, Eq)]
pub struct LineMessage<'a> {
    /// Words of the line, including the body's length.
    pub words: Vec<&'a str>,
    /// The body; empty if the message has none.
    pub body: &'a [u8],
    /// Encoded size in bytes, including empty lines before the message.
    pub encoded_len: usize,
}

/// A line without CR LF.
struct Line<'a> {
    text: &'a str,
    encoded_len: usize,
}

/// Decodes the first line of `bytes`; returns `None` if it is incomplete.
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

/// Decodes the first message of `bytes`, skipping empty lines; returns `None` if it is incomplete.
///
/// `has_body` returns whether a message with the given words has a body. Its length is then the last word.
///
/// # Errors
/// Fails if a line is too long, doesn't end with CR LF or isn't UTF-8, or if a body doesn't have the stated length.
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

/// Parses the body's length in bytes from the last word.
fn body_length(words: &[&str]) -> Result<usize, CorruptLine> {
    words
        .last()
        .and_then(|word| word.parse().ok())
        .filter(|length| *length <= MAX_BODY_BYTES)
        .ok_or(CorruptLine)
}

/// Appends `line` to `out`, followed by the body's length and the body, if there is one.
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
