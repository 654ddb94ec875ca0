//! Calls to the store that all servers share.
//!
//! Each call has a connection of its own, which ends with it. Guards against corrupt, duplicated or foreign replies and against
//! idle connections that the store has closed: none of them reaches another call.
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
use crate::base::line_codec;
use crate::base::request_id::RequestId;
use crate::decisions::CallOutcome;
use crate::note;

/// The store reports a call that ran out of time; this server gives it up so much later, for a store that reports nothing.
const STORE_REPORT_MARGIN: Duration = Duration::from_millis(30);
/// Bytes of the read buffer at first.
const READ_BUFFER_BYTES: usize = 2 * 1024;
/// Bytes that the line before a request's body may take.
const REQUEST_LINE_BYTES: usize = 64;
/// Characters of a foreign reply's id that are logged.
const MAX_LOGGED_ID: usize = 16;

/// How a call ended.
pub struct CallResult {
    /// The outcome, as the scheduler is told it.
    pub outcome: CallOutcome,
    /// The body of the reply, after [`CallOutcome::Ok`].
    pub reply: Option<Vec<u8>>,
    /// From the start of the call to its end.
    pub elapsed: Duration,
}

/// The way to the store.
pub struct StoreClient(pub Rc<Endpoints>);

/// A call in flight; dropping it abandons the call.
pub struct StoreCall {
    exchange: Pin<Box<dyn Future<Output = CallResult>>>,
}

impl StoreCall {
    /// Waits for the end. The wait may be dropped and begun anew; the call goes on meanwhile.
    pub async fn result(&mut self) -> CallResult {
        self.exchange.as_mut().await
    }
}

/// Waits for the end of `call`, for ever where there is none.
pub async fn wait_for_result(call: &mut Option<StoreCall>) -> CallResult {
    match call {
        Some(call) => call.result().await,
        None => pending().await,
    }
}

impl StoreClient {
    /// Starts a call for the RPC `id` that may take `timeout`.
    pub fn call(&self, id: RequestId, timeout: Duration, body: &[u8]) -> StoreCall {
        let mut request = Vec::with_capacity(body.len() + REQUEST_LINE_BYTES);
        let timeout_ms = timeout.as_micros().div_ceil(1000);
        let line = format_args!("CALL {id} {timeout_ms}");
        line_codec::encode(&mut request, line, Some(body));
        StoreCall {
            exchange: Box::pin(call(self.0.clone(), id, timeout, request)),
        }
    }
}

async fn call(
    endpoints: Rc<Endpoints>,
    id: RequestId,
    timeout: Duration,
    request: Vec<u8>,
) -> CallResult {
    let began = Instant::now();
    // Whether any of the request may have reached the store.
    let sent = Cell::new(false);
    let timed_out = async {
        Timer::at(began + timeout + STORE_REPORT_MARGIN).await;
        // Guards against a pause of the process: the reply may have come and not been read yet.
        yield_now().await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let exchanged = exchange(&endpoints, id, &request, &sent)
        .or(timed_out)
        .await;
    let (outcome, reply) = match exchanged {
        Ok(reply) => (reply.outcome, reply.body),
        Err(error) => (failed_outcome(&error, sent.get()), None),
    };
    CallResult {
        outcome,
        reply,
        elapsed: began.elapsed(),
    }
}

/// The outcome of a call that ended without a reply.
fn failed_outcome(error: &io::Error, sent: bool) -> CallOutcome {
    let timed_out = error.kind() == io::ErrorKind::TimedOut;
    if !timed_out {
        note!(%error, "store call failed");
    }
    match (sent, timed_out) {
        // What never left this machine never ran.
        (false, _) => CallOutcome::Unreachable,
        (true, true) => CallOutcome::TimedOut,
        (true, false) => CallOutcome::ConnectionLost,
    }
}

/// A reply of the store.
struct Reply {
    outcome: CallOutcome,
    body: Option<Vec<u8>>,
}

async fn exchange(
    endpoints: &Endpoints,
    id: RequestId,
    request: &[u8],
    sent: &Cell<bool>,
) -> io::Result<Reply> {
    let address = endpoints
        .store
        .get()
        .ok_or_else(|| io::Error::other("no address is configured"))?;
    let stream = endpoints.descriptors.dial(address).await?;
    let _ = stream.get_ref().set_nodelay(true);
    let mut rest = request;
    while !rest.is_empty() {
        let count = (&stream).write(rest).await?;
        sent.set(true);
        rest = &rest[count..];
    }
    read_reply(&stream, &id.to_string()).await
}

/// The reply to the call for `id`; one for any other is ignored.
async fn read_reply(mut stream: &Async<TcpStream>, id: &str) -> io::Result<Reply> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut filled = 0;
    loop {
        if filled == buffer.len() {
            // A message that is longer than allowed was refused before.
            buffer.resize(2 * filled, 0);
        }
        match stream.read(&mut buffer[filled..]).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => filled += count,
        }
        let mut used = 0;
        let has_body = |words: &[&str]| words.get(1) == Some(&"OK");
        while let Some(message) = line_codec::decode(&buffer[used..filled], has_body)
            .map_err(|_| io::Error::other("a corrupt reply"))?
        {
            used += message.encoded_len;
            if message.words[0] == id {
                return decode_reply(&message.words, message.body);
            }
            let other: String = message.words[0].chars().take(MAX_LOGGED_ID).collect();
            note!(rpc_id = %other, "store replied to an unknown call");
        }
        buffer.copy_within(used..filled, 0);
        filled -= used;
    }
}

fn decode_reply(words: &[&str], body: &[u8]) -> io::Result<Reply> {
    let outcome = match words {
        [_, "OK", _] => CallOutcome::Ok,
        [_, "BUSY"] => CallOutcome::Rejected,
        [_, "ERR"] => CallOutcome::Error,
        [_, "LATE"] => CallOutcome::TimedOut,
        [_, "VOID"] => CallOutcome::NoLongerNeeded,
        _ => return Err(io::Error::other("an unknown reply")),
    };
    let body = (outcome == CallOutcome::Ok).then(|| body.to_vec());
    Ok(Reply { outcome, body })
}
