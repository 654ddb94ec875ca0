//! The `name=value` parts of a line.
use std::str::FromStr;

use coralstep::Span;
use coralstep_terms::parse;

use crate::NS_PER_TICK;

pub struct Fields<'a>(pub &'a str);

impl<'a> Fields<'a> {
    pub fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.0.split(' ').filter_map(|part| part.split_once('='))
    }

    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.pairs()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    pub fn get<T: FromStr>(&self, name: &str) -> Result<Option<T>, String> {
        self.text(name).map(|value| parse(name, value)).transpose()
    }

    pub fn need(&self, name: &str) -> Result<u64, String> {
        self.get(name)?.ok_or_else(|| format!("no {name}"))
    }

    /// Rounded up to whole ticks.
    pub fn span_up(&self, name: &str) -> Result<Option<Span>, String> {
        Ok(self
            .get::<u64>(name)?
            .map(|ns| Span(ns.div_ceil(NS_PER_TICK))))
    }
}
