//! RPCs over Thrift: framed calls on one connection, answers by their sequence number in any order.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Sender, bounded, unbounded};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::{Ask, Said, reference};

/// The longest frame that is read.
const FRAME: usize = 256 * 1024;

fn put(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(bytes);
}

/// The frame of a call.
pub fn frame(seq: i32, ask: &Ask) -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend_from_slice(b"\x80\x01\x00\x01");
    put(&mut out, b"invoke");
    out.extend_from_slice(&seq.to_be_bytes());
    let since = ask.since_ms.to_string();
    let (number, room) = (reference(ask.reference), format!("{:.3}", ask.room_kb));
    let mut fields = vec![
        ("service", ask.method.as_str()),
        ("ref", &number),
        ("since", &since),
        ("sender", "1"),
        ("room", &room),
    ];
    if ask.retry {
        fields.push(("dup", "1"));
    }
    let token = ask.token.map(reference);
    if let Some(token) = &token {
        fields.push(("replay", token));
    }
    if !ask.tenant.is_empty() {
        fields.push(("project", &ask.tenant));
    }
    out.extend_from_slice(b"\x0d\x00\x01\x0b\x0b");
    out.extend_from_slice(&(fields.len() as u32).to_be_bytes());
    for (key, value) in fields {
        put(&mut out, key.as_bytes());
        put(&mut out, value.as_bytes());
    }
    out.extend_from_slice(b"\x0b\x00\x02");
    put(&mut out, &ask.body);
    out.push(0);
    let length = (out.len() - 4) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

struct Rest<'a>(&'a [u8]);

impl<'a> Rest<'a> {
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

/// What a frame says, and to which call; `None` where it is no answer, or where the server is about to close.
pub fn said(frame: &[u8]) -> Option<(i32, Said)> {
    let mut rest = Rest(frame);
    let kind = *rest.take(4)?.get(3)?;
    rest.bytes()?;
    let seq = rest.number()? as i32;
    match kind {
        3 => return Some((seq, Said::Refused)),
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
            // The last field says whether the run went well.
            0 => match rest.take(4)?[3] {
                1 => Said::Ok(body),
                _ => Said::Aborted,
            },
            1 => Said::PushedBack {
                after: Duration::from_millis(after),
                nowhere,
            },
            2 => Said::Aborted,
            _ => return None,
        },
    ))
}

type Waiting = Rc<RefCell<HashMap<i32, Sender<Said>>>>;

/// A connection that is made when it is needed and made again after it broke.
pub struct Link {
    address: SocketAddr,
    executor: Rc<LocalExecutor<'static>>,
    open: RefCell<Option<(Sender<Vec<u8>>, Waiting)>>,
    seq: Cell<i32>,
}

impl Link {
    pub fn new(address: SocketAddr, executor: Rc<LocalExecutor<'static>>) -> Link {
        Link {
            address,
            executor,
            open: RefCell::default(),
            seq: Cell::new(0),
        }
    }

    /// Frames put in here are written, whole and in order.
    fn line(&self) -> (Sender<Vec<u8>>, Waiting) {
        let mut open = self.open.borrow_mut();
        if let Some((out, waiting)) = open.as_ref().filter(|(out, _)| !out.is_closed()) {
            return (out.clone(), waiting.clone());
        }
        let (out, frames) = unbounded::<Vec<u8>>();
        let waiting = Waiting::default();
        let (address, told, ended) = (self.address, waiting.clone(), out.clone());
        let talk = async move {
            let stream = Rc::new(Async::<TcpStream>::connect(address).await?);
            stream.get_ref().set_nodelay(true)?;
            let write = async {
                while let Ok(frame) = frames.recv().await {
                    (&*stream).write_all(&frame).await?;
                }
                std::io::Result::Ok(())
            };
            futures_lite::future::race(write, read(&stream, &told)).await
        };
        let rest = waiting.clone();
        self.executor
            .spawn(async move {
                let _ = talk.await;
                ended.close();
                // Those that still wait hear that nobody will say anything.
                rest.borrow_mut().clear();
            })
            .detach();
        *open = Some((out.clone(), waiting.clone()));
        (out, waiting)
    }

    pub async fn ask(&self, ask: &Ask) -> Said {
        let (out, waiting) = self.line();
        let seq = self.seq.get().wrapping_add(1);
        self.seq.set(seq);
        let (sender, answer) = bounded(1);
        waiting.borrow_mut().insert(seq, sender);
        // Given up or answered, nothing of it stays.
        let _forget = Forget(waiting, seq);
        if out.send(frame(seq, ask)).await.is_err() {
            return Said::Broken;
        }
        answer.recv().await.unwrap_or(Said::Broken)
    }
}

struct Forget(Waiting, i32);

impl Drop for Forget {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

async fn read(stream: &Async<TcpStream>, waiting: &Waiting) -> std::io::Result<()> {
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
            if length > FRAME {
                return Err(std::io::ErrorKind::InvalidData.into());
            }
            let Some(frame) = bytes.get(used + 4..used + 4 + length) else {
                break;
            };
            if let Some((seq, said)) = said(frame)
                && let Some(sender) = waiting.borrow_mut().remove(&seq)
            {
                let _ = sender.try_send(said);
            }
            used += 4 + length;
        }
        bytes.drain(..used);
    }
}

#[cfg(test)]
mod tests;
