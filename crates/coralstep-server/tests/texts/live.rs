//! Output of the operator commands against a running server.
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

use coralstep_lab::emulate::store::Store;
use coralstep_lab::fleet::{Fleet, RpcOutcome, Setup};
use coralstep_lab::world::Dependency;
use serde_json::{Value, json};

use crate::stand_ins::TestServer;
use crate::{Folder, golden, run, transcript_of, value_types, words};

const LIMIT: Duration = Duration::from_secs(40);
const HOLD_COMMAND: &str = "levels hold essentials --for 600";

/// Starts two servers with levels, limits, shared health and a store, and waits until they know each other.
fn fleet() -> (Fleet, Store) {
    let store: Dependency =
        serde_json::from_value(json!({"capacity": 200, "call_ms": {"fixed": 20.0}, "fails": 0.0}))
            .unwrap();
    let store = Store::start(&store, 5).unwrap();
    let limits = json!([
        {"name": "north", "tenant": "north", "rps": 40.0, "burst": 40},
        {"name": "reads", "method": "read", "in_hand": 50}
    ]);
    let more = json!({"keepers": ["n0"], "verdicts": {}});
    let setup = Setup {
        store: Some(store.address),
        limits,
        ..Setup::new(more)
    };
    let fleet =
        Fleet::start_with_setup(Path::new(env!("CARGO_BIN_EXE_coralstep")), 2, 11, setup).unwrap();
    let discovered =
        |fleet: &Fleet| (0..2).all(|at| fleet.count_alive(at).is_ok_and(|alive| alive == 2));
    assert!(
        fleet.wait_until(LIMIT, discovered).is_some(),
        "members did not discover each other"
    );
    (fleet, store)
}

/// Versions that a server with levels and SCGI rejects, except for the last.
const VERSIONS: [&str; 13] = [
    r#"[]"#,
    r#"{"fly": 1}"#,
    r#"{"operator": {"listen": "127.0.0.1:1"}}"#,
    r#"{"state": {"folder": "kept"}}"#,
    r#"{"fleet": {"name": "alps", "listen": "127.0.0.1:1", "peers": []}}"#,
    r#"{"log": {"format": "json"}}"#,
    r#"{"applications": {"addresses": ["127.0.0.1:1"]}}"#,
    r#"{"levels": {"stay_ms": 1}}"#,
    r#"{"levels": {"list": [{"name": "shut", "does": {"closed": true}}]}}"#,
    r#"{"limits": [{"name": "x", "tenant": "west", "rps": 5}]}"#,
    r#"{"scgi": {"listen": ["127.0.0.1:1"], "routes": [{"verb": "POST", "path": "/fly", "method": "fly"}]}}"#,
    r#"{"scgi": {"listen": ["127.0.0.1:1"], "routes": [{"verb": "POST", "path": "/save", "method": "save"}]}}"#,
    r#"{"levels": {"record_ms": 2000}}"#,
];

/// Requests as sent to the operators' listener; valid ones are answered with what the server lacks.
const OPERATOR_REQUESTS: [&str; 19] = [
    r#"{"ask":"levels"}"#,
    r#"{"ask":"history"}"#,
    r#"{"ask":"hold","level":"full","ms":5000}"#,
    r#"{"ask":"release"}"#,
    r#"{"ask":"fleet_members"}"#,
    r#"{"ask":"fleet_versions"}"#,
    r#"{"ask":"fleet_audit","version":null,"server":null,"at_ms":null}"#,
    r#"{"ask":"fleet_audit"}"#,
    r#"{"ask":"fleet_publish","content":{},"must":false,"waves":[],"pause_ms":0}"#,
    r#"{"ask":"fleet_shut_out","server":"n1"}"#,
    r#"{"ask":"fleet_let_in","server":"n1"}"#,
    r#"{"ask":"fleet_limits"}"#,
    r#"{"ask":"fleet_verdicts"}"#,
    r#"{"ask":"fleet_clock","offset_ms":5}"#,
    r#"{"ask":"fly"}"#,
    r#"{"ask":"hold","level":"full"}"#,
    r#"{"ask":"levels","fly":1}"#,
    r#"{"fly":1}"#,
    "nothing",
];

/// Publishes `content` and returns the reason of its rejection, or that it was activated.
fn rejection_reason(folder: &Folder, at: &str, content: &str) -> String {
    folder.write("version.json", content);
    let ask = |call: &str| {
        run(
            &folder.0,
            &[&words(call)[..], &["--at", at, "--json"]].concat(),
        )
        .1
    };
    let published: Value = serde_json::from_str(&ask("fleet publish version.json")).unwrap();
    let start = Instant::now();
    loop {
        let rows = ask("fleet versions");
        let mut rows = rows
            .lines()
            .map(|row| serde_json::from_str::<Value>(row).unwrap());
        let row = rows
            .find(|row| row["version"] == published["published"])
            .unwrap();
        match row["turned_down"].as_str() {
            Some(why) => return why.to_owned(),
            None if row["acts_on"] == true => return "acted on".to_owned(),
            None => assert!(start.elapsed() < LIMIT, "{content}: {row}"),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against changed JSON keys, value types, table heads and answers to invalid requests.
#[test]
fn running_fleet_output_matches_golden_file() {
    let folder = Folder::new("live");
    let (fleet, _store) = fleet();
    let at = fleet.operator_address(0).unwrap().to_string();
    let ask = |call: &str| run(&folder.0, &[&words(call)[..], &["--at", &at]].concat());
    let transcript = |call: &str| {
        let (code, out, errors) = ask(call);
        format!("$ coralstep {call}\nexit {code}\n{out}{errors}\n")
    };
    let read =
        |fleet: &Fleet| (0..2).all(|at| fleet.call(at, "read", Some("north")) == RpcOutcome::Ok);
    assert!(fleet.wait_until(LIMIT, read).is_some(), "no RPC succeeded");
    folder.write("version.json", r#"{"levels": {"record_ms": 1000}}"#);
    let published = ask("fleet publish version.json --json");
    assert_eq!(
        (published.0, value_types(&published.1)),
        (0, " object\n.published string\n".to_owned())
    );
    let version: Value = serde_json::from_str(&published.1).unwrap();
    let version = version["published"].as_str().unwrap();
    assert!(
        fleet
            .wait_until(LIMIT, |fleet| fleet.all_active_on(version))
            .is_some(),
        "{version}"
    );

    let operator_commands = [
        "fleet shut-out n1 --json",
        "fleet let-in n1 --json",
        HOLD_COMMAND,
        "levels release",
    ];
    let mut answers = operator_commands.map(transcript).concat();
    answers += &transcript(&format!("{HOLD_COMMAND} --json"));
    // The history contains at least one change of level, and the hold is still in effect.
    golden::assert_eventually_matches("live-keys.txt", || {
        let shown = ["members", "versions", "audit", "limits", "verdicts"]
            .map(|what| format!("fleet {what}"));
        let levels = ["levels show", "levels history"].map(str::to_owned);
        let mut text = String::new();
        for call in shown.iter().chain(&levels) {
            let (code, out, errors) = ask(&format!("{call} --json"));
            text += &format!(
                "$ coralstep {call} --json\nexit {code}\n{}{errors}",
                value_types(&out)
            );
            let table = ask(call).1;
            let head = table.lines().next().unwrap_or_default();
            text += &if call.starts_with("fleet") {
                format!("head: {head}\n\n")
            } else {
                "\n".to_owned()
            };
        }
        text
    });

    answers += &["levels release --json"; 2].map(transcript).concat();
    golden::assert_matches("by-hand.txt", &answers);

    let mut text = VERSIONS
        .map(|content| {
            format!(
                "{content}\n    {}\n",
                rejection_reason(&folder, &at, content)
            )
        })
        .concat();
    let wrong = [
        "fleet shut-out nobody",
        "fleet let-in nobody",
        "fleet audit --version x",
        "levels hold nowhere --for 5",
    ];
    text += &wrong.map(transcript).concat();
    golden::assert_matches("refused-by-server.txt", &text);
}

/// Guards against changed answers of a server that has neither a fleet nor levels.
#[test]
fn lone_server_errors_match_golden_file() {
    let folder = Folder::new("lone");
    let socket = folder.0.join("operator.sock");
    let site = json!({"operator": {"listen": format!("unix:{}", socket.display())}}).to_string();
    let _server = TestServer::with_site(&site);
    let calls = [
        "fleet members",
        "fleet versions",
        "fleet audit",
        "fleet limits",
        "fleet verdicts",
        "fleet shut-out n1",
        "fleet let-in n1",
        "levels show",
        "levels history",
        "levels hold full --for 5",
        "levels release",
    ];
    let call = |call: &str| {
        transcript_of(
            &folder.0,
            &words(&format!("{call} --json --at unix:operator.sock")),
        )
    };
    let mut text = calls.map(call).join("\n");
    for request in OPERATOR_REQUESTS {
        let mut stream = UnixStream::connect(&socket).unwrap();
        stream.write_all(format!("{request}\n").as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        text += &format!("\n{request}\n{answer}");
    }
    golden::assert_matches("lone-server.txt", &text);
}
