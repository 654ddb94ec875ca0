//! The program against stand-ins for its engine, store, control plane and gateways.
mod stand_ins;

use std::process::Command;
use std::time::{Instant, SystemTime};

use stand_ins::{Gate, LIMIT, Lines, Rig, Said, id};

fn ok(seq: i32, body: &str) -> Said {
    Said::Answer {
        seq,
        body: body.into(),
        good: true,
    }
}

#[test]
fn an_rpc_runs_and_its_result_comes_back_unchanged() {
    let rig = Rig::start();
    let mut gate = rig.gate();
    // A health check doesn't wait for the engine.
    assert!(gate.ping());
    // Nor does the server want to be listed before it.
    rig.control.set_nonblocking(true).unwrap();
    assert!(rig.control.recv(&mut [0; 64]).is_err());
    rig.control.set_nonblocking(false).unwrap();
    let mut engine = rig.engine(0, "old 3600000");
    let seq = gate.invoke("pay", &id(1), b"\0\r\n\xff", &[]);
    assert_eq!(engine.expect_run(&id(1), "pay"), b"\0\r\n\xff");
    engine.send("NOTE 1 nothing of meaning\r\n");
    engine.done(2, &id(1), "good", "a\r\nb");
    assert_eq!(gate.said(), ok(seq, "a\r\nb"));
    let mut lease = [0; 64];
    let count = rig.control.recv(&mut lease).unwrap();
    assert_eq!(&lease[..count], b"lease n3 Ready");
}

#[test]
fn a_run_that_fails_is_an_error_and_its_connection_goes_on() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    engine.done(1, &id(1), "bad", "");
    assert_eq!(gate.said(), Said::Internal { seq });
    assert!(gate.ping());
}

#[test]
fn a_call_goes_to_the_store_and_its_reply_to_the_run() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    let seq = gate.invoke("read", &id(1), b"x", &[]);
    engine.expect_run(&id(1), "read");
    engine.need(1, &id(1), "which?");
    let mut store = rig.store();
    let (head, body) = store.command();
    assert!(head.starts_with(&format!("CALL {} ", id(1))), "{head}");
    assert_eq!(body, b"which?");
    store.send(&format!("{} OK 5\r\nthis.\r\n", id(1)));
    assert_eq!(
        engine.command(),
        (format!("FEED {}", id(1)), b"this.".to_vec())
    );
    engine.done(2, &id(1), "good", "done");
    assert_eq!(gate.said(), ok(seq, "done"));
}

/// A `book` at its call.
fn at_a_call(rig: &Rig, engine: &mut Lines, method: &str) -> (Gate, i32) {
    let mut gate = rig.gate();
    let seq = gate.invoke(method, &id(1), b"", &[]);
    engine.expect_run(&id(1), method);
    engine.need(1, &id(1), "q");
    (gate, seq)
}

#[test]
fn a_call_with_an_effect_is_repeated_only_if_it_never_ran() {
    for (reply, again) in [
        ("BUSY", true),
        ("VOID", true),
        ("ERR", false),
        ("LATE", false),
    ] {
        let (rig, mut engine) = Rig::ready();
        let (mut gate, seq) = at_a_call(&rig, &mut engine, "book");
        let mut store = rig.store();
        store.command();
        store.send(&format!("{} {reply}\r\n", id(1)));
        if again {
            let mut store = rig.store();
            assert_eq!(store.command().1, b"q", "{reply}");
            store.send(&format!("{} OK 0\r\n\r\n", id(1)));
            assert_eq!(engine.command(), (format!("FEED {}", id(1)), Vec::new()));
            engine.done(2, &id(1), "good", "");
            assert_eq!(gate.said(), ok(seq, ""));
        } else {
            assert_eq!(gate.said(), Said::Internal { seq }, "{reply}");
        }
    }
}

#[test]
fn a_link_to_the_store_that_breaks_proves_nothing() {
    let (rig, mut engine) = Rig::ready();
    let (mut gate, seq) = at_a_call(&rig, &mut engine, "book");
    let mut store = rig.store();
    store.command();
    drop(store);
    assert_eq!(gate.said(), Said::Internal { seq });
}

#[test]
fn while_the_store_is_down_calls_end_at_once() {
    let (mut rig, mut engine) = Rig::ready();
    rig.close_store();
    let (mut gate, seq) = at_a_call(&rig, &mut engine, "read");
    assert!(
        matches!(gate.said(), Said::Overloaded { seq: of, cooldown: Some(_), .. } if of == seq)
    );
    // Its run ends at the call, as its RPC is over; others are served as before.
    engine.done(2, &id(1), "cut", "");
    let seq = gate.invoke("pay", &id(2), b"", &[]);
    engine.expect_run(&id(2), "pay");
    engine.done(3, &id(2), "good", "paid");
    assert_eq!(gate.said(), ok(seq, "paid"));
}

#[test]
fn a_store_that_says_nothing_is_left_and_its_late_reply_is_not_taken_for_another() {
    let (rig, mut engine) = Rig::ready();
    let (mut gate, seq) = at_a_call(&rig, &mut engine, "read");
    // A quick call first: so long is the next one waited for.
    let mut quick = rig.store();
    quick.command();
    quick.send(&format!("{} OK 0\r\n\r\n", id(1)));
    engine.command();
    engine.need(2, &id(1), "q");
    let mut silent = rig.store();
    silent.command();
    let mut store = rig.store();
    assert!(silent.ended());
    store.command();
    silent.send(&format!("{} OK 5\r\nstale\r\n", id(1)));
    store.send(&format!("{} OK 5\r\nfresh\r\n", id(1)));
    assert_eq!(
        engine.command(),
        (format!("FEED {}", id(1)), b"fresh".to_vec())
    );
    engine.done(3, &id(1), "good", "");
    assert_eq!(gate.said(), ok(seq, ""));
}

#[test]
fn a_second_copy_of_a_reply_is_not_taken_for_that_to_the_next_call() {
    let (rig, mut engine) = Rig::ready();
    let (mut gate, seq) = at_a_call(&rig, &mut engine, "read");
    let mut first = rig.store();
    first.command();
    // One ahead for nobody, the reply, and a copy of it.
    let copy = format!("{} OK 3\r\none\r\n", id(1));
    first.send(&format!("{} OK 4\r\nelse\r\n{copy}{copy}", id(99)));
    assert_eq!(
        engine.command(),
        (format!("FEED {}", id(1)), b"one".to_vec())
    );
    engine.need(2, &id(1), "and?");
    let mut second = rig.store();
    assert_eq!(second.command().1, b"and?");
    second.send(&format!("{} OK 3\r\ntwo\r\n", id(1)));
    assert_eq!(
        engine.command(),
        (format!("FEED {}", id(1)), b"two".to_vec())
    );
    engine.done(3, &id(1), "good", "");
    assert_eq!(gate.said(), ok(seq, ""));
}

#[test]
fn a_spoilt_reply_ends_its_own_call_alone() {
    let flood = format!("{} OK 3000000000\r\n{}", id(1), "x".repeat(20_000));
    for spoilt in [
        "\u{1}noise\r\n",
        "9b1f OK -3\r\n",
        &"endless".repeat(1000),
        &flood,
        "",
    ] {
        let (rig, mut engine) = Rig::ready();
        let mut gate = rig.gate();
        for index in 1..=2 {
            gate.invoke("book", &id(index), b"", &[]);
            engine.expect_run(&id(index), "book");
            engine.need(index, &id(index), "q");
        }
        let (mut one, mut two) = (rig.store(), rig.store());
        let (first, _) = one.command();
        two.command();
        // Whichever call came first is spoilt; it may have had its effect.
        let of = |index| first.contains(&id(index));
        let (hurt, other) = if of(1) { (1, 2) } else { (2, 1) };
        one.send(spoilt);
        drop(one);
        assert_eq!(gate.said(), Said::Internal { seq: hurt }, "{spoilt:.20}");
        two.send(&format!("{} OK 0\r\n\r\n", id(other as u64)));
        assert_eq!(engine.command().0, format!("FEED {}", id(other as u64)));
        engine.done(3, &id(other as u64), "good", "");
        assert_eq!(gate.said(), ok(other, ""), "{spoilt:.20}");
    }
}

#[test]
fn an_engine_that_hangs_delays_no_answer_and_its_late_result_is_dropped() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    let start = Instant::now();
    let seq = gate.invoke("book", &id(1), b"", &[]);
    engine.expect_run(&id(1), "book");
    assert_eq!(gate.said(), Said::Internal { seq });
    assert!(
        start.elapsed().as_millis() <= 4_000,
        "{:?}",
        start.elapsed()
    );
    engine.done(1, &id(1), "good", "late");
    engine.send(&format!(
        "DONE 1 {} good 7 0\r\n\r\nDONE 2 {} odd 7 0\r\n\r\nWHAT\r\n",
        id(1),
        id(77)
    ));
    rig.logged("unknown engine message received=\"WHAT\"");
    // The next thing on the connection is the answer to the check.
    assert!(gate.ping());
}

#[test]
fn a_token_runs_once_and_its_repeats_get_the_same_answer() {
    let (rig, mut engine) = Rig::ready();
    let (mut gate, token) = (rig.gate(), [("replay", "T-1")]);
    let first = gate.invoke("pay", &id(1), b"", &token);
    engine.expect_run(&id(1), "pay");
    // One that comes while the first runs, one that comes after it.
    let second = gate.invoke("pay", &id(2), b"", &[token[0], ("dup", "1")]);
    engine.done(1, &id(1), "good", "paid");
    assert_eq!(gate.said(), ok(first, "paid"));
    assert_eq!(gate.said(), ok(second, "paid"));
    let third = gate.invoke("pay", &id(3), b"", &[token[0], ("dup", "1")]);
    assert_eq!(gate.said(), ok(third, "paid"));
    // Nothing but another token runs.
    let other = gate.invoke("pay", &id(4), b"", &[("replay", "T-2")]);
    engine.expect_run(&id(4), "pay");
    engine.done(2, &id(4), "bad", "");
    assert_eq!(gate.said(), Said::Internal { seq: other });
    let again = gate.invoke("pay", &id(5), b"", &[("replay", "T-2")]);
    assert_eq!(gate.said(), Said::Internal { seq: again });
}

#[test]
fn a_token_that_a_stranger_has_seen_is_answered_with_nobody_elses_result() {
    let (rig, mut engine) = Rig::ready();
    let (mut gate, mut stranger, token) = (rig.gate(), rig.gate(), [("replay", "T-1")]);
    let first = gate.invoke("pay", &id(1), b"a ride", &token);
    engine.expect_run(&id(1), "pay");
    // While it runs, and after it: another body under its token neither draws its result nor runs.
    let seq = stranger.invoke("pay", &id(2), b"another", &token);
    assert_eq!(stranger.said(), Said::Internal { seq });
    engine.done(1, &id(1), "good", "paid");
    assert_eq!(gate.said(), ok(first, "paid"));
    let seq = stranger.invoke("pay", &id(3), b"a", &token);
    assert_eq!(stranger.said(), Said::Internal { seq });
    // The RPC's own repeat still gets it.
    let again = gate.invoke("pay", &id(4), b"a ride", &[token[0], ("dup", "1")]);
    assert_eq!(gate.said(), ok(again, "paid"));
    let next = gate.invoke("pay", &id(5), b"", &[("replay", "T-2")]);
    engine.expect_run(&id(5), "pay");
    engine.done(2, &id(5), "good", "");
    assert_eq!(gate.said(), ok(next, ""));
}

#[test]
fn notices_missed_while_the_link_was_down_are_read_from_the_next() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    let seq = gate.invoke("book", &id(1), b"", &[]);
    engine.expect_run(&id(1), "book");
    engine.send("NOTE 1 x\r\n");
    engine.done(2, &id(9), "good", "nobody's");
    assert!(rig.logged("event for unknown run").contains(&id(9)));
    drop(engine);
    let mut engine = rig.attach(2);
    engine.send(&format!(
        "HELLO old 3600000\r\nDONE 3 {} good 7 2\r\nok\r\n",
        id(1)
    ));
    assert_eq!(gate.said(), ok(seq, "ok"));
    engine.caught_up();
    let next = gate.invoke("pay", &id(2), b"", &[]);
    engine.expect_run(&id(2), "pay");
    engine.done(4, &id(2), "good", "");
    assert_eq!(gate.said(), ok(next, ""));
}

#[test]
fn a_run_in_doubt_is_sent_again_only_where_that_does_no_harm() {
    for method in ["book", "read"] {
        let (rig, mut engine) = Rig::ready();
        let mut gate = rig.gate();
        let seq = gate.invoke(method, &id(1), b"", &[]);
        // The question behind it is not answered: nothing proves that it was read.
        engine.expect_run(&id(1), method);
        drop(engine);
        let mut engine = rig.engine(0, "old 3600000");
        if method == "read" {
            engine.expect_run(&id(1), method);
            engine.done(1, &id(1), "good", "again");
            assert_eq!(gate.said(), ok(seq, "again"));
            continue;
        }
        assert!(rig.logged("run in doubt after link loss").contains(&id(1)));
        let runs = engine.go_on("0.5 1 0.1 3", true);
        assert_eq!(gate.said(), Said::Internal { seq });
        // Once it is over nothing can begin any more: the engine is asked for its end, or it would hold a core for good.
        std::thread::sleep(std::time::Duration::from_millis(1_200));
        drop(rig);
        assert_eq!(runs.join().unwrap(), 1);
    }
}

#[test]
fn what_the_engine_has_not_read_for_sure_holds_the_rest_back() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    let first = gate.invoke("book", &id(1), b"", &[]);
    engine.expect_run(&id(1), "book");
    // This one waits for the answer to the question behind the first, and goes out on the next link.
    let second = gate.invoke("book", &id(2), b"", &[]);
    assert!(gate.ping());
    drop(engine);
    let mut engine = rig.engine(0, "old 3600000");
    assert!(rig.logged("run in doubt after link loss").contains(&id(1)));
    engine.expect_run(&id(2), "book");
    engine.done(1, &id(2), "good", "2");
    assert_eq!(gate.said(), ok(second, "2"));
    engine.done(2, &id(1), "good", "1");
    assert_eq!(gate.said(), ok(first, "1"));
}

#[test]
fn a_link_that_is_not_read_any_more_is_made_anew() {
    let (rig, mut engine) = Rig::ready();
    // Its question for gauges stays without an answer.
    assert_eq!(engine.line(), "STAT gauges");
    let mut next = rig.engine(0, "old 3600000");
    let mut gate = rig.gate();
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    next.expect_run(&id(1), "pay");
    next.done(1, &id(1), "good", "");
    assert_eq!(gate.said(), ok(seq, ""));
}

#[test]
fn a_pause_of_the_process_loses_nothing() {
    let (rig, mut engine) = Rig::ready();
    let (mut gate, first) = at_a_call(&rig, &mut engine, "read");
    let mut store = rig.store();
    let (call, _) = store.command();
    let patience: u64 = call.rsplit_once(' ').unwrap().1.parse().unwrap();
    rig.signal("STOP");
    // All of this lies unread until the process goes on, after the call's time has run out.
    store.send(&format!("{} OK 2\r\nok\r\n", id(1)));
    let second = gate.invoke("read", &id(2), b"", &[]);
    std::thread::sleep(std::time::Duration::from_millis(patience + 100));
    rig.signal("CONT");
    assert_eq!(
        engine.command(),
        (format!("FEED {}", id(1)), b"ok".to_vec())
    );
    engine.done(2, &id(1), "good", "");
    assert_eq!(gate.said(), ok(first, ""));
    // It has waited for longer than it may be held, but a core is free.
    engine.expect_run(&id(2), "read");
    engine.done(3, &id(2), "good", "");
    assert_eq!(gate.said(), ok(second, ""));
}

#[test]
fn what_is_admitted_while_no_link_exists_runs_on_the_next() {
    let (rig, engine) = Rig::ready();
    drop(engine);
    rig.logged("engine link lost");
    let mut engine = rig.attach(0);
    let mut gate = rig.gate();
    let seq = gate.invoke("book", &id(1), b"", &[]);
    engine.send("HELLO old 3600000\r\n");
    engine.caught_up();
    engine.expect_run(&id(1), "book");
    engine.done(1, &id(1), "good", "");
    assert_eq!(gate.said(), ok(seq, ""));
}

#[test]
fn another_engine_ends_what_ran() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    let seq = gate.invoke("book", &id(1), b"", &[]);
    engine.expect_run(&id(1), "book");
    drop(engine);
    let mut engine = rig.engine(0, "new 5");
    assert_eq!(gate.said(), Said::Internal { seq });
    let next = gate.invoke("pay", &id(2), b"", &[]);
    engine.expect_run(&id(2), "pay");
    engine.done(1, &id(2), "good", "");
    assert_eq!(gate.said(), ok(next, ""));
}

#[test]
fn a_reload_moves_all_links_and_loses_nothing() {
    let (mut rig, mut engine) = Rig::ready();
    let (mut gate, run) = (rig.gate(), id(1));
    let mut seq = gate.invoke("book", &run, b"", &[]);
    engine.expect_run(&run, "book");
    engine.need(1, &run, "q");
    let mut store = rig.store();
    store.command();
    for round in 0..3 {
        let last = 1 + 2 * round;
        rig.moves();
        // The old engine is asked whether it has read all before it is left.
        assert_eq!(engine.line_but_gauges(), "STAT settled");
        // What is decided meanwhile waits for the new link.
        let next = gate.invoke("pay", &id(last + 9), b"", &[]);
        engine.send("STATS settled 0.5 1 0.1 3\r\n");
        assert!(engine.ended());
        engine = rig.engine(last, "old 3600000");
        engine.expect_run(&id(last + 9), "pay");
        engine.done(last + 1, &id(last + 9), "good", "new");
        assert_eq!(gate.said(), ok(next, "new"));
        // An open call goes on where it was made; the next one is made where the store is now.
        store.send(&format!("{} OK 1\r\n{round}\r\n", id(1)));
        assert_eq!(
            engine.command(),
            (format!("FEED {run}"), round.to_string().into_bytes())
        );
        engine.need(last + 2, &run, "q");
        store = rig.store();
        store.command();
        let mut lease = [0; 64];
        assert_eq!(
            rig.control.recv(&mut lease).unwrap(),
            b"lease n3 Ready".len()
        );
    }
    store.send(&format!("{run} OK 0\r\n\r\n"));
    engine.command();
    engine.done(8, &run, "good", "moved");
    assert_eq!(gate.said(), ok(std::mem::take(&mut seq), "moved"));
}

#[test]
fn a_new_configuration_that_is_at_fault_changes_nothing_and_is_named() {
    let rig = Rig::start();
    // Before the engine is up, and while leaving, too.
    let good = rig.config();
    rig.reload(&good.replacen("\"engine\":\"127", "\"engine\":\"x", 1));
    rig.logged("engine: \"x");
    rig.reload("{");
    rig.logged("not JSON");
    rig.reload(
        &good
            .replacen("\"n3\"", "\"n4\"", 1)
            .replacen("\"cores\":2", "\"cores\":3", 1),
    );
    rig.logged("reload: setting changes only with a restart key=\"name\"");
    rig.logged("reload: setting changes only with a restart key=\"settings\"");
    let mut engine = rig.engine(0, "old 3600000");
    let mut gate = rig.gate();
    rig.terminate();
    rig.logged("draining stop_after_ms=");
    rig.reload("{}");
    rig.logged("seed: missing");
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    engine.done(1, &id(1), "good", "");
    assert_eq!(gate.said(), ok(seq, ""));
}

#[test]
fn reports_come_often_enough_for_some_to_get_lost() {
    let (rig, _engine) = Rig::ready();
    rig.control.recv(&mut [0; 64]).unwrap();
    let start = Instant::now();
    for _ in 0..6 {
        rig.control.recv(&mut [0; 64]).unwrap();
    }
    assert!(start.elapsed().as_millis() < 5_000, "{:?}", start.elapsed());
}

#[test]
fn a_drain_answers_all_and_runs_nothing_that_came_after_the_grace() {
    let (mut rig, mut engine) = Rig::ready();
    let (mut gate, mut other) = (rig.gate(), rig.gate());
    let book = gate.invoke("book", &id(1), b"", &[]);
    engine.expect_run(&id(1), "book");
    rig.terminate();
    let notice = Instant::now();
    rig.logged("draining stop_after_ms=");
    assert!(!other.ping());
    // One core hangs, the other does what it is given.
    let runs = engine.go_on("0.5 1 0.1 3", true);
    let mut served = 0;
    for index in 2.. {
        let seq = other.invoke("read", &id(index), b"", &[]);
        match other.said() {
            Said::Answer { .. } => served += 1,
            said => {
                // The design's advice of a server that leaves; elsewhere is better.
                assert_eq!(
                    said,
                    Said::Overloaded {
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
        notice.elapsed().as_millis() >= 150,
        "{:?}",
        notice.elapsed()
    );
    assert_eq!(gate.said(), Said::Internal { seq: book });
    assert_eq!(gate.said(), Said::Closing);
    assert_eq!(other.said(), Said::Closing);
    drop((gate, other));
    assert_eq!(rig.ended().code(), Some(0));
    assert!(
        notice.elapsed().as_millis() < 1_500,
        "{:?}",
        notice.elapsed()
    );
    assert_eq!(runs.join().unwrap(), served);
}

#[test]
fn a_server_whose_engine_never_came_leaves_too() {
    let mut rig = Rig::start();
    let mut gate = rig.gate();
    let seq = gate.invoke("book", &id(1), b"", &[]);
    rig.terminate();
    assert!(matches!(gate.said(), Said::Internal { seq: of } if of == seq));
    drop(gate);
    assert_eq!(rig.ended().code(), Some(0));
}

#[test]
fn what_is_not_understood_gets_an_exception_where_it_can_be_named() {
    let (rig, mut engine) = Rig::ready();
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
    let token = "t".repeat(257);
    let mut gates: Vec<(Gate, Vec<u8>)> = Vec::new();
    let mut add = |call: &dyn Fn(&mut Gate) -> Vec<u8>| {
        let mut gate = rig.gate();
        let bytes = call(&mut gate);
        gates.push((gate, bytes));
    };
    add(&|gate| gate.call("novelty", b""));
    add(&|gate| gate.call("invoke", b""));
    add(&|gate| gate.framed(&good, &[0; 2049]));
    add(&|gate| gate.framed(&[&good[..], &[("replay", &token)]].concat(), b""));
    for (at, bad) in all {
        let mut fields = good;
        fields[at].1 = bad;
        add(&|gate| gate.framed(&fields, b""));
    }
    for at in 0..4 {
        let fields = [&good[..at], &good[at + 1..]].concat();
        add(&|gate| gate.framed(&fields, b""));
    }
    for (gate, bytes) in &mut gates {
        // Every split of the bytes is met on the way.
        bytes.iter().for_each(|byte| gate.write(&[*byte]));
        assert_eq!(
            gate.said(),
            Said::Exception { seq: 1 },
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
    let (mut gate, _) = gates.pop().unwrap();
    let seq = gate.invoke("pay", &id(1), b"", &[("unheard", "of")]);
    engine.expect_run(&id(1), "pay");
    // The id of an open request changes nothing for that.
    let again = gate.invoke("pay", &id(1), b"other", &[]);
    assert_eq!(gate.said(), Said::Internal { seq: again });
    engine.done(1, &id(1), "good", "");
    assert_eq!(gate.said(), ok(seq, ""));
}

#[test]
fn a_strangers_stamps_do_not_take_the_server_off_the_list() {
    for proven in [false, true] {
        let (rig, mut engine) = Rig::ready();
        let (mut gate, mut other) = (rig.gate(), rig.gate());
        if proven {
            let seq = gate.invoke("pay", &id(1), b"", &[]);
            engine.expect_run(&id(1), "pay");
            engine.done(1, &id(1), "good", "");
            assert_eq!(gate.said(), ok(seq, ""));
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
        let bytes = gate.framed(&fields, b"");
        gate.write(&bytes);
        engine.go_on("0.5 1 0.1 3", false);
        // Several beats, in which what is believed of the load takes effect.
        std::thread::sleep(std::time::Duration::from_millis(300));
        assert_eq!(other.ping(), !proven);
    }
}

#[test]
fn a_client_that_repeats_its_faults_is_left() {
    let (rig, _engine) = Rig::ready();
    let mut gate = rig.gate();
    let faults: Vec<u8> = (0..500).flat_map(|_| gate.call("novelty", b"")).collect();
    gate.write(&faults);
    for seq in 1..=8 {
        assert_eq!(gate.said(), Said::Exception { seq });
    }
    assert!(gate.cut());
}

#[test]
fn a_sequence_number_that_comes_again_ends_its_connection() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    gate.again();
    gate.invoke("pay", &id(2), b"", &[]);
    rig.logged("sequence number not greater than the previous one");
    engine.done(1, &id(1), "good", "first");
    assert_eq!(gate.said(), ok(seq, "first"));
    assert!(gate.ended());
}

#[test]
fn who_says_nothing_or_never_ends_is_left_within_three_seconds() {
    let (rig, _engine) = Rig::ready();
    let start = Instant::now();
    let (mut silent, mut slow, mut late) = (rig.gate(), rig.gate(), rig.gate());
    let frame = slow.call("ping", b"\x02\x00\x01\x00");
    assert!(late.ping());
    let rest = late.call("ping", b"\x02\x00\x01\x00");
    slow.write(&frame[..8]);
    late.write(&rest[..8]);
    // A byte now and then doesn't help.
    for byte in &frame[8..14] {
        std::thread::sleep(std::time::Duration::from_millis(200));
        slow.write(&[*byte]);
    }
    assert!(silent.cut() && slow.cut() && late.cut());
    assert!(start.elapsed().as_millis() < 6_000, "{:?}", start.elapsed());
}

#[test]
fn what_a_broken_connection_left_behind_is_given_up() {
    let (rig, mut engine) = Rig::ready();
    let (mut gate, mut other) = (rig.gate(), rig.gate());
    gate.invoke("read", &id(1), b"", &[]);
    engine.expect_run(&id(1), "read");
    // An answer that nobody reads makes the end a reset.
    let check = gate.call("ping", b"\x02\x00\x01\x00");
    gate.write(&check);
    assert!(other.ping());
    drop(gate);
    assert_eq!(engine.command().0, format!("HALT {}", id(1)));
}

#[test]
fn garbled_bytes_end_their_connection_alone_after_its_open_answers() {
    let (rig, mut engine) = Rig::ready();
    let mut other = rig.gate();
    for (index, bytes) in [
        &[0xff; 64][..],
        &[0; 8],
        b"\0\0\0\x04abcd",
        b"\0\0\0\x0c\x80\x02\0\x01\0\0\0\0\0\0\0\x01",
    ]
    .into_iter()
    .enumerate()
    {
        let mut gate = rig.gate();
        let index = index as u64 + 1;
        let seq = gate.invoke("pay", &id(index), b"", &[]);
        engine.expect_run(&id(index), "pay");
        gate.write(bytes);
        rig.logged("connection failed peer=127.0.0.1 error=");
        engine.done(index, &id(index), "good", "still");
        assert_eq!(gate.said(), ok(seq, "still"));
        assert!(gate.ended());
        assert!(other.ping());
    }
}

#[test]
fn a_frame_cut_short_ends_its_connection_after_its_open_answers() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    let frame = gate.call("ping", b"\x02\x00\x01\x00");
    gate.write(&frame[..frame.len() - 1]);
    gate.stream.shutdown(std::net::Shutdown::Write).unwrap();
    rig.logged("connection closed in the middle of a message");
    engine.done(1, &id(1), "good", "still");
    assert_eq!(gate.said(), ok(seq, "still"));
    assert!(gate.ended());
}

#[test]
fn a_run_that_the_engine_will_not_begin_ends_at_once() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    // More of them than could run at once.
    for index in 1..=6 {
        let seq = gate.invoke("book", &id(index), b"", &[]);
        engine.expect_run(&id(index), "book");
        engine.send(&format!("NO RUN {}\r\n", id(index)));
        assert_eq!(gate.said(), Said::Internal { seq });
    }
}

#[test]
fn a_connection_carries_32_open_requests_and_no_more() {
    let (rig, engine) = Rig::ready();
    let mut gate = rig.gate();
    for index in 1..=33 {
        gate.invoke("book", &id(index), b"", &[]);
    }
    assert_eq!(gate.said(), Said::Exception { seq: 33 });
    let runs = engine.go_on("0.5 1 0.1 3", false);
    // Few run; the others are held and pushed back, each once, and those that run fail when they are due.
    let mut answered: Vec<i32> = (0..32)
        .map(|_| match gate.said() {
            Said::Overloaded { seq, .. } | Said::Internal { seq } => seq,
            said => panic!("{said:?}"),
        })
        .collect();
    answered.sort_unstable();
    assert_eq!(answered, (1..=32).collect::<Vec<i32>>());
    // There is room again. The check is not a good one while both cores stand still.
    gate.ping();
    drop(rig);
    // One core of a second round is left to reading.
    assert!((2..=3).contains(&runs.join().unwrap()));
}

#[test]
fn a_store_that_hangs_until_rpcs_are_due_opens_the_breaker_again() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    for index in 1..=20 {
        let seq = gate.invoke("lock", &id(index), b"", &[]);
        engine.expect_run(&id(index), "lock");
        engine.need(2 * index, &id(index), "q");
        let mut store = rig.store();
        store.command();
        store.send(&format!("{} ERR\r\n", id(index)));
        assert_eq!(gate.said(), Said::Internal { seq });
        engine.done(2 * index + 1, &id(index), "cut", "");
    }
    rig.logged("from=\"closed\" to=\"open\" rate=1.0");
    // The first cooldown is at most a second.
    std::thread::sleep(LIMIT / 10);
    let seq = gate.invoke("lock", &id(21), b"", &[]);
    engine.expect_run(&id(21), "lock");
    engine.need(42, &id(21), "q");
    let mut store = rig.store();
    store.command();
    rig.logged("from=\"open\" to=\"half-open\" rate=1.0");
    // What would only wait for the trial is not begun.
    let other = gate.invoke("lock", &id(22), b"", &[]);
    assert!(matches!(gate.said(), Said::Overloaded { seq: of, .. } if of == other));
    assert_eq!(gate.said(), Said::Internal { seq });
    engine.done(43, &id(21), "cut", "");
    rig.logged("from=\"half-open\" to=\"open\" rate=1.0");
}

#[test]
fn a_run_whose_end_was_never_told_is_asked_after_and_frees_its_place() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    // Both cores are taken, and no end of any run is told.
    let mut runs: Vec<_> = (1..=2)
        .map(|index| {
            gate.invoke("lock", &id(index), b"x", &[]);
            engine.command()
        })
        .collect();
    (1..=2).for_each(|_| assert!(matches!(gate.said(), Said::Internal { .. })));
    // Each is asked after by its own command, which draws the end of what is over.
    let mut asked = vec![engine.command(), engine.command()];
    runs.sort();
    asked.sort();
    assert_eq!(asked, runs);
    engine.done(1, &id(1), "gone", "");
    engine.done(2, &id(2), "gone", "");
    rig.logged("server health changed stalled=false");
    let seq = gate.invoke("lock", &id(4), b"", &[]);
    engine.expect_run(&id(4), "lock");
    engine.done(3, &id(4), "good", "again");
    assert_eq!(gate.said(), ok(seq, "again"));
}

#[test]
fn runs_without_an_end_do_not_keep_their_places_for_good() {
    let (rig, engine) = Rig::ready();
    let mut gate = rig.gate();
    let runs = engine.go_on_but("0.5 1 0.1 3", |method| method == "pay");
    for index in 1..=2 {
        gate.invoke("lock", &id(index), b"", &[]);
    }
    (1..=2).for_each(|_| assert!(matches!(gate.said(), Said::Internal { .. })));
    rig.logged_within("run orphaned since_answer_ms=10", LIMIT * 2);
    rig.logged("server health changed stalled=false");
    let seq = gate.invoke("pay", &id(4), b"", &[]);
    assert_eq!(gate.said(), ok(seq, ""));
    drop(rig);
    // Two that never ended, some questions after them, and the last.
    assert!(runs.join().unwrap() > 3);
}

#[test]
fn silent_connections_lock_nobody_out() {
    for (limits, shell) in [
        ("\"sockets\":36", ""),
        ("\"sockets\":1024", "ulimit -n 24;"),
    ] {
        let rig = Rig::with(limits, shell);
        let mut engine = rig.engine(0, "old 3600000");
        let mut first = rig.gate();
        let seq = first.invoke("pay", &id(1), b"", &[]);
        engine.expect_run(&id(1), "pay");
        let silent: Vec<Gate> = (0..60).map(|_| rig.gate()).collect();
        let mut gate = rig.gate();
        assert!(gate.ping(), "{limits} {shell}");
        // What carries something is kept.
        engine.done(1, &id(1), "good", "kept");
        assert_eq!(first.said(), ok(seq, "kept"), "{limits} {shell}");
        drop(silent);
    }
}

#[test]
fn a_gateway_that_stops_reading_is_no_longer_read_and_hurts_nobody() {
    let (rig, engine) = Rig::ready();
    engine.go_on("0 0 0 0", false);
    let (mut deaf, mut other) = (rig.gate(), rig.gate());
    deaf.stream.set_write_timeout(Some(LIMIT / 20)).unwrap();
    let checks: Vec<u8> = (0..1000)
        .flat_map(|_| deaf.call("ping", b"\x02\x00\x01\x00"))
        .collect();
    let mut written = 0;
    while let Ok(()) = std::io::Write::write_all(&mut deaf.stream, &checks) {
        written += checks.len();
        assert!(written < 1 << 30, "all of it is read");
    }
    assert!(other.ping());
    let kb = rig.memory();
    assert!(kb < 64 * 1024, "{kb} kB");
}

#[test]
fn a_full_table_of_connections_asks_idle_gateways_to_leave() {
    let (rig, engine) = Rig::ready();
    let (mut gate, mut idle) = (rig.gate(), rig.gate());
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    assert!(idle.ping());
    let runs = engine.go_on("0.5 1 0.1 500", true);
    assert_eq!(gate.said(), ok(seq, ""));
    assert_eq!(idle.said(), Said::Closing);
    // What crosses it is still served.
    assert!(idle.ping());
    assert!(idle.pressure.is_some_and(|value| value > 0.0));
    drop(rig);
    assert_eq!(runs.join().unwrap(), 1);
}

/// What `coralstep ARGS` prints and whether it is content.
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
fn the_command_line_says_what_is_wrong_in_one_line() {
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
    let (good, printed, _) = run(&["check"], Some(&config));
    assert_eq!(
        (good, printed.as_str()),
        (true, "n3: 4 methods, 1 tenants, listens on 127.0.0.1:0\n")
    );
    let example = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/site.example.json"
    );
    let (good, printed, said) = run(&["check", "--site", example], Some(&config));
    assert!(good, "{said}");
    assert_eq!(
        printed.lines().skip(1).collect::<Vec<_>>(),
        [
            "SCGI: 3 routes, listens on 127.0.0.1:6570",
            "applications: 2"
        ]
    );
    // What the site file stands in for may be left out, and nothing else.
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
        let (good, printed, said) = run(args, config);
        assert!(
            !good && printed.is_empty() && said.contains(fault),
            "{args:?}: {said}"
        );
        assert_eq!(said.lines().count(), 1, "{said}");
    }
}
