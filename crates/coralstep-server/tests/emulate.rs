//! Runs the lab's emulator and load tool against the real server in small worlds: the rules hold and no process
//! is left behind.
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coralstep_lab::World;
use coralstep_lab::caller::Protocol;
use coralstep_lab::emulate::wire::Faults;
use coralstep_lab::emulate::{EmulationOptions, emulate};
use coralstep_lab::load;

mod stand_ins;
use stand_ins::TestServer;
use stand_ins::scgi::FRONT;

/// Two servers for a few seconds, with a little of everything; deadlines are long, so that a busy machine
/// changes no verdict.
fn world(troubles: &str) -> World {
    let world = r#"{"name": "tiny", "seconds": 4,
      "servers": {"count": 2, "cores": 2, "speed": [1, 1], "crowd": 8, "memory_kb": 40000, "held_kb": 24, "run_factor": 8,
        "key_kb": 2, "cold_speed": 0.5, "warm_ms": 1000, "stop_ms": 2500, "grace_ms": 200},
      "dependency": {"capacity": 40, "call_ms": {"uniform": [5, 15]}},
      "methods": [
        {"name": "read", "share": 2, "work_ms": {"exponential": 10}, "effect": "idempotent", "target_ms": 8000,
          "deadline_ms": 16000, "criticality": 1, "late": 0.2, "calls": true},
        {"name": "book", "share": 1, "work_ms": {"fixed": 10}, "effect": "non_idempotent", "target_ms": 8000,
          "deadline_ms": 16000, "criticality": 2, "calls": true},
        {"name": "pay", "share": 1, "work_ms": {"fixed": 10}, "effect": "tokened", "target_ms": 8000, "deadline_ms": 16000,
          "window_ms": 8000, "criticality": 2}],
      "gateways": {"count": 3, "retries": 2, "pause_ms": 50}, "load": 0.3, "troubles": [TROUBLES]}"#;
    World::parse(&world.replace("TROUBLES", troubles)).unwrap()
}

fn terms(seed: u64) -> EmulationOptions {
    EmulationOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_coralstep")),
        protocol: Protocol::Thrift,
        applications: false,
        faults: Faults::default(),
        seed,
    }
}

/// Returns the command lines of running processes that name the emulation's folder.
fn remaining_processes(seed: u64) -> String {
    let folder = format!("coralstep-lab-{}-{seed:x}/", std::process::id());
    let all = Command::new("ps").args(["-eo", "args"]).output().unwrap();
    let all = String::from_utf8_lossy(&all.stdout).into_owned();
    all.lines().filter(|line| line.contains(&folder)).collect()
}

#[test]
fn emulated_world_keeps_rules_over_each_protocol() {
    let never = Arc::new(AtomicBool::new(false));
    for (seed, protocol, applications) in [
        (11, Protocol::Thrift, false),
        (12, Protocol::Scgi, false),
        (13, Protocol::Scgi, true),
    ] {
        let troubles = r#"{"kind": "deploy", "at_s": 2, "for_s": 1, "part": 0.5}"#;
        let terms = EmulationOptions {
            protocol,
            applications,
            ..terms(seed)
        };
        let (day, _) = emulate(&world(troubles), &terms, &never, |_, _| {}).unwrap();
        assert_eq!(day.breaches, 0, "{:?}", day.told);
        assert!(
            day.requests > 100 && day.ok * 10 > day.requests * 7,
            "{day:?}"
        );
        assert_eq!(remaining_processes(seed), "");
    }
}

#[test]
fn rules_hold_under_crashes_and_network_faults() {
    let never = Arc::new(AtomicBool::new(false));
    let crash = r#"{"kind": "crash", "at_s": 1, "for_s": 1, "part": 0.5}"#;
    let faults =
        Faults::parse("delay=0.02,cut=0.01,reset=0.01,garble=0.02,duplicate=0.02").unwrap();
    let terms = EmulationOptions {
        faults,
        ..terms(14)
    };
    let (day, _) = emulate(&world(crash), &terms, &never, |_, _| {}).unwrap();
    assert_eq!(day.breaches, 0, "{:?}", day.told);
    assert!(day.ok > 20, "{day:?}");
    assert_eq!(remaining_processes(14), "");
}

#[test]
fn unexpected_server_exit_is_reported_and_server_replaced() {
    let never = Arc::new(AtomicBool::new(false));
    let mut killed = false;
    let kill = |second: u64, _: &coralstep_lab::Day| {
        if second >= 1 && !std::mem::replace(&mut killed, true) {
            let pattern = format!("coralstep-lab-{}-f/s0g1.json", std::process::id());
            assert!(
                Command::new("pkill")
                    .args(["-KILL", "-f", &pattern])
                    .status()
                    .unwrap()
                    .success()
            );
        }
    };
    let (day, _) = emulate(&world(""), &terms(15), &never, kill).unwrap();
    assert_eq!(day.breaches, 1, "{:?}", day.told);
    assert!(
        day.told[0].contains("crashed without an injected fault"),
        "{:?}",
        day.told
    );
    assert!(day.ok > 50, "{day:?}");
    assert_eq!(remaining_processes(15), "");
}

#[test]
fn interrupted_emulation_ends_its_processes() {
    let interrupted = Arc::new(AtomicBool::new(false));
    let set = interrupted.clone();
    let ended = emulate(&world(""), &terms(16), &interrupted, |_, _| {
        set.store(true, Ordering::SeqCst)
    });
    assert_eq!(ended.err().as_deref(), Some("interrupted"));
    assert_eq!(remaining_processes(16), "");
}

#[test]
fn load_tool_counts_answers_over_both_protocols() {
    let server = TestServer::with_site(FRONT);
    let runs = server
        .engine(0, "old 3600000")
        .serve_in_background("0.1 1 0.1 3", true);
    for (protocol, target) in [
        (Protocol::Thrift, server.address),
        (Protocol::Scgi, server.scgi.unwrap()),
    ] {
        let plan = load::plan_at_rate(50.0, 2.0, &[("lock".to_owned(), 1.0)], 1);
        let terms = load::LoadOptions {
            protocol,
            targets: vec![target],
            connections: 2,
            deadline: Duration::from_secs(5),
            body: b"x".to_vec(),
            json: true,
        };
        let mut lines = Vec::new();
        let figures = load::run(&terms, &plan, &mut lines).unwrap();
        let all = figures.ok + figures.pushed_back + figures.aborted;
        assert_eq!(
            (figures.due as usize, all as usize),
            (plan.len(), plan.len()),
            "{figures:?}"
        );
        assert!(
            figures.ok > 0 && figures.p50_ms > 0.0 && figures.most_ms >= figures.p99_ms,
            "{figures:?}"
        );
        // One line of JSON per second.
        let line = String::from_utf8(lines).unwrap();
        let line: serde_json::Value = serde_json::from_str(line.lines().next().unwrap()).unwrap();
        assert!(line["so_far"]["due"].as_u64().unwrap() > 0);
    }
    drop(server);
    assert!(runs.join().unwrap() > 0);
}
