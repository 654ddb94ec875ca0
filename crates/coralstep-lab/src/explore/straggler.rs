//! Model of the exclusion of one member in a small scope: it learns of versions, receives, activates or rejects them; its process is
//! paused; answers from before and after a pause arrive; it receives nothing; an operator excludes it. When it may admit requests is
//! computed here independently, from the events alone.
use std::hash::{DefaultHasher, Hash, Hasher};

use coralstep_fleet::VersionId;
use coralstep_fleet::exclusion::{
    ANNOUNCE_DELAY_MS, ExclusionInputs, ExclusionLimits, ExclusionState, MAX_RESUME_MS,
    MIN_PAUSE_MS,
};

use super::Model;

/// Interval between two evaluations on a slow machine, in milliseconds.
const EVALUATION_INTERVAL_MS: u64 = 500;
const MAX_LAG_MS: u64 = 3_000;
const MAX_SILENCE_MS: u64 = 4_000;
const MAX_VERSIONS: u64 = 2;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    #[default]
    None,
    /// The member does not detect that its process was paused.
    MissesPause,
    /// An answer to a datagram from before the pause readmits the member.
    AcceptsStaleAnswers,
    /// The member never counts as lagging.
    NeverLags,
    /// A member that rejected a mandatory version keeps admitting.
    IgnoresRejectedVersion,
    /// An exclusion by the operator is never lifted.
    StaysExcluded,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Scope {
    pub injected_fault: InjectedFault,
    /// Whether a member that receives nothing from its peers is excluded.
    pub exclude_when_isolated: bool,
}

/// Conditions derived from the events, without the state under test. Times are in milliseconds and mark the start of a condition.
#[derive(Clone, Copy, Debug, Default)]
struct Expected {
    by_operator: bool,
    /// A newer version should be active.
    lagging_since: Option<u64>,
    rejected_since: Option<u64>,
    /// The process was resumed and has received no answer since.
    unanswered_since: Option<u64>,
    last_received: u64,
    /// Another member takes the only place among those that may be excluded.
    no_room_since: Option<u64>,
    room_changed_at: u64,
}

pub struct LaggingMember {
    scope: Scope,
    now: u64,
    exclusion: ExclusionState,
    inputs: ExclusionInputs,
    datagrams_sent: u64,
    expected: Expected,
    violation: Option<String>,
}

const ACTIONS: [&str; 13] = [
    "half a second passes",
    "five seconds pass",
    "learns of a version",
    "receives the version",
    "activates the version",
    "rejects the version",
    "is paused for three seconds",
    "receives an answer",
    "receives a stale answer",
    "receives nothing for five seconds",
    "is excluded by the operator",
    "is readmitted by the operator",
    "another member is excluded or readmitted",
];

impl LaggingMember {
    /// Advances time in evaluation intervals; `receives` tells whether a datagram arrives in each.
    fn advance(&mut self, ms: u64, receives: bool) {
        for _ in 0..ms / EVALUATION_INTERVAL_MS {
            self.now += EVALUATION_INTERVAL_MS;
            if receives {
                self.receive_datagram();
            }
            self.evaluate();
        }
    }

    fn receive_datagram(&mut self) {
        self.exclusion.datagram_received(self.now);
        self.expected.last_received = self.now;
    }

    fn evaluate(&mut self) {
        self.datagrams_sent += 1;
        self.exclusion.evaluate(self.now, &self.inputs);
        let admits = self.exclusion.retry_after(self.now).is_none();
        let over =
            |since: Option<u64>, bound: u64| since.is_some_and(|since| self.now > since + bound);
        let expected = &self.expected;
        // The member waits for announcements of others before it excludes itself: there must have been room for that long.
        let has_room = expected.no_room_since.is_none()
            && self.now > expected.room_changed_at + ANNOUNCE_DELAY_MS + EVALUATION_INTERVAL_MS;
        let unconfirmed = expected
            .unanswered_since
            .is_some_and(|since| self.now < since + MAX_RESUME_MS);
        let why = match () {
            () if !admits => return,
            () if expected.by_operator => "although excluded by the operator",
            () if unconfirmed => "after a pause, before any answer",
            () if has_room
                && over(
                    expected.lagging_since,
                    MAX_LAG_MS + ANNOUNCE_DELAY_MS + EVALUATION_INTERVAL_MS,
                ) =>
            {
                "although it lags for longer than its limit"
            }
            () if has_room
                && over(
                    expected.rejected_since,
                    ANNOUNCE_DELAY_MS + EVALUATION_INTERVAL_MS,
                ) =>
            {
                "although it rejected a mandatory version"
            }
            () if self.scope.exclude_when_isolated
                && self.now > expected.last_received + MAX_SILENCE_MS + EVALUATION_INTERVAL_MS =>
            {
                "although it is isolated"
            }
            () => return,
        };
        self.violation
            .get_or_insert(format!("the member admits requests {why}"));
    }

    /// Returns the version id with this number, the same for all members.
    fn version_id(number: u64) -> VersionId {
        VersionId {
            number,
            ..VersionId::default()
        }
    }

    fn update_expected(&mut self) {
        let target = self.inputs.target();
        let lags = target > self.inputs.active_version;
        self.expected.lagging_since = lags.then(|| self.expected.lagging_since.unwrap_or(self.now));
        let refuses = self.inputs.newest_mandatory && self.inputs.newest_rejected;
        self.expected.rejected_since =
            refuses.then(|| self.expected.rejected_since.unwrap_or(self.now));
    }
}

impl Model for LaggingMember {
    type Scope = Scope;

    fn start(scope: &Scope) -> LaggingMember {
        let max_lag = if scope.injected_fault == InjectedFault::NeverLags {
            u64::MAX / 4
        } else {
            MAX_LAG_MS
        };
        let limits = ExclusionLimits {
            max_lag,
            max_silence: MAX_SILENCE_MS,
            exclude_when_isolated: scope.exclude_when_isolated,
        };
        let now = 60_000;
        let inputs = ExclusionInputs {
            other_members: 4,
            target_held: true,
            stage_due: true,
            ..ExclusionInputs::default()
        };
        let expected = Expected {
            last_received: now,
            ..Expected::default()
        };
        LaggingMember {
            scope: *scope,
            now,
            exclusion: ExclusionState::new(limits, now),
            inputs,
            datagrams_sent: 0,
            expected,
            violation: None,
        }
    }

    fn actions(&self) -> Vec<u8> {
        let (inputs, expected) = (&self.inputs, &self.expected);
        let lags = inputs.newest > inputs.active_version && !inputs.newest_rejected;
        let possible = |action: &u8| match action {
            2 => inputs.newest.number < MAX_VERSIONS,
            3 => lags && !inputs.target_held,
            4 | 5 => lags && inputs.target_held,
            10 => !expected.by_operator,
            11 => expected.by_operator,
            _ => true,
        };
        (0..ACTIONS.len() as u8).filter(possible).collect()
    }

    fn apply(&mut self, action: u8) {
        if !self.actions().contains(&action) {
            return;
        }
        match action {
            0 => self.advance(EVALUATION_INTERVAL_MS, true),
            1 => self.advance(5_000, true),
            2 => {
                self.inputs.newest = LaggingMember::version_id(self.inputs.newest.number + 1);
                (
                    self.inputs.target_held,
                    self.inputs.newest_mandatory,
                    self.inputs.newest_rejected,
                ) = (false, false, false);
                // The lag is measured anew for each version.
                self.expected.lagging_since = None;
            }
            3 => (self.inputs.target_held, self.inputs.newest_mandatory) = (true, true),
            4 => {
                (self.inputs.active_version, self.inputs.newest_accepted) =
                    (self.inputs.newest, self.inputs.newest);
            }
            5 => {
                self.inputs.newest_rejected = true;
                self.inputs.newest_accepted = self.inputs.active_version;
            }
            6 => {
                self.now += MIN_PAUSE_MS + 1_000;
                if self.scope.injected_fault != InjectedFault::MissesPause
                    && self.exclusion.detect_pause(
                        self.now,
                        MIN_PAUSE_MS + 1_000,
                        self.datagrams_sent + 1,
                        self.inputs.other_members,
                    )
                {
                    self.expected.unanswered_since = Some(self.now);
                }
                if self.scope.injected_fault == InjectedFault::MissesPause {
                    self.expected.unanswered_since.get_or_insert(self.now);
                }
            }
            7 => {
                self.datagrams_sent += 1;
                self.exclusion
                    .answer_received(self.now, self.datagrams_sent);
                self.receive_datagram();
                self.expected.unanswered_since = None;
            }
            8 => {
                let echo = if self.scope.injected_fault == InjectedFault::AcceptsStaleAnswers {
                    u64::MAX
                } else {
                    0
                };
                self.exclusion.answer_received(self.now, echo);
                self.receive_datagram();
            }
            9 => self.advance(5_000, false),
            10 => {
                self.exclusion.set_by_operator(true);
                self.expected.by_operator = true;
            }
            11 => {
                self.exclusion
                    .set_by_operator(self.scope.injected_fault == InjectedFault::StaysExcluded);
                self.expected.by_operator = false;
            }
            _ => {
                self.inputs.candidates_before = 1 - self.inputs.candidates_before;
                self.expected.no_room_since =
                    (self.inputs.candidates_before > 0).then_some(self.now);
                self.expected.room_changed_at = self.now;
            }
        }
        if self.scope.injected_fault == InjectedFault::IgnoresRejectedVersion {
            self.inputs.newest_mandatory = false;
        }
        self.update_expected();
        if self.scope.injected_fault == InjectedFault::IgnoresRejectedVersion
            && self.inputs.newest_rejected
        {
            self.expected.rejected_since.get_or_insert(self.now);
        }
        self.evaluate();
    }

    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.exclusion.relative(self.now).hash(&mut hasher);
        let expected = self.expected;
        let age = |at: u64| (self.now - at).min(12_000);
        format!(
            "{:?} {:?} {:?} {:?} {:?}",
            self.inputs,
            (
                expected.by_operator,
                expected.lagging_since.map(age),
                expected.rejected_since.map(age),
                expected.unanswered_since.map(age)
            ),
            (
                age(expected.last_received),
                expected.no_room_since.is_some(),
                age(expected.room_changed_at)
            ),
            // Sequence numbers are left out: the next answer always refers to a datagram sent after the pause.
            self.violation.is_some(),
            self.scope.exclude_when_isolated
        )
        .hash(&mut hasher);
        hasher.finish()
    }

    fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    fn check_recovery(mut self) -> Option<String> {
        if self.expected.by_operator {
            self.apply(11);
        }
        if self.inputs.candidates_before > 0 {
            self.apply(12);
        }
        // A rollback is a new version, which the member activates.
        self.inputs.newest = LaggingMember::version_id(self.inputs.newest.number + 1);
        (
            self.inputs.target_held,
            self.inputs.newest_rejected,
            self.inputs.newest_mandatory,
        ) = (true, false, false);
        (self.inputs.active_version, self.inputs.newest_accepted) =
            (self.inputs.newest, self.inputs.newest);
        self.update_expected();
        self.apply(7);
        self.advance(MAX_RESUME_MS + 2 * EVALUATION_INTERVAL_MS, true);
        let exclusion_reason = self.exclusion.reason().cloned();
        self.violation.or_else(|| {
            exclusion_reason
                .map(|exclusion_reason| format!("the member stays excluded: {exclusion_reason:?}"))
        })
    }

    fn action_name(action: u8) -> &'static str {
        ACTIONS[usize::from(action) % ACTIONS.len()]
    }
}

#[cfg(test)]
mod tests;
