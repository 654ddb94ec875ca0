use async_io::block_on;
use coralstep::{Idempotency, Method};
use futures_lite::future::{or, ready};

use super::*;

fn facade(limits: Limits) -> Rc<Facade> {
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
    let facade = Rc::new(Facade::new(terms, Names::default(), 1, &limits));
    facade.start(Some(false), Duration::ZERO);
    facade
}

fn limits() -> Limits {
    Limits {
        connections: 1,
        spare: 1,
        answers: 1,
        rpcs: 2,
        results: 8,
        ids: 8,
    }
}

fn offer(token: &[u8]) -> Offer {
    Offer {
        room_kb: 1.0,
        token: Some(token.into()),
        ..Offer::default()
    }
}

fn end(facade: &Facade, ticket: &Ticket, end: RunEnd) -> Verdict {
    // The token is kept: nothing is said until its window is over, and nothing is waited for here.
    block_on(or(
        facade.report(ticket, News::Ran(end)),
        ready(Verdict::Over),
    ))
}

#[test]
fn a_verdict_follows_each_report() {
    let facade = facade(limits());
    let (ticket, verdict) = block_on(facade.pick(offer(b"a"))).unwrap();
    assert_eq!(verdict, Verdict::Run);
    let verdict = block_on(facade.report(&ticket, News::NeedsCall));
    assert!(
        matches!(verdict, Verdict::Call { patience } if !patience.is_zero()),
        "{verdict:?}"
    );
    let called = News::Called {
        end: CallEnd::Error,
        took: Duration::from_millis(5),
    };
    assert_eq!(block_on(facade.report(&ticket, called)), Verdict::Abort);
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
    let facade = Rc::new(Facade::new(terms, Names::default(), 1, &limits()));
    facade.start(Some(false), Duration::from_secs(3_600));
    let (_runs, verdict) = block_on(facade.pick(offer(b"a"))).unwrap();
    assert_eq!(verdict, Verdict::Run);
    std::thread::sleep(clock::duration(Span::ms(25)));
    facade.tick(&[]);
    assert!(facade.healthy());
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
    let facade = Facade::new(terms, Names::default(), 1, &limits());
    let facade = Rc::new(facade.with_levels(&DegradationConfig::default()).unwrap());
    facade.start(Some(false), Duration::ZERO);
    let levels = facade.levels().unwrap();
    levels.hold("closed", 60_000).unwrap();
    levels.fails.set(true);
    facade.tick(&[]);
    assert!(!levels.fails.get(), "the change came, and failed");
    // RPCs are decided on as before, and with the next beat the level is carried out.
    let (_runs, verdict) = block_on(facade.pick(offer(b"a"))).unwrap();
    assert_eq!(verdict, Verdict::Run);
    facade.tick(&[]);
    assert_eq!(levels.name(), "closed");
    let (_turned_away, verdict) = block_on(facade.pick(offer(b"b"))).unwrap();
    assert!(matches!(verdict, Verdict::PushBack { .. }), "{verdict:?}");
}

#[test]
fn a_full_table_takes_nothing_and_dropped_tickets_make_room_once_they_are_over() {
    let facade = facade(limits());
    let (first, _) = block_on(facade.pick(offer(b"a"))).unwrap();
    let (second, _) = block_on(facade.pick(offer(b"b"))).unwrap();
    assert!(block_on(facade.pick(offer(b"c"))).is_err_and(|why| why == Unpicked::Full));
    let id = first.id;
    drop((first, second));
    assert!(block_on(facade.pick(offer(b"c"))).is_err_and(|why| why == Unpicked::Full));
    facade.inner.borrow_mut().desk.release_id(id);
    assert!(block_on(facade.pick(offer(b"c"))).is_ok());
}

#[test]
fn a_late_result_reaches_nobody_who_has_the_index_of_a_repeat_that_left() {
    let facade = facade(limits());
    let (first, _) = block_on(facade.pick(offer(b"a"))).unwrap();
    let second = facade.arrive(offer(b"a")).unwrap();
    let index = second.id;
    assert_eq!(block_on(facade.report(&second, News::Gone)), Verdict::Over);
    drop(second);
    let (third, verdict) = block_on(facade.pick(offer(b"b"))).unwrap();
    assert_eq!((third.id, verdict), (index, Verdict::Run));
    end(&facade, &first, RunEnd::Ok(b"x"[..].into()));
    let next = block_on(or(
        facade.report(&third, News::Underway),
        ready(Verdict::Halt),
    ));
    assert_eq!(next, Verdict::Halt, "nothing has been said to it");
}

#[test]
fn results_are_kept_for_repeats_while_there_is_room() {
    for (result, verdict) in [
        (&b"12345678"[..], Verdict::Replay(b"12345678"[..].into())),
        (&[0; 9], Verdict::Abort),
    ] {
        let facade = facade(limits());
        let (first, _) = block_on(facade.pick(offer(b"a"))).unwrap();
        end(&facade, &first, RunEnd::Ok(result.into()));
        // A second end changes nothing.
        end(&facade, &first, RunEnd::Cancelled);
        let (_second, repeat) = block_on(facade.pick(offer(b"a"))).unwrap();
        assert_eq!(repeat, verdict);
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
    let facade = Rc::new(Facade::new(terms, Names::default(), 1, &limits()));
    facade.start(Some(false), Duration::ZERO);
    let began = Instant::now();
    let (first, _) = block_on(facade.pick(offer(b"a"))).unwrap();
    end(&facade, &first, RunEnd::Ok(b"x"[..].into()));
    drop(first);
    // The window is over, and the token is let go of.
    while facade
        .inner
        .borrow()
        .desk
        .tokens
        .is_kept(&(0, b"a"[..].into()))
    {
        std::thread::sleep(facade.next_tick());
        facade.tick(&[]);
    }
    let came = |age: Duration| Offer {
        age: clock::span(age),
        ..offer(b"a")
    };
    let unpicked = block_on(facade.pick(came(began.elapsed()))).err();
    assert_eq!(unpicked, Some(Unpicked::Barred));
    // One that comes after it is another RPC.
    let (_second, verdict) = block_on(facade.pick(came(Duration::ZERO))).unwrap();
    assert_eq!(verdict, Verdict::Run);
}
