//! Compares the adapter's replies to fixed input with a golden file. `GOLDEN_WRITE=1` rewrites the file.
use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

const BOOT: &str = "BOOT server=server/3 entropy=7 az=a classes.count=3 classes.0.name=read \
    classes.0.promise=1000000000 classes.0.deadline=4000000000 classes.0.worth=1 \
    classes.1.name=save classes.1.idempotency=by_key classes.1.promise=1000000000 \
    classes.1.deadline=4000000000 classes.1.window=5000000000 classes.1.worth=2 \
    classes.2.name=book classes.2.idempotency=once classes.2.promise=1000000000 \
    classes.2.deadline=2000000000 classes.2.worth=3 domain.cores=2 domain.depends_on=tier \
    domain.gauges=sockets,cpu_busy domain.key_kb=10 domain.memory_kb=10000 domain.run_factor=8 \
    domain.advert=weight domain.callers=3 domain.preemption=drop safety.fall_multiple=5 group_size=4 \
    realms.count=1 realms.0.name=north realms.0.quota_rps=8";

/// Batches for server 3: time in milliseconds and events.
const BATCHES: &[(u64, &[&str])] = &[
    (1_000, &[]),
    (
        1_002,
        &[
            "INBOUND handle=1 type=read user_group=north footprint=9.5 prior=0",
            "WANTS_CALL handle=1",
        ],
    ),
    (
        1_020,
        &[
            "REMINDER name=beat load=3,0.5",
            "CALLED handle=1 state_code=200 latency=15000000",
        ],
    ),
    (
        1_030,
        &[
            "SETTLED handle=1 state_code=200 latency=28000000",
            "INBOUND handle=2 type=save footprint=9",
        ],
    ),
    (
        1_040,
        &[
            "INBOUND handle=3 type=save footprint=9 prior=2",
            "INBOUND handle=4 type=save footprint=9 prior=99",
        ],
    ),
    (
        1_050,
        &[
            "SETTLED handle=2 state_code=200",
            "INBOUND handle=5 type=save footprint=9 prior=2",
        ],
    ),
    (
        1_060,
        &[
            "INBOUND handle=6 type=book footprint=50 due=1500000000",
            "ABORTED handle=6",
        ],
    ),
    (
        1_070,
        &[
            "INBOUND handle=7 type=read footprint=9",
            "SETTLED handle=7 state_code=502",
        ],
    ),
    (
        1_080,
        &[
            "INBOUND handle=8 type=read footprint=9",
            "WANTS_CALL handle=8",
        ],
    ),
    (
        1_090,
        &[
            "CALLED handle=8 state_code=429 latency=5000000",
            "SETTLED handle=8 state_code=408",
        ],
    ),
    (
        1_100,
        &[
            "INBOUND handle=9 type=read footprint=9000",
            "INBOUND handle=10 type=read footprint=9000",
        ],
    ),
    (
        1_110,
        &[
            "INBOUND handle=11 type=book footprint=9 user_group=nobody",
            "REMINDER name=beat load=,",
        ],
    ),
    (1_300, &["REMINDER name=beat load=200,2.0"]),
    (
        1_400,
        &[
            "WIND_DOWN due=3000000000",
            "INBOUND handle=12 type=read footprint=9",
        ],
    ),
    (2_990, &["REMINDER name=beat load=200,2.0"]),
    (3_100, &["REMINDER name=beat load=1,0.1", "HALT"]),
];

/// Invalid input that ends the adapter.
const INVALID_INPUTS: [&str; 9] = [
    "EOF_BATCH\n",
    "MARK\n",
    "MARK ts=x\n",
    "MARK ts=5\n",
    "MARK ts=5\nEOF_BATCH\nMARK ts=4\n",
    "MARK ts=5\nHALT server=server/3\n",
    "MARK ts=5\nHALT server=other\n",
    "MARK ts=5\nBOOT server=server/3 domain.advert=loud\n",
    "MARK ts=5\nBOOT server=server/3 domain.cores=two\n",
];

/// Runs the adapter and returns its exit code, replies and errors.
fn replies(input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_coralstep-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    let output = child.wait_with_output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    format!(
        "exit {}\n{}{}",
        output.status.code().unwrap(),
        text(output.stdout),
        text(output.stderr)
    )
}

fn batch_input() -> String {
    let mut input = format!("MARK ts=1000000000\n{BOOT}\nEOF_BATCH\n");
    for (ms, events) in BATCHES {
        input += &format!("MARK ts={}\n", ms * 1_000_000);
        for event in *events {
            let (message, rest) = event.split_once(' ').unwrap_or((event, ""));
            input += &format!("{message} server=server/3 {rest}\n");
        }
        input += "EOF_BATCH\n";
    }
    input
}

/// Guards against changed replies, errors or exit codes that a simulator depends on.
#[test]
fn replies_to_fixed_input_match_golden_file() {
    let mut text = format!("> a day of server 3\n{}", replies(&batch_input()));
    INVALID_INPUTS
        .iter()
        .for_each(|input| text += &format!("\n> {input:?}\n{}", replies(input)));
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/replies.txt");
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, &text).unwrap();
    }
    let golden = std::fs::read_to_string(&path).unwrap();
    let differs = golden
        .lines()
        .zip(text.lines())
        .find(|(golden, now)| golden != now);
    assert!(
        golden == text,
        "first difference (golden, now): {differs:?}\n--- now:\n{text}"
    );
}
