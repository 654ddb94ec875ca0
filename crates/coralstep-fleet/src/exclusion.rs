//! Exclusion: the decision whether this server admits requests.
//!
//! A server is excluded if it lags behind the version that should be active, rejected a mandatory
//! version, was paused and has not caught up, receives nothing from other members, or was excluded
//! by an operator.
//!
//! Each server decides for itself, because no other server could enforce the decision. What it
//! knows about the fleet is passed in with each evaluation.
use serde::Serialize;

use crate::Millis;
use crate::versions::VersionId;

/// Maximum fraction of the fleet that is excluded at a time because of a version. If more servers
/// qualify, the version or the network is faulty rather than the servers.
pub const MAX_EXCLUDED_FRACTION: f64 = 0.3;
/// Smallest fleet that may exclude one server even if [`MAX_EXCLUDED_FRACTION`] allows none.
const MIN_FLEET_WITH_EXCLUSION: usize = 3;
/// A longer gap between two timeouts, in milliseconds, means that the process was paused and that
/// its view of the fleet may be outdated.
pub const MIN_PAUSE_MS: Millis = 2_000;
/// Maximum time, in milliseconds, for which a server admits no requests after a pause while it
/// waits for the answer of a member, and again while it fetches a newer version.
pub const MAX_RESUME_MS: Millis = 3_000;
/// Time, in milliseconds, between a server's announcement that it wants to be excluded and its
/// exclusion. In this time it receives the announcements of other servers, so that all servers
/// select the same few.
pub const ANNOUNCE_DELAY_MS: Millis = 2_000;
/// Retry-After of rejected requests if the end of the exclusion is unknown, in milliseconds: a few
/// gossip rounds.
const RETRY_AFTER_MS: Millis = 5_000;

/// Reason why a server is excluded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExclusionReason {
    /// An operator excluded the server.
    #[serde(rename = "by_hand")]
    ByOperator,
    /// The server rejected this mandatory version.
    #[serde(rename = "turned_down")]
    RejectedVersion(VersionId),
    /// The server did not activate this version in time.
    #[serde(rename = "behind")]
    Lagging(VersionId),
    /// The server receives nothing from any member.
    #[serde(rename = "silent")]
    Isolated,
    /// The process was paused and has not caught up yet.
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

    /// Returns the version that caused the exclusion, if any.
    pub fn version(&self) -> Option<VersionId> {
        match self {
            ExclusionReason::RejectedVersion(version) | ExclusionReason::Lagging(version) => {
                Some(*version)
            }
            _ => None,
        }
    }
}

/// Limits from the fleet's settings.
#[derive(Clone, Copy, Debug, Hash)]
pub struct ExclusionLimits {
    /// Maximum time that a server may lag before it excludes itself, in milliseconds.
    pub max_lag: Millis,
    /// Maximum time without a received datagram before the server counts as isolated, in
    /// milliseconds.
    pub max_silence: Millis,
    /// Whether an isolated server excludes itself.
    pub exclude_when_isolated: bool,
}

/// The server's current view of the fleet and of the version that should be active.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExclusionInputs {
    /// The version that is active on this server.
    pub active_version: VersionId,
    /// The newest known version, whether held by this server or not.
    pub newest: VersionId,
    /// The newest version that this server holds and has not rejected.
    pub newest_accepted: VersionId,
    /// Whether the newest known version is mandatory.
    pub newest_mandatory: bool,
    /// Whether this server rejected the newest known version.
    pub newest_rejected: bool,
    /// Whether the [target](ExclusionInputs::target) is held by this server.
    pub target_held: bool,
    /// Delay of this server's rollout stage of the target, in milliseconds.
    pub stage_delay: Millis,
    /// Whether this server's rollout stage of the target is due.
    pub stage_due: bool,
    /// Whether the rollout of the target was halted on this server.
    pub halted: bool,
    /// Number of other members that are present.
    pub other_members: usize,
    /// Number of those members that want to be excluded and rank before this server.
    pub candidates_before: usize,
}

impl ExclusionInputs {
    /// Returns the version that should be active on this server.
    pub fn target(&self) -> VersionId {
        if self.newest_rejected {
            self.newest_accepted
        } else {
            self.newest
        }
    }
}

/// Result of [`ExclusionState::evaluate`].
#[derive(Debug, Default, PartialEq)]
pub struct ExclusionDecision {
    /// Whether the exclusion fields of this server's status have changed.
    pub status_changed: bool,
    /// Set if the reason has changed: the new reason, or `None` if the server admits requests again.
    pub new_reason: Option<Option<ExclusionReason>>,
    /// Set, once per version, if more servers want to be excluded because of it than are allowed.
    pub limit_reached: Option<VersionId>,
}

/// A newer version that this server has not activated, and the time by which it must.
#[derive(Clone, Copy, Debug, Hash)]
struct Lag {
    target: VersionId,
    deadline: Millis,
}

/// The end of a pause.
#[derive(Clone, Copy, Debug, Hash)]
struct Resumption {
    at: Millis,
    /// Sequence number of the first datagram sent after the pause.
    first_datagram: u64,
}

/// State from which the exclusion of this server is decided.
#[derive(Clone, Debug, Hash)]
pub struct ExclusionState {
    limits: ExclusionLimits,
    by_operator: bool,
    reason: Option<ExclusionReason>,
    lag: Option<Lag>,
    /// When the server began to want exclusion because of a version.
    wants_exclusion_since: Option<Millis>,
    last_received: Millis,
    /// The end of the last pause, until a member has answered.
    resumption: Option<Resumption>,
    /// When a member first answered after the last pause.
    answered_at: Option<Millis>,
    /// The version for which `limit_reached` was last reported.
    limit_reported_for: Option<VersionId>,
}

impl ExclusionState {
    /// Returns the state of a server that starts at `now` and admits requests.
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
            limit_reported_for: None,
        }
    }

    /// Returns why the server is excluded, or `None` if it admits requests.
    pub fn reason(&self) -> Option<&ExclusionReason> {
        self.reason.as_ref()
    }

    /// Returns whether the server wants to be excluded because of a version. It is excluded only if
    /// not too many other servers want the same.
    pub fn wants_exclusion(&self) -> bool {
        self.wants_exclusion_since.is_some()
    }

    /// Applies an operator's order. It takes effect with the next evaluation.
    pub fn set_by_operator(&mut self, exclude: bool) {
        self.by_operator = exclude;
    }

    /// Records the arrival of a datagram.
    ///
    /// Isolation is detected by missing datagrams rather than by the number of present members,
    /// because SWIM takes minutes to mark all members of a large fleet as down.
    pub fn datagram_received(&mut self, now: Millis) {
        self.last_received = now;
    }

    /// Returns whether the process was paused, given the `gap` in milliseconds since the last
    /// timeout.
    ///
    /// Guards against a process that was stopped and resumes as if no time had passed.
    /// `next_datagram` is the sequence number of the next datagram to be sent.
    pub fn detect_pause(
        &mut self,
        now: Millis,
        gap: Millis,
        next_datagram: u64,
        other_members: usize,
    ) -> bool {
        let was_paused = gap > MIN_PAUSE_MS && self.resumption.is_none();
        if was_paused && other_members > 0 {
            self.resumption = Some(Resumption {
                at: now,
                first_datagram: next_datagram,
            });
        }
        was_paused
    }

    /// Records that a member sent its own status after it had received the datagram `echo`.
    ///
    /// Guards against statuses sent before the pause that were queued in the socket's buffer.
    pub fn answer_received(&mut self, now: Millis, echo: u64) {
        let is_answer = |resumption: &Resumption| echo >= resumption.first_datagram;
        if self.resumption.as_ref().is_some_and(is_answer) {
            self.resumption = None;
            self.answered_at = Some(now);
        }
    }

    /// Decides whether the server is excluded.
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
        let reason = self.select_reason(now, inputs, version_reason);
        if reason != self.reason {
            self.reason.clone_from(&reason);
            decision.new_reason = Some(reason);
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

    /// Returns the reason for an exclusion because of a version, regardless of other servers.
    fn version_reason(&self, now: Millis, inputs: &ExclusionInputs) -> Option<ExclusionReason> {
        if inputs.newest_mandatory && inputs.newest_rejected {
            return Some(ExclusionReason::RejectedVersion(inputs.newest));
        }
        self.lag
            .filter(|lag| now >= lag.deadline)
            .map(|lag| ExclusionReason::Lagging(lag.target))
    }

    /// Guards against a faulty version or network that excludes the whole fleet.
    ///
    /// Only a limited number of the servers that want to be excluded are: those that are already
    /// excluded first, then by name. All servers compute the same order.
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
        let allowed_by_fraction = (servers as f64 * MAX_EXCLUDED_FRACTION) as usize;
        let max_excluded = if servers >= MIN_FLEET_WITH_EXCLUSION {
            allowed_by_fraction.max(1)
        } else {
            allowed_by_fraction
        };
        let is_allowed = inputs.candidates_before < max_excluded;
        if !is_allowed && self.limit_reported_for != Some(inputs.newest) {
            self.limit_reported_for = Some(inputs.newest);
            decision.limit_reached = Some(inputs.newest);
        }
        is_allowed
    }

    /// Returns the reason with the highest precedence, or `None` if the server admits requests.
    fn select_reason(
        &self,
        now: Millis,
        inputs: &ExclusionInputs,
        version_reason: Option<ExclusionReason>,
    ) -> Option<ExclusionReason> {
        if self.by_operator {
            return Some(ExclusionReason::ByOperator);
        }
        if self.is_awaiting_answer(now) || self.is_catching_up(now, inputs) {
            return Some(ExclusionReason::Paused);
        }
        if version_reason.is_some() {
            return version_reason;
        }
        self.is_isolated(now).then_some(ExclusionReason::Isolated)
    }

    /// Returns whether the server still waits for a member's answer after a pause.
    fn is_awaiting_answer(&self, now: Millis) -> bool {
        self.resumption
            .is_some_and(|resumption| now < resumption.at + MAX_RESUME_MS)
    }

    /// Returns whether the server still fetches a newer version after a pause. It does not wait for a
    /// rollout stage that is not due yet.
    fn is_catching_up(&self, now: Millis, inputs: &ExclusionInputs) -> bool {
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

    /// Returns the state with all times relative to `now` and capped once they have expired, so
    /// that states which lead to the same decisions compare equal.
    pub fn relative(&self, now: Millis) -> ExclusionState {
        let capped_age = |at: Millis, max_age: Millis| now.saturating_sub(at).min(max_age + 1);
        ExclusionState {
            lag: self.lag.map(|lag| Lag {
                deadline: lag.deadline.saturating_sub(now),
                ..lag
            }),
            wants_exclusion_since: self
                .wants_exclusion_since
                .map(|at| capped_age(at, ANNOUNCE_DELAY_MS)),
            last_received: capped_age(self.last_received, self.limits.max_silence),
            resumption: self.resumption.map(|resumption| Resumption {
                at: capped_age(resumption.at, MAX_RESUME_MS),
                ..resumption
            }),
            answered_at: self.answered_at.map(|at| capped_age(at, MAX_RESUME_MS)),
            ..self.clone()
        }
    }

    /// Returns the Retry-After of rejected requests in milliseconds, or `None` if the server admits
    /// requests.
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
