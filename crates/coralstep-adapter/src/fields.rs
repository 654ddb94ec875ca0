//! The `name=value` fields of a line.
use std::str::FromStr;

use coralstep::Span;
use coralstep_config::settings::parse;

use crate::error::LineError;
use crate::units::span_rounded_up;

/// The part of a line after the message name.
pub(crate) struct Fields<'a>(pub(crate) &'a str);

impl<'a> Fields<'a> {
    /// Returns all names and values in order.
    pub(crate) fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.0.split(' ').filter_map(|part| part.split_once('='))
    }

    /// Returns the value of the first field `name`.
    pub(crate) fn text(&self, name: &str) -> Option<&'a str> {
        self.pairs()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Parses an optional field.
    pub(crate) fn get<T: FromStr>(&self, name: &str) -> Result<Option<T>, LineError> {
        let value = self.text(name).map(|value| parse(name, value));
        Ok(value.transpose()?)
    }

    /// Parses a required field.
    pub(crate) fn require(&self, name: &'static str) -> Result<u64, LineError> {
        self.get(name)?.ok_or(LineError::MissingField(name))
    }

    /// Parses an optional duration in nanoseconds, rounding up to whole ticks.
    pub(crate) fn span(&self, name: &str) -> Result<Option<Span>, LineError> {
        Ok(self.get::<u64>(name)?.map(span_rounded_up))
    }
}
