use std::cell::Cell;
use std::time::Duration;

use coralstep::Span;
use coralstep_quota::{QuotaPermit, RequestKey};

use super::*;
use crate::decisions::QuotaLimiter;

pub(crate) mod fixture;
mod histories;

use fixture::{Answer, LONG_WINDOW, RESULT, Server, limits};

/// Time until the process stops, which outlasts every test.
const LONG_TIME: Duration = Duration::from_secs(60);

/// Runs two RPCs, after which a table of `limits` is full, and repeats both.
fn assert_full_table_rejects_only_new_rpcs(limits: Limits) {
    let server = Server::new(limits, LONG_WINDOW);
    let served = Answer::Ok(RESULT.into());
    let (first, second) = (server.send("a"), server.send("b"));
    assert_eq!(
        (first.answer(), second.answer()),
        (served.clone(), served.clone())
    );
    assert_eq!(
        server.send("c").answer(),
        Answer::Rejected,
        "the table is full"
    );
    assert_eq!(server.send("a").answer(), served);
    // The result of "b" does not fit into the memory for results.
    assert_eq!(server.send("b").answer(), Answer::Failed);
    assert_eq!(server.runs(), 2);
}

/// Guards against a repeat that is rejected as never run because it gets no entry in the RPC table.
#[test]
fn full_rpc_table_does_not_reject_repeat_of_rpc_that_has_run() {
    assert_full_table_rejects_only_new_rpcs(Limits {
        requests: 2,
        ..limits()
    });
}

/// Guards against a repeat that is rejected as never run because its own id can't be claimed.
#[test]
fn full_table_of_request_ids_does_not_reject_repeat_of_rpc_that_has_run() {
    assert_full_table_rejects_only_new_rpcs(Limits {
        request_ids: 2,
        ..limits()
    });
}

/// Limiter of a quota of one RPC at a time.
#[derive(Default)]
pub(crate) struct OneRpcQuota {
    used: Cell<bool>,
}

impl QuotaLimiter for OneRpcQuota {
    fn acquire(
        &self,
        _request: RequestKey,
        _timeout_ms: u64,
    ) -> Result<QuotaPermit, QuotaExhausted> {
        if self.used.replace(true) {
            return Err(QuotaExhausted { retry_after_ms: 1 });
        }
        Ok(QuotaPermit::default())
    }

    fn release(&self, _permit: QuotaPermit) {}
}

/// Guards against a repeat that is rejected as never run because a quota is exhausted.
#[test]
fn exhausted_quota_does_not_reject_repeat_that_is_read_after_its_retry_window() {
    let server = Server::new(limits(), Span::ms(5));
    let quota = Rc::new(OneRpcQuota::default());
    server.scheduler.set_quota_limiter(quota);
    let sent_at = Instant::now();
    let mut first = server.send("a");
    assert_eq!(first.answer(), Answer::Ok(RESULT.into()));
    // The task ends when the key is released.
    while !first.poll() {
        std::thread::sleep(server.scheduler.next_timeout());
        server.scheduler.handle_timeout(&[]);
    }
    let rejected = server.send("b").answer();
    assert_eq!(rejected, Answer::Rejected, "the quota is exhausted");
    let repeat = server.send_with_age("a", sent_at.elapsed());
    assert_eq!(repeat.answer(), Answer::Failed);
    assert_eq!(server.runs(), 1);
}

/// Guards against a repeat that is rejected as never run because the server sheds load.
#[test]
fn draining_or_excluded_server_serves_repeat_of_rpc_that_has_run() {
    let begin_drain: fn(&SchedulerHandle) = |scheduler| scheduler.begin_drain(LONG_TIME);
    let exclude: fn(&SchedulerHandle) =
        |scheduler| scheduler.set_exclusion_check(Rc::new(|| Some(Span::ms(1))));
    for reject_new_rpcs in [begin_drain, exclude] {
        let server = Server::new(limits(), LONG_WINDOW);
        let first = server.send("a");
        assert_eq!(first.answer(), Answer::Ok(RESULT.into()));
        reject_new_rpcs(&server.scheduler);
        assert_eq!(server.send("b").answer(), Answer::Rejected);
        assert_eq!(server.send("a").answer(), Answer::Ok(RESULT.into()));
        assert_eq!(server.runs(), 1);
    }
}
