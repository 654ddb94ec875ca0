//! What a server is told at its start, in coralstep's words and units.
//!
//! Settings are paths and values: the simulator's wire writes them so, and JSON is flattened to the same paths
//! (`classes.0.name`; lists of plain values joined by commas). Errors name the path that is at fault.
use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

use coralstep::{
    Dependency, GoalWeights, Idempotency, LoadReportKind, Method, Preemption, SchedulerConfig, Span,
};
use serde_json::Value;

mod check;
pub mod site;
pub mod starves;
mod value;
pub use value::{amount, flag, parse};

/// Settings state times in nanoseconds.
const NS_PER_TICK: u64 = 100_000;

/// Names whose order other messages go by.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// This server.
    pub instance: String,
    pub methods: Vec<String>,
    /// Of each method: whether it calls, and its deadline in milliseconds.
    pub calls: Vec<bool>,
    pub deadlines_ms: Vec<u64>,
    pub tenants: Vec<String>,
    pub gauges: Vec<String>,
}

/// Paths and what they hold; what is unknown is never asked for.
struct Conf<'a> {
    values: HashMap<Cow<'a, str>, Cow<'a, str>>,
    /// Paths that hold text, where that is known: a number written as text is not one.
    texts: HashSet<String>,
}

impl Conf<'_> {
    fn text(&self, path: &str) -> &str {
        self.values.get(path).map_or("", |value| value)
    }

    fn has(&self, path: &str) -> bool {
        self.values.contains_key(path)
    }

    /// What stands there, as `read` has it, which takes text for what the text says; a number that is written as text is at fault.
    fn plain<T>(
        &self,
        path: &str,
        absent: T,
        read: impl Fn(&str, &str) -> Result<T, String>,
    ) -> Result<T, String> {
        let Some(value) = self.values.get(path) else {
            return Ok(absent);
        };
        let read = read(path, value)?;
        if self.texts.contains(path) {
            Err(format!("{path}={value} is text"))
        } else {
            Ok(read)
        }
    }

    fn amount(&self, path: &str) -> Result<f64, String> {
        self.plain(path, 0.0, amount)
    }

    fn flag(&self, path: &str) -> Result<bool, String> {
        self.plain(path, false, flag)
    }

    fn ns(&self, path: &str) -> Result<u64, String> {
        self.plain(path, 0, parse)
    }

    fn down(&self, path: &str) -> Result<Span, String> {
        Ok(Span(self.ns(path)? / NS_PER_TICK))
    }

    fn up(&self, path: &str) -> Result<Span, String> {
        Ok(Span(self.ns(path)?.div_ceil(NS_PER_TICK)))
    }

    /// The value that a comma list states for one class.
    fn of_class(&self, path: &str, index: usize) -> Option<&str> {
        self.text(path)
            .split(',')
            .nth(index)
            .filter(|value| !value.is_empty())
    }

    fn method(&self, index: usize, calls_below: bool) -> Result<Method, String> {
        let at = |key: &str| format!("classes.{index}.{key}");
        let effect = match self.text(&at("idempotency")) {
            "repeatable" | "" => Idempotency::Idempotent,
            "by_key" => Idempotency::Keyed,
            "once" => Idempotency::NonIdempotent,
            other => return Err(format!("{}={other} is unknown", at("idempotency"))),
        };
        let calls = match self.of_class("domain.calls_by_class", index) {
            Some(value) => flag("domain.calls_by_class", value)?,
            None => true,
        };
        let skip = match self.of_class("domain.class_skip_worth", index) {
            Some(value) => amount("domain.class_skip_worth", value)?,
            None => 0.0,
        };
        Ok(Method {
            idempotency: effect,
            latency_objective: self.down(&at("promise"))?,
            deadline: self.down(&at("deadline"))?,
            retry_window: self.up(&at("window"))?,
            priority_weight: self.amount(&at("worth"))?,
            late_value: self.amount(&at("late_worth"))?,
            skip_value: skip,
            calls: calls && calls_below,
        })
    }
}

/// From the paths and values of a line.
pub fn from_pairs<'a>(
    pairs: impl Iterator<Item = (&'a str, &'a str)>,
) -> Result<(SchedulerConfig, Names), String> {
    let values = pairs
        .map(|(path, value)| (path.into(), value.into()))
        .collect();
    read(&Conf {
        values,
        texts: HashSet::new(),
    })
}

/// From nested JSON of the same names and units. Guards against settings that are missing, of the wrong type or out of range, without
/// which no decision is sound; on the simulator's wire all of them are there.
pub fn from_json(settings: &Value) -> Result<(SchedulerConfig, Names), String> {
    if !settings.is_object() {
        return Err("settings: not an object".to_owned());
    }
    let mut conf = Conf {
        values: HashMap::new(),
        texts: HashSet::new(),
    };
    flatten(String::new(), settings, &mut conf);
    let (terms, names) = read(&conf)?;
    check::check(&conf, &terms, &names)?;
    Ok((terms, names))
}

fn flatten(path: String, value: &Value, conf: &mut Conf<'static>) {
    let below = |key: &str| {
        if path.is_empty() {
            key.to_owned()
        } else {
            format!("{path}.{key}")
        }
    };
    let plain = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    };
    match value {
        Value::Object(members) => members
            .iter()
            .for_each(|(key, value)| flatten(below(key), value, conf)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            conf.values
                .insert(below("count").into(), items.len().to_string().into());
            let each = items.iter().enumerate();
            each.for_each(|(index, value)| flatten(below(&index.to_string()), value, conf));
        }
        Value::Array(items) => {
            let items: Vec<String> = items
                .iter()
                .map(|item| plain(item).replace([',', ' '], "_"))
                .collect();
            conf.values.insert(path.into(), items.join(",").into());
        }
        Value::Null => {}
        value => {
            if value.is_string() {
                conf.texts.insert(path.clone());
            }
            conf.values.insert(path.into(), plain(value).into());
        }
    }
}

fn read(conf: &Conf) -> Result<(SchedulerConfig, Names), String> {
    let below = match conf.text("domain.depends_on") {
        "shared" => Dependency::Shared(conf.amount("domain.call_share")?),
        "tier" => Dependency::Tier,
        "off" | "" => Dependency::None,
        other => return Err(format!("domain.depends_on={other} is unknown")),
    };
    let advert = match conf.text("domain.advert") {
        "level" => LoadReportKind::Threshold,
        "credit" => LoadReportKind::Credit,
        "weight" => LoadReportKind::Weight,
        "off" | "" => LoadReportKind::Off,
        other => return Err(format!("domain.advert={other} is unknown")),
    };
    let preemption = match conf.text("domain.preemption") {
        "drop" => Preemption::Cancel,
        "pause" => Preemption::Pause,
        "off" | "" => Preemption::Off,
        other => return Err(format!("domain.preemption={other} is unknown")),
    };
    // Each RPC that carries its due time is decided by it, each other by its method's deadline, whatever is said here.
    conf.flag("domain.passes_deadline")?;
    // It goes to callers alone; what is unknown there is a setting of another program.
    if !matches!(
        conf.text("feedback.how"),
        "inline" | "on_probe" | "off" | ""
    ) {
        return Err(format!(
            "feedback.how={} is unknown",
            conf.text("feedback.how")
        ));
    }
    let mut names = Names {
        gauges: conf
            .text("domain.gauges")
            .split(',')
            .map(str::to_owned)
            .collect(),
        ..Names::default()
    };
    let mut terms = SchedulerConfig {
        fleet_size: conf.amount("group_size")? as u32,
        over_quota_weight: conf.amount("over_share_worth")?,
        cores: conf.amount("domain.cores")? as u32,
        memory_kb: conf.amount("domain.memory_kb")?,
        run_memory_factor: conf.amount("domain.run_factor")?,
        key_kb: conf.amount("domain.key_kb")?,
        warming_up: conf.flag("domain.fresh_start")?,
        cold_speed: conf.amount("safety.cold_from")?,
        warm_up_time: conf.up("safety.warm_after")?,
        max_started_per_core: conf.amount("safety.fall_multiple")?,
        drain_grace: conf.down("safety.drain_grace")?,
        dependency: below,
        abandoned_call_time: conf.up("domain.linger")?,
        callers: conf.amount("domain.callers")? as u32,
        load_report: advert,
        preemption,
        max_idle_time: conf.down("domain.caller_idle")?,
        weight_per_work: conf.text("worth_by") == "work",
        goal: GoalWeights {
            overall: conf.amount("goal.whole")?,
            worst_method: conf.amount("goal.worst_class")?,
            worst_tenant: conf.amount("goal.worst_tenant")?,
        },
        ..SchedulerConfig::default()
    };
    for index in 0..conf.ns("classes.count")? as usize {
        names
            .methods
            .push(conf.text(&format!("classes.{index}.name")).to_owned());
        let method = conf.method(index, below != Dependency::None)?;
        names.calls.push(method.calls);
        names.deadlines_ms.push(method.deadline.0.div_ceil(10));
        terms.methods.push(method);
    }
    for index in 0..conf.ns("realms.count")? as usize {
        names
            .tenants
            .push(conf.text(&format!("realms.{index}.name")).to_owned());
        terms
            .tenant_quotas
            .push(conf.amount(&format!("realms.{index}.quota_rps"))?);
    }
    Ok((terms, names))
}

#[cfg(test)]
mod tests;
