//! Guards against changes of texts that tools read: schema, help, usage errors, JSON output, exit codes and
//! messages about faulty files.
mod faults;
mod golden;
mod live;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;
use stand_ins::{Reply, TestServer, id};

/// Runs the program with these arguments in `folder`: command line, exit code, standard output and standard
/// error as one text.
fn transcript_of(folder: &Path, words: &[&str]) -> String {
    let (code, out, errors) = run(folder, words);
    let call = [&["$ coralstep"], words].concat().join(" ");
    format!("{call}\nexit {code}\n{out}{errors}")
}

fn run(folder: &Path, words: &[&str]) -> (i32, String, String) {
    run_with(folder, words, &[])
}

/// Like `run`, with these environment variables.
fn run_with(folder: &Path, words: &[&str], variables: &[(&str, &str)]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_coralstep"));
    command.current_dir(folder).args(words);
    for name in ["RELAY_CONFIG", "RELAY_NAME", "RELAY_LISTEN"] {
        command.env_remove(name);
    }
    command.envs(variables.iter().copied());
    let output = command.output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        output.status.code().unwrap(),
        text(output.stdout),
        text(output.stderr),
    )
}

/// A temporary folder of this process, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("coralstep-texts-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn write(&self, name: &str, bytes: impl AsRef<[u8]>) {
        std::fs::write(self.0.join(name), bytes).unwrap();
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Masks varying values: returns the sorted key paths of the JSON documents with the types of their values.
/// Keys are unchanged.
fn value_types(documents: &str) -> String {
    fn walk(path: String, value: &Value, all: &mut BTreeMap<String, BTreeSet<&'static str>>) {
        let value_type = match value {
            Value::Null => "null",
            Value::Bool(_) => "bool",
            Value::Number(_) => "number",
            Value::String(_) => "string",
            Value::Array(_) => "array",
            Value::Object(_) => "object",
        };
        all.entry(path.clone()).or_default().insert(value_type);
        match value {
            Value::Array(items) => items
                .iter()
                .for_each(|item| walk(format!("{path}[]"), item, all)),
            Value::Object(members) => {
                members
                    .iter()
                    .for_each(|(key, value)| walk(format!("{path}.{key}"), value, all));
            }
            _ => {}
        }
    }
    let mut all = BTreeMap::new();
    for value in serde_json::Deserializer::from_str(documents).into_iter() {
        walk(
            String::new(),
            &value.unwrap_or_else(|why| panic!("{why}: {documents}")),
            &mut all,
        );
    }
    all.into_iter()
        .map(|(path, value_types)| {
            format!(
                "{path} {}\n",
                value_types.into_iter().collect::<Vec<_>>().join("|")
            )
        })
        .collect()
}

/// Guards against a changed key, range or text in the schema of the site file.
#[test]
fn schema_matches_golden_file() {
    let folder = Folder::new("schema");
    golden::assert_matches("schema.json", &run(&folder.0, &["schema"]).1);
}

/// Guards against help that lists other commands, arguments or options.
#[test]
fn help_matches_golden_file() {
    let folder = Folder::new("help");
    let calls: [&[&str]; 10] = [
        &["--help"],
        &["-h"],
        &["help"],
        &["serve", "--help"],
        &["levels", "--help"],
        &["levels", "show", "--help"],
        &["fleet", "--help"],
        &["fleet", "publish", "--help"],
        &["state", "--help"],
        &["state", "verify", "-h"],
    ];
    golden::assert_matches(
        "help.txt",
        &calls
            .map(|words| transcript_of(&folder.0, words))
            .join("\n"),
    );
    let version = format!("coralstep {}\n", env!("CARGO_PKG_VERSION"));
    for words in ["version", "--version", "-V"] {
        assert_eq!(
            run(&folder.0, &[words]),
            (0, version.clone(), String::new()),
            "{words}"
        );
    }
}

/// Command lines, one per row, that are invalid or name something that does not exist.
const WRONG_CALLS: &str = "

fly
--fly
serve more
serve --config
serve
check
check --config nowhere.json
check --config nowhere.json --site nowhere.json
serve --config nowhere.json
levels
levels fly
levels fly --at 127.0.0.1:1
levels show
levels show more --at 127.0.0.1:1
levels show a b
levels show --at
levels show --at here
levels show --at 192.0.2.1:80
levels show --at unix:
levels show --at unix:nowhere.sock
levels show --fly
levels hold --at 127.0.0.1:1
levels hold shut --at 127.0.0.1:1
levels hold shut --for 0 --at 127.0.0.1:1
levels hold shut --for 1e6 --at 127.0.0.1:1
levels hold shut --for long --at 127.0.0.1:1
levels hold shut --for 5
levels replay
levels replay nowhere.json
levels replay nothing.json
levels replay nothing.json --site nowhere.json
levels replay nothing.json --site nothing.json
fleet
fleet --at here
fleet --at unix:nowhere.sock
fleet fly --at unix:nowhere.sock
fleet members
fleet members more --at unix:nowhere.sock
fleet members --at unix:nowhere.sock
fleet versions a b
fleet audit --time soon
fleet shut-out --at unix:nowhere.sock
fleet publish --at unix:nowhere.sock
fleet publish nowhere.json --at unix:nowhere.sock
fleet publish nothing.json --at unix:nowhere.sock
fleet publish nothing.json --pause -1 --at unix:nowhere.sock
fleet publish nothing.json --pause 86401 --at unix:nowhere.sock
fleet publish nothing.json --pause long
fleet publish nothing.json --waves a
fleet publish nothing.json --waves 0.5
fleet publish nothing.json --waves 0,1
fleet publish nothing.json --waves 0.5,0.4,1
state
state fly
state show
state show a b
state show --fly
state show nowhere
state verify nowhere
state export nowhere
state show .
state show . --json
state verify .
state export .
";

/// Guards against a changed exit code or message of usage errors.
#[test]
fn usage_errors_match_golden_file() {
    let folder = Folder::new("usage");
    folder.write("nothing.json", "nothing\n");
    let calls = WRONG_CALLS
        .lines()
        .skip(1)
        .map(|line| transcript_of(&folder.0, &words(line)));
    golden::assert_matches("usage-errors.txt", &calls.collect::<Vec<_>>().join("\n"));
}

fn words(line: &str) -> Vec<&str> {
    line.split_whitespace().collect()
}

/// Guards against changed keys or texts in the output of a replay.
#[test]
fn replay_matches_golden_file() {
    let folder = Folder::new("replay");
    let sample = |second: u64| {
        let bad = (10..40).contains(&second);
        let (hold, part) = if bad { (1.5, 0.6) } else { (0.1, 0.0) };
        format!(
            "{{\"at_ms\":{},\"hold\":{hold},\"pushed_back\":{part},\"running\":0.5,\"breaker\":0.0,\"memory\":0.2}}\n",
            second * 1_000
        )
    };
    folder.write("record.json", (0..120).map(sample).collect::<String>());
    folder.write("site.json", r#"{"levels": {"stay_ms": 5000}}"#);
    let calls = [
        "levels replay record.json",
        "levels replay record.json --json",
        "levels replay record.json --site site.json --json",
    ];
    golden::assert_matches(
        "levels-replay.txt",
        &calls
            .map(|call| transcript_of(&folder.0, &words(call)))
            .join("\n"),
    );
}

/// Guards against changed keys of `state` and changed verdicts on corrupt files.
#[test]
fn state_output_matches_golden_file() {
    let folder = Folder::new("state");
    let site =
        serde_json::json!({"state": {"folder": folder.0.join("kept"), "every_s": 1}}).to_string();
    let mut server = TestServer::with_site(&site);
    let runs = server
        .engine(0, "old 1000")
        .serve_in_background("0.5 1 0.1 3", true);
    let mut gateway = server.gateway();
    let seq = gateway.invoke("pay", &id(1), b"", &[]);
    assert!(matches!(gateway.read_reply(), Reply::Answer { seq: of, .. } if of == seq));
    server.terminate();
    assert_eq!(server.wait_for_exit().code(), Some(0));
    drop((server, runs));
    let mut text = String::new();
    for call in [
        "state show kept --json",
        "state verify kept --json",
        "state export kept",
    ] {
        let (code, out, errors) = run(&folder.0, &words(call));
        text += &format!(
            "$ coralstep {call}\nexit {code}\n{}{errors}\n",
            value_types(&out)
        );
    }
    golden::assert_matches("state-keys.txt", &text);
    std::fs::create_dir_all(folder.0.join("spoilt")).unwrap();
    folder.write("spoilt/learned.0", b"CORALST\n\x01\x09\x00later");
    folder.write("spoilt/learned.1", b"nothing that we know");
    let calls = [
        "state show spoilt",
        "state show spoilt --json",
        "state verify spoilt",
        "state verify spoilt --json",
        "state export spoilt",
    ];
    golden::assert_matches(
        "state-spoilt.txt",
        &calls
            .map(|call| transcript_of(&folder.0, &words(call)))
            .join("\n"),
    );
}
