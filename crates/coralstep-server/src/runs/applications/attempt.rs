//! One attempt at one application.
//!
//! | event | outcome | known not to have run |
//! | --- | --- | --- |
//! | connection refused, application unreachable, or connect timeout; connection closed before anything was written | never started | yes |
//! | complete response with status 2xx to 4xx | ok with the body (2xx), error (3xx, 4xx) | no |
//! | complete response with status 5xx | error | no |
//! | any other failure after a byte was sent: connection reset, response truncated, too large, without a status, with unterminated headers or longer than its stated length | error | no |
//! | deadline of the RPC passes | failure of the application; the attempt continues | no |
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};

use async_io::{Async, Timer};
use coralstep_balancer::{End, Pick};
use coralstep_scgi::{Limits, response};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::decisions::RunOutcome;
use crate::note;
use crate::runs::applications::{Applications, RunInput};

/// Initial size of the read buffer, in bytes.
const READ_SIZE: usize = 4 * 1024;
/// Limits on the headers of a response.
const MAX_HEADERS: usize = 64;
const MAX_HEADER_BYTES: usize = 8 * 1024;

/// Result of an attempt.
pub(super) enum AttemptResult {
    /// The run has ended, and no retry could improve its outcome.
    Outcome(RunOutcome),
    /// The attempt ended without determining the run's outcome.
    Inconclusive(End),
}

/// A complete response.
struct Response {
    status: u16,
    body: Vec<u8>,
}

/// Returns the pick of an attempt to the balancer when dropped.
struct PickGuard<'a> {
    applications: &'a Applications,
    pick: Option<Pick>,
    end: End,
}

impl Drop for PickGuard<'_> {
    fn drop(&mut self) {
        if let Some(pick) = self.pick.take() {
            let applications = self.applications;
            let now = applications.now();
            applications.pool.borrow_mut().ended(now, pick, self.end);
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
            applications.pool.borrow_mut().overran(now, pick);
        }
        applications.log_breaker_changes();
    }
}

impl Applications {
    /// Makes one attempt, at the application of `pick`.
    pub(super) async fn attempt(&self, input: &RunInput, pick: Pick) -> AttemptResult {
        let address = *self.pool.borrow().key(&pick);
        let mut guard = PickGuard {
            applications: self,
            pick: Some(pick),
            end: End::GivenUp,
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
            Ok(response) => classify_response(response),
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
        read_response(&stream, max_body_bytes).await
    }
}

fn classify_response(Response { status, body }: Response) -> (End, AttemptResult) {
    match status {
        ..300 => {
            let outcome = RunOutcome::Ok(body.into());
            (End::Answered, AttemptResult::Outcome(outcome))
        }
        300..500 => (End::Answered, AttemptResult::Outcome(RunOutcome::Error)),
        _ => (End::Failed, AttemptResult::Inconclusive(End::Failed)),
    }
}

fn classify_failure(error: &io::Error, any_sent: bool) -> End {
    if any_sent {
        End::Broken
    } else if error.kind() == io::ErrorKind::ConnectionRefused {
        End::Refused
    } else {
        End::Unstarted
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

async fn read_response(
    mut stream: &Async<TcpStream>,
    max_body_bytes: usize,
) -> io::Result<Response> {
    let limits = Limits {
        max_head_bytes: MAX_HEADER_BYTES,
        max_headers: MAX_HEADERS,
        max_body_bytes,
    };
    let (mut buffer, mut filled, mut ended) = (vec![0; READ_SIZE], 0, false);
    loop {
        if filled == buffer.len() {
            // `decode` rejects responses that exceed the limits, which bounds the buffer.
            buffer.resize(2 * filled, 0);
        }
        match stream.read(&mut buffer[filled..]).await? {
            0 => ended = true,
            count => filled += count,
        }
        match response::decode(&buffer[..filled], ended, &limits) {
            Ok(Some((status, body))) => {
                let body = body.to_vec();
                return Ok(Response { status, body });
            }
            Ok(None) => {}
            Err(error) => return Err(io::Error::other(error)),
        }
    }
}
