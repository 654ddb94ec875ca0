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
    let terms = SchedulerConfig {
        methods: vec![method],
        cores: 8,
        key_kb: 1.0,
        ..SchedulerConfig::default()
    };
    let terms = SchedulerConfig {
        memory_kb: 1e6,
        ..terms
    };
    let scheduler = Rc::new(SchedulerHandle::new(terms, Names::default(), 1, &limits));
    scheduler.start(Some(false), Duration::ZERO);
    scheduler
}

fn limits() -> Limits {
    Limits {
        connections: 1,
        spare_connections: 1,
        unread_reply_bytes: 1,
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

fn end(ticket: &RequestTicket, end: RunOutcome) -> Decision {
    // The token is kept: nothing is said until its window is over, and nothing is waited for here.
    ticket.report(Progress::RunEnded(end));
    block_on(or(ticket.next_decision(), ready(Decision::Finished)))
}

#[test]
fn a_decision_follows_each_report() {
    let scheduler = scheduler(limits());
    let (ticket, decision) = block_on(scheduler.submit(request(b"a"))).unwrap();
    assert_eq!(decision, Decision::Run);
    let decision = report(&ticket, Progress::CallNeeded);
    assert!(
        matches!(decision, Decision::Call { timeout } if !timeout.is_zero()),
        "{decision:?}"
    );
    let called = Progress::CallEnded {
        outcome: CallOutcome::Error,
        elapsed: Duration::from_millis(5),
    };
    assert_eq!(report(&ticket, called), Decision::Fail);
}

#[test]
fn an_engine_that_was_up_long_before_has_not_stood_still() {
    let target = Span::ms(60_000);
    let method = Method {
        latency_objective: target,
        deadline: target,
        ..Method::default()
    };
    let terms = SchedulerConfig {
        methods: vec![method],
        cores: 1,
        memory_kb: 1e6,
        ..SchedulerConfig::default()
    };
    let scheduler = Rc::new(SchedulerHandle::new(terms, Names::default(), 1, &limits()));
    scheduler.start(Some(false), Duration::from_secs(3_600));
    let (_runs, decision) = block_on(scheduler.submit(request(b"a"))).unwrap();
    assert_eq!(decision, Decision::Run);
    std::thread::sleep(clock::duration(Span::ms(25)));
    scheduler.handle_timeout(&[]);
    assert!(scheduler.is_healthy());
}

#[test]
fn a_panic_in_a_change_of_level_costs_neither_the_tick_nor_the_levels() {
    let target = Span::ms(60_000);
    let method = Method {
        latency_objective: target,
        deadline: target,
        ..Method::default()
    };
    let terms = SchedulerConfig {
        methods: vec![method],
        cores: 1,
        memory_kb: 1e6,
        ..SchedulerConfig::default()
    };
    let scheduler = SchedulerHandle::new(terms, Names::default(), 1, &limits());
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
        "the change came, and failed"
    );
    // RPCs are decided on as before, and with the next tick the level is carried out.
    let (_runs, decision) = block_on(scheduler.submit(request(b"a"))).unwrap();
    assert_eq!(decision, Decision::Run);
    scheduler.handle_timeout(&[]);
    assert_eq!(levels.level_name(), "closed");
    let (_rejected, decision) = block_on(scheduler.submit(request(b"b"))).unwrap();
    assert!(matches!(decision, Decision::Reject { .. }), "{decision:?}");
}

#[test]
fn a_full_table_takes_nothing_and_dropped_tickets_make_room_once_they_are_over() {
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
fn a_late_result_reaches_nobody_who_has_the_index_of_a_repeat_that_left() {
    let scheduler = scheduler(limits());
    let (first, _) = block_on(scheduler.submit(request(b"a"))).unwrap();
    let second = scheduler.enqueue(request(b"a")).unwrap();
    let index = second.id;
    assert_eq!(
        report(&second, Progress::CallerDisconnected),
        Decision::Finished
    );
    drop(second);
    let (third, decision) = block_on(scheduler.submit(request(b"b"))).unwrap();
    assert_eq!((third.id, decision), (index, Decision::Run));
    end(&first, RunOutcome::Ok(b"x"[..].into()));
    let next = block_on(or(third.next_decision(), ready(Decision::CancelRun)));
    assert_eq!(next, Decision::CancelRun, "nothing has been said to it");
}

#[test]
fn results_are_kept_for_repeats_while_there_is_room() {
    for (result, decision) in [
        (&b"12345678"[..], Decision::Replay(b"12345678"[..].into())),
        (&[0; 9], Decision::Fail),
    ] {
        let scheduler = scheduler(limits());
        let (first, _) = block_on(scheduler.submit(request(b"a"))).unwrap();
        end(&first, RunOutcome::Ok(result.into()));
        // A second end changes nothing.
        end(&first, RunOutcome::Cancelled);
        let (_second, repeat) = block_on(scheduler.submit(request(b"a"))).unwrap();
        assert_eq!(repeat, decision);
    }
}

#[test]
fn a_repeat_that_came_within_the_window_and_is_read_after_it_does_not_run() {
    let target = Span::ms(60_000);
    let method = Method {
        idempotency: Idempotency::Keyed,
        latency_objective: target,
        deadline: target,
        retry_window: Span::ms(5),
        ..Method::default()
    };
    let terms = SchedulerConfig {
        methods: vec![method],
        cores: 8,
        key_kb: 1.0,
        memory_kb: 1e6,
        ..SchedulerConfig::default()
    };
    let scheduler = Rc::new(SchedulerHandle::new(terms, Names::default(), 1, &limits()));
    scheduler.start(Some(false), Duration::ZERO);
    let began = Instant::now();
    let (first, _) = block_on(scheduler.submit(request(b"a"))).unwrap();
    end(&first, RunOutcome::Ok(b"x"[..].into()));
    drop(first);
    // The window is over, and the key is let go of.
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
    let came = |age: Duration| RpcRequest {
        age: clock::span(age),
        ..request(b"a")
    };
    let rejected = block_on(scheduler.submit(came(began.elapsed()))).err();
    assert_eq!(rejected, Some(AdmissionError::KeyConflict));
    // One that comes after it is another RPC.
    let (_second, decision) = block_on(scheduler.submit(came(Duration::ZERO))).unwrap();
    assert_eq!(decision, Decision::Run);
}
