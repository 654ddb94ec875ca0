//! Encoding and decoding of CGI responses.
//!
//! A response is header lines, an empty line and a body. It is encoded with `Status` and `Content-Length`, and decoded in any
//! form that the CGI standard (RFC 3875, section 6) allows.
use std::fmt::Display;
use std::io::Write;

use crate::{DecodeError, Limits, decimal};

/// Bytes with which [`encode`] begins every response.
pub const START: &[u8] = b"Status: ";
/// Status of a response that has a type but no status (RFC 3875, section 6.3.3).
const DEFAULT_STATUS: u16 = 200;

/// Status and body length from the headers of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status code, 100 to 599.
    pub status: u16,
    /// Length of the body in bytes; if `None`, the body ends with the connection.
    pub content_length: Option<usize>,
}

/// Returns the standard reason phrase of the status codes that this project sends.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Unknown",
    }
}

/// Appends a response to `out`. Names and values of `fields` must not contain line breaks.
pub fn encode(out: &mut Vec<u8>, status: u16, fields: &[(&str, &dyn Display)], body: &[u8]) {
    out.extend_from_slice(START);
    // Writing to a Vec cannot fail.
    let _ = write!(out, "{status} {}\r\n", reason_phrase(status));
    for (name, value) in fields {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    let _ = write!(out, "Content-Length: {}\r\n\r\n", body.len());
    out.extend_from_slice(body);
}

/// Decodes the headers of the response that `bytes` begins with. Returns them with their size in bytes, or `None` if they are
/// incomplete.
///
/// # Errors
/// Fails if the headers violate the protocol, contain neither a status nor a type, or exceed `limits`.
pub fn decode_head(
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<(ResponseHead, usize)>, DecodeError> {
    let mut fields = HeadFields::default();
    let mut used = 0;
    let mut count = 0;
    loop {
        let Some((line, taken)) = split_line(&bytes[used..]) else {
            return if bytes.len() > limits.max_head_bytes {
                Err(DecodeError::TooLarge("headers without end"))
            } else {
                Ok(None)
            };
        };
        used += taken;
        if used > limits.max_head_bytes || count > limits.max_headers {
            return Err(DecodeError::TooLarge("too many headers"));
        }
        if line.is_empty() {
            break;
        }
        count += 1;
        fields.add(line, limits)?;
    }
    Ok(Some((fields.finish()?, used)))
}

/// Decodes the response in `bytes`. Returns its status and body, or `None` if it is incomplete. `ended` states that no more
/// bytes will follow.
///
/// # Errors
/// Fails if the response violates the protocol, exceeds `limits`, or is shorter or longer than its stated length.
pub fn decode<'a>(
    bytes: &'a [u8],
    ended: bool,
    limits: &Limits,
) -> Result<Option<(u16, &'a [u8])>, DecodeError> {
    let Some((head, start)) = decode_head(bytes, limits)? else {
        return if ended {
            Err(DecodeError::Malformed("cut short"))
        } else {
            Ok(None)
        };
    };
    let body = &bytes[start..];
    if body.len() > limits.max_body_bytes {
        return Err(DecodeError::TooLarge("body too long"));
    }
    match head.content_length {
        // Guards against a body longer than its stated length: it is unknown which of the two is correct.
        Some(length) if body.len() > length => {
            Err(DecodeError::Malformed("longer than its length"))
        }
        Some(length) if body.len() == length => Ok(Some((head.status, body))),
        Some(_) if ended => Err(DecodeError::Malformed("cut short")),
        None if ended => Ok(Some((head.status, body))),
        _ => Ok(None),
    }
}

/// Returns the first line without its line break, and its size with the line break; `None` if the line is incomplete.
fn split_line(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let line = &bytes[..end];
    Some((line.strip_suffix(b"\r").unwrap_or(line), end + 1))
}

/// Header fields of a response that are decoded.
#[derive(Default)]
struct HeadFields {
    status: Option<u16>,
    content_length: Option<usize>,
    /// Whether `Content-Type` or `Location` is present, so that a missing status means 200.
    has_type: bool,
}

impl HeadFields {
    fn add(&mut self, line: &[u8], limits: &Limits) -> Result<(), DecodeError> {
        let colon = line
            .iter()
            .position(|byte| *byte == b':')
            .ok_or(DecodeError::Malformed("a field without a colon"))?;
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.is_empty() || !name.iter().all(u8::is_ascii_graphic) {
            return Err(DecodeError::Malformed("a field without a proper name"));
        }
        if name.eq_ignore_ascii_case(b"Status") {
            self.set_status(value)
        } else if name.eq_ignore_ascii_case(b"Content-Length") {
            self.set_content_length(value, limits)
        } else {
            self.has_type |= name.eq_ignore_ascii_case(b"Content-Type")
                || name.eq_ignore_ascii_case(b"Location");
            Ok(())
        }
    }

    /// Parses a status of three digits, optionally followed by a space and a reason phrase.
    fn set_status(&mut self, value: &[u8]) -> Result<(), DecodeError> {
        let code = value
            .get(..3)
            .and_then(decimal::parse)
            .filter(|code| (100..600).contains(code))
            .filter(|_| value.get(3).is_none_or(|next| *next == b' '))
            .ok_or(DecodeError::Malformed("a status that is none"))?;
        match self.status.replace(code as u16) {
            None => Ok(()),
            Some(_) => Err(DecodeError::Malformed("a status twice")),
        }
    }

    fn set_content_length(&mut self, value: &[u8], limits: &Limits) -> Result<(), DecodeError> {
        let length =
            decimal::parse(value).ok_or(DecodeError::Malformed("a length that is none"))?;
        if length > limits.max_body_bytes as u64 {
            return Err(DecodeError::TooLarge("body too long"));
        }
        match self.content_length.replace(length as usize) {
            None => Ok(()),
            Some(_) => Err(DecodeError::Malformed("a length twice")),
        }
    }

    fn finish(self) -> Result<ResponseHead, DecodeError> {
        let status = self
            .status
            .or(self.has_type.then_some(DEFAULT_STATUS))
            .ok_or(DecodeError::Malformed("neither a status nor a type"))?;
        Ok(ResponseHead {
            status,
            content_length: self.content_length,
        })
    }
}
