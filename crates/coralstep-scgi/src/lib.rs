//! SCGI, both sides of it: requests (`request.rs`) and the CGI answers to them (`answer.rs`). Pure: bytes in, bytes
//! out. Whatever is read stays where it was read; nothing is copied and no figure of a peer sets memory aside.
//!
//! ```
//! use coralstep_scgi::{Bounds, request};
//!
//! let mut bytes = Vec::new();
//! request::put(&mut bytes, &[("REQUEST_METHOD", b"POST"), ("PATH_INFO", b"/route")], b"from here").unwrap();
//! let (request, used) = request::read(&bytes, &Bounds::default()).unwrap().unwrap();
//! assert_eq!((request.text("PATH_INFO"), request.body), (Some("/route"), &b"from here"[..]));
//! assert_eq!(used, bytes.len());
//! ```
pub mod answer;
pub mod request;

/// What is read at the most. Beyond any of these a message is [`Fault::TooLarge`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes of all headers together.
    pub head: usize,
    /// How many headers.
    pub headers: usize,
    /// Bytes of the body.
    pub body: usize,
}

impl Default for Bounds {
    /// 16 KiB of at most 128 headers, a body of 8 KiB.
    fn default() -> Bounds {
        Bounds {
            head: 16 * 1024,
            headers: 128,
            body: 8 * 1024,
        }
    }
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Malformed(&'static str),
    TooLarge(&'static str),
}

impl Fault {
    pub fn why(self) -> &'static str {
        match self {
            Fault::Malformed(why) | Fault::TooLarge(why) => why,
        }
    }
}

/// A whole number in plain digits, without sign, blanks or leading zeros. At most 18 digits, so nothing overflows.
fn whole(digits: &[u8]) -> Option<u64> {
    let plain = !digits.is_empty() && digits.len() <= 18 && digits.iter().all(u8::is_ascii_digit);
    let value = digits.iter().fold(0, |value: u64, digit| {
        value.wrapping_mul(10) + u64::from(digit & 15)
    });
    (plain && (digits[0] != b'0' || digits.len() == 1)).then_some(value)
}

#[cfg(test)]
mod tests;
