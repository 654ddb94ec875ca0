//! Applies fleet-wide limits: selects the limits in force and admits RPCs under them.
use coralstep_fleet::{Millis, VersionId};
use coralstep_quota::limit::stricter_limits;
use coralstep_quota::{Limit, QuotaExhausted, QuotaPermit, RequestKey};

use super::service::FleetService;
use crate::decisions::QuotaLimiter;

/// Returns the limits of a version's content, or those of the site file for `None`.
pub type LimitsForVersion = Box<dyn Fn(Option<&str>) -> Vec<Limit>>;

/// The versions whose limits are in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LimitVersions {
    active: VersionId,
    /// The version to be activated next; the default id if there is none.
    upcoming: VersionId,
}

impl FleetService {
    /// Updates the limits if the versions they come from have changed.
    ///
    /// During a rollout servers use both the active and the upcoming version, so the stricter limit of the two applies.
    pub(super) fn update_limits(&self, now: Millis) {
        let Some(quota) = &self.quota else { return };
        let fleet = self.fleet.borrow();
        let active = fleet.active_version();
        let newest = fleet.versions().newest_accepted();
        let upcoming = newest.filter(|stored| stored.id > active);
        let versions = LimitVersions {
            active,
            upcoming: upcoming.map(|stored| stored.id).unwrap_or_default(),
        };
        if self.limit_versions.replace(Some(versions)) == Some(versions) {
            return;
        }
        let active = fleet.versions().get(active);
        let mut limits = (self.limits_for_version)(active.map(|version| version.content.as_str()));
        if let Some(upcoming) = upcoming {
            let content = &upcoming.version.content;
            limits = stricter_limits(&limits, &(self.limits_for_version)(Some(content)));
        }
        quota.borrow_mut().set_limits(now, &limits);
    }
}

impl QuotaLimiter for FleetService {
    fn acquire(&self, request: RequestKey, covers_ms: u64) -> Result<QuotaPermit, QuotaExhausted> {
        let Some(quota) = &self.quota else {
            return Ok(QuotaPermit::default());
        };
        quota.borrow_mut().admit(self.now(), request, covers_ms)
    }

    fn release(&self, permit: QuotaPermit) {
        if let Some(quota) = &self.quota {
            quota.borrow_mut().release(permit);
        }
    }
}
