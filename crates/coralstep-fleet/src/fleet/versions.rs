//! Publishing, activating and rejecting versions of the settings.
use super::{Event, Fleet};
use crate::rollout;
use crate::versions::{PublishError, PublishedVersion, Version, VersionId};
use crate::{Millis, UnixMillis};

/// What an operator publishes.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    /// JSON of the sections of the site file that it sets.
    pub content: String,
    /// Whether a server that rejects it excludes itself.
    pub mandatory: bool,
    /// Cumulative fractions of the fleet, 0 to 1, that activate it stage by stage; none for all
    /// servers at once.
    pub stages: Vec<f32>,
    /// Pause between two stages, in milliseconds.
    pub stage_pause_ms: u64,
}

impl Fleet {
    /// Publishes a version as the newest one.
    ///
    /// # Errors
    ///
    /// [`PublishError::TooLong`] where it is too long to be sent.
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
        self.announce();
        Ok(id)
    }

    /// Returns the version to be activated or rejected now, where there is one: its stage has
    /// come here and its rollout was not halted.
    pub fn pending_version(&mut self, now: Millis) -> Option<PublishedVersion> {
        let newest = self.versions.newest_accepted()?;
        if newest.id <= self.activity.active_version() || self.leaving {
            return None;
        }
        let pending = PublishedVersion {
            id: newest.id,
            version: newest.version.clone(),
        };
        if !self.is_stage_due(now, pending.id) {
            return None;
        }
        // The first stage has none before it that could halt it.
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

    /// Notes that this server has activated `id`.
    pub fn activate(&mut self, now: Millis, wall_ms: UnixMillis, id: VersionId) {
        self.activity.activate(id, self.clock.timestamp(wall_ms));
        self.events.push(Event::VersionActivated(id));
        self.evaluate_exclusion(now);
        self.announce();
    }

    /// Notes that this server can't activate `id`.
    pub fn reject(&mut self, now: Millis, id: VersionId, reason: &str) {
        self.versions.reject(id, reason);
        self.events.push(Event::VersionRejected {
            version: id,
            reason: reason.to_owned(),
        });
        self.evaluate_exclusion(now);
        self.announce();
    }
}
