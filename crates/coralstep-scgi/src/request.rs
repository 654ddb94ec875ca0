//! Encoding and decoding of SCGI requests.
//!
//! A request is a netstring of headers, followed by a body. Each header is a name and a value, both terminated by NUL. The first
//! header is `CONTENT_LENGTH`, the length of the body; the header `SCGI` has the value `1`.
use crate::{DecodeError, EncodeError, Limits, decimal};

/// Header with the length of the body.
const CONTENT_LENGTH: &str = "CONTENT_LENGTH";
/// Header with the protocol version.
const PROTOCOL: Header<'static> = ("SCGI", b"1");
/// Initial capacity for headers; most requests have no more.
const INITIAL_HEADER_CAPACITY: usize = 16;
/// Maximum size of the length prefix and its colon in bytes.
const MAX_PREFIX_BYTES: usize = 24;
/// Maximum size of the first header in bytes, if it is valid: its name, a length, and both terminators.
const MAX_LENGTH_HEADER_BYTES: usize = 40;
/// Bytes reserved for the length prefix, colon and comma of a netstring.
const NETSTRING_OVERHEAD: usize = 8;

/// Name and value of a header.
pub type Header<'a> = (&'a str, &'a [u8]);

/// A request that borrows from the bytes it was decoded from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// All headers in order, including `CONTENT_LENGTH` and `SCGI`.
    pub headers: Vec<Header<'a>>,
    /// Body of the request.
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// Returns the value of the header `name`.
    pub fn get(&self, name: &str) -> Option<&'a [u8]> {
        self.headers
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| *value)
    }

    /// Returns the value of the header `name` if it is UTF-8.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        std::str::from_utf8(self.get(name)?).ok()
    }
}

/// Returns the size in bytes of the request that `bytes` begins with, or `None` until its headers are complete.
///
/// # Errors
/// Fails if the headers violate the protocol or exceed `limits`.
pub fn encoded_len(bytes: &[u8], limits: &Limits) -> Result<Option<usize>, DecodeError> {
    let Some(head) = split_head(bytes, limits)? else {
        return Ok(None);
    };
    let headers = decode_headers(head.content, limits)?;
    let body_len = body_length(&headers, limits)?;
    Ok(Some(head.body_start + body_len))
}

/// Returns the size in bytes that the request at the start of `bytes` states, or `None` until its length prefix and first header
/// are there.
///
/// Where the first header is invalid or exceeds `limits` it is the size of the headers, after which [`encoded_len`] reports the
/// error.
pub fn stated_len(bytes: &[u8], limits: &Limits) -> Option<usize> {
    let prefix = &bytes[..bytes.len().min(MAX_PREFIX_BYTES)];
    let colon = prefix.iter().position(|byte| *byte == b':')?;
    let head_len = decimal::parse(&bytes[..colon])?;
    if head_len > limits.max_head_bytes as u64 {
        return None;
    }
    let head = &bytes[colon + 1..];
    if head.len() < MAX_LENGTH_HEADER_BYTES.min(head_len as usize) {
        return None;
    }
    let body_start = colon + 1 + head_len as usize + 1;
    Some(body_start + stated_body_len(head, limits).unwrap_or(0))
}

/// Returns the length of the body in bytes that the first header in `head` states, if it is complete and valid.
fn stated_body_len(mut head: &[u8], limits: &Limits) -> Option<usize> {
    let name = take_string(&mut head)?;
    let length = decimal::parse(take_string(&mut head)?)?;
    let is_valid = name == CONTENT_LENGTH.as_bytes() && length <= limits.max_body_bytes as u64;
    is_valid.then_some(length as usize)
}

/// Decodes the request that `bytes` begins with. Returns it with its size in bytes, or `None` if it is incomplete.
///
/// Bytes after the request are ignored, since a connection carries one request. Until the headers are complete, a call reads
/// only their length prefix.
///
/// # Errors
/// Fails if the request violates the protocol or exceeds `limits`.
pub fn decode<'a>(
    bytes: &'a [u8],
    limits: &Limits,
) -> Result<Option<(Request<'a>, usize)>, DecodeError> {
    let Some(head) = split_head(bytes, limits)? else {
        return Ok(None);
    };
    let headers = decode_headers(head.content, limits)?;
    let end = head.body_start + body_length(&headers, limits)?;
    let body = bytes.get(head.body_start..end);
    Ok(body.map(|body| (Request { headers, body }, end)))
}

/// Appends a request to `out`: `CONTENT_LENGTH`, `SCGI`, `headers`, then `body`.
///
/// # Errors
/// Fails if a header is duplicate or has an invalid name or value; `out` is then unchanged.
pub fn encode(out: &mut Vec<u8>, headers: &[Header<'_>], body: &[u8]) -> Result<(), EncodeError> {
    let length = body.len().to_string();
    let protocol_headers: [Header<'_>; 2] = [(CONTENT_LENGTH, length.as_bytes()), PROTOCOL];
    for (index, header) in headers.iter().enumerate() {
        let mut earlier = protocol_headers.iter().chain(&headers[..index]);
        check_header(header)?;
        if earlier.any(|(known, _)| *known == header.0) {
            return Err(EncodeError::DuplicateHeader);
        }
    }
    let all_headers = || protocol_headers.iter().chain(headers);
    let head_len: usize = all_headers()
        .map(|(name, value)| name.len() + value.len() + 2)
        .sum();
    out.reserve(head_len + body.len() + NETSTRING_OVERHEAD);
    out.extend_from_slice(head_len.to_string().as_bytes());
    out.push(b':');
    for (name, value) in all_headers() {
        out.extend_from_slice(name.as_bytes());
        out.push(0);
        out.extend_from_slice(value);
        out.push(0);
    }
    out.push(b',');
    out.extend_from_slice(body);
    Ok(())
}

fn check_header((name, value): &Header<'_>) -> Result<(), EncodeError> {
    if !is_header_name(name.as_bytes()) {
        return Err(EncodeError::HeaderName);
    }
    if value.contains(&0) {
        return Err(EncodeError::HeaderValue);
    }
    Ok(())
}

fn is_header_name(name: &[u8]) -> bool {
    !name.is_empty() && name.iter().all(u8::is_ascii_graphic)
}

/// The headers of a request, not yet decoded.
struct Head<'a> {
    /// Content of the netstring.
    content: &'a [u8],
    /// Index of the first byte of the body.
    body_start: usize,
}

/// Splits off the netstring of headers at the start of `bytes`, or returns `None` if it is incomplete.
fn split_head<'a>(bytes: &'a [u8], limits: &Limits) -> Result<Option<Head<'a>>, DecodeError> {
    // One digit more than the limit has; a number with that many digits exceeds it.
    let max_digits = limits.max_head_bytes.checked_ilog10().unwrap_or(0) as usize + 2;
    let prefix = &bytes[..bytes.len().min(max_digits)];
    let Some(colon) = prefix.iter().position(|byte| *byte == b':') else {
        return match prefix.iter().all(u8::is_ascii_digit) {
            true if bytes.len() < max_digits => Ok(None),
            true => Err(DecodeError::TooLarge("headers too long")),
            false => Err(DecodeError::Malformed("no netstring")),
        };
    };
    let length = decimal::parse(&bytes[..colon])
        .ok_or(DecodeError::Malformed("no length of the headers"))? as usize;
    if length > limits.max_head_bytes {
        return Err(DecodeError::TooLarge("headers too long"));
    }
    let start = colon + 1;
    let end = start + length;
    match bytes.get(end) {
        None => Ok(None),
        Some(b',') => Ok(Some(Head {
            content: &bytes[start..end],
            body_start: end + 1,
        })),
        Some(_) => Err(DecodeError::Malformed("no comma behind the headers")),
    }
}

/// Decodes the headers in `content`, and rejects duplicates.
fn decode_headers<'a>(
    mut content: &'a [u8],
    limits: &Limits,
) -> Result<Vec<Header<'a>>, DecodeError> {
    let mut headers: Vec<Header<'a>> = Vec::with_capacity(INITIAL_HEADER_CAPACITY);
    while let Some(name) = take_string(&mut content) {
        let value =
            take_string(&mut content).ok_or(DecodeError::Malformed("a header without a value"))?;
        let name = std::str::from_utf8(name)
            .ok()
            .filter(|name| is_header_name(name.as_bytes()))
            .ok_or(DecodeError::Malformed("a header without a proper name"))?;
        if headers.len() == limits.max_headers {
            return Err(DecodeError::TooLarge("too many headers"));
        }
        // Guards against two readers of one request that each use a different value.
        if headers.iter().any(|(known, _)| *known == name) {
            return Err(DecodeError::Malformed("a header twice"));
        }
        headers.push((name, value));
    }
    if content.is_empty() {
        Ok(headers)
    } else {
        Err(DecodeError::Malformed("a header without an end"))
    }
}

/// Removes the bytes up to the next NUL, and the NUL, from `content`.
fn take_string<'a>(content: &mut &'a [u8]) -> Option<&'a [u8]> {
    let end = content.iter().position(|byte| *byte == 0)?;
    let string = &content[..end];
    *content = &content[end + 1..];
    Some(string)
}

/// Returns the length of the body in bytes, from the first header.
fn body_length(headers: &[Header<'_>], limits: &Limits) -> Result<usize, DecodeError> {
    let Some((CONTENT_LENGTH, length)) = headers.first() else {
        return Err(DecodeError::Malformed(
            "CONTENT_LENGTH is not the first header",
        ));
    };
    let length =
        decimal::parse(length).ok_or(DecodeError::Malformed("CONTENT_LENGTH is no length"))?;
    if !headers.contains(&PROTOCOL) {
        return Err(DecodeError::Malformed("SCGI is not 1"));
    }
    if length > limits.max_body_bytes as u64 {
        return Err(DecodeError::TooLarge("body too long"));
    }
    Ok(length as usize)
}
