//! Calls to the store that all servers share. Each has a connection of its own, ended with it: guards against replies
//! that are spoilt, doubled or somebody else's, and against idle connections that the store has forgotten. None of
//! them can reach another call.
use std::cell::Cell;
use std::future::pending;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::base::endpoints::Endpoints;
use crate::base::lines::{self, Ref};
use crate::decisions::CallOutcome;
use crate::note;

/// The store itself says when the stated time is over; ours runs out a little later, for a store that says nothing.
const SILENT: Duration = Duration::from_millis(30);
const READ: usize = 2 * 1024;

/// How a call ended, with the reply of one that went well.
pub struct Ended {
    pub end: CallOutcome,
    pub answer: Option<Vec<u8>>,
    pub took: Duration,
}

pub struct Store(pub Rc<Endpoints>);

/// A call; given up when dropped before its end.
pub struct Call {
    talk: Pin<Box<dyn Future<Output = Ended>>>,
}

impl Call {
    /// May be dropped and asked again; the call goes on meanwhile.
    pub async fn ended(&mut self) -> Ended {
        self.talk.as_mut().await
    }
}

impl Store {
    pub fn call(&self, id: Ref, patience: Duration, body: &[u8]) -> Call {
        let mut bytes = Vec::with_capacity(body.len() + 64);
        let ms = patience.as_micros().div_ceil(1000);
        lines::put(&mut bytes, format_args!("CALL {id} {ms}"), Some(body));
        Call {
            talk: Box::pin(call(self.0.clone(), id, patience, bytes)),
        }
    }
}

async fn call(endpoints: Rc<Endpoints>, id: Ref, patience: Duration, bytes: Vec<u8>) -> Ended {
    let began = Instant::now();
    // Whether any of it may have reached the store.
    let left = Cell::new(false);
    let out_of_time = async {
        Timer::at(began + patience + SILENT).await;
        // Guards against a pause of the process: the reply may have come, unread as yet.
        yield_now().await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let talked = talk(&endpoints, id, &bytes, &left).or(out_of_time).await;
    let (end, answer) = talked.unwrap_or_else(|why| {
        let timed_out = why.kind() == io::ErrorKind::TimedOut;
        if !timed_out {
            note!("store: a call ended: {why}");
        }
        let end = match (left.get(), timed_out) {
            // What never left this machine was never run.
            (false, _) => CallOutcome::Unreachable,
            (true, true) => CallOutcome::TimedOut,
            (true, false) => CallOutcome::Broken,
        };
        (end, None)
    });
    Ended {
        end,
        answer,
        took: began.elapsed(),
    }
}

async fn talk(
    endpoints: &Endpoints,
    id: Ref,
    bytes: &[u8],
    left: &Cell<bool>,
) -> io::Result<(CallOutcome, Option<Vec<u8>>)> {
    let address = endpoints
        .store
        .get()
        .ok_or_else(|| io::Error::other("no address is configured"))?;
    let stream = endpoints.descriptors.dial(address).await?;
    let _ = stream.get_ref().set_nodelay(true);
    let mut rest = bytes;
    while !rest.is_empty() {
        let count = (&stream).write(rest).await?;
        left.set(true);
        rest = &rest[count..];
    }
    let reply = read(&stream, id).await?;
    Ok(reply)
}

/// The reply to the call for `id`; one for any other is passed over.
async fn read(
    mut stream: &Async<TcpStream>,
    id: Ref,
) -> io::Result<(CallOutcome, Option<Vec<u8>>)> {
    let id = id.to_string();
    let (mut buffer, mut filled) = (vec![0; READ], 0);
    loop {
        if filled == buffer.len() {
            // What is longer than any message was found out before.
            buffer.resize(2 * filled, 0);
        }
        match stream.read(&mut buffer[filled..]).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => filled += count,
        }
        let mut used = 0;
        while let Some((words, body, length)) =
            lines::message(&buffer[used..filled], |words| words.get(1) == Some(&"OK"))
                .map_err(|_| io::Error::other("a garbled reply"))?
        {
            used += length;
            let end = match *words {
                [of, ..] if of != id => {
                    note!("store: a reply for {of:.16}, which is not asked here");
                    continue;
                }
                [_, "OK", _] => CallOutcome::Ok,
                [_, "BUSY"] => CallOutcome::Rejected,
                [_, "ERR"] => CallOutcome::Error,
                [_, "LATE"] => CallOutcome::TimedOut,
                [_, "VOID"] => CallOutcome::NoLongerNeeded,
                _ => return Err(io::Error::other("an unknown reply")),
            };
            return Ok((end, (end == CallOutcome::Ok).then(|| body.to_vec())));
        }
        buffer.copy_within(used..filled, 0);
        filled -= used;
    }
}

/// Never ends where there is no call.
pub async fn ended(call: &mut Option<Call>) -> Ended {
    match call {
        Some(call) => call.ended().await,
        None => pending().await,
    }
}
