//! The gateways' side of the protocol: framed Thrift, strict binary.
use std::collections::HashMap;

const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;
const BOOL: u8 = 2;

/// A server's answer to one request.
#[derive(Clone, Debug)]
#[allow(dead_code)]
pub enum Answer {
    /// Served, with this result.
    Served(Vec<u8>),
    /// `Overloaded`: refused, "this try never ran".
    Refused(HashMap<String, String>),
    /// `Internal` or an application exception.
    Failed(&'static str),
}

impl Answer {
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused(_) => "refused (Overloaded)",
            Answer::Failed(kind) => kind,
        }
    }
}

/// A message of the server.
pub enum Message {
    Answer { sequence: i32, answer: Answer },
    Ping { good: bool },
    Closing,
}

fn put_binary(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

fn frame(name: &str, sequence: i32, arguments: &[u8]) -> Vec<u8> {
    let mut content = 0x8001_0001_u32.to_be_bytes().to_vec();
    put_binary(&mut content, name.as_bytes());
    content.extend(sequence.to_be_bytes());
    content.extend(arguments);
    let mut out = (content.len() as u32).to_be_bytes().to_vec();
    out.extend(content);
    out
}

pub fn invoke(sequence: i32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut arguments = vec![MAP, 0, 1, STRING, STRING];
    arguments.extend((fields.len() as u32).to_be_bytes());
    for (key, value) in fields {
        put_binary(&mut arguments, key.as_bytes());
        put_binary(&mut arguments, value.as_bytes());
    }
    arguments.extend([STRING, 0, 2]);
    put_binary(&mut arguments, body);
    arguments.push(0);
    frame("invoke", sequence, &arguments)
}

pub fn ping(sequence: i32) -> Vec<u8> {
    frame("ping", sequence, &[BOOL, 0, 1, 0, 0])
}

struct Reader<'a>(&'a [u8]);

#[derive(Debug)]
enum Value {
    Bool(bool),
    Binary(Vec<u8>),
    Map(HashMap<String, String>),
    Struct(Vec<(u16, Value)>),
    Other,
}

impl Reader<'_> {
    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        if self.0.len() < count {
            return None;
        }
        let (taken, rest) = self.0.split_at(count);
        self.0 = rest;
        Some(taken.to_vec())
    }

    fn u8(&mut self) -> Option<u8> {
        Some(self.take(1)?[0])
    }

    fn u16(&mut self) -> Option<u16> {
        Some(u16::from_be_bytes(self.take(2)?.try_into().ok()?))
    }

    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }

    fn binary(&mut self) -> Option<Vec<u8>> {
        let length = self.u32()? as usize;
        self.take(length)
    }

    fn value(&mut self, kind: u8) -> Option<Value> {
        Some(match kind {
            BOOL => Value::Bool(self.u8()? == 1),
            8 => self.take(4).map(|_| Value::Other)?,
            10 | 4 => self.take(8).map(|_| Value::Other)?,
            STRING => Value::Binary(self.binary()?),
            STRUCT => Value::Struct(self.fields()?),
            MAP => {
                self.take(2)?;
                let count = self.u32()?;
                let mut map = HashMap::new();
                for _ in 0..count {
                    let key = String::from_utf8(self.binary()?).ok()?;
                    map.insert(key, String::from_utf8(self.binary()?).ok()?);
                }
                Value::Map(map)
            }
            _ => return None,
        })
    }

    fn fields(&mut self) -> Option<Vec<(u16, Value)>> {
        let mut fields = Vec::new();
        loop {
            let kind = self.u8()?;
            if kind == 0 {
                return Some(fields);
            }
            let number = self.u16()?;
            fields.push((number, self.value(kind)?));
        }
    }
}

/// Decodes the content of a frame; `None` where it can't be read.
pub fn decode(content: &[u8]) -> Option<Message> {
    let mut reader = Reader(content);
    let kind = reader.u32()? & 0xff;
    let name = reader.binary()?;
    let sequence = reader.u32()? as i32;
    if kind == 4 {
        return (name == b"closing").then_some(Message::Closing);
    }
    if kind == 3 {
        let answer = Answer::Failed("failed (application exception)");
        return Some(Message::Answer { sequence, answer });
    }
    let (number, value) = reader.fields()?.into_iter().next()?;
    let Value::Struct(fields) = value else {
        return None;
    };
    let (mut body, mut map, mut good) = (Vec::new(), HashMap::new(), false);
    for (_, value) in fields {
        match value {
            Value::Binary(bytes) => body = bytes,
            Value::Map(fields) => map = fields,
            Value::Bool(flag) => good = flag,
            _ => {}
        }
    }
    if name == b"ping" {
        return Some(Message::Ping { good });
    }
    let answer = match number {
        0 => Answer::Served(body),
        1 => Answer::Refused(map),
        2 => Answer::Failed("failed (Internal)"),
        _ => return None,
    };
    Some(Message::Answer { sequence, answer })
}
