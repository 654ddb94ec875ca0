//! The `limits` section: limits that apply to the whole fleet.
use coralstep_quota::Limit;
use coralstep_quota::config::resolve_limits;
use coralstep_quota::lease::shorten_by_drift;

use super::error::SiteError;
use super::fleet::renewal_time_ms;
use super::{FleetSection, SiteConfig};
use crate::Names;

/// The only dependency that a limit may name.
const DEPENDENCY: &str = "store";

impl SiteConfig {
    /// Returns the limits, with the names of methods and tenants resolved.
    ///
    /// # Errors
    /// Fails for an invalid limit, for limits without a fleet or a lease holder, and for a deadline that is longer than a
    /// lease allows.
    pub fn limits(&self, names: &Names) -> Result<Vec<Limit>, SiteError> {
        let Some(section) = self.limits.as_ref().filter(|section| !section.is_empty()) else {
            return Ok(Vec::new());
        };
        let fleet = self.fleet.as_ref().ok_or_else(|| {
            SiteError::invalid("limits", "without a fleet there is nobody to share them")
        })?;
        if fleet.keepers.is_empty() {
            return Err(SiteError::invalid(
                "limits",
                "fleet.keepers names nobody who could give shares",
            ));
        }
        let known = coralstep_quota::config::KnownNames {
            methods: &names.methods,
            calls_dependency: &names.calls_dependency,
            tenants: &names.tenants,
            dependencies: &[DEPENDENCY.to_owned()],
        };
        let limits = resolve_limits(section, &known)?;
        for (index, limit) in limits.iter().enumerate() {
            check_lease(index, limit, fleet, names)?;
        }
        Ok(limits)
    }
}

/// Checks that RPCs can end within a lease: a limit of RPCs in flight admits only those that end before their lease expires.
fn check_lease(
    index: usize,
    limit: &Limit,
    fleet: &FleetSection,
    names: &Names,
) -> Result<(), SiteError> {
    if limit.kind.is_rate() {
        return Ok(());
    }
    let longest = names
        .deadlines_ms
        .iter()
        .enumerate()
        .filter(|(method, _)| limit.scope.method.is_none_or(|limited| limited == *method))
        .map(|(_, deadline_ms)| *deadline_ms)
        .max();
    let usable_ms = shorten_by_drift(u64::from(fleet.lease_ms)) - renewal_time_ms(fleet.lease_ms);
    match longest.filter(|longest| *longest > usable_ms) {
        None => Ok(()),
        Some(longest) => Err(SiteError::invalid(
            format!("limits[{index}].in_hand"),
            format!(
                "unreachable, a deadline of {longest} ms is longer than fleet.lease_ms less two rounds, {usable_ms}"
            ),
        )),
    }
}
