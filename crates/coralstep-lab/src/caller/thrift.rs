//! RPCs over Thrift: framed messages on one connection, with answers matched by sequence number.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Sender, bounded, unbounded};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::{OutgoingRpc, RpcOutcome, format_id};

/// Maximum length of a frame.
const MAX_FRAME_BYTES: usize = 256 * 1024;

fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(bytes);
}

/// Encodes an RPC as a frame.
pub fn encode_call(seq: i32, rpc: &OutgoingRpc) -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend_from_slice(b"\x80\x01\x00\x01");
    put_bytes(&mut out, b"invoke");
    out.extend_from_slice(&seq.to_be_bytes());
    let since = rpc.since_ms.to_string();
    let (number, room) = (format_id(rpc.reference), format!("{:.3}", rpc.room_kb));
    let mut fields = vec![
        ("service", rpc.method.as_str()),
        ("ref", &number),
        ("since", &since),
        ("sender", "1"),
        ("room", &room),
    ];
    if rpc.retry {
        fields.push(("dup", "1"));
    }
    let token = rpc.token.map(format_id);
    if let Some(token) = &token {
        fields.push(("replay", token));
    }
    if !rpc.tenant.is_empty() {
        fields.push(("project", &rpc.tenant));
    }
    out.extend_from_slice(b"\x0d\x00\x01\x0b\x0b");
    out.extend_from_slice(&(fields.len() as u32).to_be_bytes());
    for (key, value) in fields {
        put_bytes(&mut out, key.as_bytes());
        put_bytes(&mut out, value.as_bytes());
    }
    out.extend_from_slice(b"\x0b\x00\x02");
    put_bytes(&mut out, &rpc.body);
    out.push(0);
    let length = (out.len() - 4) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// Reads big-endian fields from a frame.
struct FrameReader<'a>(&'a [u8]);

impl<'a> FrameReader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    fn number(&mut self) -> Option<u32> {
        self.take(4)?.try_into().ok().map(u32::from_be_bytes)
    }

    fn bytes(&mut self) -> Option<&'a [u8]> {
        let length = self.number()? as usize;
        self.take(length)
    }
}

/// Decodes a frame into its sequence number and outcome. Returns `None` if it isn't an answer.
pub fn decode_answer(frame: &[u8]) -> Option<(i32, RpcOutcome)> {
    let mut rest = FrameReader(frame);
    let kind = *rest.take(4)?.get(3)?;
    rest.bytes()?;
    let seq = rest.number()? as i32;
    match kind {
        3 => return Some((seq, RpcOutcome::Refused)),
        2 => {}
        _ => return None,
    }
    (rest.take(1)? == [12]).then_some(())?;
    let member = rest.take(2)?[1];
    let mut body = Vec::new();
    if member == 0 {
        (rest.take(3)? == b"\x0b\x00\x01").then_some(())?;
        body = rest.bytes()?.to_vec();
    }
    rest.take(5)?;
    let count = rest.number()?;
    let (mut after, mut nowhere) = (0, false);
    for _ in 0..count {
        let (key, value) = (rest.bytes()?, rest.bytes()?);
        match key {
            b"cooldown" => after = std::str::from_utf8(value).ok()?.parse().ok()?,
            b"nowhere" => nowhere = value == b"1",
            _ => {}
        }
    }
    Some((
        seq,
        match member {
            // The last field is 1 if the run succeeded.
            0 => match rest.take(4)?[3] {
                1 => RpcOutcome::Ok(body),
                _ => RpcOutcome::Aborted,
            },
            1 => RpcOutcome::PushedBack {
                after: Duration::from_millis(after),
                nowhere,
            },
            2 => RpcOutcome::Aborted,
            _ => return None,
        },
    ))
}

type PendingRpcs = Rc<RefCell<HashMap<i32, Sender<RpcOutcome>>>>;

/// A connection that is opened on demand and reopened after it broke.
pub struct ThriftConnection {
    address: SocketAddr,
    executor: Rc<LocalExecutor<'static>>,
    open: RefCell<Option<(Sender<Vec<u8>>, PendingRpcs)>>,
    seq: Cell<i32>,
}

impl ThriftConnection {
    pub fn new(address: SocketAddr, executor: Rc<LocalExecutor<'static>>) -> ThriftConnection {
        ThriftConnection {
            address,
            executor,
            open: RefCell::default(),
            seq: Cell::new(0),
        }
    }

    /// Returns the queue of frames to write and the waiting RPCs, connecting if necessary.
    fn open(&self) -> (Sender<Vec<u8>>, PendingRpcs) {
        let mut open = self.open.borrow_mut();
        if let Some((out, waiting)) = open.as_ref().filter(|(out, _)| !out.is_closed()) {
            return (out.clone(), waiting.clone());
        }
        let (out, frames) = unbounded::<Vec<u8>>();
        let waiting = PendingRpcs::default();
        let (address, answers, ended) = (self.address, waiting.clone(), out.clone());
        let exchange = async move {
            let stream = Rc::new(Async::<TcpStream>::connect(address).await?);
            stream.get_ref().set_nodelay(true)?;
            let write = async {
                while let Ok(frame) = frames.recv().await {
                    (&*stream).write_all(&frame).await?;
                }
                std::io::Result::Ok(())
            };
            futures_lite::future::race(write, read_answers(&stream, &answers)).await
        };
        let rest = waiting.clone();
        self.executor
            .spawn(async move {
                let _ = exchange.await;
                ended.close();
                // Dropping their senders tells the RPCs that still wait that no answer will come.
                rest.borrow_mut().clear();
            })
            .detach();
        *open = Some((out.clone(), waiting.clone()));
        (out, waiting)
    }

    pub async fn send(&self, rpc: &OutgoingRpc) -> RpcOutcome {
        let (out, waiting) = self.open();
        let seq = self.seq.get().wrapping_add(1);
        self.seq.set(seq);
        let (sender, answer) = bounded(1);
        waiting.borrow_mut().insert(seq, sender);
        // Removes the RPC when it is answered or cancelled.
        let _remove_on_drop = RemoveOnDrop(waiting, seq);
        if out.send(encode_call(seq, rpc)).await.is_err() {
            return RpcOutcome::Broken;
        }
        answer.recv().await.unwrap_or(RpcOutcome::Broken)
    }
}

struct RemoveOnDrop(PendingRpcs, i32);

impl Drop for RemoveOnDrop {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

/// Reads answers and passes each to the RPC that waits for it.
async fn read_answers(stream: &Async<TcpStream>, waiting: &PendingRpcs) -> std::io::Result<()> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 16 * 1024]);
    loop {
        let count = (&*stream).read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        bytes.extend_from_slice(&buffer[..count]);
        let mut used = 0;
        while let Some(prefix) = bytes
            .get(used..used + 4)
            .and_then(|four| four.try_into().ok())
        {
            let length = u32::from_be_bytes(prefix) as usize;
            if length > MAX_FRAME_BYTES {
                return Err(std::io::ErrorKind::InvalidData.into());
            }
            let Some(frame) = bytes.get(used + 4..used + 4 + length) else {
                break;
            };
            if let Some((seq, outcome)) = decode_answer(frame)
                && let Some(sender) = waiting.borrow_mut().remove(&seq)
            {
                let _ = sender.try_send(outcome);
            }
            used += 4 + length;
        }
        bytes.drain(..used);
    }
}

#[cfg(test)]
mod tests;
