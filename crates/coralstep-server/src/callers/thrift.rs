//! Codec of the messages exchanged with gateways: framed Thrift, strict binary protocol. Performs no I/O.
use std::str;

/// Maximum length of a received frame in bytes: several times a body of 2 KiB with about twenty fields.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;
/// Size in bytes of the length prefix of each frame.
const LENGTH_PREFIX_BYTES: usize = 4;

const VERSION: u32 = 0x8001_0000;
const VERSION_MASK: u32 = 0xffff_0000;

const CALL: u8 = 1;
const REPLY: u8 = 2;
const EXCEPTION: u8 = 3;
const ONEWAY: u8 = 4;

const STOP: u8 = 0;
const BOOL: u8 = 2;
const BYTE: u8 = 3;
const DOUBLE: u8 = 4;
const I16: u8 = 6;
const I32: u8 = 8;
const I64: u8 = 10;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;
const SET: u8 = 14;
const LIST: u8 = 15;
/// Maximum nesting depth of skipped structs and containers. Deeper messages are invalid.
const MAX_SKIP_DEPTH: u32 = 16;

/// Minimum size in bytes of a map entry with string key and value: the two lengths.
const MIN_PAIR_BYTES: usize = 8;

/// `TApplicationException.PROTOCOL_ERROR`.
const PROTOCOL_ERROR: u32 = 7;

/// Error of decoding a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The frame is corrupt, so the rest of the connection's input can't be trusted.
    #[error("corrupt frame")]
    Corrupt,
    /// The message is invalid, but its sequence number is known, so it can be answered.
    #[error("{reason}")]
    Invalid {
        /// The sequence number of the message.
        sequence: i32,
        /// Description of the error.
        reason: &'static str,
    },
}

/// An entry of a request's field map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestField<'a> {
    /// The key.
    pub key: &'a str,
    /// The value.
    pub value: &'a str,
}

/// An entry of a reply's field map.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyField {
    /// The key.
    pub key: &'static str,
    /// The value.
    pub value: String,
}

/// A message from a gateway.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// A request to be served.
    Invoke {
        /// Sequence number, which the reply repeats.
        sequence: i32,
        /// Properties of the request.
        fields: Vec<RequestField<'a>>,
        /// The request's body.
        body: &'a [u8],
    },
    /// A health check.
    Ping {
        /// Sequence number, which the reply repeats.
        sequence: i32,
    },
}

/// A frame at the start of a buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The encoded message.
    pub content: &'a [u8],
    /// Size in bytes, including the length prefix.
    pub encoded_len: usize,
}

/// Returns the first frame of `bytes`, or `None` if it is incomplete.
///
/// # Errors
/// Fails with [`DecodeError::Corrupt`] if the stated length is 0 or above [`MAX_FRAME_BYTES`].
pub fn split_frame(bytes: &[u8]) -> Result<Option<Frame<'_>>, DecodeError> {
    let Some(prefix) = bytes.first_chunk::<LENGTH_PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(DecodeError::Corrupt);
    }
    let encoded_len = LENGTH_PREFIX_BYTES + length;
    let content = bytes.get(LENGTH_PREFIX_BYTES..encoded_len);
    Ok(content.map(|content| Frame {
        content,
        encoded_len,
    }))
}

/// Returns the size in bytes of the first frame of `bytes`, with its length prefix, or `None` if its prefix is incomplete or
/// invalid.
pub fn stated_len(bytes: &[u8]) -> Option<usize> {
    let prefix = bytes.first_chunk::<LENGTH_PREFIX_BYTES>()?;
    let length = u32::from_be_bytes(*prefix) as usize;
    (length <= MAX_FRAME_BYTES).then_some(LENGTH_PREFIX_BYTES + length)
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|byte| byte[0])
    }

    fn u16(&mut self) -> Option<u16> {
        self.take(2)?.try_into().ok().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.take(4)?.try_into().ok().map(u32::from_be_bytes)
    }

    /// Reads a length and that many bytes. A negative length becomes one that exceeds any frame.
    fn binary(&mut self) -> Option<&'a [u8]> {
        let length = self.u32()? as usize;
        self.take(length)
    }

    fn text(&mut self) -> Option<&'a str> {
        str::from_utf8(self.binary()?).ok()
    }

    /// Reads a map with string keys and values.
    fn fields(&mut self) -> Option<Vec<RequestField<'a>>> {
        let key_type = self.u8()?;
        let value_type = self.u8()?;
        let count = self.u32()? as usize;
        // Guards against an entry count that allocates more memory than the frame can justify.
        if count > self.0.len() / MIN_PAIR_BYTES {
            return None;
        }
        if count > 0 && (key_type, value_type) != (STRING, STRING) {
            return None;
        }
        (0..count)
            .map(|_| {
                Some(RequestField {
                    key: self.text()?,
                    value: self.text()?,
                })
            })
            .collect()
    }

    /// Skips the value of an unknown field.
    fn skip(&mut self, value_type: u8, depth: u32) -> Option<()> {
        if depth > MAX_SKIP_DEPTH {
            return None;
        }
        match value_type {
            BOOL | BYTE => self.take(1).map(drop),
            I16 => self.take(2).map(drop),
            I32 => self.take(4).map(drop),
            DOUBLE | I64 => self.take(8).map(drop),
            STRING => self.binary().map(drop),
            STRUCT => self.skip_struct(depth),
            MAP => {
                let key_type = self.u8()?;
                let value_type = self.u8()?;
                let count = self.u32()?;
                (0..count).try_for_each(|_| {
                    self.skip(key_type, depth + 1)?;
                    self.skip(value_type, depth + 1)
                })
            }
            SET | LIST => {
                let element_type = self.u8()?;
                let count = self.u32()?;
                (0..count).try_for_each(|_| self.skip(element_type, depth + 1))
            }
            _ => None,
        }
    }

    fn skip_struct(&mut self, depth: u32) -> Option<()> {
        loop {
            let field_type = self.u8()?;
            if field_type == STOP {
                return Some(());
            }
            self.u16()?;
            self.skip(field_type, depth + 1)?;
        }
    }
}

/// Decodes the message in a frame's content.
///
/// # Errors
/// Fails with [`DecodeError::Corrupt`] if the content is not Thrift, and with [`DecodeError::Invalid`] if it is not a valid
/// message of a gateway.
pub fn decode(content: &[u8]) -> Result<Message<'_>, DecodeError> {
    let mut reader = Reader(content);
    let header = reader.u32().ok_or(DecodeError::Corrupt)?;
    if header & VERSION_MASK != VERSION {
        return Err(DecodeError::Corrupt);
    }
    let name = reader.binary().ok_or(DecodeError::Corrupt)?;
    let sequence = reader.u32().ok_or(DecodeError::Corrupt)? as i32;
    let invalid = |reason| DecodeError::Invalid { sequence, reason };
    if header as u8 != CALL {
        return Err(invalid("not a call"));
    }
    match name {
        b"invoke" => {
            decode_invoke(sequence, &mut reader).ok_or_else(|| invalid("malformed arguments"))
        }
        b"ping" => {
            let arguments = reader.skip(STRUCT, 0);
            arguments.ok_or_else(|| invalid("malformed arguments"))?;
            Ok(Message::Ping { sequence })
        }
        _ => Err(invalid("unknown method")),
    }
}

/// Decodes the arguments of `invoke`: field 1 is the field map, field 2 the body.
fn decode_invoke<'a>(sequence: i32, reader: &mut Reader<'a>) -> Option<Message<'a>> {
    let mut fields = None;
    let mut body = None;
    loop {
        let field_type = reader.u8()?;
        if field_type == STOP {
            break;
        }
        match (reader.u16()?, field_type) {
            (1, MAP) => fields = Some(reader.fields()?),
            (2, STRING) => body = Some(reader.binary()?),
            _ => reader.skip(field_type, 0)?,
        }
    }
    Some(Message::Invoke {
        sequence,
        fields: fields?,
        body: body?,
    })
}

/// Appends one frame to `out`.
struct FrameWriter<'a> {
    out: &'a mut Vec<u8>,
    start: usize,
}

impl<'a> FrameWriter<'a> {
    fn new(out: &'a mut Vec<u8>, message_type: u8, name: &str, sequence: i32) -> FrameWriter<'a> {
        let start = out.len();
        let mut writer = FrameWriter { out, start };
        // Placeholder for the length, which `finish` fills in.
        writer.u32(0);
        writer.u32(VERSION | u32::from(message_type));
        writer.binary(name.as_bytes());
        writer.u32(sequence as u32);
        writer
    }

    fn u32(&mut self, value: u32) {
        self.out.extend_from_slice(&value.to_be_bytes());
    }

    fn binary(&mut self, bytes: &[u8]) {
        self.u32(bytes.len() as u32);
        self.out.extend_from_slice(bytes);
    }

    fn field(&mut self, field_type: u8, number: u16) {
        self.out.push(field_type);
        self.out.extend_from_slice(&number.to_be_bytes());
    }

    fn stop(&mut self) {
        self.out.push(STOP);
    }

    fn map_of_strings(&mut self, number: u16, fields: &[ReplyField]) {
        self.field(MAP, number);
        self.out.extend_from_slice(&[STRING, STRING]);
        self.u32(fields.len() as u32);
        for field in fields {
            self.binary(field.key.as_bytes());
            self.binary(field.value.as_bytes());
        }
    }

    fn finish(mut self) {
        self.stop();
        let length = (self.out.len() - self.start - LENGTH_PREFIX_BYTES) as u32;
        let prefix = self.start..self.start + LENGTH_PREFIX_BYTES;
        self.out[prefix].copy_from_slice(&length.to_be_bytes());
    }
}

/// The Thrift struct `Answer`, which `invoke` and `ping` return.
#[derive(Debug)]
pub struct Answer<'a> {
    /// The method that was called.
    pub method: &'a str,
    /// Sequence number of the call.
    pub sequence: i32,
    /// The reply's body.
    pub body: &'a [u8],
    /// The server's status fields.
    pub fields: &'a [ReplyField],
    /// Whether the request succeeded, or the server is healthy.
    pub success: bool,
}

impl Answer<'_> {
    /// Appends the encoded answer to `out`.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let mut writer = FrameWriter::new(out, REPLY, self.method, self.sequence);
        writer.field(STRUCT, 0);
        writer.field(STRING, 1);
        writer.binary(self.body);
        writer.map_of_strings(2, self.fields);
        writer.field(BOOL, 3);
        writer.out.push(u8::from(self.success));
        writer.stop();
        writer.finish();
    }
}

/// Appends a declared exception of `invoke`, encoded as field `number` of its result.
fn encode_declared_exception(out: &mut Vec<u8>, sequence: i32, number: u16, fields: &[ReplyField]) {
    let mut writer = FrameWriter::new(out, REPLY, "invoke", sequence);
    writer.field(STRUCT, number);
    writer.map_of_strings(1, fields);
    writer.stop();
    writer.finish();
}

/// Appends the declared exception for a rejected request.
pub fn encode_overloaded(out: &mut Vec<u8>, sequence: i32, fields: &[ReplyField]) {
    encode_declared_exception(out, sequence, 1, fields);
}

/// Appends the declared exception for a failed request.
pub fn encode_internal_error(out: &mut Vec<u8>, sequence: i32, fields: &[ReplyField]) {
    encode_declared_exception(out, sequence, 2, fields);
}

/// Appends an application exception of the type `PROTOCOL_ERROR`.
pub fn encode_application_exception(out: &mut Vec<u8>, sequence: i32, message: &str) {
    let mut writer = FrameWriter::new(out, EXCEPTION, "invoke", sequence);
    writer.field(STRING, 1);
    writer.binary(message.as_bytes());
    writer.field(I32, 2);
    writer.u32(PROTOCOL_ERROR);
    writer.finish();
}

/// Appends the one-way message that asks the gateway to close the connection.
pub fn encode_closing(out: &mut Vec<u8>) {
    FrameWriter::new(out, ONEWAY, "closing", 0).finish();
}

#[cfg(test)]
pub(super) mod tests;
