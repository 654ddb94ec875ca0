//! When a server admits no requests: it lags behind the version to be active, rejected a
//! mandatory one, was paused and has not caught up, hears no other member, or an operator
//! ordered it.
//!
//! Each server decides for itself, since no other one can; what it knows of the fleet is passed
//! in with each evaluation.
use serde::Serialize;

use crate::Millis;
use crate::versions::VersionId;

/// Fraction of the fleet that may be excluded at once for a version; beyond it the version or the
/// network is at fault.
pub const MAX_EXCLUDED_FRACTION: f64 = 0.3;
/// A fleet of so many servers may always exclude one.
const MIN_FLEET_WITH_EXCLUSION: usize = 3;
/// A gap of more than this between two ticks is a pause of the process, in milliseconds: what it
/// knew before may be long outdated.
pub const MIN_PAUSE_MS: Millis = 2_000;
/// After a pause a server admits nothing until a member has answered it, for so many milliseconds
/// at the most; and for as long again while it fetches what is newer.
pub const MAX_RESUME_MS: Millis = 3_000;
/// A server that would exclude itself announces so, and waits for so many milliseconds to receive
/// the announcements of others: then all pick the same few.
pub const ANNOUNCE_DELAY_MS: Millis = 2_000;
/// What callers are told to wait, in milliseconds, where the end of an exclusion is not known: a
/// few rounds of gossip.
const RETRY_AFTER_MS: Millis = 5_000;

/// Why a server admits no requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExclusionReason {
    /// An operator ordered it.
    #[serde(rename = "by_hand")]
    ByOperator,
    /// It rejected this mandatory version.
    #[serde(rename = "turned_down")]
    RejectedVersion(VersionId),
    /// It has not activated this version for too long.
    #[serde(rename = "behind")]
    Lagging(VersionId),
    /// It receives nothing from any member.
    #[serde(rename = "silent")]
    Isolated,
    /// It was paused, and has not caught up since.
    Paused,
}

impl ExclusionReason {
    /// Returns the reason's name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            ExclusionReason::ByOperator => "by_operator",
            ExclusionReason::RejectedVersion(_) => "rejected_version",
            ExclusionReason::Lagging(_) => "lagging",
            ExclusionReason::Isolated => "isolated",
            ExclusionReason::Paused => "paused",
        }
    }

    /// Returns the version that it is for, if it is for one.
    pub fn version(&self) -> Option<VersionId> {
        match self {
            ExclusionReason::RejectedVersion(version) | ExclusionReason::Lagging(version) => {
                Some(*version)
            }
            _ => None,
        }
    }
}

/// The operators' settings.
#[derive(Clone, Copy, Debug, Hash)]
pub struct ExclusionLimits {
    /// A server that lags for longer excludes itself, in milliseconds.
    pub max_lag: Millis,
    /// A server that receives nothing for longer is isolated, in milliseconds.
    pub max_silence: Millis,
    /// Whether an isolated server excludes itself.
    pub exclude_when_isolated: bool,
}

/// What a server knows of the fleet and of the version to be active.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExclusionInputs {
    /// The version that is active here.
    pub active_version: VersionId,
    /// The newest version that is known, held or not.
    pub newest: VersionId,
    /// The newest version that is held and was not rejected.
    pub newest_accepted: VersionId,
    /// Whether the newest known version is mandatory.
    pub newest_mandatory: bool,
    /// Whether the newest known version was rejected here.
    pub newest_rejected: bool,
    /// Whether the [target](ExclusionInputs::target) is held here.
    pub target_held: bool,
    /// Delay of this server's rollout stage of the target, in milliseconds.
    pub stage_delay: Millis,
    /// Whether this server's rollout stage of the target has come.
    pub stage_due: bool,
    /// Whether the rollout of the target was halted here.
    pub halted: bool,
    /// Other members that are present.
    pub other_members: usize,
    /// Those of them that want to be excluded, or are, and go before this server.
    pub candidates_before: usize,
}

impl ExclusionInputs {
    /// Returns the version that should be active here.
    pub fn target(&self) -> VersionId {
        if self.newest_rejected {
            self.newest_accepted
        } else {
            self.newest
        }
    }
}

/// The result of an evaluation.
#[derive(Debug, Default, PartialEq)]
pub struct ExclusionDecision {
    /// Whether what the status reports of the exclusion has changed.
    pub status_changed: bool,
    /// The new reason of the exclusion, or none for admission, where that has changed.
    pub changed: Option<Option<ExclusionReason>>,
    /// Set where more servers would be excluded for this version than may be; once a version.
    pub limit_reached: Option<VersionId>,
}

/// A version that is not active here, and when that has lasted for too long.
#[derive(Clone, Copy, Debug, Hash)]
struct Lag {
    target: VersionId,
    deadline: Millis,
}

/// The end of a pause.
#[derive(Clone, Copy, Debug, Hash)]
struct Resumption {
    at: Millis,
    /// Sequence number of the first datagram that is sent afterwards.
    first_datagram: u64,
}

/// Decides whether this server is excluded.
#[derive(Clone, Debug, Hash)]
pub struct ExclusionState {
    limits: ExclusionLimits,
    by_operator: bool,
    reason: Option<ExclusionReason>,
    lag: Option<Lag>,
    /// Since when it would exclude itself for a version.
    wants_exclusion_since: Option<Millis>,
    last_received: Millis,
    /// The last pause, until a member has answered.
    resumption: Option<Resumption>,
    /// When a member answered after a pause.
    answered_at: Option<Millis>,
    /// The version for which `limit_reached` was reported last.
    reported_limit: Option<VersionId>,
}

impl ExclusionState {
    /// Returns the state of a server that starts `now` and admits requests.
    pub fn new(limits: ExclusionLimits, now: Millis) -> ExclusionState {
        ExclusionState {
            limits,
            by_operator: false,
            reason: None,
            lag: None,
            wants_exclusion_since: None,
            last_received: now,
            resumption: None,
            answered_at: None,
            reported_limit: None,
        }
    }

    /// Returns why the server is excluded; none while it admits requests.
    pub fn reason(&self) -> Option<&ExclusionReason> {
        self.reason.as_ref()
    }

    /// Returns whether the server would exclude itself for a version, if not too many did.
    pub fn wants_exclusion(&self) -> bool {
        self.wants_exclusion_since.is_some()
    }

    /// Follows an operator's order from the next evaluation on.
    pub fn set_by_operator(&mut self, exclude: bool) {
        self.by_operator = exclude;
    }

    /// Notes that a datagram arrived. Isolation goes by datagrams, not by the members that are
    /// present: those of a large fleet are found to be unreachable one by one, over minutes.
    pub fn datagram_received(&mut self, now: Millis) {
        self.last_received = now;
    }

    /// Returns whether the process was paused, `gap` milliseconds after its last tick.
    ///
    /// Guards against a process that was stopped and continues as if no time had passed.
    /// `next_datagram` is the sequence number of the next datagram that it sends.
    pub fn detect_pause(
        &mut self,
        now: Millis,
        gap: Millis,
        next_datagram: u64,
        others: usize,
    ) -> bool {
        let was_paused = gap > MIN_PAUSE_MS && self.resumption.is_none();
        if was_paused && others > 0 {
            self.resumption = Some(Resumption {
                at: now,
                first_datagram: next_datagram,
            });
        }
        was_paused
    }

    /// Notes a member's own status that was sent in answer to datagram `echo`.
    ///
    /// Guards against statuses from before a pause, which lay in the socket meanwhile.
    pub fn answer_received(&mut self, now: Millis, echo: u64) {
        let is_answer = |resumption: &Resumption| echo >= resumption.first_datagram;
        if self.resumption.as_ref().is_some_and(is_answer) {
            self.resumption = None;
            self.answered_at = Some(now);
        }
    }

    /// Decides whether the server is excluded or admits requests.
    pub fn evaluate(&mut self, now: Millis, inputs: &ExclusionInputs) -> ExclusionDecision {
        let mut decision = ExclusionDecision::default();
        self.update_lag(now, inputs);
        let version_reason = self.version_reason(now, inputs);
        if version_reason.is_some() != self.wants_exclusion() {
            self.wants_exclusion_since = version_reason.as_ref().map(|_| now);
            decision.status_changed = true;
        }
        let version_reason =
            version_reason.filter(|_| self.may_exclude_itself(now, inputs, &mut decision));
        let reason = self.first_reason(now, inputs, version_reason);
        if reason != self.reason {
            self.reason.clone_from(&reason);
            decision.changed = Some(reason);
            decision.status_changed = true;
        }
        decision
    }

    fn update_lag(&mut self, now: Millis, inputs: &ExclusionInputs) {
        let target = inputs.target();
        if target <= inputs.active_version || inputs.halted {
            self.lag = None;
        } else if self.lag.is_none_or(|lag| lag.target != target) {
            self.lag = Some(Lag {
                target,
                deadline: now + inputs.stage_delay + self.limits.max_lag,
            });
        }
    }

    /// Returns the reason to be excluded for a version, whatever the others do.
    fn version_reason(&self, now: Millis, inputs: &ExclusionInputs) -> Option<ExclusionReason> {
        if inputs.newest_mandatory && inputs.newest_rejected {
            return Some(ExclusionReason::RejectedVersion(inputs.newest));
        }
        self.lag
            .filter(|lag| now >= lag.deadline)
            .map(|lag| ExclusionReason::Lagging(lag.target))
    }

    /// Guards against a version or a network at fault that excludes the whole fleet: of the
    /// servers that want it only so many go, the excluded ones first, then by name, which all
    /// servers work out alike.
    fn may_exclude_itself(
        &mut self,
        now: Millis,
        inputs: &ExclusionInputs,
        decision: &mut ExclusionDecision,
    ) -> bool {
        let has_waited = self
            .wants_exclusion_since
            .is_some_and(|since| now >= since + ANNOUNCE_DELAY_MS);
        if !has_waited {
            return false;
        }
        let servers = inputs.other_members + 1;
        let share = (servers as f64 * MAX_EXCLUDED_FRACTION) as usize;
        let max_excluded = if servers >= MIN_FLEET_WITH_EXCLUSION {
            share.max(1)
        } else {
            share
        };
        let may = inputs.candidates_before < max_excluded;
        if !may && self.reported_limit != Some(inputs.newest) {
            self.reported_limit = Some(inputs.newest);
            decision.limit_reached = Some(inputs.newest);
        }
        may
    }

    /// Returns the reason that comes first; none where the server admits requests.
    fn first_reason(
        &self,
        now: Millis,
        inputs: &ExclusionInputs,
        version_reason: Option<ExclusionReason>,
    ) -> Option<ExclusionReason> {
        if self.by_operator {
            return Some(ExclusionReason::ByOperator);
        }
        if self.awaits_answer(now) || self.catches_up(now, inputs) {
            return Some(ExclusionReason::Paused);
        }
        if version_reason.is_some() {
            return version_reason;
        }
        self.is_isolated(now).then_some(ExclusionReason::Isolated)
    }

    /// Returns whether no member has answered since a pause.
    fn awaits_answer(&self, now: Millis) -> bool {
        self.resumption
            .is_some_and(|resumption| now < resumption.at + MAX_RESUME_MS)
    }

    /// Returns whether a newer version is fetched after a pause. A rollout stage that is still to
    /// come is not waited for.
    fn catches_up(&self, now: Millis, inputs: &ExclusionInputs) -> bool {
        let is_recent = self
            .answered_at
            .is_some_and(|answered_at| now < answered_at + MAX_RESUME_MS);
        let awaits_stage = inputs.target_held && (inputs.halted || !inputs.stage_due);
        is_recent && inputs.target() > inputs.active_version && !awaits_stage
    }

    fn is_isolated(&self, now: Millis) -> bool {
        let silence = now.saturating_sub(self.last_received);
        self.limits.exclude_when_isolated && silence > self.limits.max_silence
    }

    /// Returns the same state with all times counted from `now`, and all times that have run out
    /// set equal: two states that lead to the same decisions become equal.
    pub fn relative(&self, now: Millis) -> ExclusionState {
        let since = |at: Millis, bound: Millis| now.saturating_sub(at).min(bound + 1);
        ExclusionState {
            lag: self.lag.map(|lag| Lag {
                deadline: lag.deadline.saturating_sub(now),
                ..lag
            }),
            wants_exclusion_since: self
                .wants_exclusion_since
                .map(|at| since(at, ANNOUNCE_DELAY_MS)),
            last_received: since(self.last_received, self.limits.max_silence),
            resumption: self.resumption.map(|resumption| Resumption {
                at: since(resumption.at, MAX_RESUME_MS),
                ..resumption
            }),
            answered_at: self.answered_at.map(|at| since(at, MAX_RESUME_MS)),
            ..self.clone()
        }
    }

    /// Returns how long rejected callers should wait, in milliseconds; none while the server
    /// admits requests.
    pub fn retry_after(&self, now: Millis) -> Option<Millis> {
        match self.reason.as_ref()? {
            ExclusionReason::Paused => {
                let resumed_by = self
                    .resumption
                    .map_or(0, |resumption| resumption.at + MAX_RESUME_MS);
                Some(resumed_by.saturating_sub(now).max(1))
            }
            _ => Some(RETRY_AFTER_MS),
        }
    }
}
