//! The `log` section.
use schemars::JsonSchema;
use serde::Deserialize;

/// Format and levels of the log.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(
    deny_unknown_fields,
    default,
    rename = "LogTerms",
    expecting = "struct LogTerms"
)]
#[schemars(description = "")]
pub struct LogConfig {
    /// Format of a log event.
    #[schemars(description = "")]
    pub format: LogFormat,
    /// Least level by target: `info`, or `warn,level=info,signals=off`.
    pub levels: String,
}

impl Default for LogConfig {
    fn default() -> LogConfig {
        LogConfig {
            format: LogFormat::Text,
            levels: "info".to_owned(),
        }
    }
}

/// Format of a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(description = "")]
#[allow(
    missing_docs,
    reason = "doc comments of variants would change the schema"
)]
pub enum LogFormat {
    // One line of text per event.
    Text,
    /// A line of JSON an event.
    Json,
}
