//! Converts settings to [`Limit`]s: checks ranges and resolves names to indices.
use std::collections::HashMap;

use sha2::{Digest, Sha256};

use super::consistency::check_consistency;
use super::{CutOff, LimitConfig, LimitConfigError};
use crate::limit::{Limit, LimitKey, LimitKind, LimitScope};

/// Maximum number of limits.
pub(super) const MAX_LIMITS: usize = 10_000;
/// Maximum length of a limit's name, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 64;
/// Minimum of `rps`, in RPCs per second.
const MIN_RPS: f64 = 0.01;
/// Maximum of `rps`, in RPCs per second.
const MAX_RPS: f64 = 1e6;
/// Minimum burst in RPCs, also of the default.
const MIN_BURST: u32 = 2;
/// Maximum of both `burst` and `in_hand`, in RPCs.
const MAX_UNITS: u32 = 1_000_000;
/// Time from the grant of a token until it can be granted again, in seconds: two rounds. The burst has to cover the
/// RPCs of this time.
const TOKEN_TURNAROUND_S: f64 = 0.5;

/// Names that the settings of limits may refer to.
#[derive(Clone, Copy, Debug)]
pub struct KnownNames<'a> {
    /// Names of the methods, by index.
    pub methods: &'a [String],
    /// Whether each method calls the dependency, by index.
    pub calls_dependency: &'a [bool],
    /// Names of the tenants, by index.
    pub tenants: &'a [String],
    /// Names of the dependencies.
    pub dependencies: &'a [String],
}

/// Checks the settings of all limits and resolves their names.
///
/// # Errors
///
/// Returns the first error found.
pub fn resolve_limits(
    configs: &[LimitConfig],
    names: &KnownNames<'_>,
) -> Result<Vec<Limit>, LimitConfigError> {
    if configs.len() > MAX_LIMITS {
        return Err(LimitConfigError::TooManyLimits {
            count: configs.len(),
        });
    }
    let limits = configs
        .iter()
        .enumerate()
        .map(|(index, config)| Resolver { index, config }.resolve(names))
        .collect::<Result<Vec<Limit>, _>>()?;
    check_unique_names(configs)?;
    check_consistency(configs)?;
    Ok(limits)
}

fn check_unique_names(configs: &[LimitConfig]) -> Result<(), LimitConfigError> {
    let mut seen = HashMap::new();
    for (index, config) in configs.iter().enumerate() {
        if let Some(first) = seen.insert(&config.name, index) {
            return Err(LimitConfigError::DuplicateName {
                index,
                first,
                name: config.name.clone(),
            });
        }
    }
    Ok(())
}

/// One limit's settings and their index in the list.
struct Resolver<'a> {
    index: usize,
    config: &'a LimitConfig,
}

impl Resolver<'_> {
    fn resolve(&self, names: &KnownNames<'_>) -> Result<Limit, LimitConfigError> {
        self.check_name()?;
        let scope = self.resolve_scope(names)?;
        let kind = self.resolve_kind()?;
        self.check_cut_off()?;
        Ok(Limit {
            key: self.derive_key(kind),
            name: self.config.name.clone(),
            scope,
            kind,
            cut_off: self.config.cut_off,
        })
    }

    fn check_name(&self) -> Result<(), LimitConfigError> {
        let name = &self.config.name;
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(LimitConfigError::NameLength {
                index: self.index,
                name: name.clone(),
            });
        }
        Ok(())
    }

    fn resolve_scope(&self, names: &KnownNames<'_>) -> Result<LimitScope, LimitConfigError> {
        let index = self.index;
        let tenant = self.find_name("tenant", self.config.tenant.as_ref(), names.tenants)?;
        let method = self.find_name("method", self.config.method.as_ref(), names.methods)?;
        let dependency = self.find_name(
            "dependency",
            self.config.dependency.as_ref(),
            names.dependencies,
        )?;
        if tenant.is_none() && method.is_none() && dependency.is_none() {
            return Err(LimitConfigError::NoScope { index });
        }
        let never_calls = |method: &usize| names.calls_dependency.get(*method) == Some(&false);
        if dependency.is_some()
            && let Some(method) = method.filter(never_calls)
        {
            return Err(LimitConfigError::NeverCalls {
                index,
                method: names.methods[method].clone(),
            });
        }
        Ok(LimitScope {
            tenant,
            method,
            calls_dependency: dependency.is_some(),
        })
    }

    fn find_name(
        &self,
        setting: &'static str,
        name: Option<&String>,
        known: &[String],
    ) -> Result<Option<usize>, LimitConfigError> {
        let Some(name) = name else { return Ok(None) };
        match known.iter().position(|candidate| candidate == name) {
            Some(found) => Ok(Some(found)),
            None => Err(LimitConfigError::UnknownName {
                index: self.index,
                setting,
                name: name.clone(),
            }),
        }
    }

    fn resolve_kind(&self) -> Result<LimitKind, LimitConfigError> {
        match (self.config.rps, self.config.in_flight) {
            (Some(rps), None) => self.resolve_rate(rps),
            (None, Some(max)) => self.resolve_in_flight(max),
            _ => Err(LimitConfigError::NotOneKind { index: self.index }),
        }
    }

    fn resolve_rate(&self, rps: f64) -> Result<LimitKind, LimitConfigError> {
        self.check_range("rps", rps, MIN_RPS, MAX_RPS)?;
        let default_burst = (rps.ceil() as u32).max(MIN_BURST);
        let burst = self.config.burst.unwrap_or(default_burst);
        self.check_range(
            "burst",
            f64::from(burst),
            f64::from(MIN_BURST),
            f64::from(MAX_UNITS),
        )?;
        let reachable_rps = f64::from(burst) / TOKEN_TURNAROUND_S;
        if rps > reachable_rps {
            return Err(LimitConfigError::BurstTooSmall {
                index: self.index,
                burst,
                reachable_rps,
                rps,
            });
        }
        Ok(LimitKind::Rate { rps, burst })
    }

    fn resolve_in_flight(&self, max: u32) -> Result<LimitKind, LimitConfigError> {
        self.check_range("in_hand", f64::from(max), 1.0, f64::from(MAX_UNITS))?;
        if self.config.burst.is_some() {
            return Err(LimitConfigError::BurstWithoutRate { index: self.index });
        }
        Ok(LimitKind::InFlight(max))
    }

    fn check_cut_off(&self) -> Result<(), LimitConfigError> {
        let CutOff::Open {
            per_server,
            fleet_total,
        } = self.config.cut_off
        else {
            return Ok(());
        };
        self.check_range("cut_off.open.each", per_server, 0.0, MAX_RPS)?;
        self.check_range("cut_off.open.most", fleet_total, 0.0, MAX_RPS)
    }

    fn check_range(
        &self,
        setting: &'static str,
        value: f64,
        min: f64,
        max: f64,
    ) -> Result<(), LimitConfigError> {
        if (min..=max).contains(&value) {
            return Ok(());
        }
        Err(LimitConfigError::OutOfRange {
            index: self.index,
            setting,
            value,
            min,
            max,
        })
    }

    /// Returns a digest of what the limit applies to and counts. It has to be the same in every release.
    fn derive_key(&self, kind: LimitKind) -> LimitKey {
        let kind_name = if kind.is_rate() { "rps" } else { "in_hand" };
        let text = format!(
            "{:?} {:?} {:?} {:?} {kind_name}",
            self.config.name, self.config.tenant, self.config.method, self.config.dependency
        );
        let digest = Sha256::digest(text.as_bytes());
        LimitKey(u64::from_le_bytes(std::array::from_fn(|at| digest[at])))
    }
}
