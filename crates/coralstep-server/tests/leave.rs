//! Drains that start at any point of an RPC: all RPCs read before the stop are answered exactly once, and
//! nothing runs that arrived after the grace period.
mod stand_ins;

use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use stand_ins::{LIMIT, Reply, SETTINGS, TestServer, id, ok};

#[test]
fn second_signal_during_drain_has_no_effect() {
    let (mut server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    server.terminate();
    server.wait_for_log("draining stop_after_ms=1500");
    server.terminate();
    server.signal("INT");
    engine.send_done(1, &id(1), "good", "done");
    assert_eq!(gateway.read_reply(), ok(seq, "done"));
    assert_eq!(gateway.read_reply(), Reply::Closing);
    drop(gateway);
    assert_eq!(server.wait_for_exit().code(), Some(0));
}

#[test]
fn drain_answers_rpcs_in_queue_in_run_and_in_call() {
    let (mut server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    // One RPC in a call, one that runs and one that waits behind them, as both cores are busy.
    let called = gateway.invoke("read", &id(1), b"", &[]);
    assert_eq!(
        engine.next_command_when_busy().0,
        format!("RUN {} read", id(1))
    );
    engine.send_need(1, &id(1), "q");
    let mut store = server.store();
    store.next_command();
    let mut runs = Vec::new();
    for index in 2..=4 {
        runs.push(gateway.invoke("pay", &id(index), b"", &[]));
    }
    assert_eq!(
        engine.next_command_when_busy().0,
        format!("RUN {} pay", id(2))
    );
    assert_eq!(
        engine.next_command_when_busy().0,
        format!("RUN {} pay", id(3))
    );
    server.terminate();
    server.wait_for_log("draining stop_after_ms=");
    // After the signal: the call is answered, a run needs its end, and the waiting RPC starts, as it arrived
    // before the signal.
    store.send(&format!("{} OK 1\r\nr\r\n", id(1)));
    engine.send_done(2, &id(2), "good", "2");
    let mut commands = [engine.next_command().0, engine.next_command().0];
    commands.sort();
    assert_eq!(
        commands,
        [format!("FEED {}", id(1)), format!("RUN {} pay", id(4))]
    );
    engine.send_done(3, &id(1), "good", "1");
    engine.send_done(4, &id(4), "good", "4");
    engine.send_done(5, &id(3), "good", "3");
    let mut replies: Vec<Reply> = (0..4).map(|_| gateway.read_reply()).collect();
    replies.sort_by_key(|reply| {
        if let Reply::Answer { seq, .. } = reply {
            *seq
        } else {
            0
        }
    });
    let all = [called, runs[0], runs[1], runs[2]];
    let expected: Vec<Reply> = all
        .iter()
        .zip(["1", "2", "3", "4"])
        .map(|(seq, body)| ok(*seq, body))
        .collect();
    assert_eq!(replies, expected);
    assert_eq!(gateway.read_reply(), Reply::Closing);
    drop(gateway);
    assert_eq!(server.wait_for_exit().code(), Some(0));
}

#[test]
fn drain_during_engine_move_loses_no_rpc() {
    let (mut server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    server.move_backends();
    // The server has asked the old engine, which has not confirmed yet that it has read everything.
    assert_eq!(engine.next_line_except_gauges(), "STAT settled");
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    server.terminate();
    server.wait_for_log("draining stop_after_ms=");
    engine.send("STATS settled 0.5 1 0.1 3\r\n");
    assert!(engine.is_closed());
    let mut engine = server.engine(0, "old 3600000");
    engine.expect_run(&id(1), "pay");
    // A further reload during the drain moves the links once more.
    server.move_backends();
    assert_eq!(engine.next_line_except_gauges(), "STAT settled");
    engine.send("STATS settled 0.5 1 0.1 3\r\n");
    let mut engine = server.engine(0, "old 3600000");
    engine.send_done(1, &id(1), "good", "moved");
    assert_eq!(gateway.read_reply(), ok(seq, "moved"));
    // A reload does not make a draining server send leases again.
    server
        .control
        .set_read_timeout(Some(Duration::from_millis(700)))
        .unwrap();
    assert!(server.control.recv(&mut [0; 64]).is_err());
    drop(gateway);
    assert_eq!(server.wait_for_exit().code(), Some(0));
}

#[test]
fn message_split_by_drain_is_answered_only_if_completed() {
    let (mut server, mut engine) = TestServer::ready();
    let (mut whole, mut half) = (server.gateway(), server.gateway());
    let (now, ids) = (stand_ins::now_ms(), [id(1), id(2)]);
    let framed = |gateway: &mut stand_ins::Gateway, id: &str| {
        gateway.encode_invoke(
            &[
                ("service", "pay"),
                ("ref", id),
                ("since", &now),
                ("room", "1"),
            ],
            b"",
        )
    };
    let (first, second) = (framed(&mut whole, &ids[0]), framed(&mut half, &ids[1]));
    whole.write(&first[..30]);
    half.write(&second[..30]);
    assert!(server.gateway().ping());
    server.terminate();
    server.wait_for_log("draining stop_after_ms=");
    whole.write(&first[30..]);
    engine.expect_run(&ids[0], "pay");
    engine.send_done(1, &ids[0], "good", "whole");
    assert_eq!(whole.read_reply(), ok(1, "whole"));
    assert_eq!(whole.read_reply(), Reply::Closing);
    drop(whole);
    // The other message is never completed and gets no answer; the process doesn't wait for it.
    assert_eq!(half.read_reply(), Reply::Closing);
    assert!(half.is_closed());
    assert_eq!(server.wait_for_exit().code(), Some(0));
    assert_eq!(engine.next_command_or_close(), None);
}

#[test]
fn answers_behind_full_socket_are_sent_during_drain() {
    let (mut server, engine) = TestServer::ready();
    let ran = Arc::new(AtomicU64::new(0));
    let body = "x".repeat(8_000);
    let counted = ran.clone();
    let result = body.clone();
    engine.handle_runs_in_background(move |number, id, engine| {
        counted.fetch_add(1, Ordering::SeqCst);
        engine.send_done(number, id, "good", &result);
    });
    let mut gateway = server.gateway();
    // Until the server no longer reads from this gateway, whose answers fill every buffer.
    let (mut asked, mut full) = (0, false);
    while !full {
        asked += 1;
        gateway.invoke("pay", &id(asked), b"", &[]);
        let start = Instant::now();
        while ran.load(Ordering::SeqCst) < asked && !full {
            full = start.elapsed() > LIMIT / 20;
            sleep(Duration::from_micros(100));
        }
        assert!(asked < 20_000, "the server never stopped reading");
    }
    server.terminate();
    server.wait_for_log("draining stop_after_ms=");
    // The last request was written but not read by the server; it is answered, too.
    let mut answers = 0;
    for seq in 1..=asked as i32 {
        match gateway.read_reply() {
            Reply::Answer {
                seq: of,
                body: came,
                good: true,
            } => {
                assert_eq!((of, came.len()), (seq, body.len()));
                answers += 1;
            }
            Reply::Overloaded { seq: of, .. } => assert_eq!((of, seq), (seq, asked as i32)),
            reply => panic!("{reply:?}"),
        }
    }
    assert!(answers >= asked - 1, "{answers} of {asked}");
    assert_eq!(gateway.read_reply(), Reply::Closing);
    assert!(gateway.is_closed());
    assert_eq!(server.wait_for_exit().code(), Some(0));
}

#[test]
fn caller_connected_at_stop_reads_end_of_stream_without_reset() {
    let (mut server, engine) = TestServer::ready();
    engine.serve_in_background("0.5 1 0.1 3", true);
    let mut gateway = server.gateway();
    assert!(gateway.ping());
    server.terminate();
    assert_eq!(gateway.read_reply(), Reply::Closing);
    // A request that crosses the closing message is answered. Then the caller neither closes nor reads, and
    // half a message stays unread.
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    assert!(matches!(gateway.read_reply(), Reply::Overloaded { seq: of, .. } if of == seq));
    let call = gateway.call("ping", b"\x02\x00\x01\x00");
    gateway.write(&call[..9]);
    assert_eq!(server.wait_for_exit().code(), Some(0));
    assert!(gateway.is_closed());
}

/// The configuration file is a pipe without data: the signals arrive while the server reads its configuration.
#[test]
fn signals_while_configuration_is_read_take_effect_after_start() {
    let path = std::env::temp_dir().join(format!("coralstep-pipe-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    assert!(
        Command::new("mkfifo")
            .arg(&path)
            .status()
            .unwrap()
            .success()
    );
    let program = Command::new(env!("CARGO_BIN_EXE_coralstep"))
        .args(["serve", "--config"])
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Opens only once the server has opened its end.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    for name in ["HUP", "TERM"] {
        let kill = format!("kill -{name} {}", program.id());
        assert!(
            Command::new("/bin/sh")
                .args(["-c", &kill])
                .status()
                .unwrap()
                .success()
        );
    }
    let config = format!(
        r#"{{"name":"n3","listen":"127.0.0.1:0","engine":"127.0.0.1:1","control":"127.0.0.1:1","store":"127.0.0.1:1",
        "seed":"1","stop_ms":600,"settings":{SETTINGS}}}"#
    );
    // The reload reads an empty file instead of the pipe, which is reported as an event.
    let empty = path.with_extension("empty");
    std::fs::write(&empty, "").unwrap();
    std::fs::rename(&empty, &path).unwrap();
    std::io::Write::write_all(&mut pipe, config.as_bytes()).unwrap();
    drop(pipe);
    let output = program.wait_with_output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(0), "{stderr}");
    assert!(
        stderr.contains("draining stop_after_ms=600")
            && stderr.contains("reload failed, nothing changed"),
        "{stderr}"
    );
    let _ = std::fs::remove_file(&path);
}
