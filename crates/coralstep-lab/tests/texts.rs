//! Texts of the command line that tools read stay as they are. `GOLDEN_WRITE=1` writes the golden files anew.
use std::path::PathBuf;
use std::process::Command;

/// Commands, each of which has `--help`.
const COMMANDS: [&str; 14] = [
    "",
    "demo",
    "simulate",
    "emulate",
    "load",
    "bound",
    "experiment",
    "compare",
    "search",
    "explore",
    "fleet",
    "report",
    "worlds",
    "schema",
];

/// Each line a call that is not understood, or that names what is not there.
const WRONG_CALLS: &str = "

fly
--fly
simulate
emulate
bound
report
experiment
search
compare
compare a b
simulate nowhere
simulate nowhere.json
report nowhere --out page.html
load
load fly
load thrift
load thrift --at here
load thrift --at 127.0.0.1:1 --rate 5
load thrift --at 127.0.0.1:1 --rate -1
load thrift --method read=much
simulate x --days 0
simulate x --threads 1025
simulate x --policy best
simulate x --seed soon
explore --depth 41
explore --states 0
explore --length 0
search x --tries 0
load thrift --seconds 0
load thrift --connections 0
load thrift --deadline-ms 0
load thrift --body 8193
emulate x --wire fly=1
fleet
fleet nowhere
one two three four five
";

fn said(words: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_coralstep-lab"))
        .args(words)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    let (code, out, errors) = (
        output.status.code().unwrap(),
        text(output.stdout),
        text(output.stderr),
    );
    let call = [&["$ coralstep-lab"], words].concat().join(" ");
    format!("{call}\nexit {code}\n{out}{errors}\n")
}

fn same(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, text).unwrap();
    }
    let golden = std::fs::read_to_string(&path).unwrap();
    let differs = golden
        .lines()
        .zip(text.lines())
        .find(|(golden, now)| golden != now);
    assert!(
        golden == text,
        "{name}: first difference (golden, now): {differs:?}\n--- now:\n{text}"
    );
}

/// Guards against help that differs between commands, or names other words or options.
#[test]
fn help_of_each_command_stays() {
    let help = said(&["--help"]);
    let text = help.split_once('\n').unwrap().1;
    for command in COMMANDS {
        let words: Vec<&str> = command.split_whitespace().chain(["--help"]).collect();
        assert_eq!(said(&words).split_once('\n').unwrap().1, text, "{command}");
    }
    same("help.txt", text);
}

/// Guards against usage errors with another exit code or message.
#[test]
fn usage_errors_stay() {
    let calls = WRONG_CALLS.lines().skip(1);
    same(
        "usage-errors.txt",
        &calls
            .map(|line| said(&line.split_whitespace().collect::<Vec<_>>()))
            .collect::<String>(),
    );
}

/// Guards against schemas or lists of worlds that editors and scripts read differently.
#[test]
fn schemas_and_worlds_stay() {
    for (word, name) in [
        ("schema", "schema.txt"),
        ("fleet-schema", "fleet-schema.txt"),
        ("worlds", "worlds.txt"),
    ] {
        same(name, &said(&[word]));
    }
}
