//! Framed Thrift in the strict binary protocol, as far as gateways speak it. Pure: bytes in, bytes out.
use std::str;

/// The longest frame that is read: a body of 2 KiB and some twenty fields fit in several times over.
pub const FRAME_MOST: usize = 16 * 1024;

const VERSION: u32 = 0x8001_0000;
const CALL: u8 = 1;
const REPLY: u8 = 2;
const EXCEPTION: u8 = 3;
const ONEWAY: u8 = 4;

const STOP: u8 = 0;
const BOOL: u8 = 2;
const I32: u8 = 8;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;
/// Structs within structs that are skipped before a message counts as garbled.
const DEPTH_MOST: u32 = 16;

/// Why a frame was not understood: how much of it could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing that follows on this connection can be trusted.
    Garbled,
    /// The sequence number was read, so an answer is possible.
    Message(i32, &'static str),
}

#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    Invoke {
        seq: i32,
        fields: Vec<(&'a str, &'a str)>,
        body: &'a [u8],
    },
    Ping {
        seq: i32,
    },
}

/// The first whole frame of `bytes` and its length with the prefix; `None` while more must be read.
pub fn frame(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, Fault> {
    let Some(prefix) = bytes.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length == 0 || length > FRAME_MOST {
        return Err(Fault::Garbled);
    }
    Ok(bytes.get(4..4 + length).map(|frame| (frame, 4 + length)))
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

    /// A length below 0 becomes one that no frame can hold.
    fn binary(&mut self) -> Option<&'a [u8]> {
        let length = self.u32()? as usize;
        self.take(length)
    }

    fn text(&mut self) -> Option<&'a str> {
        str::from_utf8(self.binary()?).ok()
    }

    fn texts(&mut self) -> Option<Vec<(&'a str, &'a str)>> {
        let (key, value, count) = (self.u8()?, self.u8()?, self.u32()? as usize);
        // Each pair takes 8 bytes at the least, which bounds what is set aside.
        if count > self.0.len() / 8 || (count > 0 && (key, value) != (STRING, STRING)) {
            return None;
        }
        (0..count)
            .map(|_| Some((self.text()?, self.text()?)))
            .collect()
    }

    fn skip(&mut self, kind: u8, depth: u32) -> Option<()> {
        if depth > DEPTH_MOST {
            return None;
        }
        match kind {
            BOOL | 3 => self.take(1).map(|_| ()),
            6 => self.take(2).map(|_| ()),
            I32 => self.take(4).map(|_| ()),
            4 | 10 => self.take(8).map(|_| ()),
            STRING => self.binary().map(|_| ()),
            STRUCT => loop {
                match self.u8()? {
                    STOP => return Some(()),
                    kind => {
                        self.u16()?;
                        self.skip(kind, depth + 1)?;
                    }
                }
            },
            MAP => {
                let (key, value, count) = (self.u8()?, self.u8()?, self.u32()?);
                (0..count).try_for_each(|_| {
                    self.skip(key, depth + 1)?;
                    self.skip(value, depth + 1)
                })
            }
            14 | 15 => {
                let (kind, count) = (self.u8()?, self.u32()?);
                (0..count).try_for_each(|_| self.skip(kind, depth + 1))
            }
            _ => None,
        }
    }
}

/// The message in one frame.
pub fn decode(frame: &[u8]) -> Result<Message<'_>, Fault> {
    let mut reader = Reader(frame);
    let head = reader.u32().ok_or(Fault::Garbled)?;
    if head & 0xffff_0000 != VERSION {
        return Err(Fault::Garbled);
    }
    let name = reader.binary().ok_or(Fault::Garbled)?;
    let seq = reader.u32().ok_or(Fault::Garbled)? as i32;
    if head as u8 != CALL {
        return Err(Fault::Message(seq, "not a call"));
    }
    match name {
        b"invoke" => invoke(seq, &mut reader).ok_or(Fault::Message(seq, "malformed arguments")),
        b"ping" => {
            reader
                .skip(STRUCT, 0)
                .ok_or(Fault::Message(seq, "malformed arguments"))?;
            Ok(Message::Ping { seq })
        }
        _ => Err(Fault::Message(seq, "unknown method")),
    }
}

fn invoke<'a>(seq: i32, reader: &mut Reader<'a>) -> Option<Message<'a>> {
    let (mut fields, mut body) = (None, None);
    loop {
        let kind = reader.u8()?;
        if kind == STOP {
            break;
        }
        match (reader.u16()?, kind) {
            (1, MAP) => fields = Some(reader.texts()?),
            (2, STRING) => body = Some(reader.binary()?),
            _ => reader.skip(kind, 0)?,
        }
    }
    Some(Message::Invoke {
        seq,
        fields: fields?,
        body: body?,
    })
}

/// Writes one frame at the end of `out`.
struct Writer<'a> {
    out: &'a mut Vec<u8>,
    start: usize,
}

impl<'a> Writer<'a> {
    fn new(out: &'a mut Vec<u8>, kind: u8, name: &str, seq: i32) -> Writer<'a> {
        let start = out.len();
        let mut writer = Writer { out, start };
        writer.u32(0);
        writer.u32(VERSION | u32::from(kind));
        writer.binary(name.as_bytes());
        writer.u32(seq as u32);
        writer
    }

    fn u32(&mut self, value: u32) {
        self.out.extend_from_slice(&value.to_be_bytes());
    }

    fn binary(&mut self, bytes: &[u8]) {
        self.u32(bytes.len() as u32);
        self.out.extend_from_slice(bytes);
    }

    fn field(&mut self, kind: u8, number: u16) {
        self.out.push(kind);
        self.out.extend_from_slice(&number.to_be_bytes());
    }

    fn texts(&mut self, number: u16, fields: &[(&str, String)]) {
        self.field(MAP, number);
        self.out.extend_from_slice(&[STRING, STRING]);
        self.u32(fields.len() as u32);
        for (key, value) in fields {
            self.binary(key.as_bytes());
            self.binary(value.as_bytes());
        }
    }

    fn end(self) {
        self.out.push(STOP);
        let length = (self.out.len() - self.start - 4) as u32;
        self.out[self.start..self.start + 4].copy_from_slice(&length.to_be_bytes());
    }
}

/// `Answer` to the method `name`.
pub fn answer(
    out: &mut Vec<u8>,
    name: &str,
    seq: i32,
    body: &[u8],
    fields: &[(&str, String)],
    good: bool,
) {
    let mut writer = Writer::new(out, REPLY, name, seq);
    writer.field(STRUCT, 0);
    writer.field(STRING, 1);
    writer.binary(body);
    writer.texts(2, fields);
    writer.field(BOOL, 3);
    writer.out.push(u8::from(good));
    writer.out.push(STOP);
    writer.end();
}

fn thrown(out: &mut Vec<u8>, seq: i32, number: u16, fields: &[(&str, String)]) {
    let mut writer = Writer::new(out, REPLY, "invoke", seq);
    writer.field(STRUCT, number);
    writer.texts(1, fields);
    writer.out.push(STOP);
    writer.end();
}

pub fn overloaded(out: &mut Vec<u8>, seq: i32, fields: &[(&str, String)]) {
    thrown(out, seq, 1, fields);
}

pub fn internal(out: &mut Vec<u8>, seq: i32, fields: &[(&str, String)]) {
    thrown(out, seq, 2, fields);
}

/// An application exception; 7 stands for a protocol error.
pub fn exception(out: &mut Vec<u8>, seq: i32, why: &str) {
    let mut writer = Writer::new(out, EXCEPTION, "invoke", seq);
    writer.field(STRING, 1);
    writer.binary(why.as_bytes());
    writer.field(I32, 2);
    writer.u32(7);
    writer.end();
}

/// Asks the gateway to leave this connection.
pub fn closing(out: &mut Vec<u8>) {
    Writer::new(out, ONEWAY, "closing", 0).end();
}

#[cfg(test)]
mod tests;
