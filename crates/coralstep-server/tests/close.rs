//! The end of connections: the last replies reach the peer, and a message that arrives during the close is
//! answered or never run.
mod stand_ins;

use std::net::Shutdown;
use std::thread::sleep;
use std::time::{Duration, Instant};

use stand_ins::{Gateway, LIMIT, LineConnection, Reply, TestServer, id, ok};

#[test]
fn unread_bytes_do_not_lose_the_last_reply() {
    let (server, mut engine) = TestServer::ready();
    // Invalid frame lengths, once with few bytes behind them and once with more than the server reads.
    for (index, count) in [(1, 64), (2, 40_000)] {
        let mut gateway = server.gateway();
        let seq = gateway.invoke("pay", &id(index), b"", &[]);
        engine.expect_run(&id(index), "pay");
        gateway.write(&vec![0xff; count]);
        server.wait_for_log("invalid frame length");
        assert_eq!(gateway.read_reply(), Reply::Closing);
        engine.send_done(index, &id(index), "good", "still");
        assert_eq!(gateway.read_reply(), ok(seq, "still"));
        // The end of the stream and no reset, which a close with unread bytes would cause.
        assert!(gateway.is_closed(), "{count} bytes");
    }
}

#[test]
fn rpc_that_arrives_while_idle_connection_is_closed_is_answered() {
    let (server, engine) = TestServer::ready();
    let (mut gateway, mut other) = (server.gateway(), server.gateway());
    assert!(gateway.ping() && other.ping());
    // When the engine reports a full connection table, idle gateways are asked to close; the server closes them
    // after five more seconds.
    let runs = engine.serve_in_background("0.5 1 0.1 500", true);
    let (reply, asked) = (gateway.read_reply(), Instant::now());
    assert_eq!(
        (reply, other.read_reply()),
        (Reply::Closing, Reply::Closing)
    );
    server.signal("STOP");
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    // Half of a message that is never completed: it must not run.
    let half = other.encode_invoke(&[("service", "pay")], b"");
    other.write(&half[..20]);
    // Both messages are unread when those five seconds are over, with a second to spare.
    sleep(Duration::from_secs(6).saturating_sub(asked.elapsed()));
    server.signal("CONT");
    match gateway.read_reply() {
        Reply::Answer { seq: of, .. } | Reply::Overloaded { seq: of, .. } => assert_eq!(of, seq),
        reply => panic!("{reply:?}"),
    }
    assert!(other.is_disconnected());
    let mut next = server.gateway();
    let seq = next.invoke("pay", &id(2), b"", &[]);
    assert_eq!(next.read_reply(), ok(seq, ""));
    drop(server);
    assert!(runs.join().unwrap() <= 2);
}

#[test]
fn rpc_sent_after_close_does_not_run_and_causes_no_reset() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    gateway.write(&[0xff; 64]);
    server.wait_for_log("invalid frame length");
    assert_eq!(gateway.read_reply(), Reply::Closing);
    engine.send_done(1, &id(1), "good", "last");
    assert_eq!(gateway.read_reply(), ok(seq, "last"));
    // The server has closed its side; an RPC can still be written, and the server reads the connection to its
    // end.
    assert_eq!(gateway.stream.peek(&mut [0]).unwrap(), 0);
    gateway.invoke("pay", &id(2), b"", &[]);
    gateway.stream.shutdown(Shutdown::Write).unwrap();
    assert!(gateway.is_closed());
    let mut next = server.gateway();
    next.invoke("pay", &id(3), b"", &[]);
    engine.expect_run(&id(3), "pay");
}

/// Opens a connection whose message behind an open request is overdue, and returns the rest of that message.
fn connection_with_overdue_message(
    server: &TestServer,
    engine: &mut LineConnection,
) -> (Gateway, Vec<u8>) {
    let mut gateway = server.gateway();
    gateway.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    let mut message = gateway.encode_rpc("pay", &id(2), b"written slowly", &[]);
    let rest = message.split_off(message.len() / 2);
    gateway.write(&message);
    engine.serve_until_logged(server, "message overdue, requests still open");
    (gateway, rest)
}

/// Guards against a connection that stays open but is no longer read, so that requests written to it are never answered.
#[test]
fn requests_behind_overdue_message_are_answered() {
    let (server, mut engine) = TestServer::ready();
    let (mut gateway, rest) = connection_with_overdue_message(&server, &mut engine);
    gateway.write(&rest);
    assert_eq!(engine.expect_run(&id(2), "pay"), b"written slowly");
    let last = gateway.invoke("pay", &id(3), b"", &[]);
    engine.send_done(1, &id(1), "good", "first");
    engine.send_done(2, &id(2), "good", "second");
    assert_eq!(gateway.read_reply(), ok(1, "first"));
    assert_eq!(gateway.read_reply(), ok(2, "second"));
    engine.expect_run(&id(3), "pay");
    engine.send_done(3, &id(3), "good", "third");
    assert_eq!(gateway.read_reply(), ok(last, "third"));
    drop(gateway);
}

/// Guards against half a message that holds its connection for good, although bytes of it keep coming.
#[test]
fn overdue_message_closes_connection_after_open_requests() {
    let (server, mut engine) = TestServer::ready();
    let (mut gateway, rest) = connection_with_overdue_message(&server, &mut engine);
    for byte in &rest[..rest.len() / 2] {
        gateway.write(&[*byte]);
    }
    assert!(server.gateway().ping());
    engine.send_done(1, &id(1), "good", "last");
    assert_eq!(gateway.read_reply(), ok(1, "last"));
    assert_eq!(gateway.read_reply(), Reply::Closing);
    assert!(gateway.is_closed());
    server.wait_for_log("connection failed peer=127.0.0.1 error=timed out");
}

#[test]
fn half_closed_caller_gets_late_answer() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    gateway.stream.shutdown(Shutdown::Write).unwrap();
    // After a second the server checks whether the caller is gone, by sending a closing message.
    engine.serve_idle_for(Duration::from_millis(300));
    assert_eq!(gateway.read_reply(), Reply::Closing);
    engine.serve_idle_for(Duration::from_millis(300));
    engine.send_done(1, &id(1), "good", "late");
    assert_eq!(gateway.read_reply(), ok(seq, "late"));
    assert!(gateway.is_closed());
}

#[test]
fn closed_caller_is_detected_and_its_run_cancelled() {
    // The deadline is long after the test's time limit, so nothing else stops the run.
    let server = TestServer::with_settings(&stand_ins::SETTINGS.replacen(
        "\"deadline\":4000000000",
        "\"deadline\":60000000000",
        1,
    ));
    let mut engine = server.engine(0, "old 3600000");
    let mut gateway = server.gateway();
    gateway.invoke("read", &id(1), b"", &[]);
    engine.expect_run(&id(1), "read");
    // Nothing is unread on the gateway's side, so the close is no reset.
    drop(gateway);
    assert_eq!(engine.next_command().0, format!("HALT {}", id(1)));
}

#[test]
fn scgi_caller_reads_answer_despite_unread_bytes() {
    let server = TestServer::with_site(stand_ins::scgi::FRONT);
    let mut engine = server.engine(0, "old 3600000");
    // The error reply to a request that is too long leaves most of it unread.
    for (path, more, status) in [
        ("/nowhere", 0, 404),
        ("/nowhere", 30_000, 404),
        ("/pay", 200, 200),
    ] {
        let mut caller = server.send_scgi(path, &[("HTTP_CORALSTEP_ID", &id(1))], b"x");
        caller.write(&vec![b'y'; more]);
        if status == 200 {
            let (head, _) = engine.next_command();
            let run = head.split(' ').nth(1).unwrap().to_owned();
            engine.send_done(1, &run, "good", "ok");
        }
        // `Caller::answer` reads to the end of the connection, too.
        let mut bytes = Vec::new();
        std::io::Read::read_to_end(&mut caller.stream, &mut bytes).unwrap();
        assert!(
            bytes.starts_with(format!("Status: {status}").as_bytes()),
            "{}",
            String::from_utf8_lossy(&bytes)
        );
    }
}

/// Guards against an SCGI reply that is dropped because its caller half-closed the connection behind the request.
#[test]
fn half_closed_scgi_caller_reads_reply_made_at_once() {
    let server = TestServer::with_site(stand_ins::scgi::FRONT);
    let request = stand_ins::scgi::request("GET", "/health", &[], b"");
    let mut callers: Vec<_> = (0..4).map(|_| server.connect()).collect();
    // Request and end of input are there together when the server reads.
    server.signal("STOP");
    for caller in &mut callers {
        caller.write(&request);
        caller.stream.shutdown(Shutdown::Write).unwrap();
    }
    server.signal("CONT");
    for caller in callers {
        assert!([200, 503].contains(&caller.status()));
    }
}

#[test]
fn truncated_store_reply_does_not_repeat_the_call() {
    let (server, mut engine) = TestServer::ready();
    for (index, half) in [" OK 5\r\nth", " OK", ""].into_iter().enumerate() {
        let index = index as u64 + 1;
        let mut gateway = server.gateway();
        let seq = gateway.invoke("book", &id(index), b"", &[]);
        engine.expect_run(&id(index), "book");
        engine.send_need(2 * index, &id(index), "q");
        let mut store = server.store();
        store.next_command();
        store.send(&format!("{}{half}", id(index)));
        drop(store);
        assert_eq!(gateway.read_reply(), Reply::Internal { seq }, "{half:?}");
        engine.send_done(2 * index + 1, &id(index), "cut", "");
    }
    // No call was repeated: the next one belongs to another RPC.
    let mut gateway = server.gateway();
    gateway.invoke("read", &id(9), b"", &[]);
    engine.expect_run(&id(9), "read");
    engine.send_need(9, &id(9), "mine");
    assert_eq!(server.store().next_command().1, b"mine");
}

#[test]
fn pause_with_unread_gauges_keeps_the_engine_link() {
    let (server, mut engine) = TestServer::ready();
    assert_eq!(engine.line(), "STAT gauges");
    server.signal("STOP");
    engine.send("STATS gauges 0.5 1 0.1 3\r\n");
    // Longer than a gauge query may stay unanswered.
    sleep(Duration::from_millis(2_500));
    server.signal("CONT");
    let mut gateway = server.gateway();
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    engine.send_done(1, &id(1), "good", "");
    assert_eq!(gateway.read_reply(), ok(seq, ""));
}

#[test]
fn reconnects_back_off_while_engine_closes_links() {
    let server = TestServer::start();
    let listener = server.engine_listener();
    listener.set_nonblocking(true).unwrap();
    let (start, mut links) = (Instant::now(), 0);
    while start.elapsed() < Duration::from_secs(3) {
        match listener.accept() {
            Ok(_) => links += 1,
            Err(_) => sleep(Duration::from_millis(1)),
        }
    }
    // A link every 20 ms would be 150 links; a slow machine opens fewer.
    assert!(links <= 50, "{links} links");
    // Once the engine has sent something, a broken link is replaced immediately, as before.
    let mut engine = server.engine(0, "old 3600000");
    for last in 0..5 {
        engine.send(&format!("NOTE {} x\r\n", last + 1));
        engine.answer_two_gauge_queries();
        let broken = Instant::now();
        drop(engine);
        engine = server.engine(last + 1, "old 3600000");
        assert!(broken.elapsed() < LIMIT);
    }
}
