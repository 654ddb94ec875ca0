//! Reads the state directory of a fleet member with `coralstep state`, and its fleet records as raw bytes.
use std::path::Path;
use std::process::Command;

use serde_json::Value;

/// Returns what `program` exports from the newest valid snapshot in `directory`; `None` if there is none.
pub fn export(program: &Path, directory: &Path) -> Option<Value> {
    let output = Command::new(program)
        .args(["state", "export"])
        .arg(directory)
        .output()
        .ok()?;
    serde_json::from_slice(&output.stdout).ok()
}

/// Whether an export contains demand of `tenant`.
pub fn has_learned(export: &Value, tenant: &str) -> bool {
    let mut tenants = export["tenants"].as_array().into_iter().flatten();
    // Each entry is the name of the tenant, then the weights of its demand and of its successful RPCs.
    tenants.any(|entry| entry[0] == tenant && entry[1][0].as_f64().is_some_and(|asked| asked > 0.0))
}

/// Returns the number of the newest snapshot in `directory` that `program` accepts as valid.
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

/// Whether any fleet record in `directory` contains the text of a version.
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
