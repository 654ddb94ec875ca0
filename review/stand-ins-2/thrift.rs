//! A gateway: framed Thrift over TCP, strict binary protocol.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

const CALL: u32 = 0x8001_0001;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;

/// What a server sent on a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Served,
    Refused,
    Failed,
    /// The oneway message `closing`.
    Closing,
}

pub struct Gateway {
    pub stream: TcpStream,
    sequence: u32,
}

impl Gateway {
    pub fn connect(to: SocketAddr) -> std::io::Result<Gateway> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        Ok(Gateway {
            stream,
            sequence: 0,
        })
    }

    /// Writes a request and returns its sequence number.
    pub fn invoke(&mut self, fields: &[(&str, String)], body: &[u8]) -> std::io::Result<u32> {
        self.sequence += 1;
        let mut message = Vec::new();
        message.extend_from_slice(&CALL.to_be_bytes());
        put_binary(&mut message, b"invoke");
        message.extend_from_slice(&self.sequence.to_be_bytes());
        message.extend_from_slice(&[MAP, 0, 1, STRING, STRING]);
        message.extend_from_slice(&(fields.len() as u32).to_be_bytes());
        for (key, value) in fields {
            put_binary(&mut message, key.as_bytes());
            put_binary(&mut message, value.as_bytes());
        }
        message.extend_from_slice(&[STRING, 0, 2]);
        put_binary(&mut message, body);
        message.push(0);
        let mut frame = (message.len() as u32).to_be_bytes().to_vec();
        frame.extend_from_slice(&message);
        self.stream.write_all(&frame)?;
        Ok(self.sequence)
    }
}

fn put_binary(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(bytes);
}

/// Reads the next message: its sequence number, its outcome and, if it was served, the result.
pub fn read_message(stream: &mut TcpStream) -> std::io::Result<(u32, Outcome, Vec<u8>)> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut message = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut message)?;
    parse(&message).ok_or_else(|| std::io::Error::other("a message that is none"))
}

fn parse(message: &[u8]) -> Option<(u32, Outcome, Vec<u8>)> {
    let kind = *message.get(3)?;
    let name_length = read_u32(message, 4)? as usize;
    let sequence = read_u32(message, 8 + name_length)?;
    let body = message.get(12 + name_length..)?;
    let outcome = match (kind, body) {
        (4, _) => Outcome::Closing,
        (2, [STRUCT, 0, 0, STRING, 0, 1, rest @ ..]) => {
            let length = read_u32(rest, 0)? as usize;
            return Some((sequence, Outcome::Served, rest.get(4..4 + length)?.to_vec()));
        }
        (2, [STRUCT, 0, 1, ..]) => Outcome::Refused,
        _ => Outcome::Failed,
    };
    Some((sequence, outcome, Vec::new()))
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}
