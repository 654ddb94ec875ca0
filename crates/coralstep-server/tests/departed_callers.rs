//! Guards against work for callers that have left: what a closed or reset connection left unread is never run, an id stays
//! known after its caller left, and a caller that has only half-closed its connection gets its reply.
mod stand_ins;

use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;
use stand_ins::scgi::{AppBehavior, Application, Caller, FRONT, request, site};
use stand_ins::{Gateway, LIMIT, Reply, TestServer, id, ok};

/// Requests that a gateway may have open.
const MAX_OPEN: u64 = 32;

/// How a caller leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Close,
    Reset,
}

fn leave(stream: TcpStream, departure: Departure) {
    if let Departure::Reset = departure {
        set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
    }
    drop(stream);
}

/// Encodes as many requests as a connection may have open.
fn fill(gateway: &mut Gateway, first_id: u64) -> Vec<u8> {
    let mut invoke = |index| gateway.encode_rpc("book", &id(first_id + index), &[b'x'; 1_000], &[]);
    (0..MAX_OPEN).flat_map(&mut invoke).collect()
}

/// Guards against requests that are read from the connection of a gateway that has left, and run.
#[test]
fn requests_of_departed_gateways_are_not_run() {
    for departure in [Departure::Close, Departure::Reset] {
        let server = TestServer::with_site(FRONT);
        let mut engine = server.engine(0, "old 3600000");
        let mut gateways: Vec<_> = (0..8).map(|_| server.gateway()).collect();
        assert!(gateways.iter_mut().all(Gateway::ping));
        // All requests and the end of the connection are there before the server reads.
        server.pause();
        for (index, mut gateway) in gateways.into_iter().enumerate() {
            let bytes = fill(&mut gateway, 100 * index as u64);
            gateway.write(&bytes);
            leave(gateway.stream, departure);
        }
        server.resume();
        assert!(server.gateway().ping());
        let runs = engine.runs_started_within(Duration::from_millis(500)).len();
        println!(
            "{departure:?}: {runs} of {} requests of departed gateways ran",
            8 * MAX_OPEN
        );
        assert_eq!(runs, 0, "{departure:?}");
    }
}

/// Guards against SCGI requests whose callers left before they were read, and that are sent to an application.
#[test]
fn requests_of_departed_scgi_callers_are_not_run() {
    for departure in [Departure::Close, Departure::Reset] {
        let application = Application::start(AppBehavior::Echo);
        let server = TestServer::with_site(&site(&[application.address], ""));
        let callers: Vec<_> = (0..20).map(|_| server.connect()).collect();
        server.pause();
        for (index, mut caller) in callers.into_iter().enumerate() {
            let number = id(index as u64);
            caller.write(&request(
                "POST",
                "/book",
                &[("HTTP_X_REQUEST_ID", &number)],
                b"left",
            ));
            leave(caller.stream, departure);
        }
        server.resume();
        let marker = server.send_scgi("/read/marker", &[], b"marker");
        assert_eq!(marker.status(), 200);
        std::thread::sleep(Duration::from_millis(300));
        let ran = application
            .received
            .lock()
            .unwrap()
            .iter()
            .filter(|body| *body == b"left")
            .count();
        println!("{departure:?}: {ran} of 20 requests of departed SCGI callers ran");
        assert_eq!(ran, 0, "{departure:?}");
    }
}

/// Guards against a second run under an id whose caller has left, while the first one runs and after its end.
#[test]
fn id_stays_known_after_its_caller_left() {
    for departure in [Departure::Close, Departure::Reset] {
        let server = TestServer::with_site(FRONT);
        let mut engine = server.engine(0, "old 3600000");
        let mut gateway = server.gateway();
        gateway.invoke("book", &id(1), b"first", &[]);
        engine.expect_run(&id(1), "book");
        leave(gateway.stream, departure);
        // Once by the same protocol and once by the other, before and after the end of the run.
        for step in 0..2 {
            let mut repeat = server.gateway();
            let seq = repeat.invoke("book", &id(1), b"again", &[("dup", "1")]);
            assert_eq!(
                repeat.read_reply(),
                Reply::Internal { seq },
                "{departure:?}"
            );
            let repeat = server.send_scgi("/book", &[("HTTP_X_REQUEST_ID", &id(1))], b"again");
            assert_eq!(repeat.status(), 500, "{departure:?}");
            if step == 0 {
                engine.send_done(1, &id(1), "good", "");
                engine.answer_two_gauge_queries();
            }
        }
    }
}

/// Guards against a second run under an id of an SCGI caller that has left, at an application.
#[test]
fn id_of_departed_scgi_caller_stays_known() {
    for departure in [Departure::Close, Departure::Reset] {
        let application = Application::start(AppBehavior::EchoAfterMs(300));
        let server = TestServer::with_site(&site(&[application.address], ""));
        let headers = [("HTTP_X_REQUEST_ID", "an id that is any text")];
        let caller = server.send_scgi("/book", &headers, b"first");
        while application.run_count() == 0 {
            std::thread::yield_now();
        }
        leave(caller.stream, departure);
        for _ in 0..3 {
            assert_eq!(server.send_scgi("/book", &headers, b"first").status(), 500);
            std::thread::sleep(Duration::from_millis(200));
        }
        assert_eq!(application.run_count(), 1, "{departure:?}");
    }
}

/// Guards against a reply that a half-closed gateway doesn't get, though all its requests were read after the half-close.
#[test]
fn half_closed_gateway_gets_its_replies() {
    let server = TestServer::with_site(FRONT);
    let mut engine = server.engine(0, "old 3600000");
    let mut gateway = server.gateway();
    assert!(gateway.ping());
    server.pause();
    let first = gateway.invoke("pay", &id(1), b"", &[]);
    let second = gateway.invoke("pay", &id(2), b"", &[]);
    gateway.stream.shutdown(Shutdown::Write).unwrap();
    server.resume();
    engine.expect_run(&id(1), "pay");
    engine.expect_run(&id(2), "pay");
    engine.serve_idle_for(Duration::from_millis(1_300));
    engine.send_done(1, &id(1), "good", "one");
    engine.send_done(2, &id(2), "good", "two");
    let mut replies = vec![];
    while replies.len() < 2 {
        match gateway.read_reply() {
            Reply::Closing => {}
            reply => replies.push(reply),
        }
    }
    assert_eq!(replies, [ok(first, "one"), ok(second, "two")]);
}

/// Guards against an SCGI request that is cancelled, or whose reply is lost, because its caller has only half-closed.
#[test]
fn half_closed_scgi_caller_gets_late_reply() {
    for (path, delay_ms) in [
        ("/read/x", 0),
        ("/read/x", 1_500),
        ("/book", 1_500),
        ("/lock", 1_500),
    ] {
        let application = Application::start(AppBehavior::EchoAfterMs(delay_ms));
        let server = TestServer::with_site(&site(&[application.address], ""));
        let mut caller = Caller::new(TcpStream::connect(server.scgi.unwrap()).unwrap());
        caller.write(&request("POST", path, &[], b"half"));
        caller.stream.shutdown(Shutdown::Write).unwrap();
        let answer = caller.answer();
        let status = answer.as_ref().map(|answer| answer.status);
        println!("{path} after {delay_ms} ms: {status:?}");
        // The deadline of `lock` is 0.8 s.
        let expected = if path == "/lock" { 500 } else { 200 };
        assert_eq!(status, Some(expected), "{path} after {delay_ms} ms");
    }
}

/// Guards against half-closed callers that wait for their replies and keep the server from accepting others.
#[test]
fn half_closed_scgi_callers_do_not_block_others() {
    let application = Application::start(AppBehavior::Hang);
    let server = TestServer::with_site(&site(&[application.address], ""));
    let waiting: Vec<_> = (0..100)
        .map(|_| {
            let caller = server.send_scgi("/read/x", &[], b"");
            caller.stream.shutdown(Shutdown::Write).unwrap();
            caller
        })
        .collect();
    let mut health = server.connect();
    health.stream.set_read_timeout(Some(LIMIT / 10)).unwrap();
    health.write(&request("GET", "/health", &[], b""));
    assert!([200, 503].contains(&health.status()));
    for caller in waiting {
        assert!([500, 503].contains(&caller.status()));
    }
}
