//! The `name=value` parts of a line.
use std::str::FromStr;

use coralstep::Span;

use crate::NS_PER_TICK;

pub struct Fields<'a>(pub &'a str);

impl<'a> Fields<'a> {
    pub fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.0.split(' ').filter_map(|part| part.split_once('='))
    }

    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.pairs().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn get<T: FromStr>(&self, name: &str) -> Result<Option<T>, String> {
        self.text(name).map(|value| parse(name, value)).transpose()
    }

    pub fn need(&self, name: &str) -> Result<u64, String> {
        self.get(name)?.ok_or_else(|| format!("no {name}"))
    }

    /// Rounded up to whole ticks.
    pub fn span_up(&self, name: &str) -> Result<Option<Span>, String> {
        Ok(self.get::<u64>(name)?.map(|ns| Span(ns.div_ceil(NS_PER_TICK))))
    }
}

pub fn parse<T: FromStr>(name: &str, value: &str) -> Result<T, String> {
    value.parse().map_err(|_| format!("{name}={value} is no proper value"))
}

/// A finite number, not below 0.
pub fn amount(name: &str, value: &str) -> Result<f64, String> {
    let amount: f64 = parse(name, value)?;
    if amount.is_finite() && amount >= 0.0 { Ok(amount) } else { Err(format!("{name}={value} is no amount")) }
}

/// 1 or 0; the settings also write true and false.
pub fn flag(name: &str, value: &str) -> Result<bool, String> {
    match value {
        "1" | "true" => Ok(true),
        "0" | "false" => Ok(false),
        _ => Err(format!("{name}={value} is neither 1 nor 0")),
    }
}
