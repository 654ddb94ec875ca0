//! Settings as pairs of path and value, such as `classes.0.name`. Lists of scalars are joined by commas.
use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

use coralstep::Span;
use serde_json::Value;

use super::error::{SettingError, ValueFault};
use super::value::{parse, parse_amount, parse_flag};

/// Times in the settings are in nanoseconds.
const NS_PER_TICK: u64 = 100_000;

/// Values by path. An absent path reads as an empty string, 0 or false.
#[derive(Default)]
pub(super) struct SettingsTree<'a> {
    values: HashMap<Cow<'a, str>, Cow<'a, str>>,
    /// Paths whose value is known to be a string; such a value is not accepted as a number.
    texts: HashSet<String>,
}

impl<'a> SettingsTree<'a> {
    pub(super) fn from_pairs(pairs: impl Iterator<Item = (&'a str, &'a str)>) -> SettingsTree<'a> {
        SettingsTree {
            values: pairs
                .map(|(path, value)| (path.into(), value.into()))
                .collect(),
            texts: HashSet::new(),
        }
    }

    pub(super) fn from_json(settings: &Value) -> SettingsTree<'static> {
        let mut tree = SettingsTree::default();
        tree.add(String::new(), settings);
        tree
    }

    pub(super) fn text(&self, path: &str) -> &str {
        self.values.get(path).map_or("", |value| value)
    }

    pub(super) fn contains(&self, path: &str) -> bool {
        self.values.contains_key(path)
    }

    /// Whether the value is known to be a string.
    pub(super) fn is_text(&self, path: &str) -> bool {
        self.texts.contains(path)
    }

    pub(super) fn amount(&self, path: &str) -> Result<f64, SettingError> {
        self.parsed(path, 0.0, parse_amount)
    }

    pub(super) fn flag(&self, path: &str) -> Result<bool, SettingError> {
        self.parsed(path, false, parse_flag)
    }

    pub(super) fn integer(&self, path: &str) -> Result<u64, SettingError> {
        self.parsed(path, 0, parse)
    }

    /// Reads a time in nanoseconds, rounded down to whole ticks.
    pub(super) fn span_down(&self, path: &str) -> Result<Span, SettingError> {
        Ok(Span(self.integer(path)? / NS_PER_TICK))
    }

    /// Reads a time in nanoseconds, rounded up to whole ticks.
    pub(super) fn span_up(&self, path: &str) -> Result<Span, SettingError> {
        Ok(Span(self.integer(path)?.div_ceil(NS_PER_TICK)))
    }

    /// Returns entry `index` of a comma-separated list, unless it is empty.
    pub(super) fn list_entry(&self, path: &str, index: usize) -> Option<&str> {
        self.text(path)
            .split(',')
            .nth(index)
            .filter(|value| !value.is_empty())
    }

    /// Parses a value, or returns `default` if it is absent. Rejects a number that is written as a string.
    fn parsed<T>(
        &self,
        path: &str,
        default: T,
        parse: impl Fn(&str, &str) -> Result<T, SettingError>,
    ) -> Result<T, SettingError> {
        let Some(value) = self.values.get(path) else {
            return Ok(default);
        };
        let parsed = parse(path, value)?;
        if self.is_text(path) {
            Err(SettingError::invalid(path, value, ValueFault::Text))
        } else {
            Ok(parsed)
        }
    }
}

impl SettingsTree<'static> {
    /// Adds `value` and all values nested in it.
    fn add(&mut self, path: String, value: &Value) {
        match value {
            Value::Null => {}
            Value::Object(members) => {
                for (key, value) in members {
                    self.add(join(&path, key), value);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                let count = items.len().to_string();
                self.values
                    .insert(join(&path, "count").into(), count.into());
                for (index, value) in items.iter().enumerate() {
                    self.add(join(&path, &index.to_string()), value);
                }
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(list_item).collect();
                self.values.insert(path.into(), items.join(",").into());
            }
            value => {
                if value.is_string() {
                    self.texts.insert(path.clone());
                }
                self.values.insert(path.into(), plain_text(value).into());
            }
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

/// Converts an item of a list to text, with the list separators replaced.
fn list_item(value: &Value) -> String {
    plain_text(value).replace([',', ' '], "_")
}
