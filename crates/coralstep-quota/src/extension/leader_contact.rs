//! Whom this server sends its requests, and whether anybody answers.
use std::collections::BTreeMap;

use coralstep_fleet::Member;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::Millis;
use crate::cut_off::CUT_OFF_AFTER_MS;
use crate::election::TERM_MS;

/// A leader that hasn't answered for longer than this is not relied on, in milliseconds.
const MAX_LEADER_SILENCE_MS: Millis = TERM_MS / 4;
/// Keeps these draws apart from those of the election, which begin from the same seed.
const SEED_OFFSET: u64 = 2;

pub(super) struct LeaderContact {
    /// The leader, as another server said or by its own grants.
    known_leader: Option<Member>,
    /// Servers that may lead and are present, by name.
    candidates: BTreeMap<String, Member>,
    /// When the first request was sent that nobody has answered.
    unanswered_since: Option<Millis>,
    is_cut_off: bool,
    rng: SmallRng,
}

impl LeaderContact {
    pub(super) fn new(own: &Member, seed: u64) -> LeaderContact {
        LeaderContact {
            known_leader: None,
            candidates: BTreeMap::new(),
            unanswered_since: None,
            is_cut_off: false,
            rng: SmallRng::seed_from_u64(seed ^ own.incarnation ^ SEED_OFFSET),
        }
    }

    pub(super) fn set_candidates(&mut self, candidates: BTreeMap<String, Member>) {
        self.candidates = candidates;
    }

    pub(super) fn candidates(&self) -> &BTreeMap<String, Member> {
        &self.candidates
    }

    pub(super) fn set_known_leader(&mut self, leader: Option<Member>) {
        self.known_leader = leader;
    }

    fn is_unanswered_for(&self, now: Millis, span: Millis) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.saturating_sub(since) > span)
    }

    /// The leader as far as is known, else any candidate: it says who leads.
    pub(super) fn choose(&mut self, now: Millis) -> Option<Member> {
        let is_silent = self.is_unanswered_for(now, MAX_LEADER_SILENCE_MS);
        if let Some(leader) = &self.known_leader
            && !is_silent
            && self.candidates.values().any(|one| one == leader)
        {
            return Some(leader.clone());
        }
        if self.candidates.is_empty() {
            return None;
        }
        let drawn = self.rng.random_range(0..self.candidates.len());
        self.candidates.values().nth(drawn).cloned()
    }

    /// Notes a request to another server.
    pub(super) fn note_request(&mut self, now: Millis) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Notes an answer. True where this server was cut off until now.
    pub(super) fn note_answer(&mut self) -> bool {
        self.unanswered_since = None;
        std::mem::take(&mut self.is_cut_off)
    }

    /// True where this server counts as cut off from now on.
    pub(super) fn detect_cut_off(&mut self, now: Millis) -> bool {
        if self.is_cut_off || !self.is_unanswered_for(now, CUT_OFF_AFTER_MS) {
            return false;
        }
        self.is_cut_off = true;
        true
    }
}
