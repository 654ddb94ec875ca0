//! Health reports about a shared store, exchanged by real server processes with faults on the links between
//! them: calls wasted on a hung store, recovery of all servers, and isolation of one server with a bad
//! connection. Judged by the store's own records and the answers to callers.
use std::path::Path;
use std::time::{Duration, Instant};

use std::cell::RefCell;
use std::rc::Rc;

use coralstep_fleet::Member;
use coralstep_fleet::extension::{
    ExtensionId, GossipExtension, MembershipView, Message, Registration,
};
use coralstep_lab::emulate::store::Store;
use coralstep_lab::fleet::{Faults, Fleet, Guest, LoadGenerator, RpcOutcome, Setup};
use coralstep_lab::world::Dependency;
use coralstep_shared_health::{LocalHealth, ReportedBreakerState, SharedHealth, SharingConfig};
use serde_json::{Value, json};

const LIMIT: Duration = Duration::from_secs(40);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_coralstep"))
}

fn store() -> Store {
    let text = json!({"capacity": 200, "call_ms": {"fixed": 20.0}, "fails": 0.0});
    let terms: Dependency = serde_json::from_value(text).unwrap();
    Store::start(&terms, 5).unwrap()
}

fn fleet(count: usize, seed: u64, store: &Store, verdicts: Value) -> Fleet {
    let more = if verdicts.is_null() {
        json!({})
    } else {
        json!({ "verdicts": verdicts })
    };
    // Without degradation levels, so that only the breaker acts.
    let setup = Setup {
        store: Some(store.address),
        levels: false,
        ..Setup::new(more)
    };
    let fleet = Fleet::start_with_setup(program(), count, seed, setup).unwrap();
    let discovered = |fleet: &Fleet| {
        (0..count).all(|at| fleet.count_alive(at).is_ok_and(|alive| alive == count))
    };
    assert!(
        fleet.wait_until(LIMIT * 2, discovered).is_some(),
        "members did not discover each other"
    );
    fleet
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Effects of an outage of the store.
#[derive(Debug)]
struct Outage {
    /// Calls received by the store while it hung, and those of them after the first five seconds.
    wasted: usize,
    wasted_later: usize,
    /// Seconds from the recovery of the store until every following second serves at least four fifths of the
    /// usual rate.
    recovery_seconds: f64,
    /// Maximum number of calls in 100 ms during the ten seconds after the recovery, and before the outage.
    max_calls_after: usize,
    max_calls_before: usize,
}

/// Returns the maximum number of calls in any 100 ms.
fn max_calls_per_100_ms(call_times: &[Duration], from: Duration, to: Duration) -> usize {
    let call_times: Vec<f64> = call_times
        .iter()
        .filter(|at| **at >= from && **at < to)
        .map(|at| at.as_secs_f64())
        .collect();
    let within = |at: &f64| {
        call_times
            .iter()
            .filter(|other| **other >= *at && **other < at + 0.1)
            .count()
    };
    call_times.iter().map(within).max().unwrap_or(0)
}

/// Sends `rate` RPCs per second to each process; the store hangs for `hangs` in the middle.
fn run_outage(
    fleet: &Fleet,
    store: &Store,
    rate: f64,
    before: Duration,
    hangs: Duration,
    after: Duration,
) -> Outage {
    let count = fleet.count();
    let drive = LoadGenerator::default();
    // An RPC on a hung store may take its whole deadline.
    let threads = (rate * 4.0).ceil() as u32;
    let every = Duration::from_secs_f64(f64::from(threads) / rate);
    let duration = before + hangs + after;
    let (mut hung, mut healed) = (Duration::ZERO, Duration::ZERO);
    let mut healed_ms = 0.0;
    std::thread::scope(|scope| {
        // The periods of the servers' callers are staggered.
        for at in 0..count {
            std::thread::sleep(Duration::from_secs_f64(1.0 / rate / count as f64));
            drive.spawn_callers(scope, fleet, at, threads, every, "read", duration);
        }
        std::thread::sleep(before);
        hung = store.elapsed();
        store.change_faults(|faults| faults.hangs = true);
        std::thread::sleep(hangs);
        store.change_faults(|faults| faults.hangs = false);
        healed = store.elapsed();
        healed_ms = drive.now_ms();
    });
    let call_times = store.call_times(Duration::ZERO);
    let wasted = |from: Duration| {
        call_times
            .iter()
            .filter(|at| **at >= from && **at < healed)
            .count()
    };
    // Whole seconds after the recovery that are served as usual, up to the end.
    let usual_ok = rate * count as f64;
    let seconds = after.as_secs() as usize;
    let served = |second: usize| {
        drive.count_ok(
            healed_ms + second as f64 * 1000.0,
            healed_ms + (second + 1) as f64 * 1000.0,
            None,
        )
    };
    let short = (0..seconds.saturating_sub(1))
        .rev()
        .find(|second| (served(*second) as f64) < usual_ok * 0.8);
    let warm = hung.saturating_sub(before * 3 / 4);
    Outage {
        wasted: wasted(hung),
        wasted_later: wasted(hung + Duration::from_secs(5)),
        recovery_seconds: short.map_or(0.0, |short| short as f64 + 1.0),
        max_calls_after: max_calls_per_100_ms(
            &call_times,
            healed,
            healed + Duration::from_secs(10),
        ),
        max_calls_before: max_calls_per_100_ms(&call_times, warm, hung),
    }
}

#[test]
fn hung_store_wastes_few_calls_and_all_servers_recover() {
    let store = store();
    let fleet = fleet(8, 51, &store, json!({}));
    let outage = run_outage(&fleet, &store, 2.0, ms(3_000), ms(8_000), ms(8_000));
    println!("{outage:?}");
    // On its own, each server would need twenty outcomes, ten seconds' worth: no breaker would open within the
    // eight seconds.
    let opened = (0..8)
        .filter(|at| fleet.log_contains(*at, "from=\"closed\" to=\"open\""))
        .count();
    let outcomes: Vec<String> = (0..8)
        .flat_map(|at| fleet.log(at))
        .filter(|line| line.contains("breaker"))
        .collect();
    assert!(opened >= 6, "{opened}: {outcomes:?}");
    // Two failures per server, the calls in flight meanwhile, and two probe calls per second; without shared
    // reports it would be 16 RPCs per second with two calls each.
    assert!(outage.wasted < 120, "{outage:?}");
    assert!(outage.recovery_seconds <= 5.0, "{outage:?}");
    assert!(
        outage.wasted_later <= outage.wasted
            && outage.max_calls_after <= outage.max_calls_before.max(4) * 4,
        "{outage:?}"
    );
    assert!(
        (0..8).any(|at| fleet.log_contains(at, "store fails")),
        "{:?}",
        fleet.log(0)
    );
    let rows = fleet.query(3, &json!({"ask": "fleet_verdicts"})).unwrap();
    let rows = rows["verdicts"].as_array().unwrap();
    assert!(
        rows.len() >= 7 && rows.iter().all(|row| row["dependency"] == "store"),
        "{rows:?}"
    );
}

#[test]
fn bad_connection_of_one_server_opens_no_other_breaker() {
    let store = store();
    let fleet = fleet(6, 52, &store, json!({}));
    // The bytes on its connection are dropped: all its calls time out, and it reports that to all servers.
    fleet.set_store_faults(
        2,
        Faults {
            half_open: 1.0,
            ..Faults::default()
        },
    );
    let drive = LoadGenerator::default();
    std::thread::scope(|scope| {
        for at in 0..6 {
            drive.spawn_callers(scope, &fleet, at, 16, ms(2_000), "read", ms(9_000));
        }
    });
    assert!(fleet.log_contains(2, "breaker"), "{:?}", fleet.log(2));
    assert!(
        fleet.log_contains(2, "this server's path to store fails"),
        "{:?}",
        fleet.log(2)
    );
    for at in [0, 1, 3, 4, 5] {
        assert!(
            !fleet.log_contains(at, "breaker"),
            "reports of other servers alone must not open a breaker: {:?}",
            fleet.log(at)
        );
        let outcomes: Vec<RpcOutcome> = drive
            .answers()
            .iter()
            .filter(|of| of.process == at)
            .map(|of| of.outcome)
            .collect();
        let ok = outcomes
            .iter()
            .filter(|outcomes| **outcomes == RpcOutcome::Ok)
            .count();
        assert!(ok * 10 >= outcomes.len() * 8, "{at}: {outcomes:?}");
    }
    // The connection works again: the server recovers by its own probe call.
    fleet.set_store_faults(2, Faults::default());
    let start = Instant::now();
    while fleet.call(2, "read", None) != RpcOutcome::Ok {
        assert!(start.elapsed() < LIMIT, "{:?}", fleet.log(2));
        std::thread::sleep(ms(100));
    }
}

/// What the lying member always reports about the store.
#[derive(Clone, Copy)]
enum FalseReport {
    Fails,
    Serves,
}

struct LyingMember(SharedHealth, FalseReport);

impl GossipExtension for LyingMember {
    fn next_gossip(&mut self, now: u64, room: usize) -> Option<Vec<u8>> {
        self.0.next_gossip(now, room)
    }

    fn handle_timeout(&mut self, now: u64, view: &MembershipView<'_>) -> Vec<Message> {
        // Reports a breaker that has just closed, once per second.
        let state = match self.1 {
            FalseReport::Fails => ReportedBreakerState::Open,
            FalseReport::Serves if now % 1_000 < 100 => ReportedBreakerState::HalfOpen,
            FalseReport::Serves => ReportedBreakerState::Closed,
        };
        let failures = if matches!(self.1, FalseReport::Fails) {
            20
        } else {
            0
        };
        self.0.observe(
            now,
            "store",
            LocalHealth {
                state,
                failures,
                calls: 20,
            },
        );
        self.0.handle_timeout(now, view)
    }
}

#[test]
fn lying_member_has_bounded_effect_on_others() {
    for false_report in [FalseReport::Fails, FalseReport::Serves] {
        let store = store();
        let fleet = fleet(6, 54, &store, json!({}));
        let liar = move |own: &Member| -> Registration {
            Registration::new(
                ExtensionId::SharedHealth,
                Rc::new(RefCell::new(LyingMember(
                    SharedHealth::new(own, SharingConfig::default(), 9),
                    false_report,
                ))),
            )
        };
        let _guest = Guest::join(&fleet, "liar", liar).unwrap();
        let received = |fleet: &Fleet| {
            (0..6).all(|at| {
                let reply = fleet.query(at, &json!({"ask": "fleet_verdicts"})).unwrap();
                reply["verdicts"]
                    .as_array()
                    .unwrap()
                    .iter()
                    .any(|row| row["server"] == "liar")
            })
        };
        assert!(fleet.wait_until(LIMIT, received).is_some());
        let drive = LoadGenerator::default();
        if matches!(false_report, FalseReport::Fails) {
            std::thread::scope(|scope| {
                (0..6).for_each(|at| {
                    drive.spawn_callers(scope, &fleet, at, 8, ms(1_000), "read", ms(4_000))
                });
            });
            assert!(
                (0..6).all(|at| !fleet.log_contains(at, "breaker")),
                "one lying member must not open a breaker"
            );
            continue;
        }
        let outage = run_outage(&fleet, &store, 2.0, ms(3_000), ms(10_000), ms(6_000));
        // Twelve calls per second would arrive. Until all breakers are open there are some forty, then 1.2 per
        // second; the lying member adds one each.
        assert!(outage.wasted_later < 45, "{outage:?}");
        assert!(outage.recovery_seconds <= 5.0, "{outage:?}");
    }
}

/// Effects of an outage without shared health, with all of it, and with each part alone.
///
///     COUNT=60 RATE=1 cargo test --release -p coralstep-server --test verdicts -- --ignored --nocapture
#[test]
#[ignore = "takes minutes; figures for docs/verdicts.md"]
fn manual_effects_of_an_outage() {
    let number =
        |name: &str, absent: f64| std::env::var(name).map_or(absent, |text| text.parse().unwrap());
    let (count, rate, hangs) = (
        number("COUNT", 60.0) as usize,
        number("RATE", 1.0),
        number("HANGS", 45.0),
    );
    let only = |trials: bool, serves: bool, fails: bool| json!({"trials": trials, "serves": serves, "fails": fails});
    let all = [
        ("without", Value::Null),
        ("all", json!({})),
        ("trials alone", only(true, false, false)),
        ("serves alone", only(false, true, false)),
        ("fails alone", only(false, false, true)),
        ("all but trials", only(false, true, true)),
    ];
    let wanted = std::env::var("ONLY").ok();
    for (name, verdicts) in all {
        if wanted
            .as_ref()
            .is_some_and(|wanted| !wanted.split(',').any(|one| one == name))
        {
            continue;
        }
        let store = store();
        let fleet = fleet(count, 53, &store, verdicts);
        let outage = run_outage(
            &fleet,
            &store,
            rate,
            ms(25_000),
            Duration::from_secs_f64(hangs),
            ms(25_000),
        );
        println!("{count} servers, {rate} calls a second each, {name}: {outage:?}");
        if std::env::var("LOG").is_ok() {
            fleet.log(0).iter().for_each(|line| println!("  {line}"));
        }
    }
}
