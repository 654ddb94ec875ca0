//! What settings must hold before a server starts on them. Messages name the path that is at fault.
use std::collections::HashSet;

use coralstep::{Idempotency, SchedulerConfig};

use crate::{Conf, Names};

/// Cores, and what a running RPC takes of the memory of a held one, at the most: beyond them a figure is in the wrong unit.
const CORES_MOST: f64 = 65_536.0;
const FACTOR_MOST: f64 = 1e6;

/// It is there, a number, and from `least` to `most`.
fn within(conf: &Conf, path: &str, least: f64, most: f64) -> Result<(), String> {
    if !conf.has(path) {
        return Err(format!("{path}: missing"));
    }
    let amount = conf.amount(path)?;
    if amount >= least && amount <= most {
        Ok(())
    } else {
        Err(format!("{path}={amount} is not from {least} to {most}"))
    }
}

/// The same, where it is there.
fn within_if_there(conf: &Conf, path: &str, least: f64, most: f64) -> Result<(), String> {
    if !conf.has(path) {
        Ok(())
    } else {
        within(conf, path, least, most)
    }
}

/// Each is there, is text, and is there once.
fn named(conf: &Conf, list: &str, count: usize) -> Result<(), String> {
    let mut known = HashSet::new();
    for index in 0..count {
        let path = format!("{list}.{index}.name");
        let name = conf.text(&path);
        if name.is_empty() {
            return Err(format!("{path}: missing"));
        }
        if !conf.texts.contains(&path) {
            return Err(format!("{path}={name} is no text"));
        }
        if !known.insert(name) {
            return Err(format!("{path}={name} is there twice"));
        }
    }
    Ok(())
}

pub(crate) fn check(conf: &Conf, terms: &SchedulerConfig, names: &Names) -> Result<(), String> {
    for list in ["classes", "realms"] {
        if !conf.text(list).is_empty() {
            return Err(format!("{list}={} is no list of objects", conf.text(list)));
        }
    }
    named(conf, "classes", names.methods.len())?;
    named(conf, "realms", names.tenants.len())?;
    for (index, method) in terms.methods.iter().enumerate() {
        let at = |key: &str| format!("classes.{index}.{key}");
        // A tick at the least.
        for key in ["promise", "deadline"] {
            within(conf, &at(key), 100_000.0, f64::MAX)?;
        }
        within(conf, &at("worth"), 0.0, f64::MAX)?;
        within_if_there(conf, &at("late_worth"), 0.0, 1.0)?;
        if method.idempotency == Idempotency::Keyed {
            within(conf, &at("window"), 1.0, f64::MAX)?;
        }
        if method.skip_value > 1.0 {
            return Err(format!(
                "domain.class_skip_worth={} is not from 0 to 1",
                method.skip_value
            ));
        }
    }
    for index in 0..names.tenants.len() {
        within(conf, &format!("realms.{index}.quota_rps"), 0.0, f64::MAX)?;
    }
    within(conf, "domain.cores", 1.0, CORES_MOST)?;
    within(conf, "domain.memory_kb", 1.0, f64::MAX)?;
    within(conf, "domain.run_factor", 1.0, FACTOR_MOST)?;
    if conf.text("domain.depends_on") == "shared" {
        within(conf, "domain.call_share", f64::MIN_POSITIVE, f64::MAX)?;
    }
    for path in [
        "over_share_worth",
        "safety.cold_from",
        "goal.whole",
        "goal.worst_class",
        "goal.worst_tenant",
    ] {
        within_if_there(conf, path, 0.0, 1.0)?;
    }
    within_if_there(conf, "safety.fall_multiple", 1.0, f64::MAX)
}

#[cfg(test)]
mod tests;
