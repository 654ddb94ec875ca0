//! The fleet's limits: which ones hold, and what RPCs take of them.
use coralstep_fleet::{Millis, VersionId};
use coralstep_quota::limit::stricter_limits;
use coralstep_quota::{Limit, Permit, QuotaExhausted, RequestKey};

use super::service::FleetService;
use crate::decisions::QuotaLimiter;

/// Returns the limits of a version's content, or of the site file alone.
pub type LimitsOfVersion = Box<dyn Fn(Option<&str>) -> Vec<Limit>>;

/// The versions whose limits hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LimitVersions {
    active: VersionId,
    /// The version that is to be activated; the default id where there is none.
    upcoming: VersionId,
}

impl FleetService {
    /// Sets the limits where their versions have changed. Of the active version and the one that is to be activated the
    /// stricter limits hold: during a rollout both are in use.
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
        let mut limits = (self.limits_of)(active.map(|version| version.content.as_str()));
        if let Some(upcoming) = upcoming {
            let content = &upcoming.version.content;
            limits = stricter_limits(&limits, &(self.limits_of)(Some(content)));
        }
        quota.borrow_mut().set_limits(now, &limits);
    }
}

impl QuotaLimiter for FleetService {
    fn acquire(&self, request: RequestKey, covers_ms: u64) -> Result<Permit, QuotaExhausted> {
        let Some(quota) = &self.quota else {
            return Ok(Permit::default());
        };
        quota.borrow_mut().admit(self.now(), request, covers_ms)
    }

    fn release(&self, permit: Permit) {
        if let Some(quota) = &self.quota {
            quota.borrow_mut().release(permit);
        }
    }
}
