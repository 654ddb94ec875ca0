//! The server with SCGI applications instead of an engine; some are down, slow or send invalid responses.
mod stand_ins;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use stand_ins::scgi::{AppBehavior, Application, Caller, request, site};
use stand_ins::{LIMIT, Reply, TestServer, id};

fn body(index: u32) -> Vec<u8> {
    format!("request {index}").into_bytes()
}

/// Waits until `what` is true.
fn wait_until(what: impl Fn() -> bool) {
    let start = Instant::now();
    while !what() {
        assert!(start.elapsed() < LIMIT, "condition not reached in time");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn rpcs_over_both_protocols_run_on_applications() {
    let application = Application::start(AppBehavior::Echo);
    let server = TestServer::with_site(&site(&[application.address], ""));
    let answer = server.send_scgi("/read/x", &[], b"this").answer().unwrap();
    assert_eq!((answer.status, &answer.body[..]), (200, &b"ran this"[..]));
    let mut gateway = server.gateway();
    let seq = gateway.invoke("pay", &id(1), b"that", &[]);
    assert_eq!(
        gateway.read_reply(),
        Reply::Answer {
            seq,
            body: b"ran that".into(),
            good: true
        }
    );
    // Idempotency keys work as with an engine: one run, two answers.
    for _ in 0..2 {
        let answer = server
            .send_scgi("/pay", &[("HTTP_IDEMPOTENCY_KEY", "k")], b"once")
            .answer()
            .unwrap();
        assert_eq!(answer.body, b"ran once");
    }
    assert_eq!(
        application
            .received
            .lock()
            .unwrap()
            .iter()
            .filter(|body| *body == b"once")
            .count(),
        1
    );
}

/// For each behavior of an application: an RPC that must not run twice fails, and the log states the expected
/// reason.
#[test]
fn each_application_failure_has_expected_outcome() {
    for (behavior, why) in [
        (AppBehavior::Reply("Status: 500 no\r\n\r\n"), ""),
        (AppBehavior::Reply("Status: 404 no\r\n\r\n"), ""),
        (AppBehavior::Reply(""), "cut short"),
        (
            AppBehavior::Reply("X: y\r\n\r\nbody"),
            "neither a status nor a type",
        ),
        (
            AppBehavior::Reply("HTTP/1.1 200 OK\r\n\r\n"),
            "a field without a colon",
        ),
        (
            AppBehavior::Reply("Status: 200\r\nContent-Length: 9\r\n\r\nhalf"),
            "cut short",
        ),
        (
            AppBehavior::Reply("Status: 200\r\nContent-Length: 2\r\n\r\nlong"),
            "longer than its length",
        ),
        (
            AppBehavior::Reply("Status: 200\r\nContent-Length: 99999\r\n\r\n"),
            "body too long",
        ),
        (AppBehavior::Reset(10), "reset"),
    ] {
        let application = Application::start(behavior);
        let server = TestServer::with_site(&site(&[application.address], ""));
        // Part of the request was sent, so the RPC fails; it is neither rejected nor attempted again.
        assert_eq!(
            server.send_scgi("/lock", &[], b"x").status(),
            500,
            "{behavior:?}"
        );
        assert_eq!(
            application.connections.load(Ordering::SeqCst),
            1,
            "{behavior:?}"
        );
        if !why.is_empty() {
            assert!(
                server
                    .wait_for_log(&format!(
                        "application attempt failed application={} ",
                        application.address
                    ))
                    .contains(why),
                "{behavior:?}"
            );
        }
    }
    // Headers and bodies over the size limit.
    for text in [
        format!("Status: 200\r\n{}", "X: y\r\n".repeat(9_000)),
        format!("Status: 200\r\n\r\n{}", "x".repeat(9_000)),
    ] {
        let application = Application::start(AppBehavior::Reply(text.leak()));
        let server = TestServer::with_site(&site(&[application.address], ""));
        assert_eq!(server.send_scgi("/lock", &[], b"x").status(), 500);
    }
    // Nothing was sent: the RPC is rejected, although it must not run twice.
    let server = TestServer::with_site(&site(&[Application::unused_address()], ""));
    let answer = server
        .send_scgi("/lock", &[("HTTP_X_REQUEST_ID", "one")], b"x")
        .answer()
        .unwrap();
    assert_eq!(
        (answer.status, answer.field("X-Coralstep-Retry-After-Ms")),
        (503, Some("250"))
    );
    // Its request id may be used again.
    assert_eq!(
        server
            .send_scgi("/lock", &[("HTTP_X_REQUEST_ID", "one")], b"x")
            .status(),
        503
    );
}

#[test]
fn only_unsent_or_idempotent_rpcs_are_retried() {
    let more = ",\"repeats\": 1.0";
    let good = Application::start(AppBehavior::Echo);
    let server = TestServer::with_site(&site(&[Application::unused_address(), good.address], more));
    // An attempt that could not connect never ran, so the RPC goes to the other application, even if it is not
    // idempotent.
    for index in 0..8 {
        assert_eq!(server.send_scgi("/lock", &[], &body(index)).status(), 200);
    }
    assert_eq!(good.run_count(), 8);
    let bad = [
        AppBehavior::Reply("Status: 503 no\r\n\r\n"),
        AppBehavior::Reset(1),
    ]
    .map(Application::start);
    let server = TestServer::with_site(&site(&[bad[0].address, bad[1].address], more));
    let attempts = || -> usize {
        bad.iter()
            .map(|bad| bad.connections.load(Ordering::SeqCst))
            .sum()
    };
    // A non-idempotent RPC ends with its first attempt; an idempotent one is retried on the other application,
    // with three attempts at most.
    assert_eq!(server.send_scgi("/lock", &[], b"once").status(), 500);
    assert_eq!(attempts(), 1);
    assert_eq!(server.send_scgi("/read/x", &[], b"again").status(), 500);
    assert!((3..=4).contains(&attempts()), "{}", attempts());
    assert!(
        bad.iter()
            .all(|bad| bad.connections.load(Ordering::SeqCst) > 0)
    );
}

#[test]
fn open_breaker_rejects_immediately_and_probes_once_per_cooldown() {
    let application = Application::start(AppBehavior::Reply("Status: 500 no\r\n\r\n"));
    let server = TestServer::with_site(&site(&[application.address], ",\"repeats\": 0.1"));
    let start = Instant::now();
    for index in 0..20 {
        assert_eq!(server.send_scgi("/lock", &[], &body(index)).status(), 500);
    }
    // If each had waited until its deadline, this would have taken 16 s.
    assert!(start.elapsed() < LIMIT * 8 / 10);
    server.wait_for_log(&format!(
        "circuit breaker changed state dependency=\"{}\" from=\"closed\" to=\"open\" rate=1.0",
        application.address
    ));
    // During the cooldown no request reaches it, and all are rejected immediately.
    let before = application.run_count();
    let start = Instant::now();
    let (mut requests, mut longest) = (0, 0);
    while start.elapsed() < Duration::from_millis(600) {
        let answer = server.send_scgi("/read/x", &[], b"").answer().unwrap();
        let ms: u64 = answer
            .field("X-Coralstep-Retry-After-Ms")
            .unwrap()
            .parse()
            .unwrap();
        // The Retry-After points to the next probe call, but is at least 250 ms.
        let left = Duration::from_millis(1_000)
            .saturating_sub(start.elapsed())
            .as_millis() as u64;
        assert!(
            answer.status == 503 && (250..=left.max(250)).contains(&ms),
            "{ms} of {left}"
        );
        longest = longest.max(ms);
        requests += 1;
    }
    assert!(requests > 20 && longest > 500, "{requests} {longest}");
    assert_eq!(application.run_count(), before);
    // Then one probe call finds that the application works again.
    application.set_behavior(AppBehavior::Echo);
    wait_until(|| server.send_scgi("/read/x", &[], b"").status() == 200);
    server.wait_for_log("from=\"half-open\" to=\"closed\" rate=0.0");
}

#[test]
fn retries_stay_within_budget() {
    let application = Application::start(AppBehavior::Reply("Status: 404 no\r\n\r\n"));
    let unreachable = [
        Application::unused_address(),
        Application::unused_address(),
        Application::unused_address(),
    ];
    // No breaker opens: all but one in four attempts fail to connect.
    let server = TestServer::with_site(&site(
        &[
            unreachable[0],
            application.address,
            unreachable[1],
            unreachable[2],
        ],
        ",\"repeats\": 0.2,\"attempts\": 2",
    ));
    let pushed_back = (0..40)
        .filter(|_| server.send_scgi("/read/x", &[], b"").status() == 503)
        .count();
    // Of 40 first attempts about 30 fail to connect; the retry budget allows 8 retries, plus the initial one.
    assert!(pushed_back >= 15, "{pushed_back}");
}

#[test]
fn hung_application_fails_only_its_own_rpcs() {
    let (good, hung) = (
        Application::start(AppBehavior::Echo),
        Application::start(AppBehavior::Hang),
    );
    let server = TestServer::with_site(&site(&[good.address, hung.address], ""));
    let start = Instant::now();
    let mut callers: Vec<Caller> = Vec::new();
    let (mut good_ones, mut aborted) = (0, 0);
    // A few at a time, within the concurrency limit.
    for index in 0..24 {
        callers.push(server.send_scgi("/lock", &[], &body(index)));
        if callers.len() == 2 {
            for caller in callers.drain(..) {
                match caller.status() {
                    200 => good_ones += 1,
                    500 => aborted += 1,
                    other => panic!("{other}"),
                }
            }
        }
        if aborted == 1 {
            break;
        }
    }
    // The RPC on the hung application fails at its deadline; others are served meanwhile.
    assert!(
        aborted == 1 && start.elapsed() < LIMIT,
        "{good_ones} {aborted}"
    );
    assert_eq!(hung.open.load(Ordering::SeqCst), 1);
    assert_eq!(server.send_scgi("/lock", &[], b"next").status(), 200);
}

#[test]
fn orphaned_run_releases_its_permit() {
    let hung = Application::start(AppBehavior::Hang);
    let server = TestServer::with_site(&site(&[hung.address], ""));
    // Both cores are busy with RPCs that never end.
    let callers: Vec<_> = (0..2)
        .map(|index| server.send_scgi("/lock", &[], &body(index)))
        .collect();
    callers
        .into_iter()
        .for_each(|caller| assert_eq!(caller.status(), 500));
    hung.set_behavior(AppBehavior::Echo);
    server.wait_for_log_within("run orphaned since_answer_ms=10", LIMIT * 2);
    wait_until(|| server.send_scgi("/pay", &[], b"").status() == 200);
    // The hung runs keep their connections, as nothing proves that they ended. Guards against counting before
    // the stand-in has closed the connection of the run that worked.
    wait_until(|| hung.open.load(Ordering::SeqCst) == 2);
}

#[test]
fn caller_that_closes_cancels_its_idempotent_run() {
    let hung = Application::start(AppBehavior::Hang);
    let server = TestServer::with_site(&site(&[hung.address], ""));
    let caller = server.send_scgi("/read/x", &[], b"");
    wait_until(|| hung.open.load(Ordering::SeqCst) == 1 && hung.run_count() == 1);
    drop(caller);
    wait_until(|| hung.open.load(Ordering::SeqCst) == 0);
}

#[test]
fn reload_that_removes_application_keeps_its_open_rpcs() {
    let (first, second) = (
        Application::start(AppBehavior::Hang),
        Application::start(AppBehavior::Echo),
    );
    let server = TestServer::with_site(&site(&[first.address], ""));
    let open = server.send_scgi("/pay", &[], b"open");
    wait_until(|| first.run_count() == 1);
    server.reload_site(&site(&[second.address], ""));
    server.wait_for_log("reload: applications replaced count=1");
    for index in 0..8 {
        assert_eq!(server.send_scgi("/read/x", &[], &body(index)).status(), 200);
    }
    assert_eq!((first.run_count(), second.run_count()), (1, 8));
    assert_eq!(first.open.load(Ordering::SeqCst), 1);
    // The open RPC still gets its one answer, and a faulty list changes nothing.
    server.reload_site(&site(&[second.address, second.address], ""));
    let line = server.wait_for_log("reload failed, nothing changed error=");
    assert!(line.contains("comes twice"), "{line}");
    let mut caller = server.connect();
    caller.write(&request("POST", "/lock", &[], b"on"));
    assert_eq!(caller.status(), 200);
    drop(open);
}

#[test]
fn reload_applies_application_limits() {
    let hangs = Application::start(AppBehavior::Hang);
    let server = TestServer::with_site(&site(&[hangs.address], ", \"each_most\": 1"));
    let _first = server.send_scgi("/pay", &[], b"first");
    wait_until(|| hangs.run_count() == 1);
    assert_eq!(server.send_scgi("/pay", &[], b"no room").status(), 503);
    server.reload_site(&site(&[hangs.address], ", \"each_most\": 2"));
    server.wait_for_log("reload: applications replaced count=1");
    let _second = server.send_scgi("/pay", &[], b"second");
    wait_until(|| hangs.run_count() == 2);
}

#[test]
fn flapping_application_loses_no_rpc() {
    let (good, flapping) = (
        Application::start(AppBehavior::Echo),
        Application::start(AppBehavior::Echo),
    );
    let server = TestServer::with_site(&site(
        &[good.address, flapping.address],
        ",\"repeats\": 1.0",
    ));
    let mut answered = [0; 2];
    for index in 0..120 {
        flapping.set_behavior(if index / 20 % 2 == 0 {
            AppBehavior::Reset(1)
        } else {
            AppBehavior::Echo
        });
        match server.send_scgi("/read/x", &[], &body(index)).status() {
            200 => answered[0] += 1,
            500 | 503 => answered[1] += 1,
            other => panic!("{other}"),
        }
    }
    assert_eq!(
        answered,
        [120, 0],
        "each failed RPC must be retried on the other application"
    );
}
