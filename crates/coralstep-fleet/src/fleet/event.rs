//! Events for the server's log.
use crate::Millis;
use crate::exclusion::ExclusionReason;
use crate::membership::{Member, MemberState};
use crate::rollout::HaltReason;
use crate::versions::{Fork, VersionId};

/// Maximum number of pending events. Further events are dropped.
const MAX_EVENTS: usize = 1_024;

/// A change that is reported in the server's log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member joined, left or failed.
    MemberStateChanged {
        /// The member.
        member: Member,
        /// Its new state.
        state: MemberState,
    },
    /// Other members declared this server down, and it rejoined.
    Rejoined,
    /// Two processes have the same name.
    DuplicateName {
        /// The process that was already known.
        known: Member,
        /// The process that joined.
        joined: Member,
    },
    /// A version was published at this server or has been received completely.
    VersionReceived(VersionId),
    /// This server activated a version.
    VersionActivated(VersionId),
    /// This server rejected a version.
    VersionRejected {
        /// The version.
        version: VersionId,
        /// Reason of the rejection.
        reason: String,
    },
    /// Two versions replace the same predecessor.
    VersionFork(Fork),
    /// The rollout of a version was halted on this server.
    RolloutHalted {
        /// The version.
        version: VersionId,
        /// Reason of the halt.
        reason: HaltReason,
    },
    /// This server admits no requests from now on.
    Excluded(ExclusionReason),
    /// This server admits requests again.
    Readmitted,
    /// More servers want to be excluded because of this version than are allowed.
    ExclusionLimitReached(VersionId),
    /// The audit chain of the server with this name was altered.
    AuditRecordAltered(String),
    /// The clock of the server with this name is too far ahead and is ignored.
    ClockSkewed(String),
    /// This process was paused for this many milliseconds.
    ProcessPaused(Millis),
}

/// Pending events, bounded to [`MAX_EVENTS`].
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
