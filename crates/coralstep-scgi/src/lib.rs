//! An SCGI codec: [`request`] encodes and decodes requests, [`response`] the CGI responses to them.
//!
//! The codec does no I/O. Decoded messages borrow from the input, and the codec never allocates memory based on a length that
//! a peer states.
//!
//! ```
//! use coralstep_scgi::{Limits, request};
//!
//! let mut bytes = Vec::new();
//! request::encode(&mut bytes, &[("REQUEST_METHOD", b"POST"), ("PATH_INFO", b"/route")], b"from here").unwrap();
//! let (request, used) = request::decode(&bytes, &Limits::default()).unwrap().unwrap();
//! assert_eq!((request.text("PATH_INFO"), request.body), (Some("/route"), &b"from here"[..]));
//! assert_eq!(used, bytes.len());
//! ```
mod decimal;
mod error;
mod limits;
pub mod request;
pub mod response;

pub use error::{DecodeError, EncodeError};
pub use limits::Limits;
