//! Settings as paths and values: `classes.0.name`; lists of plain values are joined by commas.
use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

use coralstep::Span;
use serde_json::Value;

use super::error::{SettingError, ValueFault};
use super::value::{parse, parse_amount, parse_flag};

/// Settings state times in nanoseconds.
const NS_PER_TICK: u64 = 100_000;

/// Paths and the values they hold. A path that is absent holds an empty text, 0 or false.
#[derive(Default)]
pub(super) struct SettingsTree<'a> {
    values: HashMap<Cow<'a, str>, Cow<'a, str>>,
    /// Paths that hold text, where that is known: a number written as text is not one.
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

    pub(super) fn has(&self, path: &str) -> bool {
        self.values.contains_key(path)
    }

    /// Whether the value is known to be text.
    pub(super) fn is_text(&self, path: &str) -> bool {
        self.texts.contains(path)
    }

    pub(super) fn amount(&self, path: &str) -> Result<f64, SettingError> {
        self.parsed(path, 0.0, parse_amount)
    }

    pub(super) fn flag(&self, path: &str) -> Result<bool, SettingError> {
        self.parsed(path, false, parse_flag)
    }

    pub(super) fn whole(&self, path: &str) -> Result<u64, SettingError> {
        self.parsed(path, 0, parse)
    }

    /// A time in nanoseconds, rounded down to whole ticks.
    pub(super) fn span_down(&self, path: &str) -> Result<Span, SettingError> {
        Ok(Span(self.whole(path)? / NS_PER_TICK))
    }

    /// A time in nanoseconds, rounded up to whole ticks.
    pub(super) fn span_up(&self, path: &str) -> Result<Span, SettingError> {
        Ok(Span(self.whole(path)?.div_ceil(NS_PER_TICK)))
    }

    /// The entry `index` of a comma list.
    pub(super) fn list_entry(&self, path: &str, index: usize) -> Option<&str> {
        self.text(path)
            .split(',')
            .nth(index)
            .filter(|value| !value.is_empty())
    }

    /// The value as `parse` reads it, or `absent`; refuses a number that is written as text.
    fn parsed<T>(
        &self,
        path: &str,
        absent: T,
        parse: impl Fn(&str, &str) -> Result<T, SettingError>,
    ) -> Result<T, SettingError> {
        let Some(value) = self.values.get(path) else {
            return Ok(absent);
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
    /// Adds `value` and all that is below it.
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

/// The separators of a list mean nothing inside an item.
fn list_item(value: &Value) -> String {
    plain_text(value).replace([',', ' '], "_")
}
