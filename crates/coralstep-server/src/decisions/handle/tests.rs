use async_io::block_on;
use coralstep::{Idempotency, Method};
use futures_lite::future::{or, ready};

use std::time::Instant;

use coralstep::Actions;

use super::*;
use crate::decisions::idempotency_keys::IdempotencyKey;
use crate::decisions::{
    AdmissionError, CallOutcome, Progress, RequestTicket, RpcRequest, RunOutcome,
};

fn scheduler(limits: Limits) -> Rc<SchedulerHandle> {
    let target = Span::ms(60_000);
    let method = Method {
        idempotency: Idempotency::Keyed,
        latency_objective: target,
        deadline: target,
        ..Method::default()
    };
    let config = SchedulerConfig {
        methods: vec![method],
        cores: 8,
        key_kb: 1.0,
        ..SchedulerConfig::default()
    };
    let config = SchedulerConfig {
        memory_kb: 1e6,
        ..config
    };
    let scheduler = Rc::new(SchedulerHandle::new(config, Names::default(), 1, &limits));
    scheduler.start(Some(false), Duration::ZERO);
    scheduler
}

fn limits() -> Limits {
    Limits {
        connections: 1,
        spare_connections: 1,
        receive_bytes: 1 << 20,
        unread_reply_bytes: 1,
        request_bytes: 1 << 20,
        requests: 2,
        result_bytes: 8,
        request_ids: 8,
    }
}

fn request(key: &[u8]) -> RpcRequest {
    RpcRequest {
        memory_kb: 1.0,
        idempotency_key: Some(key.into()),
        ..RpcRequest::default()
    }
}

fn report(ticket: &RequestTicket, progress: Progress) -> Decision {
    ticket.report(progress);
    block_on(ticket.next_decision())
}

fn end_run(ticket: &RequestTicket, outcome: RunOutcome) -> Decision {
    // `Finished` follows only at the end of the retry window, which this doesn't wait for.
    ticket.report(Progress::RunEnded(outcome));
    block_on(or(ticket.next_decision(), ready(Decision::Finished)))
}

#[test]
fn reported_progress_yields_next_decision() {
    let scheduler = scheduler(limits());
    let (ticket, decision) = block_on(scheduler.submit(request(b"a"))).unwrap();
    assert_eq!(decision, Decision::Run);
    let decision = report(&ticket, Progress::CallNeeded);
    assert!(
        matches!(decision, Decision::Call { timeout } if !timeout.is_zero()),
        "{decision:?}"
    );
    let call_ended = Progress::CallEnded {
        outcome: CallOutcome::Error,
        elapsed: Duration::from_millis(5),
    };
    assert_eq!(report(&ticket, call_ended), Decision::Fail);
}

#[test]
fn long_engine_uptime_is_not_taken_for_a_stall() {
    let target = Span::ms(60_000);
    let method = Method {
        latency_objective: target,
        deadline: target,
        ..Method::default()
    };
    let config = SchedulerConfig {
        methods: vec![method],
        cores: 1,
        memory_kb: 1e6,
        ..SchedulerConfig::default()
    };
    let scheduler = Rc::new(SchedulerHandle::new(config, Names::default(), 1, &limits()));
    scheduler.start(Some(false), Duration::from_secs(3_600));
    let (_runs, decision) = block_on(scheduler.submit(request(b"a"))).unwrap();
    assert_eq!(decision, Decision::Run);
    std::thread::sleep(clock::duration(Span::ms(25)));
    scheduler.handle_timeout(&[]);
    assert!(scheduler.is_healthy());
}

#[test]
fn panic_in_level_change_keeps_timeouts_and_levels_working() {
    let target = Span::ms(60_000);
    let method = Method {
        latency_objective: target,
        deadline: target,
        ..Method::default()
    };
    let config = SchedulerConfig {
        methods: vec![method],
        cores: 1,
        memory_kb: 1e6,
        ..SchedulerConfig::default()
    };
    let scheduler = SchedulerHandle::new(config, Names::default(), 1, &limits());
    let scheduler = Rc::new(
        scheduler
            .with_degradation(&DegradationConfig::default())
            .unwrap(),
    );
    scheduler.start(Some(false), Duration::ZERO);
    let levels = scheduler.degradation().unwrap();
    levels.set_override("closed", 60_000).unwrap();
    levels.panic_on_next_change.set(true);
    scheduler.handle_timeout(&[]);
    assert!(
        !levels.panic_on_next_change.get(),
        "the level changed and the change panicked"
    );
    // RPCs are admitted as before, and the next timeout applies the level.
    let (_runs, decision) = block_on(scheduler.submit(request(b"a"))).unwrap();
    assert_eq!(decision, Decision::Run);
    scheduler.handle_timeout(&[]);
    assert_eq!(levels.level_name(), "closed");
    let (_rejected, decision) = block_on(scheduler.submit(request(b"b"))).unwrap();
    assert!(matches!(decision, Decision::Reject { .. }), "{decision:?}");
}

#[test]
fn full_table_rejects_rpcs_until_dropped_ticket_is_finished() {
    let scheduler = scheduler(limits());
    let (first, _) = block_on(scheduler.submit(request(b"a"))).unwrap();
    let (second, _) = block_on(scheduler.submit(request(b"b"))).unwrap();
    assert!(
        block_on(scheduler.submit(request(b"c")))
            .is_err_and(|why| why == AdmissionError::TableFull)
    );
    let id = first.id;
    drop((first, second));
    assert!(
        block_on(scheduler.submit(request(b"c")))
            .is_err_and(|why| why == AdmissionError::TableFull)
    );
    scheduler.inner.borrow_mut().actions.release_id(id);
    assert!(block_on(scheduler.submit(request(b"c"))).is_ok());
}

#[test]
fn late_result_is_not_delivered_to_rpc_that_reuses_id_of_cancelled_repeat() {
    let scheduler = scheduler(limits());
    let (first, _) = block_on(scheduler.submit(request(b"a"))).unwrap();
    let second = scheduler.enqueue(request(b"a")).unwrap();
    let reused_id = second.id;
    assert_eq!(
        report(&second, Progress::CallerDisconnected),
        Decision::Finished
    );
    drop(second);
    let (third, decision) = block_on(scheduler.submit(request(b"b"))).unwrap();
    assert_eq!((third.id, decision), (reused_id, Decision::Run));
    end_run(&first, RunOutcome::Ok(b"x"[..].into()));
    let next = block_on(or(third.next_decision(), ready(Decision::CancelRun)));
    assert_eq!(
        next,
        Decision::CancelRun,
        "no decision is pending for the third RPC"
    );
}

#[test]
fn result_is_replayed_only_if_it_fits_into_memory_limit() {
    for (result, decision) in [
        (&b"12345678"[..], Decision::Replay(b"12345678"[..].into())),
        (&[0; 9], Decision::Fail),
    ] {
        let scheduler = scheduler(limits());
        let (first, _) = block_on(scheduler.submit(request(b"a"))).unwrap();
        end_run(&first, RunOutcome::Ok(result.into()));
        // A second outcome is ignored.
        end_run(&first, RunOutcome::Cancelled);
        let (_second, repeat) = block_on(scheduler.submit(request(b"a"))).unwrap();
        assert_eq!(repeat, decision);
    }
}

#[test]
fn repeat_that_arrived_within_retry_window_does_not_run_after_it() {
    let target = Span::ms(60_000);
    let method = Method {
        idempotency: Idempotency::Keyed,
        latency_objective: target,
        deadline: target,
        retry_window: Span::ms(5),
        ..Method::default()
    };
    let config = SchedulerConfig {
        methods: vec![method],
        cores: 8,
        key_kb: 1.0,
        memory_kb: 1e6,
        ..SchedulerConfig::default()
    };
    let scheduler = Rc::new(SchedulerHandle::new(config, Names::default(), 1, &limits()));
    scheduler.start(Some(false), Duration::ZERO);
    let submitted_at = Instant::now();
    let (first, _) = block_on(scheduler.submit(request(b"a"))).unwrap();
    end_run(&first, RunOutcome::Ok(b"x"[..].into()));
    drop(first);
    // Waits until the retry window ends and the key is released.
    while scheduler
        .inner
        .borrow()
        .actions
        .idempotency_keys
        .is_retained(&IdempotencyKey {
            method: 0,
            key: b"a"[..].into(),
        })
    {
        std::thread::sleep(scheduler.next_timeout());
        scheduler.handle_timeout(&[]);
    }
    let request_of_age = |age: Duration| RpcRequest {
        age: clock::span(age),
        ..request(b"a")
    };
    let rejected = block_on(scheduler.submit(request_of_age(submitted_at.elapsed()))).err();
    assert_eq!(rejected, Some(AdmissionError::KeyConflict));
    // An attempt that arrives after the window counts as a new RPC.
    let (_second, decision) = block_on(scheduler.submit(request_of_age(Duration::ZERO))).unwrap();
    assert_eq!(decision, Decision::Run);
}
