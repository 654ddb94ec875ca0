//! Validation of the settings before a server starts.
//!
//! Guards against decisions based on settings that are missing, of the wrong type or out of range.
use std::collections::HashSet;

use coralstep::{Idempotency, Method, SchedulerConfig};

use super::Names;
use super::error::{SettingError, ValueFault};
use super::tree::SettingsTree;

/// Maximum number of cores; a larger number is in the wrong unit.
const MAX_CORES: f64 = 65_536.0;
/// Maximum ratio of the memory of a running RPC to that of a queued one.
const MAX_RUN_FACTOR: f64 = 1e6;
/// Minimum time in nanoseconds: one tick of the scheduler.
const MIN_TIME_NS: f64 = 100_000.0;

/// Checks all settings that the scheduler requires.
pub(super) fn check(
    tree: &SettingsTree<'_>,
    config: &SchedulerConfig,
    names: &Names,
) -> Result<(), SettingError> {
    for list in ["classes", "realms"] {
        let value = tree.text(list);
        if !value.is_empty() {
            let fault = ValueFault::NotAListOfObjects;
            return Err(SettingError::invalid(list, value, fault));
        }
    }
    check_names(tree, "classes", names.methods.len())?;
    check_names(tree, "realms", names.tenants.len())?;
    for (index, method) in config.methods.iter().enumerate() {
        check_method(tree, index, method)?;
    }
    for index in 0..names.tenants.len() {
        check_range(tree, &format!("realms.{index}.quota_rps"), 0.0, f64::MAX)?;
    }
    check_range(tree, "domain.cores", 1.0, MAX_CORES)?;
    check_range(tree, "domain.memory_kb", 1.0, f64::MAX)?;
    check_range(tree, "domain.run_factor", 1.0, MAX_RUN_FACTOR)?;
    if tree.text("domain.depends_on") == "shared" {
        check_range(tree, "domain.call_share", f64::MIN_POSITIVE, f64::MAX)?;
    }
    for path in [
        "over_share_worth",
        "safety.cold_from",
        "goal.whole",
        "goal.worst_class",
        "goal.worst_tenant",
    ] {
        check_optional_range(tree, path, 0.0, 1.0)?;
    }
    check_optional_range(tree, "safety.fall_multiple", 1.0, f64::MAX)
}

fn check_method(
    tree: &SettingsTree<'_>,
    index: usize,
    method: &Method,
) -> Result<(), SettingError> {
    let path = |key: &str| format!("classes.{index}.{key}");
    for key in ["promise", "deadline"] {
        check_range(tree, &path(key), MIN_TIME_NS, f64::MAX)?;
    }
    check_range(tree, &path("worth"), 0.0, f64::MAX)?;
    check_optional_range(tree, &path("late_worth"), 0.0, 1.0)?;
    if method.idempotency == Idempotency::Keyed {
        check_range(tree, &path("window"), 1.0, f64::MAX)?;
    }
    if method.skip_value > 1.0 {
        return Err(SettingError::OutOfRange {
            path: "domain.class_skip_worth".to_owned(),
            value: method.skip_value,
            min: 0.0,
            max: 1.0,
        });
    }
    Ok(())
}

/// Checks that the entries of a list have distinct names.
fn check_names(tree: &SettingsTree<'_>, list: &str, count: usize) -> Result<(), SettingError> {
    let mut known = HashSet::new();
    for index in 0..count {
        let path = format!("{list}.{index}.name");
        let name = tree.text(&path);
        if name.is_empty() {
            return Err(SettingError::Missing { path });
        }
        if !tree.is_text(&path) {
            return Err(SettingError::invalid(&path, name, ValueFault::NotText));
        }
        if !known.insert(name) {
            return Err(SettingError::invalid(&path, name, ValueFault::Duplicate));
        }
    }
    Ok(())
}

/// Checks that a setting is present and a number from `min` to `max`.
fn check_range(
    tree: &SettingsTree<'_>,
    path: &str,
    min: f64,
    max: f64,
) -> Result<(), SettingError> {
    let path = path.to_owned();
    if !tree.contains(&path) {
        return Err(SettingError::Missing { path });
    }
    let value = tree.amount(&path)?;
    if value >= min && value <= max {
        return Ok(());
    }
    Err(SettingError::OutOfRange {
        path,
        value,
        min,
        max,
    })
}

/// Checks that a setting is absent or a number from `min` to `max`.
fn check_optional_range(
    tree: &SettingsTree<'_>,
    path: &str,
    min: f64,
    max: f64,
) -> Result<(), SettingError> {
    if tree.contains(path) {
        check_range(tree, path, min, max)
    } else {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
