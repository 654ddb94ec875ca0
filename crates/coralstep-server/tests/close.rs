//! How connections end: the last answers are read over there, and what comes as one ends is answered or never sent on.
mod stand_ins;

use std::net::Shutdown;
use std::thread::sleep;
use std::time::{Duration, Instant};

use stand_ins::{LIMIT, Rig, Said, id};

fn ok(seq: i32, body: &str) -> Said {
    Said::Answer {
        seq,
        body: body.into(),
        good: true,
    }
}

#[test]
fn bytes_that_nobody_reads_take_no_answer_along() {
    let (rig, mut engine) = Rig::ready();
    // No frame, more than was read before that was seen; and behind an SCGI-like end of all reading, a flood.
    for (index, count) in [(1, 64), (2, 40_000)] {
        let mut gate = rig.gate();
        let seq = gate.invoke("pay", &id(index), b"", &[]);
        engine.expect_run(&id(index), "pay");
        gate.write(&vec![0xff; count]);
        rig.logged("invalid frame length");
        engine.done(index, &id(index), "good", "still");
        assert_eq!(gate.said(), ok(seq, "still"));
        // The end, and no reset, which a close over unread bytes would be.
        assert!(gate.ended(), "{count} bytes");
    }
}

#[test]
fn an_rpc_that_comes_in_the_moment_its_resting_connection_is_ended_has_its_answer() {
    let (rig, engine) = Rig::ready();
    let (mut gate, mut other) = (rig.gate(), rig.gate());
    assert!(gate.ping() && other.ping());
    // A table that the engine calls full asks who rests to leave; who stays all the same is left after five seconds more.
    let runs = engine.go_on("0.5 1 0.1 500", true);
    let (said, asked) = (gate.said(), Instant::now());
    assert_eq!((said, other.said()), (Said::Closing, Said::Closing));
    rig.signal("STOP");
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    // Half of one, whose rest never comes: it runs nowhere.
    let half = other.framed(&[("service", "pay")], b"");
    other.write(&half[..20]);
    // Both lie unread when the time has passed. Long enough, with a second to spare.
    sleep(Duration::from_secs(6).saturating_sub(asked.elapsed()));
    rig.signal("CONT");
    match gate.said() {
        Said::Answer { seq: of, .. } | Said::Overloaded { seq: of, .. } => assert_eq!(of, seq),
        said => panic!("{said:?}"),
    }
    assert!(other.cut());
    let mut next = rig.gate();
    let seq = next.invoke("pay", &id(2), b"", &[]);
    assert_eq!(next.said(), ok(seq, ""));
    drop(rig);
    assert!(runs.join().unwrap() <= 2);
}

#[test]
fn what_comes_after_the_end_is_never_sent_on_and_draws_no_reset() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    gate.write(&[0xff; 64]);
    rig.logged("invalid frame length");
    engine.done(1, &id(1), "good", "last");
    assert_eq!(gate.said(), ok(seq, "last"));
    // The server's side is closed; ours still takes an RPC, which lies in the connection that is read to its end.
    assert_eq!(gate.stream.peek(&mut [0]).unwrap(), 0);
    gate.invoke("pay", &id(2), b"", &[]);
    gate.stream.shutdown(Shutdown::Write).unwrap();
    assert!(gate.ended());
    let mut next = rig.gate();
    next.invoke("pay", &id(3), b"", &[]);
    engine.expect_run(&id(3), "pay");
}

#[test]
fn a_caller_that_has_only_half_closed_gets_its_answer_however_late() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    gate.stream.shutdown(Shutdown::Write).unwrap();
    // After a second its leaving is looked into, with the word that a gateway knows.
    engine.sleep(Duration::from_millis(300));
    assert_eq!(gate.said(), Said::Closing);
    engine.sleep(Duration::from_millis(300));
    engine.done(1, &id(1), "good", "late");
    assert_eq!(gate.said(), ok(seq, "late"));
    assert!(gate.ended());
}

#[test]
fn a_caller_that_has_closed_is_found_and_its_run_given_up() {
    // Due long after the test's patience: nothing else stops the run.
    let rig = Rig::settings(&stand_ins::SETTINGS.replacen(
        "\"deadline\":4000000000",
        "\"deadline\":60000000000",
        1,
    ));
    let mut engine = rig.engine(0, "old 3600000");
    let mut gate = rig.gate();
    gate.invoke("read", &id(1), b"", &[]);
    engine.expect_run(&id(1), "read");
    // Nothing lies unread over there: the close is no reset.
    drop(gate);
    assert_eq!(engine.command().0, format!("HALT {}", id(1)));
}

#[test]
fn a_caller_over_scgi_reads_its_answer_though_it_sent_more_than_was_read() {
    let rig = Rig::site(stand_ins::scgi::FRONT);
    let mut engine = rig.engine(0, "old 3600000");
    // The refusal of what is too long leaves most of it unread.
    for (path, more, status) in [
        ("/nowhere", 0, 404),
        ("/nowhere", 30_000, 404),
        ("/pay", 200, 200),
    ] {
        let mut caller = rig.ask(path, &[("HTTP_CORALSTEP_ID", &id(1))], b"x");
        caller.write(&vec![b'y'; more]);
        if status == 200 {
            let (head, _) = engine.command();
            let run = head.split(' ').nth(1).unwrap().to_owned();
            engine.done(1, &run, "good", "ok");
        }
        // `answer` reads to the end of the connection.
        let mut bytes = Vec::new();
        std::io::Read::read_to_end(&mut caller.stream, &mut bytes).unwrap();
        assert!(
            bytes.starts_with(format!("Status: {status}").as_bytes()),
            "{}",
            String::from_utf8_lossy(&bytes)
        );
    }
}

#[test]
fn an_answer_of_the_store_that_breaks_off_midway_is_no_proof() {
    let (rig, mut engine) = Rig::ready();
    for (index, half) in [" OK 5\r\nth", " OK", ""].into_iter().enumerate() {
        let index = index as u64 + 1;
        let mut gate = rig.gate();
        let seq = gate.invoke("book", &id(index), b"", &[]);
        engine.expect_run(&id(index), "book");
        engine.need(2 * index, &id(index), "q");
        let mut store = rig.store();
        store.command();
        store.send(&format!("{}{half}", id(index)));
        drop(store);
        assert_eq!(gate.said(), Said::Internal { seq }, "{half:?}");
        engine.done(2 * index + 1, &id(index), "cut", "");
    }
    // No call was made again: the next that comes is that of another RPC.
    let mut gate = rig.gate();
    gate.invoke("read", &id(9), b"", &[]);
    engine.expect_run(&id(9), "read");
    engine.need(9, &id(9), "mine");
    assert_eq!(rig.store().command().1, b"mine");
}

#[test]
fn a_pause_while_the_engines_answer_lies_unread_costs_no_link() {
    let (rig, mut engine) = Rig::ready();
    assert_eq!(engine.line(), "STAT gauges");
    rig.signal("STOP");
    engine.send("STATS gauges 0.5 1 0.1 3\r\n");
    // Longer than a question may stay open.
    sleep(Duration::from_millis(2_500));
    rig.signal("CONT");
    let mut gate = rig.gate();
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    engine.done(1, &id(1), "good", "");
    assert_eq!(gate.said(), ok(seq, ""));
}

#[test]
fn a_link_that_is_ended_before_a_word_is_made_anew_less_and_less_often() {
    let rig = Rig::start();
    let listener = rig.engine_listener();
    listener.set_nonblocking(true).unwrap();
    let (start, mut links) = (Instant::now(), 0);
    while start.elapsed() < Duration::from_secs(3) {
        match listener.accept() {
            Ok(_) => links += 1,
            Err(_) => sleep(Duration::from_millis(1)),
        }
    }
    // Each 20 ms would be 150; a slow machine makes them fewer.
    assert!(links <= 50, "{links} links");
    // Once the engine speaks, a link that breaks is made anew at once, as before.
    let mut engine = rig.engine(0, "old 3600000");
    for last in 0..5 {
        engine.send(&format!("NOTE {} x\r\n", last + 1));
        engine.caught_up_to_gauges();
        let broken = Instant::now();
        drop(engine);
        engine = rig.engine(last + 1, "old 3600000");
        assert!(broken.elapsed() < LIMIT);
    }
}
