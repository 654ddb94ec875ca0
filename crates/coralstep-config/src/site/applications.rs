//! The `applications` section: SCGI applications that run the RPCs.
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::Deserialize;

use super::error::{SiteError, check_range};
use super::scgi::default_body_kb;
use crate::Names;

/// Maximum number of applications.
const MAX_APPLICATIONS: usize = 4_096;
/// Maximum of the configurable in-flight limit of one application.
const MAX_IN_FLIGHT: u32 = 1 << 20;

/// The SCGI applications that run the RPCs.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(
    deny_unknown_fields,
    rename = "ApplicationTerms",
    expecting = "struct ApplicationTerms"
)]
#[schemars(description = "")]
pub struct ApplicationsConfig {
    /// Where they listen.
    pub addresses: Vec<SocketAddr>,
    /// The path that an application is asked for, by method; without one it is `/` and the method's name.
    #[serde(default)]
    pub paths: BTreeMap<String, String>,
    /// The longest wait for a connection, in milliseconds.
    #[serde(default = "default_connect_timeout_ms")]
    pub connect_ms: u32,
    /// RPCs in hand at one application at the most.
    #[serde(default = "default_max_in_flight")]
    pub each_most: u32,
    /// Repeats as a part of first tries.
    #[serde(default = "default_retry_ratio")]
    pub repeats: f64,
    /// Attempts of one RPC at the most.
    #[serde(default = "default_max_attempts")]
    pub attempts: u32,
    /// After its return an application gets its whole share only after so long, in milliseconds.
    #[serde(default = "default_slow_start_ms")]
    pub slow_start_ms: u32,
    /// Attempts a second that an application takes when it has just come back, from all processes together; up to tenfold by the end of
    /// the slow start. 0 leaves it to the part of its share. 0 to 1000000.
    #[serde(default)]
    pub cold_rate: f64,
    /// How many processes like this one send to these applications; with a fleet, the least to be reckoned with. 1 to 100000.
    #[serde(default = "default_processes")]
    pub processes: u32,
    /// The longest result, in KB.
    #[serde(default = "default_body_kb")]
    pub result_kb: u32,
}

const fn default_connect_timeout_ms() -> u32 {
    500
}

const fn default_max_in_flight() -> u32 {
    64
}

const fn default_retry_ratio() -> f64 {
    0.1
}

const fn default_max_attempts() -> u32 {
    3
}

const fn default_processes() -> u32 {
    1
}

const fn default_slow_start_ms() -> u32 {
    10_000
}

impl ApplicationsConfig {
    /// Timeout for establishing a connection.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.connect_ms))
    }
}

impl ApplicationsConfig {
    pub(super) fn check(&self, names: &Names) -> Result<(), SiteError> {
        check_range(
            "applications.addresses",
            self.addresses.len(),
            1,
            MAX_APPLICATIONS,
        )?;
        let mut seen = HashSet::new();
        for (index, address) in self.addresses.iter().enumerate() {
            if !seen.insert(address) {
                return Err(SiteError::invalid(
                    format!("applications.addresses[{index}]"),
                    format!("{address} comes twice"),
                ));
            }
        }
        for (method, path) in &self.paths {
            if !names.methods.contains(method) {
                return Err(SiteError::invalid(
                    format!("applications.paths.{method}"),
                    "no such method",
                ));
            }
            if !path.starts_with('/') || path.contains('\0') {
                return Err(SiteError::invalid(
                    format!("applications.paths.{method}"),
                    format!("{path:?} is no path"),
                ));
            }
        }
        check_range("applications.connect_ms", self.connect_ms, 1, 60_000)?;
        check_range("applications.each_most", self.each_most, 1, MAX_IN_FLIGHT)?;
        check_range("applications.repeats", self.repeats, 0.0, 1.0)?;
        check_range("applications.attempts", self.attempts, 1, 10)?;
        check_range("applications.slow_start_ms", self.slow_start_ms, 0, 600_000)?;
        check_range("applications.cold_rate", self.cold_rate, 0.0, 1e6)?;
        check_range("applications.processes", self.processes, 1, 100_000)?;
        check_range("applications.result_kb", self.result_kb, 1, 1_024)
    }
}
