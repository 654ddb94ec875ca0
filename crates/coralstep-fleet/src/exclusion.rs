//! When a server admits nothing: it is behind what is to be acted on, turned down what must be, was stopped and has not caught up, hears
//! nobody, or an operator says so. By itself, since nobody else can; what is known of the fleet is passed in with each look.
use serde::Serialize;

use crate::Millis;
use crate::versions::VersionId;

/// Part of the fleet that may be shut out at once for being behind; beyond it the version or the network is at fault.
pub const MAX_EXCLUDED_FRACTION: f64 = 0.3;
/// A gap of so long between two ticks is a pause of this process: what it knew before may be long over.
pub const MIN_PAUSE_MS: Millis = 2_000;
/// After a pause it admits nothing until a member that holds what it acts on was heard, or for so long at the most; and as long again while
/// it fetches what is newer.
pub const MAX_RESUME_MS: Millis = 3_000;
/// Who would shut itself out says so first, and waits so long to hear who else would: then the same few go, whoever reckons.
pub const ANNOUNCE_DELAY_MS: Millis = 2_000;
/// Advice of a server that is shut out and can't tell for how long.
const RETRY_AFTER_MS: Millis = 5_000;

/// Why a server admits nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExclusionReason {
    /// An operator said so.
    #[serde(rename = "by_hand")]
    ByOperator,
    /// It turned down a version that must be acted on.
    #[serde(rename = "turned_down")]
    RejectedVersion(VersionId),
    #[serde(rename = "behind")]
    Lagging(VersionId),
    /// It hears nobody.
    #[serde(rename = "silent")]
    Isolated,
    /// It was paused, and has not heard from the others since.
    Paused,
}

/// What operators set.
#[derive(Clone, Copy, Debug, Hash)]
pub struct ExclusionLimits {
    /// Behind what is to be acted on for longer than that: shut out.
    pub max_lag: Millis,
    /// Without any other member for longer than that: shut out where `silent_shuts`.
    pub max_silence: Millis,
    pub exclude_when_isolated: bool,
}

/// What is known of the version that is to be acted on, and of the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExclusionInputs {
    pub active_version: VersionId,
    /// The newest that is known, held or not; and the newest that is held and was not turned down.
    pub newest: VersionId,
    pub newest_accepted: VersionId,
    pub mandatory: bool,
    pub rejected: bool,
    /// Of what should be acted on: here, its wave's delay, its wave has come, its wave goes no further.
    pub held: bool,
    pub stage_delay: Millis,
    pub stage_due: bool,
    pub halted: bool,
    /// PeerAudits, and those of them that want to go or have gone before this server.
    pub others: usize,
    pub ahead: usize,
}

impl ExclusionInputs {
    /// What this server should act on by now.
    pub fn target(&self) -> VersionId {
        if self.rejected {
            self.newest_accepted
        } else {
            self.newest
        }
    }
}

/// What a look came to.
#[derive(Debug, Default, PartialEq)]
pub struct ExclusionDecision {
    /// Something that is said to the others has changed.
    pub status_changed: bool,
    /// ExclusionReason out or let in, where that changed.
    pub changed: Option<Option<ExclusionReason>>,
    /// More would be shut out than may be, told once a version.
    pub limit_reached: Option<VersionId>,
}

#[derive(Clone, Debug, Hash)]
pub struct ExclusionState {
    bounds: ExclusionLimits,
    by_hand: bool,
    reason: Option<ExclusionReason>,
    /// What it is behind, and when that is too long.
    behind: Option<(VersionId, Millis)>,
    /// Since when it would shut itself out for a version.
    wants_exclusion: Option<Millis>,
    /// When it last heard anybody.
    alone: Millis,
    /// Since when it goes on after a pause, and its first datagram from then on: what doesn't echo that may have been said before.
    resumed: Option<(Millis, u64)>,
    /// Since when it has heard again: what it hears of then is fetched before anything is admitted, if that comes soon.
    caught_up: Option<Millis>,
    told_too_many: Option<VersionId>,
}

impl ExclusionState {
    pub fn new(bounds: ExclusionLimits, now: Millis) -> ExclusionState {
        ExclusionState {
            bounds,
            by_hand: false,
            reason: None,
            behind: None,
            wants_exclusion: None,
            alone: now,
            resumed: None,
            caught_up: None,
            told_too_many: None,
        }
    }

    pub fn reason(&self) -> Option<&ExclusionReason> {
        self.reason.as_ref()
    }

    pub fn wants_exclusion(&self) -> bool {
        self.wants_exclusion.is_some()
    }

    pub fn set_by_operator(&mut self, shut: bool) {
        self.by_hand = shut;
    }

    /// Any datagram came. Not by the members: a large fleet is taken for gone one by one, which takes minutes.
    pub fn datagram_received(&mut self, now: Millis) {
        self.alone = now;
    }

    /// Guards against a process that was stopped and goes on as if no time had passed. `first`: its next datagram's number. Whether it was.
    pub fn detect_pause(&mut self, now: Millis, gap: Millis, first: u64, others: usize) -> bool {
        let is = gap > MIN_PAUSE_MS && self.resumed.is_none();
        if is && others > 0 {
            self.resumed = Some((now, first));
        }
        is
    }

    /// A member's own word came in answer to datagram `echo`. Guards against words from before a pause, which lay in the socket meanwhile.
    pub fn answer_received(&mut self, now: Millis, echo: u64) {
        if self.resumed.is_some_and(|(_, first)| echo >= first) {
            self.resumed = None;
            self.caught_up = Some(now);
        }
    }

    /// Whether this server is to be shut out, or let in again.
    pub fn evaluate(&mut self, now: Millis, facts: &ExclusionInputs) -> ExclusionDecision {
        let mut judged = ExclusionDecision::default();
        let target = facts.target();
        if target == facts.active_version || facts.halted || target < facts.active_version {
            self.behind = None;
        } else if self.behind.is_none_or(|(id, _)| id != target) {
            self.behind = Some((target, now + facts.stage_delay + self.bounds.max_lag));
        }
        // What it hears of after a pause comes first; a wave that is still to come is nothing to wait for.
        let fetches = self
            .caught_up
            .is_some_and(|since| now < since + MAX_RESUME_MS)
            && target > facts.active_version;
        let waits = facts.held && (facts.halted || !facts.stage_due);
        let behind = self
            .behind
            .filter(|(_, until)| now >= *until)
            .map(|(id, _)| ExclusionReason::Lagging(id));
        let refused = facts.mandatory && facts.rejected;
        let out = refused
            .then_some(ExclusionReason::RejectedVersion(facts.newest))
            .or(behind);
        if out.is_some() != self.wants_exclusion.is_some() {
            self.wants_exclusion = out.as_ref().map(|_| now);
            judged.status_changed = true;
        }
        let out = out.filter(|_| self.may(now, facts, &mut judged));
        // Who has nobody to hear is not cut off.
        let silent = self.bounds.exclude_when_isolated
            && now.saturating_sub(self.alone) > self.bounds.max_silence;
        let cause = match () {
            () if self.by_hand => Some(ExclusionReason::ByOperator),
            () if self
                .resumed
                .is_some_and(|(resumed, _)| now < resumed + MAX_RESUME_MS) =>
            {
                Some(ExclusionReason::Paused)
            }
            () if fetches && !waits => Some(ExclusionReason::Paused),
            () if out.is_some() => out,
            () if silent => Some(ExclusionReason::Isolated),
            () => None,
        };
        if cause != self.reason {
            self.reason = cause.clone();
            judged.changed = Some(cause);
            judged.status_changed = true;
        }
        judged
    }

    /// Guards against a version or a network at fault that takes the whole fleet away: of those who would go only so many do, first
    /// those who have gone, then by name, which all reckon alike.
    fn may(
        &mut self,
        now: Millis,
        facts: &ExclusionInputs,
        judged: &mut ExclusionDecision,
    ) -> bool {
        if self
            .wants_exclusion
            .is_none_or(|since| now < since + ANNOUNCE_DELAY_MS)
        {
            return false;
        }
        let all = facts.others + 1;
        let most = (all as f64 * MAX_EXCLUDED_FRACTION) as usize;
        let may = facts.ahead < if all >= 3 { most.max(1) } else { most };
        if !may && self.told_too_many != Some(facts.newest) {
            self.told_too_many = Some(facts.newest);
            judged.limit_reached = Some(facts.newest);
        }
        may
    }

    /// The same with all times reckoned from `now`, and those that are over as one: what acts alike from now on is alike.
    pub fn relative(&self, now: Millis) -> ExclusionState {
        let since = |at: Millis, most: Millis| now.saturating_sub(at).min(most + 1);
        ExclusionState {
            behind: self
                .behind
                .map(|(id, until)| (id, until.saturating_sub(now))),
            wants_exclusion: self.wants_exclusion.map(|at| since(at, ANNOUNCE_DELAY_MS)),
            alone: since(self.alone, self.bounds.max_silence),
            resumed: self
                .resumed
                .map(|(at, first)| (since(at, MAX_RESUME_MS), first)),
            caught_up: self.caught_up.map(|at| since(at, MAX_RESUME_MS)),
            ..self.clone()
        }
    }

    /// How long those that are turned away should stay away; none while this server admits.
    pub fn retry_after(&self, now: Millis) -> Option<Millis> {
        let left = self.resumed.map_or(0, |(resumed, _)| {
            (resumed + MAX_RESUME_MS).saturating_sub(now)
        });
        match self.reason.as_ref()? {
            ExclusionReason::Paused => Some(left.max(1)),
            // Nobody knows when: another look is worth while after a few rounds of words.
            _ => Some(RETRY_AFTER_MS),
        }
    }
}
