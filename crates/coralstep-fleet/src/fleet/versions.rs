//! Publication, activation and rejection of settings versions.
use super::{Event, Fleet};
use crate::rollout;
use crate::versions::{PublishError, PublishedVersion, Version, VersionId};
use crate::{Millis, UnixMillis};

/// Contents of a version that an operator publishes.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    /// JSON of the sections of the site file that the version sets.
    pub content: String,
    /// Whether a server that rejects the version excludes itself.
    pub mandatory: bool,
    /// Cumulative fractions of the fleet, from 0 to 1, that activate the version in each stage. If
    /// empty, all servers activate it immediately.
    pub stages: Vec<f32>,
    /// Pause between two stages, in milliseconds.
    pub stage_pause_ms: u64,
}

impl Fleet {
    /// Publishes a version, which becomes the newest one.
    ///
    /// # Errors
    ///
    /// Returns [`PublishError::TooLong`] if the version exceeds the maximum size.
    pub fn publish(
        &mut self,
        now: Millis,
        wall_ms: UnixMillis,
        publication: Publication,
    ) -> Result<VersionId, PublishError> {
        let newest = self.versions.newest();
        let version = Version {
            number: newest.number + 1,
            replaces: newest,
            mandatory: publication.mandatory,
            publisher: self.name.clone(),
            published_at_ms: self.clock.timestamp(wall_ms),
            stages: publication.stages,
            stage_pause_ms: publication.stage_pause_ms,
            content: publication.content,
        };
        let id = self.versions.publish(now, version)?;
        self.events.push(Event::VersionReceived(id));
        self.publish_status();
        Ok(id)
    }

    /// Returns the version that this server must activate or reject now, or `None` if there is none.
    /// A version is returned once its stage is due, unless its rollout was halted.
    pub fn pending_version(&mut self, now: Millis) -> Option<PublishedVersion> {
        let newest = self.versions.newest_accepted()?;
        if newest.id <= self.history.active_version() || self.leaving {
            return None;
        }
        let pending = PublishedVersion {
            id: newest.id,
            version: newest.version.clone(),
        };
        if !self.is_stage_due(now, pending.id) {
            return None;
        }
        // There is no earlier stage whose results could halt the first stage.
        let stage = pending.version.stage(&self.name).unwrap_or(0);
        if stage == 0 {
            return Some(pending);
        }
        let Some(reason) = rollout::halt_reason(&self.statuses, pending.id) else {
            return Some(pending);
        };
        if self.halted != Some(pending.id) {
            self.halted = Some(pending.id);
            self.events.push(Event::RolloutHalted {
                version: pending.id,
                reason,
            });
        }
        None
    }

    pub(super) fn is_stage_due(&self, now: Millis, id: VersionId) -> bool {
        rollout::is_stage_due(&self.versions, &self.statuses, &self.name, id, now)
    }

    /// Records that this server has activated `id`.
    pub fn activate(&mut self, now: Millis, wall_ms: UnixMillis, id: VersionId) {
        self.history.activate(id, self.clock.timestamp(wall_ms));
        self.events.push(Event::VersionActivated(id));
        self.evaluate_exclusion(now);
        self.publish_status();
    }

    /// Records that this server rejects `id` because it cannot activate it.
    pub fn reject(&mut self, now: Millis, id: VersionId, reason: &str) {
        self.versions.reject(id, reason);
        self.events.push(Event::VersionRejected {
            version: id,
            reason: reason.to_owned(),
        });
        self.evaluate_exclusion(now);
        self.publish_status();
    }
}
