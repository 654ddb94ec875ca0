//! Runs the server against stand-ins for its engine, store, control plane and gateways.
mod stand_ins;

use std::process::Command;
use std::time::{Instant, SystemTime};

use stand_ins::{Gateway, LIMIT, LineConnection, Reply, TestServer, id, ok};

#[test]
fn rpc_result_is_returned_unchanged() {
    let server = TestServer::start();
    let mut gateway = server.gateway();
    // A health check is answered before the engine is up.
    assert!(gateway.ping());
    // The server sends no lease to the control plane before its engine is up.
    server.control.set_nonblocking(true).unwrap();
    assert!(server.control.recv(&mut [0; 64]).is_err());
    server.control.set_nonblocking(false).unwrap();
    let mut engine = server.engine(0, "old 3600000");
    let seq = gateway.invoke("pay", &id(1), b"\0\r\n\xff", &[]);
    assert_eq!(engine.expect_run(&id(1), "pay"), b"\0\r\n\xff");
    engine.send("NOTE 1 nothing of meaning\r\n");
    engine.send_done(2, &id(1), "good", "a\r\nb");
    assert_eq!(gateway.read_reply(), ok(seq, "a\r\nb"));
    let mut lease = [0; 64];
    let count = server.control.recv(&mut lease).unwrap();
    assert_eq!(&lease[..count], b"lease n3 Ready");
}

#[test]
fn failed_run_is_answered_with_error_and_keeps_connection() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    engine.send_done(1, &id(1), "bad", "");
    assert_eq!(gateway.read_reply(), Reply::Internal { seq });
    assert!(gateway.ping());
}

#[test]
fn call_is_sent_to_store_and_reply_returned_to_run() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let seq = gateway.invoke("read", &id(1), b"x", &[]);
    engine.expect_run(&id(1), "read");
    engine.send_need(1, &id(1), "which?");
    let mut store = server.store();
    let (head, body) = store.next_command();
    assert!(head.starts_with(&format!("CALL {} ", id(1))), "{head}");
    assert_eq!(body, b"which?");
    store.send(&format!("{} OK 5\r\nthis.\r\n", id(1)));
    assert_eq!(
        engine.next_command(),
        (format!("FEED {}", id(1)), b"this.".to_vec())
    );
    engine.send_done(2, &id(1), "good", "done");
    assert_eq!(gateway.read_reply(), ok(seq, "done"));
}

/// Sends an RPC of `method` and lets its run request a call.
fn start_call(server: &TestServer, engine: &mut LineConnection, method: &str) -> (Gateway, i32) {
    let mut gateway = server.gateway();
    let seq = gateway.invoke(method, &id(1), b"", &[]);
    engine.expect_run(&id(1), method);
    engine.send_need(1, &id(1), "q");
    (gateway, seq)
}

#[test]
fn non_idempotent_call_is_retried_only_if_it_never_ran() {
    for (reply, again) in [
        ("BUSY", true),
        ("VOID", true),
        ("ERR", false),
        ("LATE", false),
    ] {
        let (server, mut engine) = TestServer::ready();
        let (mut gateway, seq) = start_call(&server, &mut engine, "book");
        let mut store = server.store();
        store.next_command();
        store.send(&format!("{} {reply}\r\n", id(1)));
        if again {
            let mut store = server.store();
            assert_eq!(store.next_command().1, b"q", "{reply}");
            store.send(&format!("{} OK 0\r\n\r\n", id(1)));
            assert_eq!(
                engine.next_command(),
                (format!("FEED {}", id(1)), Vec::new())
            );
            engine.send_done(2, &id(1), "good", "");
            assert_eq!(gateway.read_reply(), ok(seq, ""));
        } else {
            assert_eq!(gateway.read_reply(), Reply::Internal { seq }, "{reply}");
        }
    }
}

#[test]
fn non_idempotent_call_is_not_retried_after_store_connection_breaks() {
    let (server, mut engine) = TestServer::ready();
    let (mut gateway, seq) = start_call(&server, &mut engine, "book");
    let mut store = server.store();
    store.next_command();
    drop(store);
    assert_eq!(gateway.read_reply(), Reply::Internal { seq });
}

#[test]
fn calls_fail_immediately_while_store_is_down() {
    let (mut server, mut engine) = TestServer::ready();
    server.close_store();
    let (mut gateway, seq) = start_call(&server, &mut engine, "read");
    assert!(
        matches!(gateway.read_reply(), Reply::Overloaded { seq: of, cooldown: Some(_), .. } if of == seq)
    );
    // The run ends at its call, as its RPC has been answered; other RPCs are served as before.
    engine.send_done(2, &id(1), "cut", "");
    let seq = gateway.invoke("pay", &id(2), b"", &[]);
    engine.expect_run(&id(2), "pay");
    engine.send_done(3, &id(2), "good", "paid");
    assert_eq!(gateway.read_reply(), ok(seq, "paid"));
}

#[test]
fn late_reply_of_timed_out_call_is_not_used_for_retry() {
    let (server, mut engine) = TestServer::ready();
    let (mut gateway, seq) = start_call(&server, &mut engine, "read");
    // A quick call first: the timeout of the next one follows from its duration.
    let mut quick = server.store();
    quick.next_command();
    quick.send(&format!("{} OK 0\r\n\r\n", id(1)));
    engine.next_command();
    engine.send_need(2, &id(1), "q");
    let mut silent = server.store();
    silent.next_command();
    let mut store = server.store();
    assert!(silent.is_closed());
    store.next_command();
    silent.send(&format!("{} OK 5\r\nstale\r\n", id(1)));
    store.send(&format!("{} OK 5\r\nfresh\r\n", id(1)));
    assert_eq!(
        engine.next_command(),
        (format!("FEED {}", id(1)), b"fresh".to_vec())
    );
    engine.send_done(3, &id(1), "good", "");
    assert_eq!(gateway.read_reply(), ok(seq, ""));
}

#[test]
fn duplicate_reply_is_not_used_for_next_call() {
    let (server, mut engine) = TestServer::ready();
    let (mut gateway, seq) = start_call(&server, &mut engine, "read");
    let mut first = server.store();
    first.next_command();
    // A reply to an unknown call, the reply, and a copy of it.
    let copy = format!("{} OK 3\r\none\r\n", id(1));
    first.send(&format!("{} OK 4\r\nelse\r\n{copy}{copy}", id(99)));
    assert_eq!(
        engine.next_command(),
        (format!("FEED {}", id(1)), b"one".to_vec())
    );
    engine.send_need(2, &id(1), "and?");
    let mut second = server.store();
    assert_eq!(second.next_command().1, b"and?");
    second.send(&format!("{} OK 3\r\ntwo\r\n", id(1)));
    assert_eq!(
        engine.next_command(),
        (format!("FEED {}", id(1)), b"two".to_vec())
    );
    engine.send_done(3, &id(1), "good", "");
    assert_eq!(gateway.read_reply(), ok(seq, ""));
}

#[test]
fn corrupt_reply_fails_only_its_own_call() {
    let flood = format!("{} OK 3000000000\r\n{}", id(1), "x".repeat(20_000));
    for corrupt_reply in [
        "\u{1}noise\r\n",
        "9b1f OK -3\r\n",
        &"endless".repeat(1000),
        &flood,
        "",
    ] {
        let (server, mut engine) = TestServer::ready();
        let mut gateway = server.gateway();
        for index in 1..=2 {
            gateway.invoke("book", &id(index), b"", &[]);
            engine.expect_run(&id(index), "book");
            engine.send_need(index, &id(index), "q");
        }
        let (mut one, mut two) = (server.store(), server.store());
        let (first, _) = one.next_command();
        two.next_command();
        // The call that arrived first gets the corrupt reply; it may have had its effect.
        let of = |index| first.contains(&id(index));
        let (failed_seq, other) = if of(1) { (1, 2) } else { (2, 1) };
        one.send(corrupt_reply);
        drop(one);
        assert_eq!(
            gateway.read_reply(),
            Reply::Internal { seq: failed_seq },
            "{corrupt_reply:.20}"
        );
        two.send(&format!("{} OK 0\r\n\r\n", id(other as u64)));
        assert_eq!(
            engine.next_command().0,
            format!("FEED {}", id(other as u64))
        );
        engine.send_done(3, &id(other as u64), "good", "");
        assert_eq!(gateway.read_reply(), ok(other, ""), "{corrupt_reply:.20}");
    }
}

#[test]
fn hung_engine_delays_no_answer_and_late_result_is_dropped() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let start = Instant::now();
    let seq = gateway.invoke("book", &id(1), b"", &[]);
    engine.expect_run(&id(1), "book");
    assert_eq!(gateway.read_reply(), Reply::Internal { seq });
    assert!(
        start.elapsed().as_millis() <= 4_000,
        "{:?}",
        start.elapsed()
    );
    engine.send_done(1, &id(1), "good", "late");
    engine.send(&format!(
        "DONE 1 {} good 7 0\r\n\r\nDONE 2 {} odd 7 0\r\n\r\nWHAT\r\n",
        id(1),
        id(77)
    ));
    server.wait_for_log("unknown engine message received=\"WHAT\"");
    // The next message on the connection is the answer to the health check.
    assert!(gateway.ping());
}

#[test]
fn idempotency_key_runs_once_and_repeats_get_same_answer() {
    let (server, mut engine) = TestServer::ready();
    let (mut gateway, idempotency_key) = (server.gateway(), [("replay", "T-1")]);
    let first = gateway.invoke("pay", &id(1), b"", &idempotency_key);
    engine.expect_run(&id(1), "pay");
    // One repeat arrives while the first runs, another after its end.
    let second = gateway.invoke("pay", &id(2), b"", &[idempotency_key[0], ("dup", "1")]);
    engine.send_done(1, &id(1), "good", "paid");
    assert_eq!(gateway.read_reply(), ok(first, "paid"));
    assert_eq!(gateway.read_reply(), ok(second, "paid"));
    let third = gateway.invoke("pay", &id(3), b"", &[idempotency_key[0], ("dup", "1")]);
    assert_eq!(gateway.read_reply(), ok(third, "paid"));
    // Only a request with another key runs.
    let other = gateway.invoke("pay", &id(4), b"", &[("replay", "T-2")]);
    engine.expect_run(&id(4), "pay");
    engine.send_done(2, &id(4), "bad", "");
    assert_eq!(gateway.read_reply(), Reply::Internal { seq: other });
    let again = gateway.invoke("pay", &id(5), b"", &[("replay", "T-2")]);
    assert_eq!(gateway.read_reply(), Reply::Internal { seq: again });
}

#[test]
fn idempotency_key_with_another_body_gets_no_foreign_result() {
    let (server, mut engine) = TestServer::ready();
    let (mut gateway, mut stranger, idempotency_key) =
        (server.gateway(), server.gateway(), [("replay", "T-1")]);
    let first = gateway.invoke("pay", &id(1), b"a ride", &idempotency_key);
    engine.expect_run(&id(1), "pay");
    // During the run and after it, a request with the same key and another body neither gets the result nor
    // runs.
    let seq = stranger.invoke("pay", &id(2), b"another", &idempotency_key);
    assert_eq!(stranger.read_reply(), Reply::Internal { seq });
    engine.send_done(1, &id(1), "good", "paid");
    assert_eq!(gateway.read_reply(), ok(first, "paid"));
    let seq = stranger.invoke("pay", &id(3), b"a", &idempotency_key);
    assert_eq!(stranger.read_reply(), Reply::Internal { seq });
    // A repeat with the same body still gets the result.
    let again = gateway.invoke(
        "pay",
        &id(4),
        b"a ride",
        &[idempotency_key[0], ("dup", "1")],
    );
    assert_eq!(gateway.read_reply(), ok(again, "paid"));
    let next = gateway.invoke("pay", &id(5), b"", &[("replay", "T-2")]);
    engine.expect_run(&id(5), "pay");
    engine.send_done(2, &id(5), "good", "");
    assert_eq!(gateway.read_reply(), ok(next, ""));
}

#[test]
fn engine_events_missed_during_link_loss_are_read_on_next_link() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let seq = gateway.invoke("book", &id(1), b"", &[]);
    engine.expect_run(&id(1), "book");
    engine.send("NOTE 1 x\r\n");
    engine.send_done(2, &id(9), "good", "nobody's");
    assert!(
        server
            .wait_for_log("event for unknown run")
            .contains(&id(9))
    );
    drop(engine);
    let mut engine = server.attach(2);
    engine.send(&format!(
        "HELLO old 3600000\r\nDONE 3 {} good 7 2\r\nok\r\n",
        id(1)
    ));
    assert_eq!(gateway.read_reply(), ok(seq, "ok"));
    engine.answer_gauges_until_attached();
    let next = gateway.invoke("pay", &id(2), b"", &[]);
    engine.expect_run(&id(2), "pay");
    engine.send_done(4, &id(2), "good", "");
    assert_eq!(gateway.read_reply(), ok(next, ""));
}

#[test]
fn unconfirmed_run_is_sent_again_only_if_idempotent() {
    for method in ["book", "read"] {
        let (server, mut engine) = TestServer::ready();
        let mut gateway = server.gateway();
        let seq = gateway.invoke(method, &id(1), b"", &[]);
        // The status query behind the command is not answered: nothing proves that the command was read.
        engine.expect_run(&id(1), method);
        drop(engine);
        let mut engine = server.engine(0, "old 3600000");
        if method == "read" {
            engine.expect_run(&id(1), method);
            engine.send_done(1, &id(1), "good", "again");
            assert_eq!(gateway.read_reply(), ok(seq, "again"));
            continue;
        }
        assert!(
            server
                .wait_for_log("run in doubt after link loss")
                .contains(&id(1))
        );
        let runs = engine.serve_in_background("0.5 1 0.1 3", true);
        assert_eq!(gateway.read_reply(), Reply::Internal { seq });
        // After the deadline the run can't start any more. The server must still ask the engine for its end, or
        // the run would occupy a core forever.
        std::thread::sleep(std::time::Duration::from_millis(1_200));
        drop(server);
        assert_eq!(runs.join().unwrap(), 1);
    }
}

#[test]
fn unconfirmed_run_delays_later_commands() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let first = gateway.invoke("book", &id(1), b"", &[]);
    engine.expect_run(&id(1), "book");
    // The second run waits for the answer to the status query behind the first, and is sent on the next link.
    let second = gateway.invoke("book", &id(2), b"", &[]);
    assert!(gateway.ping());
    drop(engine);
    let mut engine = server.engine(0, "old 3600000");
    assert!(
        server
            .wait_for_log("run in doubt after link loss")
            .contains(&id(1))
    );
    engine.expect_run(&id(2), "book");
    engine.send_done(1, &id(2), "good", "2");
    assert_eq!(gateway.read_reply(), ok(second, "2"));
    engine.send_done(2, &id(1), "good", "1");
    assert_eq!(gateway.read_reply(), ok(first, "1"));
}

#[test]
fn link_to_unresponsive_engine_is_replaced() {
    let (server, mut engine) = TestServer::ready();
    // The server's gauge query is not answered.
    assert_eq!(engine.line(), "STAT gauges");
    let mut next = server.engine(0, "old 3600000");
    let mut gateway = server.gateway();
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    next.expect_run(&id(1), "pay");
    next.send_done(1, &id(1), "good", "");
    assert_eq!(gateway.read_reply(), ok(seq, ""));
}

#[test]
fn process_pause_loses_no_rpc() {
    let (server, mut engine) = TestServer::ready();
    let (mut gateway, first) = start_call(&server, &mut engine, "read");
    let mut store = server.store();
    let (call, _) = store.next_command();
    let patience: u64 = call.rsplit_once(' ').unwrap().1.parse().unwrap();
    server.signal("STOP");
    // All of this stays unread until the process resumes, after the call's timeout.
    store.send(&format!("{} OK 2\r\nok\r\n", id(1)));
    let second = gateway.invoke("read", &id(2), b"", &[]);
    std::thread::sleep(std::time::Duration::from_millis(patience + 100));
    server.signal("CONT");
    assert_eq!(
        engine.next_command(),
        (format!("FEED {}", id(1)), b"ok".to_vec())
    );
    engine.send_done(2, &id(1), "good", "");
    assert_eq!(gateway.read_reply(), ok(first, ""));
    // It has exceeded its maximum queue wait, but a core is free.
    engine.expect_run(&id(2), "read");
    engine.send_done(3, &id(2), "good", "");
    assert_eq!(gateway.read_reply(), ok(second, ""));
}

#[test]
fn rpc_admitted_without_link_runs_on_next_link() {
    let (server, engine) = TestServer::ready();
    drop(engine);
    server.wait_for_log("engine link lost");
    let mut engine = server.attach(0);
    let mut gateway = server.gateway();
    let seq = gateway.invoke("book", &id(1), b"", &[]);
    engine.send("HELLO old 3600000\r\n");
    engine.answer_gauges_until_attached();
    engine.expect_run(&id(1), "book");
    engine.send_done(1, &id(1), "good", "");
    assert_eq!(gateway.read_reply(), ok(seq, ""));
}

#[test]
fn restart_of_engine_fails_its_open_runs() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let seq = gateway.invoke("book", &id(1), b"", &[]);
    engine.expect_run(&id(1), "book");
    drop(engine);
    let mut engine = server.engine(0, "new 5");
    assert_eq!(gateway.read_reply(), Reply::Internal { seq });
    let next = gateway.invoke("pay", &id(2), b"", &[]);
    engine.expect_run(&id(2), "pay");
    engine.send_done(1, &id(2), "good", "");
    assert_eq!(gateway.read_reply(), ok(next, ""));
}

#[test]
fn reload_moves_all_links_without_losing_rpcs() {
    let (mut server, mut engine) = TestServer::ready();
    let (mut gateway, run) = (server.gateway(), id(1));
    let mut seq = gateway.invoke("book", &run, b"", &[]);
    engine.expect_run(&run, "book");
    engine.send_need(1, &run, "q");
    let mut store = server.store();
    store.next_command();
    for round in 0..3 {
        let last = 1 + 2 * round;
        server.move_backends();
        // The server asks the old engine whether it has read everything before it closes the link.
        assert_eq!(engine.next_line_except_gauges(), "STAT settled");
        // Commands issued meanwhile wait for the new link.
        let next = gateway.invoke("pay", &id(last + 9), b"", &[]);
        engine.send("STATS settled 0.5 1 0.1 3\r\n");
        assert!(engine.is_closed());
        engine = server.engine(last, "old 3600000");
        engine.expect_run(&id(last + 9), "pay");
        engine.send_done(last + 1, &id(last + 9), "good", "new");
        assert_eq!(gateway.read_reply(), ok(next, "new"));
        // An open call continues on its connection; the next one goes to the store's new address.
        store.send(&format!("{} OK 1\r\n{round}\r\n", id(1)));
        assert_eq!(
            engine.next_command(),
            (format!("FEED {run}"), round.to_string().into_bytes())
        );
        engine.send_need(last + 2, &run, "q");
        store = server.store();
        store.next_command();
        let mut lease = [0; 64];
        assert_eq!(
            server.control.recv(&mut lease).unwrap(),
            b"lease n3 Ready".len()
        );
    }
    store.send(&format!("{run} OK 0\r\n\r\n"));
    engine.next_command();
    engine.send_done(8, &run, "good", "moved");
    assert_eq!(gateway.read_reply(), ok(std::mem::take(&mut seq), "moved"));
}

#[test]
fn reload_of_faulty_configuration_is_rejected_with_reason() {
    let server = TestServer::start();
    // Reloads are rejected before the engine is up and during a drain, too.
    let good = server.config();
    server.reload(&good.replacen("\"engine\":\"127", "\"engine\":\"x", 1));
    server.wait_for_log("engine: \"x");
    server.reload("{");
    server.wait_for_log("not JSON");
    server.reload(
        &good
            .replacen("\"n3\"", "\"n4\"", 1)
            .replacen("\"cores\":2", "\"cores\":3", 1),
    );
    server.wait_for_log("reload: setting changes only with a restart key=\"name\"");
    server.wait_for_log("reload: setting changes only with a restart key=\"settings\"");
    let mut engine = server.engine(0, "old 3600000");
    let mut gateway = server.gateway();
    server.terminate();
    server.wait_for_log("draining stop_after_ms=");
    server.reload("{}");
    server.wait_for_log("seed: missing");
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    engine.send_done(1, &id(1), "good", "");
    assert_eq!(gateway.read_reply(), ok(seq, ""));
}

#[test]
fn leases_are_sent_often_enough_to_tolerate_loss() {
    let (server, _engine) = TestServer::ready();
    server.control.recv(&mut [0; 64]).unwrap();
    let start = Instant::now();
    for _ in 0..6 {
        server.control.recv(&mut [0; 64]).unwrap();
    }
    assert!(start.elapsed().as_millis() < 5_000, "{:?}", start.elapsed());
}

#[test]
fn drain_answers_all_and_rejects_requests_after_grace_period() {
    let (mut server, mut engine) = TestServer::ready();
    let (mut gateway, mut other) = (server.gateway(), server.gateway());
    let book = gateway.invoke("book", &id(1), b"", &[]);
    engine.expect_run(&id(1), "book");
    server.terminate();
    let terminated = Instant::now();
    server.wait_for_log("draining stop_after_ms=");
    assert!(!other.ping());
    // One core hangs, the other serves its runs.
    let runs = engine.serve_in_background("0.5 1 0.1 3", true);
    let mut served = 0;
    for index in 2.. {
        let seq = other.invoke("read", &id(index), b"", &[]);
        match other.read_reply() {
            Reply::Answer { .. } => served += 1,
            reply => {
                // Retry-After of a draining server; other servers can serve the request.
                assert_eq!(
                    reply,
                    Reply::Overloaded {
                        seq,
                        cooldown: Some(5_000),
                        nowhere: false
                    }
                );
                break;
            }
        }
    }
    assert!(
        terminated.elapsed().as_millis() >= 150,
        "{:?}",
        terminated.elapsed()
    );
    assert_eq!(gateway.read_reply(), Reply::Internal { seq: book });
    assert_eq!(gateway.read_reply(), Reply::Closing);
    assert_eq!(other.read_reply(), Reply::Closing);
    drop((gateway, other));
    assert_eq!(server.wait_for_exit().code(), Some(0));
    assert!(
        terminated.elapsed().as_millis() < 1_500,
        "{:?}",
        terminated.elapsed()
    );
    assert_eq!(runs.join().unwrap(), served);
}

#[test]
fn server_without_engine_drains_and_exits() {
    let mut server = TestServer::start();
    let mut gateway = server.gateway();
    let seq = gateway.invoke("book", &id(1), b"", &[]);
    server.terminate();
    assert!(matches!(gateway.read_reply(), Reply::Internal { seq: of } if of == seq));
    drop(gateway);
    assert_eq!(server.wait_for_exit().code(), Some(0));
}

#[test]
fn invalid_message_is_answered_with_exception() {
    let (server, mut engine) = TestServer::ready();
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_millis();
    let (now, ahead, long_ago) = (
        now.to_string(),
        (now + 60_000).to_string(),
        (now - 300_000).to_string(),
    );
    let good = [
        ("service", "pay"),
        ("ref", "9b1f03aa5c7e2d41"),
        ("since", &now),
        ("room", "1.5"),
        ("project", "north"),
        ("sender", "4"),
        ("class_rank", "0.5"),
        ("dup", "1"),
    ];
    let mut all = vec![];
    for (at, bad) in [
        (0, "tray"),
        (1, "short"),
        (2, "-1"),
        (2, &ahead),
        (2, &long_ago),
        (2, "1"),
        (3, "0"),
    ] {
        all.push((at, bad));
    }
    for (at, bad) in [
        (3, "2000"),
        (3, "NaN"),
        (3, "many"),
        (4, "west"),
        (5, "-4"),
        (6, "1"),
        (6, "inf"),
        (7, "2"),
    ] {
        all.push((at, bad));
    }
    let idempotency_key = "t".repeat(257);
    let mut gateways: Vec<(Gateway, Vec<u8>)> = Vec::new();
    let mut add = |call: &dyn Fn(&mut Gateway) -> Vec<u8>| {
        let mut gateway = server.gateway();
        let bytes = call(&mut gateway);
        gateways.push((gateway, bytes));
    };
    add(&|gateway| gateway.call("novelty", b""));
    add(&|gateway| gateway.call("invoke", b""));
    add(&|gateway| gateway.encode_invoke(&good, &[0; 2049]));
    add(&|gateway| {
        gateway.encode_invoke(&[&good[..], &[("replay", &idempotency_key)]].concat(), b"")
    });
    for (at, bad) in all {
        let mut fields = good;
        fields[at].1 = bad;
        add(&|gateway| gateway.encode_invoke(&fields, b""));
    }
    for at in 0..4 {
        let fields = [&good[..at], &good[at + 1..]].concat();
        add(&|gateway| gateway.encode_invoke(&fields, b""));
    }
    for (gateway, bytes) in &mut gateways {
        // Sends byte by byte, so that every split of the message occurs.
        bytes.iter().for_each(|byte| gateway.write(&[*byte]));
        assert_eq!(
            gateway.read_reply(),
            Reply::Exception { seq: 1 },
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
    let (mut gateway, _) = gateways.pop().unwrap();
    let seq = gateway.invoke("pay", &id(1), b"", &[("unheard", "of")]);
    engine.expect_run(&id(1), "pay");
    // Reusing the id of an open request does not affect that request.
    let again = gateway.invoke("pay", &id(1), b"other", &[]);
    assert_eq!(gateway.read_reply(), Reply::Internal { seq: again });
    engine.send_done(1, &id(1), "good", "");
    assert_eq!(gateway.read_reply(), ok(seq, ""));
}

#[test]
fn old_timestamps_of_untrusted_gateway_leave_server_healthy() {
    for proven in [false, true] {
        let (server, mut engine) = TestServer::ready();
        let (mut gateway, mut other) = (server.gateway(), server.gateway());
        if proven {
            let seq = gateway.invoke("pay", &id(1), b"", &[]);
            engine.expect_run(&id(1), "pay");
            engine.send_done(1, &id(1), "good", "");
            assert_eq!(gateway.read_reply(), ok(seq, ""));
        }
        let since = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap()
            .as_millis()
            - 30_000;
        let fields = [
            ("service", "pay"),
            ("ref", &id(2)),
            ("since", &since.to_string()),
            ("room", "1"),
        ];
        let bytes = gateway.encode_invoke(&fields, b"");
        gateway.write(&bytes);
        engine.serve_in_background("0.5 1 0.1 3", false);
        // Several evaluation periods, after which a believed timestamp affects the health check.
        std::thread::sleep(std::time::Duration::from_millis(300));
        assert_eq!(other.ping(), !proven);
    }
}

#[test]
fn connection_is_closed_after_repeated_invalid_calls() {
    let (server, _engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let faults: Vec<u8> = (0..500)
        .flat_map(|_| gateway.call("novelty", b""))
        .collect();
    gateway.write(&faults);
    for seq in 1..=8 {
        assert_eq!(gateway.read_reply(), Reply::Exception { seq });
    }
    assert!(gateway.is_disconnected());
}

#[test]
fn repeated_sequence_number_closes_connection() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    gateway.reuse_sequence_number();
    gateway.invoke("pay", &id(2), b"", &[]);
    server.wait_for_log("sequence number not greater than the previous one");
    assert_eq!(gateway.read_reply(), Reply::Closing);
    engine.send_done(1, &id(1), "good", "first");
    assert_eq!(gateway.read_reply(), ok(seq, "first"));
    assert!(gateway.is_closed());
}

#[test]
fn silent_or_incomplete_connections_are_closed_within_three_seconds() {
    let (server, _engine) = TestServer::ready();
    let start = Instant::now();
    let (mut silent, mut slow, mut late) = (server.gateway(), server.gateway(), server.gateway());
    let frame = slow.call("ping", b"\x02\x00\x01\x00");
    assert!(late.ping());
    let rest = late.call("ping", b"\x02\x00\x01\x00");
    slow.write(&frame[..8]);
    late.write(&rest[..8]);
    // Sending a byte from time to time does not extend the limit.
    for byte in &frame[8..14] {
        std::thread::sleep(std::time::Duration::from_millis(200));
        slow.write(&[*byte]);
    }
    assert!(silent.is_disconnected() && slow.is_disconnected() && late.is_disconnected());
    assert!(start.elapsed().as_millis() < 6_000, "{:?}", start.elapsed());
}

#[test]
fn broken_connection_cancels_its_runs() {
    let (server, mut engine) = TestServer::ready();
    let (mut gateway, mut other) = (server.gateway(), server.gateway());
    gateway.invoke("read", &id(1), b"", &[]);
    engine.expect_run(&id(1), "read");
    // The unread answer turns the close into a reset.
    let check = gateway.call("ping", b"\x02\x00\x01\x00");
    gateway.write(&check);
    assert!(other.ping());
    drop(gateway);
    assert_eq!(engine.next_command().0, format!("HALT {}", id(1)));
}

#[test]
fn garbled_bytes_close_only_their_connection_after_open_answers() {
    let (server, mut engine) = TestServer::ready();
    let mut other = server.gateway();
    for (index, bytes) in [
        &[0xff; 64][..],
        &[0; 8],
        b"\0\0\0\x04abcd",
        b"\0\0\0\x0c\x80\x02\0\x01\0\0\0\0\0\0\0\x01",
    ]
    .into_iter()
    .enumerate()
    {
        let mut gateway = server.gateway();
        let index = index as u64 + 1;
        let seq = gateway.invoke("pay", &id(index), b"", &[]);
        engine.expect_run(&id(index), "pay");
        gateway.write(bytes);
        server.wait_for_log("connection failed peer=127.0.0.1 error=");
        assert_eq!(gateway.read_reply(), Reply::Closing);
        engine.send_done(index, &id(index), "good", "still");
        assert_eq!(gateway.read_reply(), ok(seq, "still"));
        assert!(gateway.is_closed());
        assert!(other.ping());
    }
}

#[test]
fn truncated_frame_closes_connection_after_open_answers() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    let frame = gateway.call("ping", b"\x02\x00\x01\x00");
    gateway.write(&frame[..frame.len() - 1]);
    gateway.stream.shutdown(std::net::Shutdown::Write).unwrap();
    server.wait_for_log("connection closed in the middle of a message");
    engine.send_done(1, &id(1), "good", "still");
    assert_eq!(gateway.read_reply(), ok(seq, "still"));
    assert!(gateway.is_closed());
}

#[test]
fn run_refused_by_engine_fails_immediately() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    // More runs than may be in progress at once.
    for index in 1..=6 {
        let seq = gateway.invoke("book", &id(index), b"", &[]);
        engine.expect_run(&id(index), "book");
        engine.send(&format!("NO RUN {}\r\n", id(index)));
        assert_eq!(gateway.read_reply(), Reply::Internal { seq });
    }
}

#[test]
fn connection_is_limited_to_32_open_requests() {
    let (server, engine) = TestServer::ready();
    let mut gateway = server.gateway();
    for index in 1..=33 {
        gateway.invoke("book", &id(index), b"", &[]);
    }
    assert_eq!(gateway.read_reply(), Reply::Exception { seq: 33 });
    let runs = engine.serve_in_background("0.5 1 0.1 3", false);
    // A few run; the others are rejected after their queue wait, each once, and those that run fail at their
    // deadline.
    let mut answered: Vec<i32> = (0..32)
        .map(|_| match gateway.read_reply() {
            Reply::Overloaded { seq, .. } | Reply::Internal { seq } => seq,
            reply => panic!("{reply:?}"),
        })
        .collect();
    answered.sort_unstable();
    assert_eq!(answered, (1..=32).collect::<Vec<i32>>());
    // The connection accepts requests again. The health check fails as long as both cores are blocked.
    gateway.ping();
    drop(server);
    // A second round may start one more run: it leaves one core for reading.
    assert!((2..=3).contains(&runs.join().unwrap()));
}

#[test]
fn breaker_reopens_if_probe_call_exceeds_deadline() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    for index in 1..=20 {
        let seq = gateway.invoke("lock", &id(index), b"", &[]);
        engine.expect_run(&id(index), "lock");
        engine.send_need(2 * index, &id(index), "q");
        let mut store = server.store();
        store.next_command();
        store.send(&format!("{} ERR\r\n", id(index)));
        assert_eq!(gateway.read_reply(), Reply::Internal { seq });
        engine.send_done(2 * index + 1, &id(index), "cut", "");
    }
    server.wait_for_log("from=\"closed\" to=\"open\" rate=1.0");
    // The first cooldown lasts at most one second.
    std::thread::sleep(LIMIT / 10);
    let seq = gateway.invoke("lock", &id(21), b"", &[]);
    engine.expect_run(&id(21), "lock");
    engine.send_need(42, &id(21), "q");
    let mut store = server.store();
    store.next_command();
    server.wait_for_log("from=\"open\" to=\"half-open\" rate=1.0");
    // A request that would only wait for the probe call is rejected.
    let other = gateway.invoke("lock", &id(22), b"", &[]);
    assert!(matches!(gateway.read_reply(), Reply::Overloaded { seq: of, .. } if of == other));
    assert_eq!(gateway.read_reply(), Reply::Internal { seq });
    engine.send_done(43, &id(21), "cut", "");
    server.wait_for_log("from=\"half-open\" to=\"open\" rate=1.0");
}

#[test]
fn status_query_finds_ended_run_and_frees_its_permit() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    // Both cores are busy, and the engine reports the end of no run.
    let mut runs: Vec<_> = (1..=2)
        .map(|index| {
            gateway.invoke("lock", &id(index), b"x", &[]);
            engine.next_command()
        })
        .collect();
    (1..=2).for_each(|_| assert!(matches!(gateway.read_reply(), Reply::Internal { .. })));
    // The server repeats each run's command, which makes the engine report the end of a run that is over.
    let mut status_queries = vec![engine.next_command(), engine.next_command()];
    runs.sort();
    status_queries.sort();
    assert_eq!(status_queries, runs);
    engine.send_done(1, &id(1), "gone", "");
    engine.send_done(2, &id(2), "gone", "");
    server.wait_for_log("server health changed stalled=false");
    let seq = gateway.invoke("lock", &id(4), b"", &[]);
    engine.expect_run(&id(4), "lock");
    engine.send_done(3, &id(4), "good", "again");
    assert_eq!(gateway.read_reply(), ok(seq, "again"));
}

#[test]
fn orphaned_runs_release_their_permits() {
    let (server, engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let runs = engine.serve_methods_in_background("0.5 1 0.1 3", |method| method == "pay");
    for index in 1..=2 {
        gateway.invoke("lock", &id(index), b"", &[]);
    }
    (1..=2).for_each(|_| assert!(matches!(gateway.read_reply(), Reply::Internal { .. })));
    server.wait_for_log_within("run orphaned since_answer_ms=10", LIMIT * 2);
    server.wait_for_log("server health changed stalled=false");
    let seq = gateway.invoke("pay", &id(4), b"", &[]);
    assert_eq!(gateway.read_reply(), ok(seq, ""));
    drop(server);
    // Two runs that never ended, some status queries for them, and the last run.
    assert!(runs.join().unwrap() > 3);
}

#[test]
fn silent_connections_do_not_block_new_ones() {
    for (limits, shell) in [
        ("\"sockets\":36", ""),
        ("\"sockets\":1024", "ulimit -n 24;"),
    ] {
        let server = TestServer::with_limits(limits, shell);
        let mut engine = server.engine(0, "old 3600000");
        let mut first = server.gateway();
        let seq = first.invoke("pay", &id(1), b"", &[]);
        engine.expect_run(&id(1), "pay");
        let silent: Vec<Gateway> = (0..60).map(|_| server.gateway()).collect();
        let mut gateway = server.gateway();
        assert!(gateway.ping(), "{limits} {shell}");
        // A connection with an open request is kept.
        engine.send_done(1, &id(1), "good", "kept");
        assert_eq!(first.read_reply(), ok(seq, "kept"), "{limits} {shell}");
        drop(silent);
    }
}

#[test]
fn gateway_that_stops_reading_is_not_read_and_affects_no_other() {
    let (server, engine) = TestServer::ready();
    engine.serve_in_background("0 0 0 0", false);
    let (mut blocked, mut other) = (server.gateway(), server.gateway());
    blocked.stream.set_write_timeout(Some(LIMIT / 20)).unwrap();
    let checks: Vec<u8> = (0..1000)
        .flat_map(|_| blocked.call("ping", b"\x02\x00\x01\x00"))
        .collect();
    let mut written = 0;
    while let Ok(()) = std::io::Write::write_all(&mut blocked.stream, &checks) {
        written += checks.len();
        assert!(written < 1 << 30, "the server kept reading");
    }
    assert!(other.ping());
    let kb = server.memory();
    assert!(kb < 64 * 1024, "{kb} kB");
}

#[test]
fn full_connection_table_closes_idle_gateways() {
    let (server, engine) = TestServer::ready();
    let (mut gateway, mut idle) = (server.gateway(), server.gateway());
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    assert!(idle.ping());
    let runs = engine.serve_in_background("0.5 1 0.1 500", true);
    assert_eq!(gateway.read_reply(), ok(seq, ""));
    assert_eq!(idle.read_reply(), Reply::Closing);
    // A request that crosses the closing message is still served.
    assert!(idle.ping());
    assert!(idle.pressure.is_some_and(|value| value > 0.0));
    drop(server);
    assert_eq!(runs.join().unwrap(), 1);
}

/// Runs `coralstep ARGS`: whether it succeeded, its standard output and its standard error.
fn run(args: &[&str], config: Option<&str>) -> (bool, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_coralstep"));
    command.args(args).env_remove("RELAY_CONFIG");
    let file = std::env::temp_dir().join(format!("coralstep-check-{}.json", std::process::id()));
    if let Some(config) = config {
        std::fs::write(&file, config).unwrap();
        command.env("RELAY_CONFIG", &file);
    }
    let output = command.output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        output.status.success(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[test]
fn command_line_reports_faults_in_one_line() {
    assert_eq!(
        run(&["version"], None),
        (
            true,
            format!("coralstep {}\n", env!("CARGO_PKG_VERSION")),
            String::new()
        )
    );
    assert!(
        run(&["--help"], None)
            .1
            .starts_with("usage: coralstep serve")
    );
    let config = format!(
        r#"{{"name":"n3","listen":"127.0.0.1:0","engine":"127.0.0.1:1","control":"127.0.0.1:1","store":"127.0.0.1:1",
        "seed":"1","settings":{}}}"#,
        stand_ins::SETTINGS
    );
    let (good, stdout, _) = run(&["check"], Some(&config));
    assert_eq!(
        (good, stdout.as_str()),
        (true, "n3: 4 methods, 1 tenants, listens on 127.0.0.1:0\n")
    );
    let example = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/site.example.json"
    );
    let (good, stdout, stderr) = run(&["check", "--site", example], Some(&config));
    assert!(good, "{stderr}");
    assert_eq!(
        stdout.lines().skip(1).collect::<Vec<_>>(),
        [
            "SCGI: 3 routes, listens on 127.0.0.1:6570",
            "applications: 2"
        ]
    );
    // Keys that the site file replaces may be missing, but no others.
    let without = config.replacen(
        "\"engine\":\"127.0.0.1:1\",\"control\":\"127.0.0.1:1\",",
        "",
        1,
    );
    assert!(run(&["check", "--site", example], Some(&without)).0);
    assert!(
        run(&["check"], Some(&without))
            .2
            .contains("engine: missing")
    );
    let bad = config.replacen("\"deadline\":2000000000", "\"deadline\":\"soon\"", 1);
    for (args, config, fault) in [
        (&["check"][..], None, "RELAY_CONFIG: not set"),
        (
            &["serve"],
            Some(bad.as_str()),
            "settings: classes.1.deadline=soon is no proper value",
        ),
        (&["check"], Some("nonsense"), "not JSON"),
        (
            &["check", "--config", "/nowhere"],
            None,
            "/nowhere: No such file",
        ),
        (&["fly"], None, "unknown sub-command \"fly\""),
        (&[], None, "no sub-command"),
        (&["serve", "--fast"], None, "--fast"),
    ] {
        let (good, stdout, stderr) = run(args, config);
        assert!(
            !good && stdout.is_empty() && stderr.contains(fault),
            "{args:?}: {stderr}"
        );
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
}
