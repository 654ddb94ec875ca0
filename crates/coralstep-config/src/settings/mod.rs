//! Parses the deployment settings into a [`SchedulerConfig`].
//!
//! Only this module maps the platform's terms (`classes`, `promise`, `worth`, `realms`) to those of the code.
mod check;
mod error;
mod tree;
mod value;

use coralstep::{
    Dependency, GoalWeights, Idempotency, LoadReportKind, Method, Preemption, SchedulerConfig,
};
use serde_json::Value;

use tree::SettingsTree;

pub use error::{SettingError, ValueFault};
pub use value::{parse, parse_amount, parse_flag};

/// Scheduler ticks per millisecond.
const TICKS_PER_MS: u64 = 10;

/// Names from the settings. Other code refers to them by their index in these lists.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Name of this server.
    pub instance: String,
    /// Names of the methods.
    pub methods: Vec<String>,
    /// Whether each method calls the dependency.
    pub calls_dependency: Vec<bool>,
    /// Deadline of each method in milliseconds, rounded up.
    pub deadlines_ms: Vec<u64>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the gauges, in the order of their readings.
    pub gauges: Vec<String>,
}

/// Parses settings from pairs of path and value. Missing settings take their default; unknown ones are ignored.
///
/// # Errors
/// Returns the first value that has the wrong type or is unknown.
pub fn from_pairs<'a>(
    pairs: impl Iterator<Item = (&'a str, &'a str)>,
) -> Result<(SchedulerConfig, Names), SettingError> {
    read(&SettingsTree::from_pairs(pairs))
}

/// Parses settings from nested JSON with the same names and units, and checks that all required settings are present and in
/// range.
///
/// # Errors
/// Returns the first value that is missing, has the wrong type, is unknown or out of range.
pub fn from_json(settings: &Value) -> Result<(SchedulerConfig, Names), SettingError> {
    if !settings.is_object() {
        return Err(SettingError::NotAnObject);
    }
    let tree = SettingsTree::from_json(settings);
    let (config, names) = read(&tree)?;
    check::check(&tree, &config, &names)?;
    Ok((config, names))
}

fn read(tree: &SettingsTree<'_>) -> Result<(SchedulerConfig, Names), SettingError> {
    let mut config = read_config(tree)?;
    let mut names = Names {
        gauges: tree
            .text("domain.gauges")
            .split(',')
            .map(str::to_owned)
            .collect(),
        ..Names::default()
    };
    for index in 0..tree.integer("classes.count")? as usize {
        let name = tree.text(&format!("classes.{index}.name"));
        let method = read_method(tree, index, config.dependency != Dependency::None)?;
        names.methods.push(name.to_owned());
        names.calls_dependency.push(method.calls);
        names
            .deadlines_ms
            .push(method.deadline.0.div_ceil(TICKS_PER_MS));
        config.methods.push(method);
    }
    for index in 0..tree.integer("realms.count")? as usize {
        let name = tree.text(&format!("realms.{index}.name"));
        let quota = tree.amount(&format!("realms.{index}.quota_rps"))?;
        names.tenants.push(name.to_owned());
        config.tenant_quotas.push(quota);
    }
    Ok((config, names))
}

/// Reads everything but methods and tenants.
fn read_config(tree: &SettingsTree<'_>) -> Result<SchedulerConfig, SettingError> {
    let dependency = read_dependency(tree)?;
    let load_report = read_load_report(tree)?;
    let preemption = read_preemption(tree)?;
    check_unused(tree)?;
    Ok(SchedulerConfig {
        fleet_size: tree.amount("group_size")? as u32,
        over_quota_weight: tree.amount("over_share_worth")?,
        cores: tree.amount("domain.cores")? as u32,
        memory_kb: tree.amount("domain.memory_kb")?,
        run_memory_factor: tree.amount("domain.run_factor")?,
        key_kb: tree.amount("domain.key_kb")?,
        warming_up: tree.flag("domain.fresh_start")?,
        cold_speed: tree.amount("safety.cold_from")?,
        warm_up_time: tree.span_up("safety.warm_after")?,
        max_started_per_core: tree.amount("safety.fall_multiple")?,
        drain_grace: tree.span_down("safety.drain_grace")?,
        dependency,
        abandoned_call_time: tree.span_up("domain.linger")?,
        callers: tree.amount("domain.callers")? as u32,
        load_report,
        preemption,
        max_idle_time: tree.span_down("domain.caller_idle")?,
        weight_per_work: tree.text("worth_by") == "work",
        goal: GoalWeights {
            overall: tree.amount("goal.whole")?,
            worst_method: tree.amount("goal.worst_class")?,
            worst_tenant: tree.amount("goal.worst_tenant")?,
        },
        ..SchedulerConfig::default()
    })
}

fn read_dependency(tree: &SettingsTree<'_>) -> Result<Dependency, SettingError> {
    const PATH: &str = "domain.depends_on";
    match tree.text(PATH) {
        "shared" => Ok(Dependency::Shared(tree.amount("domain.call_share")?)),
        "tier" => Ok(Dependency::Tier),
        "off" | "" => Ok(Dependency::None),
        other => Err(SettingError::invalid(PATH, other, ValueFault::Unknown)),
    }
}

fn read_load_report(tree: &SettingsTree<'_>) -> Result<LoadReportKind, SettingError> {
    const PATH: &str = "domain.advert";
    match tree.text(PATH) {
        "level" => Ok(LoadReportKind::Threshold),
        "credit" => Ok(LoadReportKind::Credit),
        "weight" => Ok(LoadReportKind::Weight),
        "off" | "" => Ok(LoadReportKind::Off),
        other => Err(SettingError::invalid(PATH, other, ValueFault::Unknown)),
    }
}

fn read_preemption(tree: &SettingsTree<'_>) -> Result<Preemption, SettingError> {
    const PATH: &str = "domain.preemption";
    match tree.text(PATH) {
        "drop" => Ok(Preemption::Cancel),
        "pause" => Ok(Preemption::Pause),
        "off" | "" => Ok(Preemption::Off),
        other => Err(SettingError::invalid(PATH, other, ValueFault::Unknown)),
    }
}

/// Validates settings that are not used: the deadline of a request is honoured whatever `passes_deadline` says, and
/// `feedback.how` concerns only callers.
fn check_unused(tree: &SettingsTree<'_>) -> Result<(), SettingError> {
    const FEEDBACK: &str = "feedback.how";
    tree.flag("domain.passes_deadline")?;
    match tree.text(FEEDBACK) {
        "inline" | "on_probe" | "off" | "" => Ok(()),
        other => Err(SettingError::invalid(FEEDBACK, other, ValueFault::Unknown)),
    }
}

fn read_method(
    tree: &SettingsTree<'_>,
    index: usize,
    has_dependency: bool,
) -> Result<Method, SettingError> {
    const CALLS: &str = "domain.calls_by_class";
    const SKIP_VALUE: &str = "domain.class_skip_worth";
    let path = |key: &str| format!("classes.{index}.{key}");
    let idempotency = match tree.text(&path("idempotency")) {
        "repeatable" | "" => Idempotency::Idempotent,
        "by_key" => Idempotency::Keyed,
        "once" => Idempotency::NonIdempotent,
        other => {
            let path = path("idempotency");
            return Err(SettingError::invalid(&path, other, ValueFault::Unknown));
        }
    };
    let calls = match tree.list_entry(CALLS, index) {
        Some(value) => parse_flag(CALLS, value)?,
        None => true,
    };
    let skip_value = match tree.list_entry(SKIP_VALUE, index) {
        Some(value) => parse_amount(SKIP_VALUE, value)?,
        None => 0.0,
    };
    Ok(Method {
        idempotency,
        latency_objective: tree.span_down(&path("promise"))?,
        deadline: tree.span_down(&path("deadline"))?,
        retry_window: tree.span_up(&path("window"))?,
        priority_weight: tree.amount(&path("worth"))?,
        late_value: tree.amount(&path("late_worth"))?,
        skip_value,
        calls: calls && has_dependency,
    })
}

#[cfg(test)]
mod tests;
