//! Parsing of a single value of a setting or a message.
use std::str::FromStr;

use super::error::{SettingError, ValueFault};

/// Parses `value`; `name` is its path or field.
///
/// # Errors
/// Fails with [`ValueFault::Unparsable`].
pub fn parse<T: FromStr>(name: &str, value: &str) -> Result<T, SettingError> {
    value
        .parse()
        .map_err(|_| SettingError::invalid(name, value, ValueFault::Unparsable))
}

/// Parses a finite non-negative number.
///
/// # Errors
/// Fails with [`ValueFault::Unparsable`] or [`ValueFault::NotAnAmount`].
pub fn parse_amount(name: &str, value: &str) -> Result<f64, SettingError> {
    let amount: f64 = parse(name, value)?;
    if amount.is_finite() && amount >= 0.0 {
        Ok(amount)
    } else {
        Err(SettingError::invalid(name, value, ValueFault::NotAnAmount))
    }
}

/// Parses a boolean: `1` or `0`, or `true` or `false`.
///
/// # Errors
/// Fails with [`ValueFault::NotAFlag`].
pub fn parse_flag(name: &str, value: &str) -> Result<bool, SettingError> {
    match value {
        "1" | "true" => Ok(true),
        "0" | "false" => Ok(false),
        _ => Err(SettingError::invalid(name, value, ValueFault::NotAFlag)),
    }
}
