//! Rejects valid configurations that would starve a method permanently, unlike a degradation level, which is temporary.
use coralstep::{Idempotency, Method, SchedulerConfig};
use coralstep_degradation::DegradationConfig;
use coralstep_route::RouteTable;
use thiserror::Error;

use crate::Names;
use crate::site::{RouteTarget, SiteConfig, SiteError};

/// Minimum queue limit factor of the first level; with less nothing is queued.
const MIN_QUEUE_LIMIT_FACTOR: f64 = 0.05;

/// What a configuration would starve. Each message begins with the path of the invalid key.
#[derive(Debug, Error)]
pub enum StarvationError {
    /// The first level rejects a method. That level is active while no condition is met.
    #[error("levels.list[0].does.{key}: starves {method:?}, for the first level always holds")]
    FirstLevel {
        /// Key of the level's action.
        key: &'static str,
        /// Name of the method.
        method: String,
    },
    /// The load report of the first level makes callers send nothing.
    #[error("levels.list[0].does.value: starves all, for nothing is ever asked for")]
    NoLoad,
    /// The new configuration removes the last route of a method.
    #[error("scgi.routes: starves {method:?}: no route leads to it")]
    NoRoute {
        /// Name of the method.
        method: String,
    },
    /// The routes are invalid.
    #[error(transparent)]
    Site(#[from] SiteError),
}

/// Checks `site`; `before` is the configuration that it replaces.
///
/// # Errors
/// Returns the first method that would starve.
pub fn check(
    site: &SiteConfig,
    before: Option<&SiteConfig>,
    names: &Names,
    config: &SchedulerConfig,
) -> Result<(), StarvationError> {
    if let Some(levels) = &site.levels {
        check_first_level(levels, names, config)?;
    }
    check_routes(site, before, names)
}

fn check_first_level(
    levels: &DegradationConfig,
    names: &Names,
    config: &SchedulerConfig,
) -> Result<(), StarvationError> {
    let Some(first) = levels.levels.first() else {
        return Ok(());
    };
    let actions = &first.actions;
    let starving_key = |method: &Method| {
        if actions.reject_all {
            Some("closed")
        } else if actions.reject_idempotent && method.idempotency == Idempotency::Idempotent {
            Some("effects_only")
        } else if method.priority_weight < actions.min_priority_weight {
            Some("least_criticality")
        } else if actions.queue_limit_factor < MIN_QUEUE_LIMIT_FACTOR {
            Some("hold")
        } else {
            None
        }
    };
    for (name, method) in names.methods.iter().zip(&config.methods) {
        if let Some(key) = starving_key(method) {
            return Err(StarvationError::FirstLevel {
                key,
                method: name.clone(),
            });
        }
    }
    if actions.load_report_factor <= 0.0 {
        return Err(StarvationError::NoLoad);
    }
    Ok(())
}

fn check_routes(
    site: &SiteConfig,
    before: Option<&SiteConfig>,
    names: &Names,
) -> Result<(), StarvationError> {
    let old = before.and_then(|before| before.scgi.as_ref());
    let (Some(new), Some(old)) = (&site.scgi, old) else {
        return Ok(());
    };
    let (new, old) = (new.routes(names)?, old.routes(names)?);
    let starving = (0..names.methods.len())
        .find(|method| has_route(&old, *method) && !has_route(&new, *method));
    match starving {
        None => Ok(()),
        Some(method) => Err(StarvationError::NoRoute {
            method: names.methods[method].clone(),
        }),
    }
}

fn has_route(routes: &RouteTable<RouteTarget>, method: usize) -> bool {
    routes
        .targets()
        .any(|target| *target == RouteTarget::Method(method))
}

#[cfg(test)]
mod tests;
