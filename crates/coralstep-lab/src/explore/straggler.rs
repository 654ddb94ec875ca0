//! One server that may fall behind, in a small scope: versions that it hears of, gets, takes up or turns down, stops of the process, words
//! from before and after a stop, silence, and an operator. What it may admit and when is reckoned here a second time, from what happened.
use std::hash::{DefaultHasher, Hash, Hasher};

use coralstep_fleet::VersionId;
use coralstep_fleet::exclusion::{
    ANNOUNCE_DELAY_MS, ExclusionInputs, ExclusionLimits, ExclusionState, MAX_RESUME_MS,
    MIN_PAUSE_MS,
};

use super::Play;

/// Between two looks, as a slow machine makes them, in milliseconds.
const LOOK: u64 = 500;
const BEHIND: u64 = 3_000;
const SILENT: u64 = 4_000;
const VERSIONS_MOST: u64 = 2;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cheat {
    #[default]
    None,
    /// It doesn't see that it was stopped.
    Sleeps,
    /// Words from before a stop let it in.
    OldWords,
    /// It is never behind.
    Patient,
    /// What turned down a version that must be acted on goes on.
    Stubborn,
    /// Once shut out by hand, for good.
    Deaf,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Scope {
    pub cheat: Cheat,
    /// The operator's choice for who hears nobody.
    pub silent_shuts: bool,
}

/// What happened, apart from the server's own books; times are when it began.
#[derive(Clone, Copy, Debug, Default)]
struct Truth {
    by_hand: bool,
    /// It should act on something newer.
    lags: Option<u64>,
    refuses: Option<u64>,
    /// It went on after a stop and no answer came since.
    unanswered: Option<u64>,
    heard: u64,
    /// Somebody else is out before it.
    crowded: Option<u64>,
    roomy: u64,
}

pub struct Lag {
    scope: Scope,
    now: u64,
    straggler: ExclusionState,
    facts: ExclusionInputs,
    spoken: u64,
    truth: Truth,
    broken: Option<String>,
}

const KINDS: [&str; 13] = [
    "half a second passes",
    "five seconds pass",
    "hears of a version",
    "gets it",
    "takes it up",
    "turns it down",
    "is stopped for three seconds",
    "is answered",
    "reads an old word",
    "hears nobody for five seconds",
    "is shut out by hand",
    "is let in by hand",
    "another one is out, or back",
];

impl Lag {
    /// So much time passes, with looks or without any.
    fn pass(&mut self, ms: u64, hears: bool) {
        for _ in 0..ms / LOOK {
            self.now += LOOK;
            if hears {
                self.hears();
            }
            self.look();
        }
    }

    fn hears(&mut self) {
        self.straggler.datagram_received(self.now);
        self.truth.heard = self.now;
    }

    fn look(&mut self) {
        self.spoken += 1;
        self.straggler.evaluate(self.now, &self.facts);
        let admits = self.straggler.retry_after(self.now).is_none();
        let over =
            |since: Option<u64>, bound: u64| since.is_some_and(|since| self.now > since + bound);
        let truth = &self.truth;
        // Room among those who may be out has to be there for as long as it waits to hear of it.
        let may = truth.crowded.is_none() && self.now > truth.roomy + ANNOUNCE_DELAY_MS + LOOK;
        let fresh = truth
            .unanswered
            .is_some_and(|since| self.now < since + MAX_RESUME_MS);
        let why = match () {
            () if !admits => return,
            () if truth.by_hand => "though an operator shut it out",
            () if fresh => "after a stop, before any answer",
            () if may && over(truth.lags, BEHIND + ANNOUNCE_DELAY_MS + LOOK) => {
                "behind for longer than its bound"
            }
            () if may && over(truth.refuses, ANNOUNCE_DELAY_MS + LOOK) => {
                "though it turned down what must be acted on"
            }
            () if self.scope.silent_shuts && self.now > truth.heard + SILENT + LOOK => {
                "though it hears nobody"
            }
            () => return,
        };
        self.broken.get_or_insert(format!("it admits, {why}"));
    }

    /// The version of this number, as all know it.
    fn id(number: u64) -> VersionId {
        VersionId {
            number,
            ..VersionId::default()
        }
    }

    fn learn(&mut self) {
        let target = self.facts.target();
        let lags = target > self.facts.active_version;
        self.truth.lags = lags.then(|| self.truth.lags.unwrap_or(self.now));
        let refuses = self.facts.newest_mandatory && self.facts.newest_rejected;
        self.truth.refuses = refuses.then(|| self.truth.refuses.unwrap_or(self.now));
    }
}

impl Play for Lag {
    type Scope = Scope;

    fn start(scope: &Scope) -> Lag {
        let behind = if scope.cheat == Cheat::Patient {
            u64::MAX / 4
        } else {
            BEHIND
        };
        let bounds = ExclusionLimits {
            max_lag: behind,
            max_silence: SILENT,
            exclude_when_isolated: scope.silent_shuts,
        };
        let now = 60_000;
        let facts = ExclusionInputs {
            other_members: 4,
            target_held: true,
            stage_due: true,
            ..ExclusionInputs::default()
        };
        let truth = Truth {
            heard: now,
            ..Truth::default()
        };
        Lag {
            scope: *scope,
            now,
            straggler: ExclusionState::new(bounds, now),
            facts,
            spoken: 0,
            truth,
            broken: None,
        }
    }

    fn moves(&self) -> Vec<u8> {
        let (facts, truth) = (&self.facts, &self.truth);
        let lags = facts.newest > facts.active_version && !facts.newest_rejected;
        let possible = |what: &u8| match what {
            2 => facts.newest.number < VERSIONS_MOST,
            3 => lags && !facts.target_held,
            4 | 5 => lags && facts.target_held,
            10 => !truth.by_hand,
            11 => truth.by_hand,
            _ => true,
        };
        (0..KINDS.len() as u8).filter(possible).collect()
    }

    fn step(&mut self, what: u8) {
        if !self.moves().contains(&what) {
            return;
        }
        match what {
            0 => self.pass(LOOK, true),
            1 => self.pass(5_000, true),
            2 => {
                self.facts.newest = Lag::id(self.facts.newest.number + 1);
                (
                    self.facts.target_held,
                    self.facts.newest_mandatory,
                    self.facts.newest_rejected,
                ) = (false, false, false);
                // A newer one is another thing to be behind of.
                self.truth.lags = None;
            }
            3 => (self.facts.target_held, self.facts.newest_mandatory) = (true, true),
            4 => {
                (self.facts.active_version, self.facts.newest_accepted) =
                    (self.facts.newest, self.facts.newest);
            }
            5 => {
                self.facts.newest_rejected = true;
                self.facts.newest_accepted = self.facts.active_version;
            }
            6 => {
                self.now += MIN_PAUSE_MS + 1_000;
                if self.scope.cheat != Cheat::Sleeps
                    && self.straggler.detect_pause(
                        self.now,
                        MIN_PAUSE_MS + 1_000,
                        self.spoken + 1,
                        self.facts.other_members,
                    )
                {
                    self.truth.unanswered = Some(self.now);
                }
                if self.scope.cheat == Cheat::Sleeps {
                    self.truth.unanswered.get_or_insert(self.now);
                }
            }
            7 => {
                self.spoken += 1;
                self.straggler.answer_received(self.now, self.spoken);
                self.hears();
                self.truth.unanswered = None;
            }
            8 => {
                let echo = if self.scope.cheat == Cheat::OldWords {
                    u64::MAX
                } else {
                    0
                };
                self.straggler.answer_received(self.now, echo);
                self.hears();
            }
            9 => self.pass(5_000, false),
            10 => {
                self.straggler.set_by_operator(true);
                self.truth.by_hand = true;
            }
            11 => {
                self.straggler
                    .set_by_operator(self.scope.cheat == Cheat::Deaf);
                self.truth.by_hand = false;
            }
            _ => {
                self.facts.candidates_before = 1 - self.facts.candidates_before;
                self.truth.crowded = (self.facts.candidates_before > 0).then_some(self.now);
                self.truth.roomy = self.now;
            }
        }
        if self.scope.cheat == Cheat::Stubborn {
            self.facts.newest_mandatory = false;
        }
        self.learn();
        if self.scope.cheat == Cheat::Stubborn && self.facts.newest_rejected {
            self.truth.refuses.get_or_insert(self.now);
        }
        self.look();
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.straggler.relative(self.now).hash(&mut hasher);
        let truth = self.truth;
        let age = |at: u64| (self.now - at).min(12_000);
        format!(
            "{:?} {:?} {:?} {:?} {:?}",
            self.facts,
            (
                truth.by_hand,
                truth.lags.map(age),
                truth.refuses.map(age),
                truth.unanswered.map(age)
            ),
            (age(truth.heard), truth.crowded.is_some(), age(truth.roomy)),
            // Only whether the next answer comes after the stop counts, and it always does.
            self.broken.is_some(),
            self.scope.silent_shuts
        )
        .hash(&mut hasher);
        hasher.finish()
    }

    fn broken(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    fn comes_free(mut self) -> Option<String> {
        if self.truth.by_hand {
            self.step(11);
        }
        if self.facts.candidates_before > 0 {
            self.step(12);
        }
        // Going back is a new version, which it takes up.
        self.facts.newest = Lag::id(self.facts.newest.number + 1);
        (
            self.facts.target_held,
            self.facts.newest_rejected,
            self.facts.newest_mandatory,
        ) = (true, false, false);
        (self.facts.active_version, self.facts.newest_accepted) =
            (self.facts.newest, self.facts.newest);
        self.learn();
        self.step(7);
        self.pass(MAX_RESUME_MS + 2 * LOOK, true);
        let shut = self.straggler.reason().cloned();
        self.broken
            .or_else(|| shut.map(|shut| format!("it stays shut out: {shut:?}")))
    }

    fn name(what: u8) -> &'static str {
        KINDS[usize::from(what) % KINDS.len()]
    }
}

#[cfg(test)]
mod tests;
