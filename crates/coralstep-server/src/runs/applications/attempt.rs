//! One attempt at one application.
//!
//! | seen | outcome | proves that it never ran |
//! | --- | --- | --- |
//! | connection refused, unreachable, or none within the limit; closed before anything was written | never started | yes |
//! | a whole answer of 2xx to 4xx | ok with the body (2xx), error | no |
//! | a whole answer of 5xx | error | no |
//! | anything else once a byte has left: reset, cut short, oversize, no status, headers without end, longer than its length | error | no |
//! | the RPC's deadline passes | a failure of the application; the attempt goes on | no |
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};

use async_io::{Async, Timer};
use coralstep_balancer::{Attempt, AttemptOutcome};
use coralstep_scgi::{Limits, response};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::decisions::RunOutcome;
use crate::note;
use crate::runs::applications::{Applications, Job};

/// Bytes read at once, at first.
const READ_SIZE: usize = 4 * 1024;
/// Bounds of the headers of one answer.
const MAX_HEADERS: usize = 64;
const MAX_HEADER_BYTES: usize = 8 * 1024;

/// What an attempt led to.
pub(super) enum AttemptResult {
    /// The run has ended; another attempt could not better that.
    Outcome(RunOutcome),
    /// The attempt ended so, without an outcome of the run.
    Inconclusive(AttemptOutcome),
}

/// A whole answer.
struct Response {
    status: u16,
    body: Vec<u8>,
}

/// Gives the pick of an attempt back, however that ends.
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
    /// The RPC's deadline has passed with the attempt still open.
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
    pub(super) async fn attempt(&self, job: &Job, pick: Attempt) -> AttemptResult {
        let address = *self.pool.borrow().key(&pick);
        let mut guard = PickGuard {
            applications: self,
            pick: Some(pick),
            end: AttemptOutcome::Abandoned,
        };
        let bytes_left = Cell::new(false);
        let mut exchange = std::pin::pin!(self.exchange(address, job, &bytes_left));
        let overdue = async {
            Timer::at(job.deadline).await;
            None
        };
        let in_time = async { Some(exchange.as_mut().await) }.or(overdue).await;
        let exchanged = match in_time {
            Some(exchanged) => exchanged,
            None => {
                // Its end is waited for all the same, for it may still be at work.
                guard.mark_overdue();
                exchange.await
            }
        };
        let (end, result) = match exchanged {
            Ok(response) => judge_response(response),
            Err(error) => {
                note!(
                    application = %address,
                    rpc_id = %job.id,
                    %error,
                    "application attempt failed"
                );
                let end = judge_failure(&error, bytes_left.get());
                (end, AttemptResult::Inconclusive(end))
            }
        };
        guard.end = end;
        result
    }

    /// Sends the request and reads the answer. `bytes_left` is set once any byte may have reached
    /// the application.
    async fn exchange(
        &self,
        address: SocketAddr,
        job: &Job,
        bytes_left: &Cell<bool>,
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
        write_request(&stream, &job.bytes, bytes_left).await?;
        read_response(&stream, max_body_bytes).await
    }
}

fn judge_response(Response { status, body }: Response) -> (AttemptOutcome, AttemptResult) {
    match status {
        ..300 => {
            let outcome = RunOutcome::Ok(body.into());
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

fn judge_failure(error: &io::Error, bytes_left: bool) -> AttemptOutcome {
    if bytes_left {
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
    bytes_left: &Cell<bool>,
) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let count = stream.write(rest).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes_left.set(true);
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
            // What is longer than any answer was found out before.
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
