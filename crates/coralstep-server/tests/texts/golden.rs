//! Golden files of this test: `GOLDEN_WRITE=1` rewrites them, any other run compares with them.
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Maximum time until the output of a live server matches the golden file.
const LIMIT: Duration = Duration::from_secs(90);
/// Time that a live server is left alone before its output is written to the golden file.
const SETTLE: Duration = Duration::from_secs(8);

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/texts")
        .join(name)
}

fn writes() -> bool {
    std::env::var_os("GOLDEN_WRITE").is_some()
}

/// Asserts that `text` equals the golden file, byte for byte.
pub fn assert_matches(name: &str, text: &str) {
    if writes() {
        std::fs::write(path(name), text).unwrap();
    }
    let golden = std::fs::read_to_string(path(name)).unwrap_or_else(|why| panic!("{name}: {why}"));
    let differs = golden
        .lines()
        .zip(text.lines())
        .find(|(golden, now)| golden != now);
    assert!(
        golden == text,
        "{name}: first difference (golden, now): {differs:?}\n--- now:\n{text}"
    );
}

/// Waits until `text`, which describes a live server, equals the golden file at one moment.
pub fn assert_eventually_matches(name: &str, mut text: impl FnMut() -> String) {
    if writes() {
        std::thread::sleep(SETTLE);
        std::fs::write(path(name), text()).unwrap();
    }
    let golden = std::fs::read_to_string(path(name)).unwrap_or_else(|why| panic!("{name}: {why}"));
    let start = Instant::now();
    while text() != golden && start.elapsed() < LIMIT {
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_matches(name, &text());
}
