//! Chooses the server that receives quota requests, and detects that none answers.
use std::collections::BTreeMap;

use coralstep_fleet::Member;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::Millis;
use crate::cut_off::CUT_OFF_AFTER_MS;
use crate::election::TERM_MS;

/// Requests go to another candidate if the leader has not answered for longer than this, in milliseconds.
const LEADER_RESPONSE_TIMEOUT_MS: Millis = TERM_MS / 4;
/// Makes this random sequence differ from the election's, which starts from the same seed.
const SEED_OFFSET: u64 = 2;

/// Tracks the known leader and its answers.
pub(super) struct LeaderContact {
    /// The leader as named by another server or known from its grants.
    known_leader: Option<Member>,
    /// Candidates that are alive, by name.
    candidates: BTreeMap<String, Member>,
    /// When the first unanswered request was sent.
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

    /// Returns the known leader if it answers, otherwise a random candidate, which knows or names the leader.
    pub(super) fn choose_target(&mut self, now: Millis) -> Option<Member> {
        let is_silent = self.is_unanswered_for(now, LEADER_RESPONSE_TIMEOUT_MS);
        if let Some(leader) = &self.known_leader
            && !is_silent
            && self
                .candidates
                .values()
                .any(|candidate| candidate == leader)
        {
            return Some(leader.clone());
        }
        if self.candidates.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..self.candidates.len());
        self.candidates.values().nth(index).cloned()
    }

    /// Records a request to another server.
    pub(super) fn record_request(&mut self, now: Millis) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records an answer. Returns whether this server was cut off before.
    pub(super) fn record_answer(&mut self) -> bool {
        self.unanswered_since = None;
        std::mem::take(&mut self.is_cut_off)
    }

    /// Returns whether this server has just become cut off.
    pub(super) fn detect_cut_off(&mut self, now: Millis) -> bool {
        if self.is_cut_off || !self.is_unanswered_for(now, CUT_OFF_AFTER_MS) {
            return false;
        }
        self.is_cut_off = true;
        true
    }
}
