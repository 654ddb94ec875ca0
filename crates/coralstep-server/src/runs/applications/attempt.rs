//! One attempt at one application.
//!
//! | event | outcome | known not to have run |
//! | --- | --- | --- |
//! | connection refused, application unreachable, or connect timeout; connection closed before anything was written | never started | yes |
//! | complete response with status 2xx to 4xx | ok with the body (2xx), error (3xx, 4xx) | no |
//! | complete response with status 5xx | error | no |
//! | any other failure after a byte was sent: connection reset, response truncated, too large, without a status, with unterminated headers or longer than its stated length | error | no |
//! | no byte of a response for 1 s, while other responses wait for its memory | error | no |
//! | deadline of the RPC passes | failure of the application; the attempt continues | no |
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use coralstep_balancer::{Attempt, AttemptOutcome};
use coralstep_scgi::{Limits, response};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::base::memory_budget::Reservation;
use crate::decisions::RunOutcome;
use crate::note;
use crate::runs::applications::{Applications, RunInput};

/// Initial size of the read buffer, in bytes.
const READ_SIZE: usize = 4 * 1024;
/// Limits on the headers of a response.
const MAX_HEADERS: usize = 64;
const MAX_HEADER_BYTES: usize = 8 * 1024;
/// Time without input after which a response is given up while others wait for its memory.
const STALLED_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of times that a response is in memory: as received, as the result, and in the reply.
const RESPONSE_COPIES: usize = 3;

/// Result of an attempt.
pub(super) enum AttemptResult {
    /// The run has ended, and no retry could improve its outcome.
    Outcome(RunOutcome),
    /// The attempt ended without determining the run's outcome.
    Inconclusive(AttemptOutcome),
}

/// A complete response.
struct Response {
    status: u16,
    body: Rc<[u8]>,
    /// Memory of the response beyond [`READ_SIZE`].
    memory: Option<Reservation>,
}

/// Returns the pick of an attempt to the balancer when dropped.
struct PickGuard<'a> {
    applications: &'a Applications,
    pick: Option<Attempt>,
    end: AttemptOutcome,
}

impl Drop for PickGuard<'_> {
    fn drop(&mut self) {
        if let Some(pick) = self.pick.take() {
            let applications = self.applications;
            let now = applications.now();
            applications
                .pool
                .borrow_mut()
                .finish_attempt(now, pick, self.end);
            applications.log_breaker_changes();
        }
    }
}

impl PickGuard<'_> {
    /// Records that the RPC's deadline passed before the attempt ended.
    fn mark_overdue(&mut self) {
        let applications = self.applications;
        if let Some(pick) = &mut self.pick {
            let now = applications.now();
            applications.pool.borrow_mut().time_out_attempt(now, pick);
        }
        applications.log_breaker_changes();
    }
}

impl Applications {
    /// Makes one attempt, at the application of `pick`.
    pub(super) async fn attempt(&self, input: &RunInput, pick: Attempt) -> AttemptResult {
        let address = *self.pool.borrow().key(&pick);
        let mut guard = PickGuard {
            applications: self,
            pick: Some(pick),
            end: AttemptOutcome::Abandoned,
        };
        let any_sent = Cell::new(false);
        let mut exchange = std::pin::pin!(self.exchange(address, input, &any_sent));
        let overdue = async {
            Timer::at(input.deadline).await;
            None
        };
        let in_time = async { Some(exchange.as_mut().await) }.or(overdue).await;
        let exchanged = match in_time {
            Some(exchanged) => exchanged,
            None => {
                // Waits for the end of the attempt, because the application may still be running it.
                guard.mark_overdue();
                exchange.await
            }
        };
        let (end, result) = match exchanged {
            Ok(mut response) => {
                if let Some(memory) = response.memory.take() {
                    self.keep_response_memory(input.id, memory);
                }
                classify_response(response)
            }
            Err(error) => {
                note!(
                    application = %address,
                    rpc_id = %input.id,
                    %error,
                    "application attempt failed"
                );
                let end = classify_failure(&error, any_sent.get());
                (end, AttemptResult::Inconclusive(end))
            }
        };
        guard.end = end;
        result
    }

    /// Sends the request and reads the response. `any_sent` is set once any byte may have reached
    /// the application.
    async fn exchange(
        &self,
        address: SocketAddr,
        input: &RunInput,
        any_sent: &Cell<bool>,
    ) -> io::Result<Response> {
        let (connect_timeout, max_body_bytes) = {
            let config = self.config.borrow();
            (config.connect_timeout(), config.result_kb as usize * 1024)
        };
        let timeout = async {
            Timer::after(connect_timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = self.descriptors.dial(address).or(timeout).await?;
        let _ = stream.get_ref().set_nodelay(true);
        write_request(&stream, &input.bytes, any_sent).await?;
        self.read_response(&stream, max_body_bytes).await
    }
}

fn classify_response(Response { status, body, .. }: Response) -> (AttemptOutcome, AttemptResult) {
    match status {
        ..300 => {
            let outcome = RunOutcome::Ok(body);
            (AttemptOutcome::Answered, AttemptResult::Outcome(outcome))
        }
        300..500 => (
            AttemptOutcome::Answered,
            AttemptResult::Outcome(RunOutcome::Error),
        ),
        _ => (
            AttemptOutcome::Failed,
            AttemptResult::Inconclusive(AttemptOutcome::Failed),
        ),
    }
}

fn classify_failure(error: &io::Error, any_sent: bool) -> AttemptOutcome {
    if any_sent {
        AttemptOutcome::Interrupted
    } else if error.kind() == io::ErrorKind::ConnectionRefused {
        AttemptOutcome::ConnectionRefused
    } else {
        AttemptOutcome::NotSent
    }
}

async fn write_request(
    mut stream: &Async<TcpStream>,
    bytes: &[u8],
    any_sent: &Cell<bool>,
) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let count = stream.write(rest).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        any_sent.set(true);
        rest = &rest[count..];
    }
    Ok(())
}

impl Applications {
    /// Reads a response. One that exceeds [`READ_SIZE`] waits unread until there is memory for all of it.
    ///
    /// Guards against responses of all attempts that together exceed the memory.
    async fn read_response(
        &self,
        mut stream: &Async<TcpStream>,
        max_body_bytes: usize,
    ) -> io::Result<Response> {
        let limits = Limits {
            max_head_bytes: MAX_HEADER_BYTES,
            max_headers: MAX_HEADERS,
            max_body_bytes,
        };
        let (mut buffer, mut filled, mut ended) = (vec![0; READ_SIZE], 0, false);
        let mut memory = None;
        loop {
            if filled == buffer.len() {
                // `decode` rejects responses that exceed the limits, which bounds the buffer.
                let max_len = max_response_len(&buffer, &limits).max(filled + 1);
                memory = Some(
                    self.response_budget
                        .reserve(RESPONSE_COPIES * max_len)
                        .await,
                );
                buffer.resize(max_len, 0);
            }
            let waiting_since = Instant::now();
            let stalled = async {
                if memory.is_none() {
                    std::future::pending::<()>().await;
                }
                self.response_budget
                    .wait_until_stalled(waiting_since, STALLED_RESPONSE_TIMEOUT)
                    .await;
                Err(io::ErrorKind::TimedOut.into())
            };
            match stream.read(&mut buffer[filled..]).or(stalled).await? {
                0 => ended = true,
                count => filled += count,
            }
            match response::decode(&buffer[..filled], ended, &limits) {
                Ok(Some((status, body))) => {
                    let body = body.into();
                    return Ok(Response {
                        status,
                        body,
                        memory,
                    });
                }
                Ok(None) => {}
                Err(error) => return Err(io::Error::other(error)),
            }
        }
    }
}

/// Returns the maximum size in bytes of the response that begins with `bytes`, with one byte more to notice an excess.
fn max_response_len(bytes: &[u8], limits: &Limits) -> usize {
    let head = response::decode_head(bytes, limits).ok().flatten();
    let (head_len, body_len) = match head {
        Some((head, head_len)) => (head_len, head.content_length),
        None => (limits.max_head_bytes, None),
    };
    head_len + body_len.unwrap_or(limits.max_body_bytes) + 1
}
