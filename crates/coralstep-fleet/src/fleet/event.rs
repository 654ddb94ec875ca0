//! What happened to a server's part in the fleet, for its log.
use crate::Millis;
use crate::exclusion::ExclusionReason;
use crate::membership::{Member, MemberState};
use crate::rollout::HaltReason;
use crate::versions::{Fork, VersionId};

/// Events that wait to be fetched; further ones are dropped.
const MAX_EVENTS: usize = 1_024;

/// A change that operators may want to know of.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member joined, left or failed.
    MemberStateChanged {
        /// The member.
        member: Member,
        /// Its state from now on.
        state: MemberState,
    },
    /// The others took this server for failed; it is back.
    Rejoined,
    /// Two processes have one name.
    DuplicateName {
        /// The process that was known.
        known: Member,
        /// The process that joined.
        joined: Member,
    },
    /// A version was published here or has arrived complete.
    VersionReceived(VersionId),
    /// A version is active here.
    VersionActivated(VersionId),
    /// This server rejected a version.
    VersionRejected {
        /// The version.
        version: VersionId,
        /// Why.
        reason: String,
    },
    /// Two versions replace the same one.
    VersionFork(Fork),
    /// The rollout of a version goes no further here.
    RolloutHalted {
        /// The version.
        version: VersionId,
        /// Why.
        reason: HaltReason,
    },
    /// This server admits no requests from now on.
    Excluded(ExclusionReason),
    /// This server admits requests again.
    Readmitted,
    /// More servers would be excluded for this version than may be.
    ExclusionLimitReached(VersionId),
    /// The audit chain of the server of this name was altered.
    AuditRecordAltered(String),
    /// The clock of the server of this name is too far ahead to be believed.
    ClockSkewed(String),
    /// This process was paused for so many milliseconds.
    ProcessPaused(Millis),
}

/// The events that wait to be fetched.
#[derive(Debug, Default)]
pub(super) struct EventQueue(Vec<Event>);

impl EventQueue {
    pub(super) fn push(&mut self, event: Event) {
        if self.0.len() < MAX_EVENTS {
            self.0.push(event);
        }
    }

    pub(super) fn take(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.0)
    }
}
