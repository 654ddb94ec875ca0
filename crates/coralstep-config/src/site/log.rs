//! The section `log`.
use schemars::JsonSchema;
use serde::Deserialize;

/// Form and levels of the log.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(
    deny_unknown_fields,
    default,
    rename = "LogTerms",
    expecting = "struct LogTerms"
)]
#[schemars(description = "")]
pub struct LogConfig {
    /// How an event is written.
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

/// How a log event is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(description = "")]
#[allow(
    missing_docs,
    reason = "doc comments of variants would change the schema"
)]
pub enum LogFormat {
    // A line of text an event.
    Text,
    /// A line of JSON an event.
    Json,
}
