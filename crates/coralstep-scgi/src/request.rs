//! A request: a netstring of headers, each a name and a value ended by NUL, and a body as long as CONTENT_LENGTH, the
//! first of them, says. `SCGI` is `1`.
use crate::{Bounds, Fault, whole};

/// A header's name and value.
pub type Header<'a> = (&'a str, &'a [u8]);

/// A request, where it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// All headers as they came, CONTENT_LENGTH and SCGI among them.
    pub headers: Vec<Header<'a>>,
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    pub fn get(&self, name: &str) -> Option<&'a [u8]> {
        self.headers
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| *value)
    }

    /// The value of `name` where it is text.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        std::str::from_utf8(self.get(name)?).ok()
    }
}

/// The headers' bytes at the start of `bytes`, and what the netstring takes; `None` while more must be read.
fn netstring<'a>(bytes: &'a [u8], bounds: &Bounds) -> Result<Option<(&'a [u8], usize)>, Fault> {
    // One digit more than the bound has: whatever comes after that is larger.
    let most = bounds.head.checked_ilog10().unwrap_or(0) as usize + 2;
    let Some(colon) = bytes.iter().take(most).position(|byte| *byte == b':') else {
        return match bytes.iter().take(most).all(u8::is_ascii_digit) {
            true if bytes.len() < most => Ok(None),
            true => Err(Fault::TooLarge("headers too long")),
            false => Err(Fault::Malformed("no netstring")),
        };
    };
    let length =
        whole(&bytes[..colon]).ok_or(Fault::Malformed("no length of the headers"))? as usize;
    if length > bounds.head {
        return Err(Fault::TooLarge("headers too long"));
    }
    let start = colon + 1;
    match bytes.get(start + length) {
        None => Ok(None),
        Some(b',') => Ok(Some((&bytes[start..start + length], start + length + 1))),
        Some(_) => Err(Fault::Malformed("no comma behind the headers")),
    }
}

/// The headers in `bytes` and the length of the body.
fn headers<'a>(mut bytes: &'a [u8], bounds: &Bounds) -> Result<(Vec<Header<'a>>, usize), Fault> {
    let mut headers: Vec<Header<'a>> = Vec::with_capacity(16);
    let mut next = || {
        let end = bytes.iter().position(|byte| *byte == 0)?;
        let (word, rest) = (&bytes[..end], &bytes[end + 1..]);
        bytes = rest;
        Some(word)
    };
    while let Some(name) = next() {
        let value = next().ok_or(Fault::Malformed("a header without a value"))?;
        let known = |byte: &u8| byte.is_ascii_graphic();
        let name = std::str::from_utf8(name)
            .ok()
            .filter(|name| !name.is_empty() && name.bytes().all(|byte| known(&byte)));
        let name = name.ok_or(Fault::Malformed("a header without a proper name"))?;
        if headers.len() == bounds.headers {
            return Err(Fault::TooLarge("too many headers"));
        }
        // Guards against two readers of one request that each believe another value.
        if headers.iter().any(|(known, _)| *known == name) {
            return Err(Fault::Malformed("a header twice"));
        }
        headers.push((name, value));
    }
    if !bytes.is_empty() {
        return Err(Fault::Malformed("a header without an end"));
    }
    let Some(("CONTENT_LENGTH", length)) = headers.first() else {
        return Err(Fault::Malformed("CONTENT_LENGTH is not the first header"));
    };
    let length = whole(length).ok_or(Fault::Malformed("CONTENT_LENGTH is no length"))?;
    if !headers.contains(&("SCGI", b"1")) {
        return Err(Fault::Malformed("SCGI is not 1"));
    }
    if length > bounds.body as u64 {
        return Err(Fault::TooLarge("body too long"));
    }
    Ok((headers, length as usize))
}

/// How many bytes the request at the start of `bytes` takes in all; `None` until its headers are whole.
pub fn need(bytes: &[u8], bounds: &Bounds) -> Result<Option<usize>, Fault> {
    let Some((head, start)) = netstring(bytes, bounds)? else {
        return Ok(None);
    };
    headers(head, bounds).map(|(_, length)| Some(start + length))
}

/// The request at the start of `bytes` and what it takes; `None` while more must be read. Until the headers are whole a
/// look costs no more than the digits of their length. What follows a request is nobody's: one comes on a connection.
pub fn read<'a>(bytes: &'a [u8], bounds: &Bounds) -> Result<Option<(Request<'a>, usize)>, Fault> {
    let Some((head, start)) = netstring(bytes, bounds)? else {
        return Ok(None);
    };
    let (headers, length) = headers(head, bounds)?;
    let body = bytes.get(start..start + length);
    Ok(body.map(|body| (Request { headers, body }, start + length)))
}

/// Why a request can't be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unwritable;

/// Writes a request at the end of `out`: CONTENT_LENGTH, SCGI, then `headers`, none of which may be one of these two, come
/// twice, or hold a NUL.
pub fn put(out: &mut Vec<u8>, headers: &[Header<'_>], body: &[u8]) -> Result<(), Unwritable> {
    let length = body.len().to_string();
    let first: [Header<'_>; 2] = [("CONTENT_LENGTH", length.as_bytes()), ("SCGI", b"1")];
    for (at, (name, value)) in headers.iter().enumerate() {
        let before = first.iter().chain(&headers[..at]);
        let named = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic());
        if !named || value.contains(&0) || before.into_iter().any(|(known, _)| known == name) {
            return Err(Unwritable);
        }
    }
    let all = || first.iter().chain(headers);
    let size: usize = all()
        .map(|(name, value)| name.len() + value.len() + 2)
        .sum();
    out.reserve(size + body.len() + 8);
    out.extend_from_slice(size.to_string().as_bytes());
    out.push(b':');
    for (name, value) in all() {
        out.extend_from_slice(name.as_bytes());
        out.push(0);
        out.extend_from_slice(value);
        out.push(0);
    }
    out.push(b',');
    out.extend_from_slice(body);
    Ok(())
}
