//! Sends RPCs over Thrift and SCGI beyond the engine's capacity, with failures, and compares the replies with
//! the engine's runs. The checks are rules, not figures, so the verdict is the same in each run. The long runs
//! are started manually:
//!
//!     cargo test --release -p coralstep-server --test mixed -- --ignored --nocapture
mod stand_ins;

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use stand_ins::engine::{RecordingEngine, StartedRun, store};
use stand_ins::scgi::FRONT;
use stand_ins::{Gateway, Reply, ServerAddresses, TestServer, id};

/// Seconds of work per run; two cores can do a hundred runs per second.
const WORK_SECONDS: f64 = 0.02;
const CAPACITY: f64 = 100.0;
/// Grace period of the settings, and the tolerance for delays of clocks and threads of this test.
const GRACE_PERIOD: Duration = Duration::from_millis(200);
const TOLERANCE: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Protocol {
    Thrift,
    Scgi,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Traffic {
    Thrift,
    Scgi,
    Mixed,
}

#[derive(Clone, Debug, PartialEq)]
enum Response {
    Ok(Vec<u8>),
    Rejected,
    Failed,
    /// The connection was closed or could not be opened.
    Unanswered,
}

#[derive(Clone, Debug)]
struct SentRpc {
    id: String,
    method: &'static str,
    idempotency_key: Option<String>,
    body: Vec<u8>,
    at: Instant,
    response: Response,
    took: Duration,
}

/// A small generator: the same seed gives the same sequence.
struct Rng(u64);

impl Rng {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % below
    }
}

fn send_over_thrift(addresses: ServerAddresses, sent: &SentRpc) -> Response {
    let Some(mut gateway) = addresses.gateway() else {
        return Response::Unanswered;
    };
    let mut more: Vec<(&str, &str)> = Vec::new();
    more.extend(
        sent.idempotency_key
            .as_deref()
            .map(|idempotency_key| ("replay", idempotency_key)),
    );
    if !gateway.try_invoke(sent.method, &sent.id, &sent.body, &more) {
        return Response::Unanswered;
    }
    read_response(&mut gateway)
}

fn read_response(gateway: &mut Gateway) -> Response {
    loop {
        match gateway.try_read_reply() {
            Some(Reply::Closing) => {}
            Some(Reply::Answer {
                body, good: true, ..
            }) => return Response::Ok(body),
            Some(Reply::Overloaded { .. }) => return Response::Rejected,
            Some(Reply::Internal { .. } | Reply::Exception { .. }) => return Response::Failed,
            Some(reply) => panic!("{reply:?}"),
            None => return Response::Unanswered,
        }
    }
}

fn send_over_scgi(addresses: ServerAddresses, sent: &SentRpc) -> Response {
    let path = if sent.method == "read" {
        "/read/x".to_owned()
    } else {
        format!("/{}", sent.method)
    };
    let mut headers = vec![
        ("HTTP_X_REQUEST_ID", sent.id.as_str()),
        ("HTTP_X_TENANT", "north"),
    ];
    headers.extend(
        sent.idempotency_key
            .as_deref()
            .map(|idempotency_key| ("HTTP_IDEMPOTENCY_KEY", idempotency_key)),
    );
    headers.push(("HTTP_X_ROOM_KB", "24.5"));
    match addresses
        .send_scgi(&path, &headers, &sent.body)
        .and_then(|caller| caller.answer())
    {
        Some(answer) if answer.status == 200 => Response::Ok(answer.body),
        Some(answer) if answer.status == 503 => Response::Rejected,
        Some(answer) if answer.status == 500 => Response::Failed,
        Some(answer) => panic!("{answer:?}"),
        None => Response::Unanswered,
    }
}

struct LoadRun {
    sent: Vec<SentRpc>,
    started_runs: Vec<StartedRun>,
    terminated_at: Instant,
}

/// Offers `load` times the engine's capacity for `seconds`; the drain starts one second before the end.
fn run_load(traffic: Traffic, load: f64, seconds: f64, seed: u64) -> LoadRun {
    run_load_with(FRONT, traffic, load, seconds, seed, 4)
}

/// Like `run_load`, with a site file, and with calls that take `slow` ms in the second third of the time.
fn run_load_with(
    site: &str,
    traffic: Traffic,
    load: f64,
    seconds: f64,
    seed: u64,
    slow: u64,
) -> LoadRun {
    let mut server = TestServer::with_site(site);
    let engine = RecordingEngine::start(
        server.engine_listener(),
        2,
        WORK_SECONDS,
        Duration::from_millis(700),
    );
    let store_call_ms = store(server.store_listener(), 3, 2, 2);
    // The server is up once its engine is, and the first run succeeds.
    while send_over_thrift(server.addresses(), &sample_rpc(u64::MAX)) == Response::Unanswered {}
    let (gap, start) = (
        Duration::from_secs_f64(1.0 / (load * CAPACITY)),
        Instant::now(),
    );
    let count = (seconds * load * CAPACITY) as u32;
    let mut rng = Rng(seed | 1);
    let mut keys: Vec<String> = Vec::new();
    let terminate_at = start + Duration::from_secs_f64(seconds - 1.0);
    let mut terminated_at = None;
    let sent = std::thread::scope(|scope| {
        let mut threads = Vec::new();
        for number in 0..count {
            let due = start + gap * number;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if terminated_at.is_none() && Instant::now() >= terminate_at {
                terminated_at = Some(Instant::now());
                server.terminate();
            }
            let slowed = number > count / 3 && number < count * 2 / 3;
            store_call_ms.store(if slowed { slow } else { 4 }, Ordering::SeqCst);
            let mut sent = sample_rpc(u64::from(number));
            (sent.method, sent.idempotency_key) = match rng.next(10) {
                0..=4 => ("read", None),
                5 => ("book", None),
                6 => ("lock", None),
                // Some requests repeat an earlier key, over either protocol.
                _ if !keys.is_empty() && rng.next(3) == 0 => {
                    let idempotency_key =
                        keys[keys.len() - 1 - rng.next(keys.len().min(20) as u64) as usize].clone();
                    ("pay", Some(idempotency_key))
                }
                _ => {
                    keys.push(format!("token {number}"));
                    ("pay", keys.last().cloned())
                }
            };
            let protocol = match traffic {
                Traffic::Thrift => Protocol::Thrift,
                Traffic::Scgi => Protocol::Scgi,
                Traffic::Mixed if rng.next(2) == 0 => Protocol::Thrift,
                Traffic::Mixed => Protocol::Scgi,
            };
            let addresses = server.addresses();
            threads.push(scope.spawn(move || {
                sent.at = Instant::now();
                sent.response = if protocol == Protocol::Thrift {
                    send_over_thrift(addresses, &sent)
                } else {
                    send_over_scgi(addresses, &sent)
                };
                sent.took = sent.at.elapsed();
                sent
            }));
        }
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect::<Vec<SentRpc>>()
    });
    assert!(server.wait_for_exit().success());
    let started_runs = engine.started_runs.lock().unwrap().clone();
    LoadRun {
        sent,
        started_runs,
        terminated_at: terminated_at.expect("the server was not terminated"),
    }
}

fn sample_rpc(number: u64) -> SentRpc {
    SentRpc {
        id: id(number % (1 << 40)),
        method: "read",
        idempotency_key: None,
        body: format!("body {number}").into_bytes(),
        at: Instant::now(),
        response: Response::Unanswered,
        took: Duration::ZERO,
    }
}

/// Checks the rules for replies and runs.
fn assert_rules_hold(load_run: &LoadRun) {
    let mut runs: HashMap<&[u8], Vec<&StartedRun>> = HashMap::new();
    load_run
        .started_runs
        .iter()
        .for_each(|run| runs.entry(&run.body).or_default().push(run));
    let runs_of = |sent: &SentRpc| runs.get(&sent.body[..]).map_or(&[][..], |runs| &runs[..]);
    // Nothing runs twice: a body belongs to one RPC, and all bodies of a key run once together.
    let mut runs_by_key: HashMap<&str, usize> = HashMap::new();
    for sent in &load_run.sent {
        let times = runs_of(sent).len();
        assert!(times <= 1, "{sent:?} ran {times} times");
        if let Some(idempotency_key) = &sent.idempotency_key {
            *runs_by_key.entry(idempotency_key).or_default() += times;
        }
    }
    assert!(
        runs_by_key.values().all(|times| *times <= 1),
        "an idempotency key ran twice"
    );
    let deadline = |method: &str| match method {
        "read" => Duration::from_secs(4),
        "book" => Duration::from_secs(2),
        "lock" => Duration::from_millis(800),
        _ => Duration::from_secs(10),
    };
    for sent in &load_run.sent {
        match &sent.response {
            // A successful reply is the result of its own run, or of an RPC with the same key.
            Response::Ok(body) => {
                let own_result = [b"did ", &sent.body[..]].concat();
                let result_of_same_key = || {
                    let others = load_run.sent.iter().filter(|other| {
                        other.idempotency_key.is_some()
                            && other.idempotency_key == sent.idempotency_key
                    });
                    others
                        .filter(|other| !runs_of(other).is_empty())
                        .any(|other| *body == [b"did ", &other.body[..]].concat())
                };
                assert!(*body == own_result || result_of_same_key(), "{sent:?}");
            }
            // A non-idempotent RPC that has run is never rejected.
            Response::Rejected => assert!(
                sent.method == "read" || runs_of(sent).is_empty(),
                "{sent:?}"
            ),
            Response::Failed => {}
            // Only a draining server leaves requests unanswered, and only those that it has not read: none of
            // them ran.
            Response::Unanswered => {
                assert!(
                    sent.at + TOLERANCE > load_run.terminated_at && runs_of(sent).is_empty(),
                    "{sent:?}"
                );
            }
        }
        assert!(sent.took < deadline(sent.method) + TOLERANCE, "{sent:?}");
        // Nothing that arrived after the grace period runs.
        let after = sent.at > load_run.terminated_at + GRACE_PERIOD + TOLERANCE;
        assert!(
            !after || runs_of(sent).is_empty(),
            "ran after the grace: {sent:?}"
        );
    }
}

fn response_fractions(load_run: &LoadRun) -> [f64; 4] {
    let before: Vec<&SentRpc> = load_run
        .sent
        .iter()
        .filter(|sent| sent.at < load_run.terminated_at)
        .collect();
    let fraction = |response: fn(&Response) -> bool| {
        before
            .iter()
            .filter(|sent| response(&sent.response))
            .count() as f64
            / before.len().max(1) as f64
    };
    [
        fraction(|response| matches!(response, Response::Ok(_))),
        fraction(|response| *response == Response::Rejected),
        fraction(|response| *response == Response::Failed),
        fraction(|response| *response == Response::Unanswered),
    ]
}

#[test]
fn overload_over_both_protocols_keeps_all_rules() {
    let load_run = run_load(Traffic::Mixed, 1.2, 5.0, 7);
    assert_rules_hold(&load_run);
    let [ok, pushed_back, ..] = response_fractions(&load_run);
    // The load was above capacity, and a large part of it was served.
    assert!(
        ok > 0.3 && pushed_back > 0.0,
        "{:?}",
        response_fractions(&load_run)
    );
}

#[test]
#[should_panic(expected = "ran 2 times")]
fn check_detects_non_idempotent_rpc_that_ran_twice() {
    let sent = SentRpc {
        method: "book",
        response: Response::Failed,
        ..sample_rpc(1)
    };
    let started_run = StartedRun {
        id: sent.id.clone(),
        method: "book".into(),
        body: sent.body.clone(),
        at: sent.at,
    };
    assert_rules_hold(&LoadRun {
        terminated_at: sent.at,
        sent: vec![sent],
        started_runs: vec![started_run.clone(), started_run],
    });
}

#[test]
#[should_panic(expected = "Rejected")]
fn check_detects_rejection_of_rpc_that_ran() {
    let sent = SentRpc {
        method: "lock",
        response: Response::Rejected,
        ..sample_rpc(1)
    };
    let started_run = StartedRun {
        id: sent.id.clone(),
        method: "lock".into(),
        body: sent.body.clone(),
        at: sent.at,
    };
    assert_rules_hold(&LoadRun {
        terminated_at: sent.at,
        sent: vec![sent],
        started_runs: vec![started_run],
    });
}

#[test]
#[should_panic(expected = "Unanswered")]
fn check_detects_unanswered_rpc() {
    let sent = sample_rpc(1);
    assert_rules_hold(&LoadRun {
        terminated_at: sent.at + TOLERANCE * 10,
        sent: vec![sent],
        started_runs: Vec::new(),
    });
}

/// Fractions of replies by protocol, several runs of each: protocols should differ no more than runs of the
/// same protocol.
#[test]
#[ignore = "a minute and a half; figures for docs/scgi.md"]
fn manual_same_traffic_by_each_protocol() {
    println!("traffic  run          ok  pushed back  aborted  no answer");
    for run_number in 1..=3 {
        for traffic in [Traffic::Thrift, Traffic::Scgi, Traffic::Mixed] {
            let load_run = run_load(traffic, 1.2, 10.0, 11);
            assert_rules_hold(&load_run);
            let [ok, pushed_back, aborted, nothing] = response_fractions(&load_run);
            println!(
                "{traffic:?}\t {run_number}    {ok:.3}        {pushed_back:.3}    {aborted:.3}      {nothing:.3}"
            );
        }
    }
}

/// A longer run at several loads.
#[test]
#[ignore = "takes two minutes; figures for docs/scgi.md"]
fn manual_long_mixed_run_at_several_loads() {
    println!("load  sent   runs     ok  pushed back  aborted");
    for load in [0.8, 1.0, 1.2, 1.5] {
        let load_run = run_load(Traffic::Mixed, load, 30.0, 23);
        assert_rules_hold(&load_run);
        let [ok, pushed_back, aborted, _] = response_fractions(&load_run);
        println!(
            "{load}\t{}\t{}\t{ok:.3}\t{pushed_back:.3}\t{aborted:.3}",
            load_run.sent.len(),
            load_run.started_runs.len()
        );
    }
}

/// Fraction of the requested criticality that was answered within the latency target.
fn fraction_in_time(load_run: &LoadRun) -> f64 {
    let (mut asked, mut good) = (0.0, 0.0);
    for sent in load_run
        .sent
        .iter()
        .filter(|sent| sent.at < load_run.terminated_at)
    {
        let (criticality, target) = match sent.method {
            "read" => (1.0, 2.0),
            "book" => (3.0, 1.0),
            "pay" => (2.0, 4.0),
            _ => (1.0, 0.4),
        };
        asked += criticality;
        if matches!(sent.response, Response::Ok(_)) && sent.took.as_secs_f64() <= target {
            good += criticality;
        }
    }
    good / asked
}

/// Levels that change within a short run: half of the requests are idempotent.
const LEVELS: &str = r#"{"stay_ms": 3000, "smooth_ms": 500, "list": [{"name": "full"},
    {"name": "effects-only", "when": [{"signal": "pushed_back", "enter": 0.4, "leave": 0.1, "enter_ms": 1000, "leave_ms": 3000}],
     "does": {"effects_only": true, "hold": 0.6}}]}"#;

/// With and without levels, at several loads, while the store is slow for a third of the time.
#[test]
#[ignore = "takes three minutes; figures for docs/levels.md"]
fn manual_levels_while_the_store_is_slow() {
    let with = format!(
        "{}, \"levels\": {LEVELS}}}",
        FRONT.trim_end().strip_suffix('}').unwrap()
    );
    println!("load  levels  in time     ok  pushed back  aborted");
    for load in [0.83, 1.0, 1.2, 1.5] {
        for (name, site) in [("none", FRONT), ("with", with.as_str())] {
            let load_run = run_load_with(site, Traffic::Mixed, load, 20.0, 31, 250);
            assert_rules_hold(&load_run);
            let [ok, pushed_back, aborted, _] = response_fractions(&load_run);
            println!(
                "{load}\t{name}\t{:.3}\t{ok:.3}\t{pushed_back:.3}\t{aborted:.3}",
                fraction_in_time(&load_run)
            );
        }
    }
}

/// CPU seconds per thousand sequential RPCs, by protocol.
#[test]
#[ignore = "a few seconds; figures for docs/scgi.md"]
fn manual_cpu_of_a_thousand_rpcs() {
    for protocol in [
        Protocol::Thrift,
        Protocol::Scgi,
        Protocol::Thrift,
        Protocol::Scgi,
    ] {
        let server = TestServer::with_site(FRONT);
        let _engine =
            RecordingEngine::start(server.engine_listener(), 2, 0.0, Duration::from_secs(600));
        store(server.store_listener(), 0, 0, 0).store(0, Ordering::SeqCst);
        let addresses = server.addresses();
        while send_over_thrift(addresses, &sample_rpc(u64::MAX)) == Response::Unanswered {}
        let before = server.cpu();
        for number in 0..1_000 {
            let sent = sample_rpc(number);
            let response = if protocol == Protocol::Thrift {
                send_over_thrift(addresses, &sent)
            } else {
                send_over_scgi(addresses, &sent)
            };
            assert!(matches!(response, Response::Ok(_)), "{number} {response:?}");
        }
        println!(
            "{protocol:?}: {:.2} CPU seconds a thousand RPCs, a connection each",
            server.cpu() - before
        );
    }
}
