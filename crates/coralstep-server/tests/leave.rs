//! The notice to leave, between any two steps: all that was read is answered once before the stop, and nothing runs that came after the grace.
mod stand_ins;

use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use stand_ins::{LIMIT, Rig, SETTINGS, Said, id};

fn ok(seq: i32, body: &str) -> Said {
    Said::Answer {
        seq,
        body: body.into(),
        good: true,
    }
}

#[test]
fn a_second_notice_changes_nothing() {
    let (mut rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    rig.terminate();
    rig.logged("draining stop_after_ms=1500");
    rig.terminate();
    rig.signal("INT");
    engine.done(1, &id(1), "good", "done");
    assert_eq!(gate.said(), ok(seq, "done"));
    assert_eq!(gate.said(), Said::Closing);
    drop(gate);
    assert_eq!(rig.ended().code(), Some(0));
}

#[test]
fn a_notice_between_admission_call_and_answer_loses_none_of_them() {
    let (mut rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    // One at its call, one that runs, one that is held behind them, for both cores are taken.
    let called = gate.invoke("read", &id(1), b"", &[]);
    assert_eq!(engine.busy_command().0, format!("RUN {} read", id(1)));
    engine.need(1, &id(1), "q");
    let mut store = rig.store();
    store.command();
    let mut runs = Vec::new();
    for index in 2..=4 {
        runs.push(gate.invoke("pay", &id(index), b"", &[]));
    }
    assert_eq!(engine.busy_command().0, format!("RUN {} pay", id(2)));
    assert_eq!(engine.busy_command().0, format!("RUN {} pay", id(3)));
    rig.terminate();
    rig.logged("draining stop_after_ms=");
    // After the notice: the call comes back, a run needs its end, and the held one begins, for it came before the notice.
    store.send(&format!("{} OK 1\r\nr\r\n", id(1)));
    engine.done(2, &id(2), "good", "2");
    let mut commands = [engine.command().0, engine.command().0];
    commands.sort();
    assert_eq!(
        commands,
        [format!("FEED {}", id(1)), format!("RUN {} pay", id(4))]
    );
    engine.done(3, &id(1), "good", "1");
    engine.done(4, &id(4), "good", "4");
    engine.done(5, &id(3), "good", "3");
    let mut said: Vec<Said> = (0..4).map(|_| gate.said()).collect();
    said.sort_by_key(|said| {
        if let Said::Answer { seq, .. } = said {
            *seq
        } else {
            0
        }
    });
    let all = [called, runs[0], runs[1], runs[2]];
    let expected: Vec<Said> = all
        .iter()
        .zip(["1", "2", "3", "4"])
        .map(|(seq, body)| ok(*seq, body))
        .collect();
    assert_eq!(said, expected);
    assert_eq!(gate.said(), Said::Closing);
    drop(gate);
    assert_eq!(rig.ended().code(), Some(0));
}

#[test]
fn a_notice_while_a_reload_moves_the_engine_loses_nothing() {
    let (mut rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    rig.moves();
    // The old engine is asked, and has not said that it has read all.
    assert_eq!(engine.line_but_gauges(), "STAT settled");
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    rig.terminate();
    rig.logged("draining stop_after_ms=");
    engine.send("STATS settled 0.5 1 0.1 3\r\n");
    assert!(engine.ended());
    let mut engine = rig.engine(0, "old 3600000");
    engine.expect_run(&id(1), "pay");
    // A further reload while it leaves moves the links once more.
    rig.moves();
    assert_eq!(engine.line_but_gauges(), "STAT settled");
    engine.send("STATS settled 0.5 1 0.1 3\r\n");
    let mut engine = rig.engine(0, "old 3600000");
    engine.done(1, &id(1), "good", "moved");
    assert_eq!(gate.said(), ok(seq, "moved"));
    // A server that leaves does not come back to the list by a reload.
    rig.control
        .set_read_timeout(Some(Duration::from_millis(700)))
        .unwrap();
    assert!(rig.control.recv(&mut [0; 64]).is_err());
    drop(gate);
    assert_eq!(rig.ended().code(), Some(0));
}

#[test]
fn half_a_message_at_the_notice_is_answered_if_its_rest_comes_and_else_runs_nothing() {
    let (mut rig, mut engine) = Rig::ready();
    let (mut whole, mut half) = (rig.gate(), rig.gate());
    let (now, ids) = (stand_ins::now_ms(), [id(1), id(2)]);
    let framed = |gate: &mut stand_ins::Gate, id: &str| {
        gate.framed(
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
    assert!(rig.gate().ping());
    rig.terminate();
    rig.logged("draining stop_after_ms=");
    whole.write(&first[30..]);
    engine.expect_run(&ids[0], "pay");
    engine.done(1, &ids[0], "good", "whole");
    assert_eq!(whole.said(), ok(1, "whole"));
    assert_eq!(whole.said(), Said::Closing);
    drop(whole);
    // The other never gets an answer, for it never came; the process does not wait for it.
    assert_eq!(half.said(), Said::Closing);
    assert!(half.ended());
    assert_eq!(rig.ended().code(), Some(0));
    assert_eq!(engine.until_the_end(), None);
}

#[test]
fn answers_that_wait_behind_a_full_socket_at_the_notice_still_go_out() {
    let (mut rig, engine) = Rig::ready();
    let ran = Arc::new(AtomicU64::new(0));
    let body = "x".repeat(8_000);
    let counted = ran.clone();
    let result = body.clone();
    engine.go_on_with(move |number, id, engine| {
        counted.fetch_add(1, Ordering::SeqCst);
        engine.done(number, id, "good", &result);
    });
    let mut gate = rig.gate();
    // Until the server no longer reads this gateway, whose answers fill every buffer on the way.
    let (mut asked, mut full) = (0, false);
    while !full {
        asked += 1;
        gate.invoke("pay", &id(asked), b"", &[]);
        let start = Instant::now();
        while ran.load(Ordering::SeqCst) < asked && !full {
            full = start.elapsed() > LIMIT / 20;
            sleep(Duration::from_micros(100));
        }
        assert!(asked < 20_000, "it is read for ever");
    }
    rig.terminate();
    rig.logged("draining stop_after_ms=");
    // The last one was written and lay unread: it too is answered.
    let mut answers = 0;
    for seq in 1..=asked as i32 {
        match gate.said() {
            Said::Answer {
                seq: of,
                body: came,
                good: true,
            } => {
                assert_eq!((of, came.len()), (seq, body.len()));
                answers += 1;
            }
            Said::Overloaded { seq: of, .. } => assert_eq!((of, seq), (seq, asked as i32)),
            said => panic!("{said:?}"),
        }
    }
    assert!(answers >= asked - 1, "{answers} of {asked}");
    assert_eq!(gate.said(), Said::Closing);
    assert!(gate.ended());
    assert_eq!(rig.ended().code(), Some(0));
}

#[test]
fn a_caller_that_stays_past_the_stop_reads_the_end_and_no_reset() {
    let (mut rig, engine) = Rig::ready();
    engine.go_on("0.5 1 0.1 3", true);
    let mut gate = rig.gate();
    assert!(gate.ping());
    rig.terminate();
    assert_eq!(gate.said(), Said::Closing);
    // What crosses the word is answered. Then it neither leaves nor reads, and half a message lies in its connection.
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    assert!(matches!(gate.said(), Said::Overloaded { seq: of, .. } if of == seq));
    let call = gate.call("ping", b"\x02\x00\x01\x00");
    gate.write(&call[..9]);
    assert_eq!(rig.ended().code(), Some(0));
    assert!(gate.ended());
}

/// The files are a pipe that nobody has written to yet: the program stands between its start and its first line of configuration.
#[test]
fn a_notice_and_a_reload_while_the_files_are_read_end_nothing_before_its_time() {
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
    // Opens only once the program has opened its end.
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
    // What the reload is to read in place of the pipe: a file with nothing in it, which is an event.
    let empty = path.with_extension("empty");
    std::fs::write(&empty, "").unwrap();
    std::fs::rename(&empty, &path).unwrap();
    std::io::Write::write_all(&mut pipe, config.as_bytes()).unwrap();
    drop(pipe);
    let output = program.wait_with_output().unwrap();
    let said = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(0), "{said}");
    assert!(
        said.contains("draining stop_after_ms=600")
            && said.contains("reload failed, nothing changed"),
        "{said}"
    );
    let _ = std::fs::remove_file(&path);
}
