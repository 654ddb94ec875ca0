//! Single values of a setting or a message.
use std::str::FromStr;

pub fn parse<T: FromStr>(name: &str, value: &str) -> Result<T, String> {
    value
        .parse()
        .map_err(|_| format!("{name}={value} is no proper value"))
}

/// A finite number, not below 0.
pub fn amount(name: &str, value: &str) -> Result<f64, String> {
    let amount: f64 = parse(name, value)?;
    if amount.is_finite() && amount >= 0.0 {
        Ok(amount)
    } else {
        Err(format!("{name}={value} is no amount"))
    }
}

/// 1 or 0; the settings also write true and false.
pub fn flag(name: &str, value: &str) -> Result<bool, String> {
    match value {
        "1" | "true" => Ok(true),
        "0" | "false" => Ok(false),
        _ => Err(format!("{name}={value} is neither 1 nor 0")),
    }
}
