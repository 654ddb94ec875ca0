//! Settings that can be read and would starve a method: for good, not as a level of reduced service does for a while.
use coralstep::{Idempotency, SchedulerConfig};

use crate::Names;
use crate::site::{SiteTerms, Target};

/// The least part of its hold limit that a method needs while all is well: less holds nothing.
const HOLD_LEAST: f64 = 0.05;

/// What starves, named by its key. `before`: what it is to replace, whose methods had a route.
pub fn check(
    site: &SiteTerms,
    before: Option<&SiteTerms>,
    names: &Names,
    terms: &SchedulerConfig,
) -> Result<(), String> {
    // The first level holds while no condition is met, so what it turns away is turned away always.
    if let Some(actions) = site
        .levels
        .as_ref()
        .and_then(|levels| levels.levels.first())
        .map(|level| &level.actions)
    {
        for (name, method) in names.methods.iter().zip(&terms.methods) {
            let why = match () {
                () if actions.reject_all => "closed",
                () if actions.reject_idempotent
                    && method.idempotency == Idempotency::Idempotent =>
                {
                    "effects_only"
                }
                () if method.priority_weight < actions.min_priority_weight => "least_criticality",
                () if actions.queue_limit_factor < HOLD_LEAST => "hold",
                () => continue,
            };
            return Err(format!(
                "levels.list[0].does.{why}: starves {name:?}, for the first level always holds"
            ));
        }
        if actions.load_report_factor <= 0.0 {
            return Err(
                "levels.list[0].does.value: starves all, for nothing is ever asked for".to_owned(),
            );
        }
    }
    let (Some(new), Some(old)) = (&site.scgi, before.and_then(|before| before.scgi.as_ref()))
    else {
        return Ok(());
    };
    let (new, old) = (new.routes(names)?, old.routes(names)?);
    let led = |routes: &coralstep_route::RouteTable<Target>, method: usize| {
        routes
            .targets()
            .any(|target| *target == Target::Method(method))
    };
    match (0..names.methods.len()).find(|method| led(&old, *method) && !led(&new, *method)) {
        Some(method) => Err(format!(
            "scgi.routes: starves {:?}: no route leads to it",
            names.methods[method]
        )),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
