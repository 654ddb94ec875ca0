//! Levels of reduced service, seen from outside: in answers, in the log, and by the operator's command line.
mod stand_ins;

use std::process::Command;
use std::time::Duration;

use stand_ins::scgi::FRONT;
use stand_ins::{Gate, LIMIT, Lines, Rig, Said, id};

/// A breaker that isn't closed leads to `lean`, and from there to `shut` once the hold is full; `log` goes into the file.
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

/// What `coralstep levels ARGS` prints, and its exit status.
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

/// Opens the breaker by twenty calls that fail.
fn fail(rig: &Rig, engine: &mut Lines, gate: &mut Gate) {
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
}

#[test]
fn a_change_is_one_event_seen_in_answers_and_by_the_command_line_and_what_it_closes_is_turned_away()
{
    let socket = socket("change");
    let rig = Rig::site(&site(&socket, ""));
    let mut engine = rig.engine(0, "old 3600000");
    let (status, shown, _) = levels(&socket, &["show"]);
    assert!(
        status == 0 && shown.starts_with("level\tfull\n") && shown.contains("lean\tbreaker\t"),
        "{shown}"
    );
    // Three seconds must have been seen before anything changes.
    engine.sleep(Duration::from_millis(3_200));
    let mut gate = rig.gate();
    fail(&rig, &mut engine, &mut gate);
    assert!(
        rig.logged("circuit breaker changed state")
            .contains("dependency=\"store\" instance=\"n3\" from=\"closed\" to=\"open\"")
    );
    engine.until_logged(&rig, "level full -> lean, breaker ");
    let answer = rig.ask("/read/x", &[], b"").answer().unwrap();
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
    // What has an effect is let in.
    let seq = gate.invoke("pay", &id(50), b"", &[]);
    engine.expect_run(&id(50), "pay");
    engine.done(60, &id(50), "good", "");
    assert_eq!(
        gate.said(),
        Said::Answer {
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
fn a_hold_by_hand_holds_what_it_says_and_expires() {
    let socket = socket("hold");
    let rig = Rig::site(&site(&socket, ""));
    let mut engine = rig.engine(0, "old 3600000");
    assert_eq!(levels(&socket, &["hold", "nowhere", "--for", "5"]).0, 1);
    assert_eq!(levels(&socket, &["hold", "shut"]).0, 2);
    let held = rig.ask("/lock", &[(("HTTP_X_REQUEST_ID"), &id(1))], b"");
    engine.expect_run(&id(1), "lock");
    assert_eq!(levels(&socket, &["hold", "shut", "--for", "1.5"]).0, 0);
    engine.until_logged(&rig, "level full -> shut, by hand");
    // Nothing is let in; what runs goes on, and a repeat of it would still be told.
    assert_eq!(rig.ask("/pay", &[], b"").status(), 503);
    engine.done(1, &id(1), "good", "on");
    assert_eq!(held.answer().unwrap().body, b"on");
    // After its end the evidence decides, one step at a time.
    engine.until_logged(&rig, "level shut -> lean");
    engine.until_logged(&rig, "level lean -> full");
    assert_eq!(levels(&socket, &["release"]).1, "nothing was held\n");
}

#[test]
fn a_log_of_json_can_be_replayed_through_other_conditions() {
    let socket = socket("json");
    let log = r#", "log": {"format": "json", "levels": "info,coralstep_server::runs::engine=off"}"#;
    let rig = Rig::site(&site(&socket, log));
    let mut engine = rig.engine(0, "old 3600000");
    engine.sleep(Duration::from_millis(3_200));
    let mut gate = rig.gate();
    fail(&rig, &mut engine, &mut gate);
    engine.until_logged(&rig, "\"to\":\"lean\"");
    engine.sleep(Duration::from_millis(1_200));
    let lines = rig.log_so_far();
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
    let (status, as_it_was, said) = replay(&site(&socket, log));
    assert!(
        status == 0 && as_it_was.contains("\"to\":\"lean\""),
        "{as_it_was} {said}"
    );
    let (_, other, _) =
        replay(&site(&socket, log).replace("\"enter_ms\": 200", "\"enter_ms\": 60000"));
    assert!(other.contains("\"changes\":0"), "{other}");
    let (status, _, said) = replay(&site(&socket, log).replace("\"leave\": 0.1", "\"leave\": 0.5"));
    assert!(
        status == 1 && said.contains("levels.list[1].when[0].leave: 0.5 would flap"),
        "{said}"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_reload_takes_other_levels_and_a_drain_leaves_from_any() {
    let socket = socket("reload");
    let mut rig = Rig::site(&site(&socket, ""));
    let mut engine = rig.engine(0, "old 3600000");
    levels(&socket, &["hold", "lean", "--for", "60"]);
    engine.until_logged(&rig, "level full -> lean, by hand");
    rig.reload_site(&site(&socket, "").replace("\"lean\"", "\"thin\""));
    engine.until_logged(&rig, "level lean -> full, by hand");
    rig.reload_site(&site(&socket, "").replace("\"enter\": 0.9", "\"enter\": 9"));
    let cause = "levels.list[2].when[0].enter: 9 is never met, for memory runs from 0 to 1";
    engine.until_logged(&rig, cause);
    let lines = rig.log_so_far();
    let failed =
        |line: &String| line.contains("reload failed, nothing changed") && line.contains(cause);
    assert!(lines.iter().any(failed), "{lines:?}");
    levels(&socket, &["hold", "shut", "--for", "60"]);
    engine.until_logged(&rig, "level full -> shut, by hand");
    rig.terminate();
    assert!(rig.ended().success());
    // The socket goes with the server.
    assert!(!std::path::Path::new(&socket).exists());
    assert_eq!(levels(&socket, &["show"]).0, 1);
}

#[test]
fn questions_that_are_none_are_told_so_and_slow_ones_are_left() {
    use std::io::{Read, Write};
    use std::os::unix::net::UnixStream;
    let socket = socket("questions");
    let rig = Rig::site(&site(&socket, ""));
    let ask = |text: &[u8]| {
        let mut stream = UnixStream::connect(&socket).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        // It may be left before all of it is written.
        let _ = stream.write_all(text);
        let mut said = String::new();
        let _ = stream.read_to_string(&mut said);
        said
    };
    assert!(ask(b"{\"ask\":\"nothing\"}\n").contains("error"));
    assert!(ask(b"what?\n").contains("error"));
    assert_eq!(ask(&vec![b'x'; 8 * 1024]), "");
    assert_eq!(ask(b"half a question"), "");
    assert!(ask(b"{\"ask\":\"history\"}\n").contains("\"history\":[]"));
    drop(rig);
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
