//! The state directory of a fleet member, read by `coralstep state` and by its bytes.
use std::path::Path;
use std::process::Command;

use serde_json::Value;

/// What `program` reads from the newest good snapshot in `directory`; nothing where there is none.
pub fn export(program: &Path, directory: &Path) -> Option<Value> {
    let output = Command::new(program)
        .args(["state", "export"])
        .arg(directory)
        .output()
        .ok()?;
    serde_json::from_slice(&output.stdout).ok()
}

/// Whether an export holds RPCs that were asked for by `tenant`.
pub fn has_learned(export: &Value, tenant: &str) -> bool {
    let mut tenants = export["tenants"].as_array().into_iter().flatten();
    // Each is its name, then the weights of what was asked and of what ended well.
    tenants.any(|entry| entry[0] == tenant && entry[1][0].as_f64().is_some_and(|asked| asked > 0.0))
}

/// The number of the newest snapshot in `directory` that `program` believes.
pub fn newest(program: &Path, directory: &Path) -> Option<u64> {
    let output = Command::new(program)
        .args(["state", "show"])
        .arg(directory)
        .arg("--json")
        .output()
        .ok()?;
    let lines = String::from_utf8(output.stdout).ok()?;
    lines
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok()?["number"].as_u64())
        .max()
}

/// Whether any fleet record in `directory` holds the text of a version.
pub fn records_version(directory: &Path, text: &str) -> bool {
    let Ok(files) = std::fs::read_dir(directory.join("fleet")) else {
        return false;
    };
    let records = files
        .flatten()
        .filter_map(|file| std::fs::read(file.path()).ok());
    records.into_iter().any(|bytes| {
        bytes
            .windows(text.len())
            .any(|window| window == text.as_bytes())
    })
}
