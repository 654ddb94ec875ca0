//! Calls to the store that all servers share.
//!
//! Each call uses a separate connection.
//! Guards against corrupt, duplicate or misdirected replies and idle connections closed by the store,
//! so that none of them affects another call.
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

/// Time after a call's timeout at which this server gives up the call. Until then it waits for the
/// store's own report of the timeout, which a store that has failed doesn't send.
const STORE_REPORT_MARGIN: Duration = Duration::from_millis(30);
/// Initial size of the read buffer.
const READ_BUFFER_BYTES: usize = 2 * 1024;
/// Space reserved for the line before a request's body.
const REQUEST_LINE_BYTES: usize = 64;
/// Maximum number of characters that are logged of the id in a misdirected reply.
const MAX_LOGGED_ID: usize = 16;

/// Result of a call.
pub struct CallResult {
    /// The outcome that is reported to the scheduler.
    pub outcome: CallOutcome,
    /// The body of the reply; `None` unless the outcome is [`CallOutcome::Ok`].
    pub reply: Option<Vec<u8>>,
    /// Duration of the call.
    pub elapsed: Duration,
}

/// Client of the store.
pub struct StoreClient(pub Rc<Endpoints>);

/// A call in flight; dropping it cancels the call.
pub struct StoreCall {
    exchange: Pin<Box<dyn Future<Output = CallResult>>>,
}

impl StoreCall {
    /// Waits for the result. This future may be dropped and created again without affecting the
    /// call.
    pub async fn result(&mut self) -> CallResult {
        self.exchange.as_mut().await
    }
}

/// Waits for the result of `call`. Never completes if there is no call.
pub async fn wait_for_result(call: &mut Option<StoreCall>) -> CallResult {
    match call {
        Some(call) => call.result().await,
        None => pending().await,
    }
}

impl StoreClient {
    /// Starts a call for the RPC `id` that may take up to `timeout`.
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
    let started_at = Instant::now();
    // Whether any of the request may have reached the store.
    let sent = Cell::new(false);
    let timed_out = async {
        Timer::at(started_at + timeout + STORE_REPORT_MARGIN).await;
        // Guards against a timeout after a pause of the process, when the reply is not read yet.
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
        elapsed: started_at.elapsed(),
    }
}

/// Returns the outcome of a call that ended without a reply.
fn failed_outcome(error: &io::Error, sent: bool) -> CallOutcome {
    let timed_out = error.kind() == io::ErrorKind::TimedOut;
    if !timed_out {
        note!(%error, "store call failed");
    }
    match (sent, timed_out) {
        // The store can't have received the call.
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
        .ok_or_else(|| io::Error::other("no store address is configured"))?;
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

/// Reads the reply to the call for `id` and ignores replies with another id.
async fn read_reply(mut stream: &Async<TcpStream>, id: &str) -> io::Result<Reply> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut filled = 0;
    loop {
        if filled == buffer.len() {
            // `decode` rejects messages that exceed the length limit, which bounds the buffer.
            buffer.resize(2 * filled, 0);
        }
        // Guards against a store that sends without pause and starves all other tasks and timers.
        yield_now().await;
        match stream.read(&mut buffer[filled..]).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => filled += count,
        }
        let mut used = 0;
        let has_body = |words: &[&str]| words.get(1) == Some(&"OK");
        while let Some(message) = line_codec::decode(&buffer[used..filled], has_body)
            .map_err(|_| io::Error::other("corrupt reply"))?
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
        _ => return Err(io::Error::other("unknown reply")),
    };
    let body = (outcome == CallOutcome::Ok).then(|| body.to_vec());
    Ok(Reply { outcome, body })
}
