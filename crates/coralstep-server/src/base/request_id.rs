//! Request ids.
use std::fmt::{self, Display};
use std::str;

const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";

/// A request's id: 16 hex digits, whose case is preserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId([u8; 16]);

impl RequestId {
    /// Creates the id whose hex digits are those of `number`.
    pub fn from_number(number: u64) -> RequestId {
        let mut digits = [0; 16];
        for (index, digit) in digits.iter_mut().enumerate() {
            *digit = HEX_DIGITS[(number >> (60 - 4 * index)) as usize & 15];
        }
        RequestId(digits)
    }

    /// Parses an id; returns `None` unless `text` is 16 hex digits.
    pub fn parse(text: &str) -> Option<RequestId> {
        let digits = text.as_bytes().try_into().ok()?;
        text.bytes()
            .all(|byte| byte.is_ascii_hexdigit())
            .then_some(RequestId(digits))
    }
}

impl Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(str::from_utf8(&self.0).unwrap_or("?"))
    }
}

#[cfg(test)]
mod tests;
