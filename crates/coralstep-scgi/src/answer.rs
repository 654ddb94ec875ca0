//! An answer in CGI form: fields in lines, an empty line, a body. Written with `Status` and `Content-Length`; read from
//! applications that write it in any way the CGI standard allows.
use std::fmt::Display;
use std::io::Write;

use crate::{Bounds, Fault, whole};

/// What is known of an answer before its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    /// Of the body; without it the body ends with the connection.
    pub length: Option<usize>,
}

/// The usual words for the statuses that are answered here.
pub fn reason(status: u16) -> &'static str {
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

/// Writes an answer at the end of `out`; `fields` hold no line ends.
pub fn put(out: &mut Vec<u8>, status: u16, fields: &[(&str, &dyn Display)], body: &[u8]) {
    // Writing to a Vec can't fail.
    let _ = write!(out, "Status: {status} {}\r\n", reason(status));
    for (name, value) in fields {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    let _ = write!(out, "Content-Length: {}\r\n\r\n", body.len());
    out.extend_from_slice(body);
}

/// A field's line without its end, and what it takes.
fn line(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let line = &bytes[..end];
    Some((line.strip_suffix(b"\r").unwrap_or(line), end + 1))
}

/// The head of the answer at the start of `bytes` and what it takes; `None` while more must be read. A status may be left out
/// where the answer says what its body is, and is then 200; an answer that says neither is none.
pub fn head(bytes: &[u8], bounds: &Bounds) -> Result<Option<(Head, usize)>, Fault> {
    let (mut status, mut length, mut typed, mut used, mut count) = (None, None, false, 0, 0);
    loop {
        let Some((field, taken)) = line(&bytes[used..]) else {
            return if bytes.len() > bounds.head {
                Err(Fault::TooLarge("headers without end"))
            } else {
                Ok(None)
            };
        };
        used += taken;
        if used > bounds.head || count > bounds.headers {
            return Err(Fault::TooLarge("too many headers"));
        }
        if field.is_empty() {
            break;
        }
        count += 1;
        let colon = field
            .iter()
            .position(|byte| *byte == b':')
            .ok_or(Fault::Malformed("a field without a colon"))?;
        let (name, value) = (&field[..colon], field[colon + 1..].trim_ascii());
        if name.is_empty() || !name.iter().all(u8::is_ascii_graphic) {
            return Err(Fault::Malformed("a field without a proper name"));
        }
        if name.eq_ignore_ascii_case(b"Status") {
            let code = value
                .get(..3)
                .and_then(whole)
                .filter(|code| (100..600).contains(code));
            let rest = value.get(3).is_none_or(|next| *next == b' ');
            let code = code
                .filter(|_| rest)
                .ok_or(Fault::Malformed("a status that is none"))?;
            if status.replace(code as u16).is_some() {
                return Err(Fault::Malformed("a status twice"));
            }
        } else if name.eq_ignore_ascii_case(b"Content-Length") {
            let stated = whole(value).ok_or(Fault::Malformed("a length that is none"))?;
            if stated > bounds.body as u64 {
                return Err(Fault::TooLarge("body too long"));
            }
            if length.replace(stated as usize).is_some() {
                return Err(Fault::Malformed("a length twice"));
            }
        } else if name.eq_ignore_ascii_case(b"Content-Type")
            || name.eq_ignore_ascii_case(b"Location")
        {
            typed = true;
        }
    }
    let status = status
        .or(typed.then_some(200))
        .ok_or(Fault::Malformed("neither a status nor a type"))?;
    Ok(Some((Head { status, length }, used)))
}

/// A whole answer: what is in `bytes`, all of which has come; `ended` once nothing more will. `None` while more must be read.
pub fn read<'a>(
    bytes: &'a [u8],
    ended: bool,
    bounds: &Bounds,
) -> Result<Option<(u16, &'a [u8])>, Fault> {
    let Some((head, start)) = head(bytes, bounds)? else {
        return if ended {
            Err(Fault::Malformed("cut short"))
        } else {
            Ok(None)
        };
    };
    let body = &bytes[start..];
    if body.len() > bounds.body {
        return Err(Fault::TooLarge("body too long"));
    }
    match head.length {
        // Guards against an answer that is longer than it says: nobody knows which of the two is true.
        Some(length) if body.len() > length => Err(Fault::Malformed("longer than its length")),
        Some(length) if body.len() == length => Ok(Some((head.status, body))),
        Some(_) if ended => Err(Fault::Malformed("cut short")),
        None if ended => Ok(Some((head.status, body))),
        _ => Ok(None),
    }
}
