//! A fleet of real server processes with faults on the links between them. All waits are for events, with
//! limits wide enough for a slow machine.
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use coralstep_lab::fleet::{Fault, Fleet, RpcOutcome, Setup};
use serde_json::{Value, json};

const LIMIT: Duration = Duration::from_secs(40);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_coralstep"))
}

/// Starts a fleet and waits until all members know each other.
fn fleet(count: usize, seed: u64, more: Value) -> Fleet {
    let fleet = Fleet::start(program(), count, seed, more).unwrap();
    let discovered = |fleet: &Fleet| {
        (0..count).all(|at| fleet.count_alive(at).is_ok_and(|alive| alive == count))
    };
    let discovered = fleet.wait_until(LIMIT, discovered);
    println!("members discovered each other after {discovered:?}");
    assert!(
        discovered.is_some(),
        "members did not discover each other: {:?}",
        fleet.query(0, &json!({"ask": "fleet_members"}))
    );
    fleet
}

fn levels_version(record_seconds: f64) -> Value {
    json!({"levels": {"record_ms": (record_seconds * 1000.0) as u64}})
}

fn assert_all_active_on(fleet: &Fleet, version: &str) {
    let on = |fleet: &Fleet| fleet.all_active_on(version);
    let members = || {
        fleet
            .running()
            .into_iter()
            .map(|at| (at, fleet.active_version(at)))
            .collect::<Vec<_>>()
    };
    assert!(
        fleet.wait_until(LIMIT, on).is_some(),
        "not all act on {version}: {:?}",
        members()
    );
}

fn audit(fleet: &Fleet, at: usize) -> Vec<Value> {
    let question = json!({"ask": "fleet_audit", "version": null, "server": null, "at_ms": null});
    fleet.query(at, &question).unwrap()["audit"]
        .as_array()
        .unwrap()
        .clone()
}

#[test]
fn version_published_at_one_server_is_active_on_all_and_audited_anywhere() {
    let mut fleet = fleet(7, 1, json!({}));
    assert_eq!(fleet.rpc(2), RpcOutcome::Ok);
    // Publishes with the command line, as an operator does.
    let file = std::env::temp_dir().join(format!("coralstep-version-{}.json", std::process::id()));
    std::fs::write(&file, levels_version(1.0).to_string()).unwrap();
    let at = fleet.operator_address(3).unwrap().to_string();
    let call = |words: &[&str]| {
        let output = Command::new(program())
            .arg("fleet")
            .args(words)
            .args(["--at", &at])
            .output()
            .unwrap();
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    };
    let published = call(&["publish", file.to_str().unwrap(), "--json"]);
    std::fs::remove_file(&file).unwrap();
    let published: Value = serde_json::from_str(&published).unwrap();
    let version = published["published"].as_str().unwrap().to_owned();
    assert_all_active_on(&fleet, &version);
    assert_eq!(fleet.rpc(5), RpcOutcome::Ok);
    // A reload of the site file doesn't replace sections set by the fleet's version.
    fleet.reload(5).unwrap();
    let kept =
        |fleet: &Fleet| fleet.log_contains(5, "reload: sections of the fleet's version stay");
    assert!(
        fleet.wait_until(LIMIT, kept).is_some(),
        "{:?}",
        fleet.log(5)
    );
    let known = |fleet: &Fleet| {
        (0..7).all(|at| {
            let rows = audit(fleet, at);
            let on = rows
                .iter()
                .filter(|row| row["version"] == version.as_str() && row["to_ms"].is_null());
            let before = rows
                .iter()
                .find(|row| row["server"] == "n2" && row["version"] == "0");
            on.count() == 7 && before.is_some_and(|row| row["rpcs"] == 1 && row["known"] == true)
        })
    };
    assert!(
        fleet.wait_until(LIMIT, known).is_some(),
        "{:?}",
        audit(&fleet, 0)
    );
    let rows = call(&["audit", "--server", "n5", "--version", &version, "--json"]);
    let row: Value = serde_json::from_str(rows.lines().next().unwrap()).unwrap();
    assert_eq!(
        (&row["server"], &row["version"]),
        (&json!("n5"), &json!(version))
    );
    assert!(call(&["members"]).contains("alive") && call(&["versions"]).contains(&version));
}

#[test]
fn versions_published_on_both_sides_of_partition_converge_after_heal() {
    let fleet = fleet(6, 2, json!({}));
    fleet.links.cut(&[0, 1, 2], &[3, 4, 5]);
    let (left, right) = (
        fleet
            .publish(0, &levels_version(1.0), false, &[], 0)
            .unwrap(),
        fleet
            .publish(5, &levels_version(2.0), false, &[], 0)
            .unwrap(),
    );
    assert_ne!(left, right);
    let each_side_on_its_version = |fleet: &Fleet| {
        (0..6).all(|at| {
            fleet.active_version(at).is_ok_and(|on| {
                on == if at < 3 {
                    left.as_str()
                } else {
                    right.as_str()
                }
            })
        })
    };
    assert!(fleet.wait_until(LIMIT, each_side_on_its_version).is_some());
    fleet.links.heal();
    let (lost, wins) = (left.clone().min(right.clone()), left.max(right));
    assert_all_active_on(&fleet, &wins);
    let fork = |fleet: &Fleet| {
        (0..6).any(|at| {
            fleet.query(at, &json!({"ask": "fleet_versions"})).unwrap()["forks"]
                == json!([[lost, wins]])
        })
    };
    assert!(fleet.wait_until(LIMIT, fork).is_some());
    assert!(
        audit(&fleet, 0)
            .iter()
            .any(|row| row["version"] == lost.as_str()),
        "the audit must keep the servers that acted on the losing version"
    );
}

#[test]
fn process_paused_during_two_rollouts_admits_nothing_under_old_version() {
    let mut fleet = fleet(5, 3, json!({}));
    let first = fleet
        .publish(0, &levels_version(1.0), false, &[], 0)
        .unwrap();
    assert_all_active_on(&fleet, &first);
    assert_eq!(fleet.rpc(4), RpcOutcome::Ok);
    fleet.set_stopped(4, true).unwrap();
    std::thread::sleep(Duration::from_millis(2_500));
    let second = fleet
        .publish(0, &levels_version(2.0), false, &[], 0)
        .unwrap();
    assert_all_active_on(&fleet, &second);
    let last = fleet
        .publish(1, &levels_version(3.0), false, &[], 0)
        .unwrap();
    assert_all_active_on(&fleet, &last);
    fleet.set_stopped(4, false).unwrap();
    // Under load from the start. The process must act on the last version within three seconds after it
    // resumes, and admit no RPC before.
    let start = Instant::now();
    let mut outcomes = Vec::new();
    loop {
        let reply = fleet.rpc(4);
        let acts_on = fleet.active_version(4).unwrap();
        outcomes.push(reply);
        if reply == RpcOutcome::Ok {
            let late = start.elapsed() > Duration::from_secs(3);
            assert!(
                acts_on == last || late,
                "admitted under {acts_on} after {:?}: {outcomes:?}",
                start.elapsed()
            );
            if acts_on == last {
                break;
            }
        }
        assert!(start.elapsed() < LIMIT, "{outcomes:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(
        matches!(outcomes[0], RpcOutcome::Rejected(recoveries) if recoveries > 0),
        "{outcomes:?}"
    );
    assert!(
        fleet.log_contains(4, "fleet: process paused pause_ms="),
        "{:?}",
        fleet.log(4)
    );
}

#[test]
fn rejected_version_excludes_only_a_limited_part_of_the_fleet() {
    let mut fleet = fleet(5, 4, json!({"behind_s": 2}));
    let good = fleet
        .publish(1, &levels_version(1.0), false, &[], 0)
        .unwrap();
    assert_all_active_on(&fleet, &good);
    let bad = fleet
        .publish(
            0,
            &json!({"operator": {"listen": "127.0.0.1:1"}}),
            true,
            &[],
            0,
        )
        .unwrap();
    let rejected = |fleet: &Fleet| {
        (0..5).all(|at| fleet.log_contains(at, &format!("fleet: version rejected version={bad}")))
    };
    assert!(fleet.wait_until(LIMIT, rejected).is_some());
    let outcomes =
        |fleet: &Fleet| (0..5).any(|at| fleet.log_contains(at, "fleet: exclusion limit reached"));
    assert!(fleet.wait_until(LIMIT, outcomes).is_some());
    let excluded: Vec<usize> = (0..5)
        .filter(|at| fleet.log_contains(*at, "fleet: server excluded reason=rejected_version"))
        .collect();
    assert!(excluded.len() <= 1, "{excluded:?}");
    assert!(
        (0..5).all(|at| fleet.active_version(at).unwrap() == good),
        "the previous version must stay active"
    );
    let served = (0..5).filter(|at| fleet.rpc(*at) == RpcOutcome::Ok).count();
    assert!(served >= 4, "{served}");
    let recoveries = fleet
        .publish(2, &levels_version(2.0), true, &[], 0)
        .unwrap();
    assert_all_active_on(&fleet, &recoveries);
    let open = |fleet: &Fleet| {
        (0..5)
            .all(|at| fleet.query(at, &json!({"ask": "fleet_members"})).unwrap()["shut"].is_null())
    };
    assert!(fleet.wait_until(LIMIT, open).is_some());
}

#[test]
fn rollout_completes_while_four_of_seven_restart_under_loss_and_delay() {
    let mut fleet = fleet(7, 5, json!({}));
    fleet.links.set_default_fault(Fault {
        loss: 0.3,
        delay: (100, 500),
        doubled: 0.05,
        garbled: 0.02,
        ..Fault::default()
    });
    let version = fleet
        .publish(6, &levels_version(1.0), false, &[0.3, 1.0], 1_500)
        .unwrap();
    for at in 0..4 {
        fleet.kill(at);
        std::thread::sleep(Duration::from_millis(700));
        fleet.start_process(at).unwrap();
    }
    assert_all_active_on(&fleet, &version);
    assert!((0..7).all(|at| fleet.rpc(at) == RpcOutcome::Ok));
}

#[test]
fn operator_excludes_and_readmits_any_server_through_any_other() {
    let mut fleet = fleet(3, 6, json!({}));
    let ask = |fleet: &Fleet, at: usize, ask: &str, server: &str| {
        fleet
            .query(at, &json!({"ask": ask, "server": server}))
            .unwrap()
    };
    let unknown = ask(&fleet, 0, "fleet_shut_out", "n9");
    assert!(
        unknown["error"]
            .as_str()
            .unwrap()
            .contains("is not known here"),
        "{unknown}"
    );
    assert_eq!(ask(&fleet, 0, "fleet_shut_out", "n0")["shut_out"], "n0");
    assert!(matches!(fleet.rpc(0), RpcOutcome::Rejected(recoveries) if recoveries > 0));
    assert_eq!(fleet.rpc(1), RpcOutcome::Ok);
    assert_eq!(ask(&fleet, 1, "fleet_shut_out", "n2")["shut_out"], "n2");
    let excluded =
        |fleet: &Fleet| fleet.log_contains(2, "fleet: server excluded reason=by_operator");
    assert!(
        fleet.wait_until(LIMIT, excluded).is_some(),
        "{:?}",
        fleet.log(2)
    );
    assert!(matches!(fleet.rpc(2), RpcOutcome::Rejected(recoveries) if recoveries > 0));
    // A restart doesn't readmit the server: it receives the order again.
    fleet.kill(2);
    fleet.start_process(2).unwrap();
    assert!(
        fleet.wait_until(LIMIT, excluded).is_some(),
        "{:?}",
        fleet.log(2)
    );
    // Both are readmitted through the third server, although the orders were given at others.
    for server in ["n0", "n2"] {
        assert_eq!(ask(&fleet, 1, "fleet_let_in", server)["let_in"], server);
    }
    let open = |fleet: &Fleet| {
        [0, 2]
            .iter()
            .all(|at| fleet.log_contains(*at, "fleet: server readmitted"))
    };
    assert!(fleet.wait_until(LIMIT, open).is_some());
    assert!((0..3).all(|at| fleet.rpc(at) == RpcOutcome::Ok));
}

#[test]
fn clock_skew_does_not_change_order_of_versions() {
    let fleet = fleet(4, 11, json!({"clock_steps": true}));
    let step = |at: usize, offset_ms: i64| {
        let reply = fleet
            .query(at, &json!({"ask": "fleet_clock", "offset_ms": offset_ms}))
            .unwrap();
        assert_eq!(reply["offset_ms"], offset_ms);
    };
    step(1, 3_600_000);
    step(2, -3_600_000);
    let first = fleet
        .publish(1, &levels_version(1.0), false, &[], 0)
        .unwrap();
    assert_all_active_on(&fleet, &first);
    assert!(
        fleet
            .wait_until(LIMIT, |fleet| fleet
                .log_contains(0, "fleet: clock skewed server=n1"))
            .is_some()
    );
    // The clock of the next publisher is stepped back; its version still counts as newer.
    step(3, -600_000);
    let second = fleet
        .publish(3, &levels_version(2.0), false, &[], 0)
        .unwrap();
    assert!(second.as_str() > first.as_str());
    assert_all_active_on(&fleet, &second);
    let rows = audit(&fleet, 3);
    let own: Vec<&Value> = rows.iter().filter(|row| row["server"] == "n3").collect();
    let order = own
        .windows(2)
        .all(|two| two[0]["from_ms"].as_u64() <= two[1]["from_ms"].as_u64());
    assert!(
        order && own.len() >= 3,
        "audit times of a server must not go back: {own:?}"
    );
}

#[test]
fn version_that_starves_a_method_is_rejected_by_all() {
    let mut fleet = fleet(3, 12, json!({"behind_s": 2}));
    let good = fleet
        .publish(0, &levels_version(1.0), false, &[], 0)
        .unwrap();
    assert_all_active_on(&fleet, &good);
    let list = json!([{"name": "full", "does": {"least_criticality": 50.0}}]);
    let bad = fleet
        .publish(1, &json!({"levels": {"list": list}}), false, &[], 0)
        .unwrap();
    let rejected = |fleet: &Fleet| {
        (0..3).all(|at| {
            fleet.log_contains(
                at,
                &format!(
                    "fleet: version rejected version={bad} reason=levels.list[0].does.least_criticality: starves"
                ),
            )
        })
    };
    assert!(
        fleet.wait_until(LIMIT, rejected).is_some(),
        "{:?}",
        fleet.log(0)
    );
    assert!(
        (0..3)
            .all(|at| fleet.active_version(at).unwrap() == good && fleet.rpc(at) == RpcOutcome::Ok)
    );
}

#[test]
fn restart_of_whole_fleet_keeps_version_and_lagging_member_catches_up() {
    let mut fleet = fleet(4, 7, json!({}));
    fleet.restart_all().unwrap();
    let first = fleet
        .publish(0, &levels_version(1.0), false, &[], 0)
        .unwrap();
    assert_all_active_on(&fleet, &first);
    // The state is written by a separate thread without a log line to wait for.
    std::thread::sleep(Duration::from_millis(300));
    fleet.restart_all().unwrap();
    assert_all_active_on(&fleet, &first);
    let kept = audit(&fleet, 2)
        .iter()
        .filter(|row| row["server"] == "n2" && !row["to_ms"].is_null())
        .count();
    assert!(
        kept >= 1,
        "the audit record must survive a restart: {:?}",
        audit(&fleet, 2)
    );
    fleet.kill(3);
    let second = fleet
        .publish(1, &levels_version(2.0), false, &[], 0)
        .unwrap();
    assert_all_active_on(&fleet, &second);
    fleet.start_process(3).unwrap();
    assert_all_active_on(&fleet, &second);
    assert!(
        fleet.log_contains(3, &format!("version {first} was active before the restart")),
        "{:?}",
        fleet.log(3)
    );
}

#[test]
fn rollout_survives_one_way_loss_three_partitions_and_flapping_link() {
    let fleet = fleet(6, 8, json!({}));
    let cut = Fault {
        cut: true,
        ..Fault::default()
    };
    // One member that receives but can't send; then three partitions; then a flapping link.
    fleet.links.set_faults(&[0], &[1, 2, 3, 4, 5], cut);
    std::thread::sleep(Duration::from_secs(2));
    let one = fleet
        .publish(3, &levels_version(1.0), false, &[], 0)
        .unwrap();
    let received =
        |fleet: &Fleet| (1..6).all(|at| fleet.active_version(at).is_ok_and(|on| on == one));
    assert!(fleet.wait_until(LIMIT, received).is_some());
    fleet.links.heal();
    assert_all_active_on(&fleet, &one);
    fleet.links.cut(&[0, 1], &[2, 3, 4, 5]);
    fleet.links.cut(&[2, 3], &[4, 5]);
    let two = fleet
        .publish(2, &levels_version(2.0), false, &[], 0)
        .unwrap();
    let part = |fleet: &Fleet| {
        [2, 3]
            .iter()
            .all(|at| fleet.active_version(*at).is_ok_and(|on| on == two))
    };
    assert!(fleet.wait_until(LIMIT, part).is_some());
    fleet.links.heal();
    assert_all_active_on(&fleet, &two);
    let three = fleet
        .publish(5, &levels_version(3.0), false, &[], 0)
        .unwrap();
    for flap in 0..6 {
        match flap % 2 {
            0 => fleet.links.cut(&[0, 1, 2], &[3, 4, 5]),
            _ => fleet.links.heal(),
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    fleet.links.heal();
    assert_all_active_on(&fleet, &three);
}

#[test]
fn fleet_converges_if_publisher_is_killed_during_fetch() {
    let mut fleet = fleet(5, 9, json!({"behind_s": 3}));
    let first = fleet
        .publish(1, &levels_version(1.0), false, &[], 0)
        .unwrap();
    assert_all_active_on(&fleet, &first);
    // A large version over links that lose a third of the datagrams takes a while to fetch.
    fleet.links.set_default_fault(Fault {
        loss: 0.3,
        delay: (50, 150),
        ..Fault::default()
    });
    let route = |at| json!({"verb": "POST", "path": format!("/save/{at}"), "method": "save"});
    let routes: Vec<Value> = (0..200).map(route).collect();
    let scgi = json!({"listen": ["127.0.0.1:0"], "routes": routes, "headers": {"token": "HTTP_IDEMPOTENCY_KEY"}});
    let content = json!({ "scgi": scgi });
    let second = fleet.publish(0, &content, false, &[], 0).unwrap();
    std::thread::sleep(Duration::from_millis(700));
    fleet.kill(0);
    fleet.links.heal();
    // Either some members had fetched all of it, then all activate it, or none has, and the previous version
    // stays active.
    let settled = |fleet: &Fleet| fleet.all_active_on(&second) || fleet.all_active_on(&first);
    assert!(fleet.wait_until(LIMIT, settled).is_some());
    let last = fleet
        .publish(2, &levels_version(3.0), false, &[], 0)
        .unwrap();
    assert_all_active_on(&fleet, &last);
    let open = |fleet: &Fleet| {
        (1..5)
            .all(|at| fleet.query(at, &json!({"ask": "fleet_members"})).unwrap()["shut"].is_null())
    };
    assert!(fleet.wait_until(LIMIT, open).is_some());
    // A member that leaves announces it before it drains, even if it has just begun to fetch a version.
    fleet.publish(1, &content, false, &[], 0).unwrap();
    fleet.terminate(4).unwrap();
    let left = |fleet: &Fleet| {
        let reply = fleet.query(1, &json!({"ask": "fleet_members"})).unwrap();
        let members = reply["members"].as_array().unwrap();
        members
            .iter()
            .any(|member| member["server"] == "n4" && member["state"] == "leaving")
    };
    assert!(fleet.wait_until(LIMIT, left).is_some());
}

/// COUNT processes: time until half and all of them act on a version, without faults, with loss and delay,
/// after a partition has healed, and while six in ten are replaced; traffic and CPU.
///
///     COUNT=50 cargo test --release -p coralstep-server --test fleet -- --ignored --nocapture manual_many
#[test]
#[ignore = "takes minutes; figures for docs/fleet.md"]
fn manual_many_processes() {
    let count = std::env::var("COUNT").map_or(50, |count| count.parse().unwrap());
    let mut fleet = Fleet::start(program(), count, 11, json!({})).unwrap();
    let discovered = |fleet: &Fleet| {
        fleet
            .count_alive(count / 2)
            .is_ok_and(|alive| alive == count)
    };
    println!(
        "{count} members discovered each other after {:?}",
        fleet.wait_until(LIMIT * 3, discovered)
    );
    std::thread::sleep(Duration::from_secs(10));
    let figures = |fleet: &Fleet| {
        let bytes: u64 = (0..count).map(|at| fleet.links.sent_traffic(at).1).sum();
        (
            bytes as f64 / count as f64,
            (0..count).map(|at| fleet.cpu_seconds(at)).sum::<f64>() / count as f64,
        )
    };
    let (before, start) = (figures(&fleet), Instant::now());
    std::thread::sleep(Duration::from_secs(20));
    let (after, span) = (figures(&fleet), start.elapsed().as_secs_f64());
    println!(
        "idle: {:.0} bytes a second, {:.2}% of a core",
        (after.0 - before.0) / span,
        (after.1 - before.1) / span * 100.0
    );
    let failure_detections = |fleet: &Fleet| {
        let lines = |at: usize| {
            fleet
                .log(at)
                .iter()
                .filter(|line| line.ends_with(" is gone"))
                .count()
        };
        (0..count).map(lines).sum::<usize>()
    };
    println!(
        "live members taken for failed: {} times",
        failure_detections(&fleet)
    );
    let rough = Fault {
        loss: 0.3,
        delay: (100, 500),
        ..Fault::default()
    };
    for (number, (name, fault)) in [
        ("calm", Fault::default()),
        ("rough", rough),
        ("cut", Fault::default()),
        ("replaced", Fault::default()),
    ]
    .into_iter()
    .enumerate()
    {
        fleet.links.set_default_fault(fault);
        let halves: (Vec<usize>, Vec<usize>) =
            ((0..count / 2).collect(), (count / 2..count).collect());
        if name == "cut" {
            fleet.links.cut(&halves.0, &halves.1);
        }
        let version = fleet
            .publish(0, &levels_version(1.0 + number as f64), false, &[], 0)
            .unwrap();
        let mut start = Instant::now();
        match name {
            "cut" => {
                std::thread::sleep(Duration::from_secs(20));
                fleet.links.heal();
                start = Instant::now();
            }
            "replaced" => {
                let replaced = count * 6 / 10;
                for at in 1..=replaced {
                    fleet.start_process(at).unwrap();
                    let due = Duration::from_secs_f64(7.0 * at as f64 / replaced as f64);
                    std::thread::sleep(due.saturating_sub(start.elapsed()));
                }
                println!("replaced {replaced} within {:?}", start.elapsed());
            }
            _ => {}
        }
        let mut half = None;
        let all = fleet.wait_until(LIMIT * 5, |fleet| {
            let on = (0..count)
                .filter(|at| {
                    fleet.log_contains(*at, &format!("fleet: version activated version={version}"))
                })
                .count();
            if on * 2 >= count {
                half.get_or_insert(start.elapsed());
            }
            on == count
        });
        println!("{name}: half after {half:?}, all after {all:?}");
        fleet.links.heal();
    }
}

/// Counts how often a live member is taken for failed: COUNT processes for SECONDS, each offered 120% of its
/// engine's capacity, on a machine loaded with three times its cores.
#[test]
#[ignore = "takes minutes; figures for docs/fleet.md"]
fn manual_false_suspicions_under_overload() {
    let number =
        |name: &str, absent: u64| std::env::var(name).map_or(absent, |text| text.parse().unwrap());
    let (count, seconds) = (number("COUNT", 20) as usize, number("SECONDS", 120));
    let cores = std::thread::available_parallelism().unwrap().get();
    let setup = Setup {
        work_ms: 400.0,
        ..Setup::new(json!({}))
    };
    let fleet = Fleet::start_with_setup(program(), count, 21, setup).unwrap();
    let discovered = |fleet: &Fleet| {
        (0..count).all(|at| fleet.count_alive(at).is_ok_and(|alive| alive == count))
    };
    assert!(fleet.wait_until(LIMIT, discovered).is_some());
    let end = Instant::now() + Duration::from_secs(seconds);
    let outcomes: Vec<RpcOutcome> = std::thread::scope(|scope| {
        for _ in 0..cores * 2 {
            scope.spawn(|| while Instant::now() < end {});
        }
        // Two cores at 400 ms per run: a server's capacity is five RPCs per second.
        let callers: Vec<_> = (0..count * 6)
            .map(|number| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let (mut outcomes, mut next) = (Vec::new(), Instant::now());
                    while Instant::now() < end {
                        outcomes.push(fleet.call(number % count, "save", None));
                        next += Duration::from_secs(1);
                        std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    }
                    outcomes
                })
            })
            .collect();
        callers
            .into_iter()
            .flat_map(|caller| caller.join().unwrap())
            .collect()
    });
    let ok = outcomes
        .iter()
        .filter(|outcomes| **outcomes == RpcOutcome::Ok)
        .count();
    let pushed_back = outcomes
        .iter()
        .filter(|outcomes| matches!(outcomes, RpcOutcome::Rejected(_)))
        .count();
    let failure_detections: usize = (0..count)
        .map(|at| {
            fleet
                .log(at)
                .iter()
                .filter(|line| line.ends_with(" is gone"))
                .count()
        })
        .sum();
    let recoveries: usize = (0..count)
        .map(|at| {
            fleet
                .log(at)
                .iter()
                .filter(|line| line.contains("it is back"))
                .count()
        })
        .sum();
    println!(
        "{count} processes for {seconds} s at 120%: {} RPCs, {ok} ok, {pushed_back} pushed back; taken for failed {failure_detections} times by \
         others, {recoveries} processes came back; {:.2} process hours",
        outcomes.len(),
        (count as u64 * seconds) as f64 / 3_600.0
    );
}

/// RPC latency and CPU of one process without a fleet, in an idle fleet and during successive rollouts; two
/// rounds.
#[test]
#[ignore = "takes a minute; figures for docs/fleet.md"]
fn manual_fleet_overhead_per_rpc() {
    for round in 0..2 {
        for (name, more) in [
            ("off", Value::Null),
            ("idle", json!({})),
            ("roll-outs", json!({})),
        ] {
            let mut fleet = Fleet::start(program(), 7, 12 + round, more).unwrap();
            std::thread::sleep(Duration::from_secs(4));
            let (cpu, start, mut times) = (fleet.cpu_seconds(3), Instant::now(), Vec::new());
            for number in 0..900 {
                if name == "roll-outs" && number % 90 == 0 {
                    fleet
                        .publish(0, &levels_version(f64::from(number + 1)), false, &[], 0)
                        .unwrap();
                }
                let began = Instant::now();
                assert_eq!(fleet.rpc(3), RpcOutcome::Ok);
                times.push(began.elapsed().as_secs_f64() * 1000.0);
            }
            times.sort_by(f64::total_cmp);
            let (middle, high) = (times[450], times[891]);
            let cpu = (fleet.cpu_seconds(3) - cpu) / start.elapsed().as_secs_f64() * 100.0;
            println!(
                "{name}: p50 {middle:.2} ms, p99 {high:.2} ms, {cpu:.1}% of a core at {:.0} a second",
                900.0 / start.elapsed().as_secs_f64()
            );
        }
    }
}
