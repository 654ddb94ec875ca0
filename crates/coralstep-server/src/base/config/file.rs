//! Reads values from the configuration file.
use std::net::SocketAddr;

use coralstep::SchedulerConfig;
use serde_json::Value;

use super::error::InvalidConfig;
use crate::base::limits::OWN_DESCRIPTORS;

/// Default memory in MB, the largest value of any known deployment.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Default number of descriptors, the largest value of any known deployment.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Minimum number of descriptors to serve any request.
const MIN_DESCRIPTORS: usize = OWN_DESCRIPTORS + 4;
/// Exclusive upper bound of counts, which are parsed as floating-point numbers.
const COUNT_LIMIT: f64 = 1e12;

/// Keys that can't be changed by a reload.
const RESTART_ONLY_KEYS: [&str; 6] = ["name", "listen", "seed", "stop_ms", "limits", "settings"];

/// A setting that can't be changed by a reload.
#[derive(Clone, Debug, PartialEq)]
pub struct RestartOnlySetting {
    /// The key.
    pub key: &'static str,
    /// The value in the file; null if the file omits it.
    pub value: Value,
}

/// JSON of the configuration file, with environment variables as defaults for some omitted keys.
pub(super) struct ConfigFile<V> {
    pub(super) json: Value,
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> ConfigFile<V> {
    pub(super) fn parse(text: &str, variable: V) -> Result<ConfigFile<V>, InvalidConfig> {
        let json = serde_json::from_str(text)?;
        Ok(ConfigFile { json, variable })
    }

    fn variable(&self, name: Option<&str>) -> Option<String> {
        name.and_then(|name| (self.variable)(name))
    }

    pub(super) fn text(
        &self,
        key: &'static str,
        variable: Option<&str>,
    ) -> Result<String, InvalidConfig> {
        match &self.json[key] {
            Value::String(text) if !text.is_empty() => Ok(text.clone()),
            Value::Null => self.variable(variable).ok_or(InvalidConfig::Missing(key)),
            other => Err(InvalidConfig::NotText {
                key,
                value: other.clone(),
            }),
        }
    }

    fn address(
        &self,
        key: &'static str,
        variable: Option<&str>,
    ) -> Result<SocketAddr, InvalidConfig> {
        let text = self.text(key, variable)?;
        text.parse()
            .map_err(|_| InvalidConfig::NotAnAddress { key, text })
    }

    pub(super) fn optional_address(
        &self,
        key: &'static str,
        variable: Option<&str>,
    ) -> Result<Option<SocketAddr>, InvalidConfig> {
        if self.json[key].is_null() && self.variable(variable).is_none() {
            return Ok(None);
        }
        self.address(key, variable).map(Some)
    }

    /// Returns the store's address, which is required if any method makes calls.
    pub(super) fn store(
        &self,
        scheduler: &SchedulerConfig,
    ) -> Result<Option<SocketAddr>, InvalidConfig> {
        let has_calls = scheduler.methods.iter().any(|method| method.calls);
        if !has_calls && self.json["store"].is_null() {
            return Ok(None);
        }
        self.address("store", None).map(Some)
    }

    pub(super) fn count(&self, key: &'static str, default: u64) -> Result<u64, InvalidConfig> {
        parse_count(&self.json[key], key, default)
    }

    pub(super) fn check_limits(&self) -> Result<(), InvalidConfig> {
        let limits = &self.json["limits"];
        if limits.is_null() || limits.is_object() {
            return Ok(());
        }
        Err(InvalidConfig::LimitsNotAnObject(limits.clone()))
    }

    pub(super) fn memory_mb(&self) -> Result<u64, InvalidConfig> {
        let value = &self.json["limits"]["memory_mb"];
        parse_count(value, "limits.memory_mb", DEFAULT_MEMORY_MB)
    }

    /// Returns the configured number of descriptors. Guards against a number above the system's limit `allowed`, which caps it.
    pub(super) fn descriptors(&self, allowed: usize) -> Result<usize, InvalidConfig> {
        let value = &self.json["limits"]["sockets"];
        let configured = parse_count(value, "limits.sockets", DEFAULT_DESCRIPTORS)?;
        let descriptors = (configured as usize).min(allowed);
        if descriptors < MIN_DESCRIPTORS {
            return Err(InvalidConfig::TooFewDescriptors {
                available: descriptors,
                minimum: MIN_DESCRIPTORS,
            });
        }
        Ok(descriptors)
    }

    pub(super) fn restart_only(&self) -> Vec<RestartOnlySetting> {
        RESTART_ONLY_KEYS
            .into_iter()
            .map(|key| RestartOnlySetting {
                key,
                value: self.json[key].clone(),
            })
            .collect()
    }
}

/// Parses a number of at least 1, rounded down to an integer; returns `default` if `value` is null.
fn parse_count(value: &Value, key: &'static str, default: u64) -> Result<u64, InvalidConfig> {
    if value.is_null() {
        return Ok(default);
    }
    value
        .as_f64()
        .filter(|number| *number >= 1.0 && *number < COUNT_LIMIT)
        .map(|number| number as u64)
        .ok_or_else(|| InvalidConfig::NotACount {
            key,
            value: value.clone(),
        })
}
