//! What the files say, where it is at fault: one message that names file and key, exit code 2, and no port opened; at a reload the same
//! message as an event, and all stays as it was.
mod stand_ins;

use std::net::TcpListener;
use std::process::Command;

use stand_ins::{Rig, SETTINGS, id};

/// A configuration that listens at `port`.
fn config(port: u16) -> String {
    format!(
        r#"{{"name":"n3","listen":"127.0.0.1:{port}","engine":"127.0.0.1:1","control":"127.0.0.1:1","store":"127.0.0.1:1",
        "seed":"1","settings":{SETTINGS}}}"#
    )
}

#[test]
fn what_is_at_fault_is_told_before_any_port_opens() {
    // Somebody else listens there: a program that opened it would say so instead.
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let good = config(taken.local_addr().unwrap().port());
    let file = std::env::temp_dir().join(format!("coralstep-settings-{}.json", std::process::id()));
    let serve = |config: &str| {
        std::fs::write(&file, config).unwrap();
        let serve = Command::new(env!("CARGO_BIN_EXE_coralstep"))
            .args(["serve", "--config"])
            .arg(&file)
            .output();
        let output = serve.unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stderr).unwrap(),
        )
    };
    let (code, said) = serve(&good);
    assert!(
        code == Some(1) && said.contains("listen: 127.0.0.1:"),
        "{code:?}: {said}"
    );
    for (from, to, key) in [
        (
            "\"name\":\"read\",",
            "",
            "settings: classes.0.name: missing",
        ),
        (
            "\"cores\":2",
            "\"cores\":\"2\"",
            "settings: domain.cores=2 is text",
        ),
        (
            "\"cores\":2",
            "\"cores\":0",
            "settings: domain.cores=0 is not from 1 to 65536",
        ),
        (
            "\"memory_kb\":20000,",
            "",
            "settings: domain.memory_kb: missing",
        ),
        (
            "\"quota_rps\":50",
            "\"quota_rps\":[]",
            "settings: realms.0.quota_rps",
        ),
        ("\"seed\":\"1\"", "\"seed\":1", "seed: 1 is no text"),
        (
            "\"seed\":\"1\"",
            "\"seed\":\"1\",\"limits\":7",
            "limits: 7 is no object",
        ),
        (
            "\"seed\":\"1\"",
            "\"seed\":\"1\",\"limits\":{\"sockets\":9}",
            "limits.sockets: 9 are too few",
        ),
        (
            "\"seed\":\"1\"",
            "\"seed\":\"1\",\"stop_ms\":\"3200\"",
            "stop_ms: \"3200\" is no number above 0",
        ),
        // Cut in mid-line, and empty.
        ("\"realms\"", "\"re", "not JSON"),
    ] {
        assert!(good.contains(from), "{from}");
        let bad = if key == "not JSON" {
            good.split(from).next().unwrap()
        } else {
            &good.replacen(from, to, 1)
        };
        let (code, said) = serve(bad);
        assert_eq!(code, Some(2), "{key}: {said}");
        let named = format!("coralstep: {}: {key}", file.display());
        assert!(
            said.starts_with(&named) && said.lines().count() == 1,
            "{key}: {said}"
        );
    }
    let (code, said) = serve("");
    assert!(code == Some(2) && said.contains("not JSON"), "{said}");
    let _ = std::fs::remove_file(&file);
}

/// A file is written in place by somebody, and read while it is half there: nothing moves, and the next whole one is taken.
#[test]
fn a_file_that_is_empty_cut_or_of_another_customer_changes_nothing_at_a_reload() {
    let (mut rig, mut engine) = Rig::ready();
    let good = rig.config();
    for (bad, event) in [
        (String::new(), "not JSON"),
        (good[..good.len() / 2].to_owned(), "not JSON"),
        (
            good.replacen("\"cores\":2", "\"cores\":\"two\"", 1),
            "settings: domain.cores=two is no proper value",
        ),
    ] {
        rig.reload(&bad);
        let line = rig.logged("reload failed, nothing changed");
        assert!(
            line.contains("config.json: ") && line.contains(event),
            "{line}"
        );
    }
    // Settings of another customer come with a restart alone; they neither leak in nor are taken for a fault.
    rig.reload(&good.replacen("\"north\"", "\"south\"", 1).replacen(
        "\"name\":\"pay\"",
        "\"name\":\"give\"",
        1,
    ));
    rig.logged("reload: setting changes only with a restart key=\"settings\"");
    let mut gate = rig.gate();
    let seq = gate.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    engine.done(1, &id(1), "good", "");
    assert_eq!(
        gate.said(),
        stand_ins::Said::Answer {
            seq,
            body: Vec::new(),
            good: true
        }
    );
    // Back, with other addresses.
    rig.moves();
    assert_eq!(engine.line_but_gauges(), "STAT settled");
    engine.send("STATS settled 0.5 1 0.1 3\r\n");
    rig.engine(1, "old 3600000");
}
