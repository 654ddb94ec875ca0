//! Degradation levels as seen from outside: in replies, in the log and on the operator's command line.
mod stand_ins;

use std::process::Command;
use std::time::Duration;

use stand_ins::scgi::FRONT;
use stand_ins::{Gateway, LIMIT, LineConnection, Reply, TestServer, id};

/// A breaker that isn't closed leads to `lean`, nearly full memory from there to `shut`; `log` is appended to
/// the file.
fn site(socket: &str, log: &str) -> String {
    let levels = r#""levels": {"stay_ms": 1000, "smooth_ms": 100, "record_ms": 500, "list": [{"name": "full"},
        {"name": "lean", "when": [{"signal": "breaker", "enter": 0.5, "leave": 0.1, "enter_ms": 200, "leave_ms": 500}],
         "does": {"effects_only": true}},
        {"name": "shut", "when": [{"signal": "memory", "enter": 0.9, "leave": 0.5}], "does": {"closed": true}}]}"#;
    let operator = format!(r#""operator": {{"listen": "unix:{socket}"}}"#);
    format!(
        "{}, {levels}, {operator}{log}}}",
        FRONT.trim_end().strip_suffix('}').unwrap()
    )
}

fn socket(name: &str) -> String {
    let path = std::env::temp_dir().join(format!("coralstep-{}-{name}.sock", std::process::id()));
    path.to_str().unwrap().to_owned()
}

/// Runs `coralstep levels ARGS`: its exit status, standard output and standard error.
fn levels(socket: &str, args: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_coralstep"));
    command
        .arg("levels")
        .args(args)
        .args(["--at", &format!("unix:{socket}")]);
    let output = command.output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        output.status.code().unwrap(),
        text(output.stdout),
        text(output.stderr),
    )
}

/// Opens the breaker by twenty failing calls.
fn open_breaker(server: &TestServer, engine: &mut LineConnection, gateway: &mut Gateway) {
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
}

#[test]
fn level_change_is_visible_everywhere_and_rejects_closed_requests() {
    let socket = socket("change");
    let server = TestServer::with_site(&site(&socket, ""));
    let mut engine = server.engine(0, "old 3600000");
    let (status, shown, _) = levels(&socket, &["show"]);
    assert!(
        status == 0 && shown.starts_with("level\tfull\n") && shown.contains("lean\tbreaker\t"),
        "{shown}"
    );
    // The level changes only after three seconds of samples.
    engine.serve_idle_for(Duration::from_millis(3_200));
    let mut gateway = server.gateway();
    open_breaker(&server, &mut engine, &mut gateway);
    assert!(
        server
            .wait_for_log("circuit breaker changed state")
            .contains("dependency=\"store\" instance=\"n3\" from=\"closed\" to=\"open\"")
    );
    engine.serve_until_logged(&server, "level full -> lean, breaker ");
    let answer = server.send_scgi("/read/x", &[], b"").answer().unwrap();
    assert_eq!(
        (answer.status, answer.field("X-Coralstep-Level")),
        (503, Some("lean"))
    );
    let ms: u64 = answer
        .field("X-Coralstep-Retry-After-Ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!((250..=1_000).contains(&ms), "{ms}");
    // A non-idempotent request is admitted.
    let seq = gateway.invoke("pay", &id(50), b"", &[]);
    engine.expect_run(&id(50), "pay");
    engine.send_done(60, &id(50), "good", "");
    assert_eq!(
        gateway.read_reply(),
        Reply::Answer {
            seq,
            body: Vec::new(),
            good: true
        }
    );
    let (_, shown, _) = levels(&socket, &["show", "--json"]);
    let shown: serde_json::Value = serde_json::from_str(&shown).unwrap();
    assert_eq!(
        (
            &shown["levels"]["level"],
            &shown["levels"]["why"][0]["signal"]
        ),
        (&"lean".into(), &"breaker".into())
    );
    let (_, history, _) = levels(&socket, &["history"]);
    assert!(history.contains("\tfull\tlean\t"), "{history}");
}

#[test]
fn operator_hold_sets_level_until_it_expires() {
    let socket = socket("hold");
    let server = TestServer::with_site(&site(&socket, ""));
    let mut engine = server.engine(0, "old 3600000");
    assert_eq!(levels(&socket, &["hold", "nowhere", "--for", "5"]).0, 1);
    assert_eq!(levels(&socket, &["hold", "shut"]).0, 2);
    let open_rpc = server.send_scgi("/lock", &[(("HTTP_X_REQUEST_ID"), &id(1))], b"");
    engine.expect_run(&id(1), "lock");
    assert_eq!(levels(&socket, &["hold", "shut", "--for", "1.5"]).0, 0);
    engine.serve_until_logged(&server, "level full -> shut, by hand");
    // Nothing new is admitted; open runs continue, and they and their repeats are answered.
    assert_eq!(server.send_scgi("/pay", &[], b"").status(), 503);
    engine.send_done(1, &id(1), "good", "on");
    assert_eq!(open_rpc.answer().unwrap().body, b"on");
    // After the hold the measured signals decide, one level at a time.
    engine.serve_until_logged(&server, "level shut -> lean");
    engine.serve_until_logged(&server, "level lean -> full");
    assert_eq!(levels(&socket, &["release"]).1, "nothing was held\n");
}

#[test]
fn json_log_can_be_replayed_with_other_conditions() {
    let socket = socket("json");
    let log = r#", "log": {"format": "json", "levels": "info,coralstep_server::runs::engine=off"}"#;
    let server = TestServer::with_site(&site(&socket, log));
    let mut engine = server.engine(0, "old 3600000");
    engine.serve_idle_for(Duration::from_millis(3_200));
    let mut gateway = server.gateway();
    open_breaker(&server, &mut engine, &mut gateway);
    engine.serve_until_logged(&server, "\"to\":\"lean\"");
    engine.serve_idle_for(Duration::from_millis(1_200));
    let lines = server.log_so_far();
    assert!(
        lines
            .iter()
            .all(|line| serde_json::from_str::<serde_json::Value>(line).is_ok()),
        "{lines:?}"
    );
    assert!(!lines.iter().any(|line| line.contains("engine attached")));
    let folder = std::env::temp_dir().join(format!("coralstep-replay-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (record, file) = (folder.join("log.json"), folder.join("site.json"));
    std::fs::write(&record, lines.join("\n")).unwrap();
    let replay = |site: &str| {
        std::fs::write(&file, site).unwrap();
        let command = [
            record.to_str().unwrap(),
            "--site",
            file.to_str().unwrap(),
            "--json",
        ];
        levels(&socket, &[&["replay"], &command[..]].concat())
    };
    let (status, unchanged, stderr) = replay(&site(&socket, log));
    assert!(
        status == 0 && unchanged.contains("\"to\":\"lean\""),
        "{unchanged} {stderr}"
    );
    let (_, other, _) =
        replay(&site(&socket, log).replace("\"enter_ms\": 200", "\"enter_ms\": 60000"));
    assert!(other.contains("\"changes\":0"), "{other}");
    let (status, _, stderr) =
        replay(&site(&socket, log).replace("\"leave\": 0.1", "\"leave\": 0.5"));
    assert!(
        status == 1 && stderr.contains("levels.list[1].when[0].leave: 0.5 would flap"),
        "{stderr}"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn reload_replaces_levels_and_drain_works_at_any_level() {
    let socket = socket("reload");
    let mut server = TestServer::with_site(&site(&socket, ""));
    let mut engine = server.engine(0, "old 3600000");
    levels(&socket, &["hold", "lean", "--for", "60"]);
    engine.serve_until_logged(&server, "level full -> lean, by hand");
    server.reload_site(&site(&socket, "").replace("\"lean\"", "\"thin\""));
    engine.serve_until_logged(&server, "level lean -> full, by hand");
    server.reload_site(&site(&socket, "").replace("\"enter\": 0.9", "\"enter\": 9"));
    let cause = "levels.list[2].when[0].enter: 9 is never met, for memory runs from 0 to 1";
    engine.serve_until_logged(&server, cause);
    let lines = server.log_so_far();
    let failed =
        |line: &String| line.contains("reload failed, nothing changed") && line.contains(cause);
    assert!(lines.iter().any(failed), "{lines:?}");
    levels(&socket, &["hold", "shut", "--for", "60"]);
    engine.serve_until_logged(&server, "level full -> shut, by hand");
    server.terminate();
    assert!(server.wait_for_exit().success());
    // The server removes its socket on exit.
    assert!(!std::path::Path::new(&socket).exists());
    assert_eq!(levels(&socket, &["show"]).0, 1);
}

#[test]
fn invalid_operator_requests_get_errors_and_slow_ones_are_closed() {
    use std::io::{Read, Write};
    use std::os::unix::net::UnixStream;
    let socket = socket("questions");
    let server = TestServer::with_site(&site(&socket, ""));
    let send_request = |text: &[u8]| {
        let mut stream = UnixStream::connect(&socket).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        // The server may close the connection before everything is written.
        let _ = stream.write_all(text);
        let mut response = String::new();
        let _ = stream.read_to_string(&mut response);
        response
    };
    assert!(send_request(b"{\"ask\":\"nothing\"}\n").contains("error"));
    assert!(send_request(b"what?\n").contains("error"));
    assert_eq!(send_request(&vec![b'x'; 8 * 1024]), "");
    assert_eq!(send_request(b"half a question"), "");
    assert!(send_request(b"{\"ask\":\"history\"}\n").contains("\"history\":[]"));
    drop(server);
    for args in [
        &["levels"][..],
        &["levels", "fly"],
        &["levels", "show"],
        &["levels", "show", "--at", "here"],
    ] {
        let output = Command::new(env!("CARGO_BIN_EXE_coralstep"))
            .args(args)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert_eq!(
            String::from_utf8(output.stderr).unwrap().lines().count(),
            1,
            "{args:?}"
        );
    }
}
