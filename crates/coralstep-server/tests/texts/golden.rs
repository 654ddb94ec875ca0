//! Golden files of this test: `GOLDEN_WRITE=1` writes them anew, any other run compares with them.
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How long a live server may take until what it says has the expected shape.
const LIMIT: Duration = Duration::from_secs(90);
/// How long a live server is left alone before its shape is written.
const SETTLE: Duration = Duration::from_secs(8);

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/texts")
        .join(name)
}

fn writes() -> bool {
    std::env::var_os("GOLDEN_WRITE").is_some()
}

/// `text` is that of the golden file, byte for byte.
pub fn same(name: &str, text: &str) {
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

/// What `text` says of a live server becomes that of the golden file, and is so at one moment.
pub fn becomes(name: &str, mut text: impl FnMut() -> String) {
    if writes() {
        std::thread::sleep(SETTLE);
        std::fs::write(path(name), text()).unwrap();
    }
    let golden = std::fs::read_to_string(path(name)).unwrap_or_else(|why| panic!("{name}: {why}"));
    let start = Instant::now();
    while text() != golden && start.elapsed() < LIMIT {
        std::thread::sleep(Duration::from_millis(100));
    }
    same(name, &text());
}
