//! Faulty configuration: at the start, one message that names file and key, exit code 2 and no open port; at a
//! reload, the same message as a log event and no change.
mod stand_ins;

use std::net::TcpListener;
use std::process::Command;

use stand_ins::{SETTINGS, TestServer, id};

/// Returns a configuration that listens at `port`.
fn config(port: u16) -> String {
    format!(
        r#"{{"name":"n3","listen":"127.0.0.1:{port}","engine":"127.0.0.1:1","control":"127.0.0.1:1","store":"127.0.0.1:1",
        "seed":"1","settings":{SETTINGS}}}"#
    )
}

#[test]
fn faulty_configuration_is_reported_before_any_port_opens() {
    // The port is in use: a server that tried to open it would report that instead.
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
    let (code, stderr) = serve(&good);
    assert!(
        code == Some(1) && stderr.contains("listen: 127.0.0.1:"),
        "{code:?}: {stderr}"
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
        // Truncated within a line, and empty.
        ("\"realms\"", "\"re", "not JSON"),
    ] {
        assert!(good.contains(from), "{from}");
        let bad = if key == "not JSON" {
            good.split(from).next().unwrap()
        } else {
            &good.replacen(from, to, 1)
        };
        let (code, stderr) = serve(bad);
        assert_eq!(code, Some(2), "{key}: {stderr}");
        let named = format!("coralstep: {}: {key}", file.display());
        assert!(
            stderr.starts_with(&named) && stderr.lines().count() == 1,
            "{key}: {stderr}"
        );
    }
    let (code, stderr) = serve("");
    assert!(code == Some(2) && stderr.contains("not JSON"), "{stderr}");
    let _ = std::fs::remove_file(&file);
}

/// Guards against a reload that applies a partly written file; the next complete file is applied.
#[test]
fn reload_of_empty_truncated_or_foreign_file_changes_nothing() {
    let (mut server, mut engine) = TestServer::ready();
    let good = server.config();
    for (bad, event) in [
        (String::new(), "not JSON"),
        (good[..good.len() / 2].to_owned(), "not JSON"),
        (
            good.replacen("\"cores\":2", "\"cores\":\"two\"", 1),
            "settings: domain.cores=two is no proper value",
        ),
    ] {
        server.reload(&bad);
        let line = server.wait_for_log("reload failed, nothing changed");
        assert!(
            line.contains("config.json: ") && line.contains(event),
            "{line}"
        );
    }
    // Settings of another deployment take effect only with a restart; they are neither applied nor rejected.
    server.reload(&good.replacen("\"north\"", "\"south\"", 1).replacen(
        "\"name\":\"pay\"",
        "\"name\":\"give\"",
        1,
    ));
    server.wait_for_log("reload: setting changes only with a restart key=\"settings\"");
    let mut gateway = server.gateway();
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    engine.expect_run(&id(1), "pay");
    engine.send_done(1, &id(1), "good", "");
    assert_eq!(
        gateway.read_reply(),
        stand_ins::Reply::Answer {
            seq,
            body: Vec::new(),
            good: true
        }
    );
    // The original settings again, with other addresses.
    server.move_backends();
    assert_eq!(engine.next_line_except_gauges(), "STAT settled");
    engine.send("STATS settled 0.5 1 0.1 3\r\n");
    server.engine(1, "old 3600000");
}
