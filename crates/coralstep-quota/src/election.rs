//! Elects one leader at a time among the candidates that operators configure.
//!
//! Each voter grants its vote to one candidate for a limited time. The candidate with votes from a majority of the
//! candidates leads until they expire, measured from the time at which it requested them. Clocks of different servers
//! are never compared. A voter that has just started abstains for as long as a vote that it granted before the restart
//! could last.
use std::collections::{BTreeMap, BTreeSet};

use coralstep_fleet::Member;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::Millis;
use crate::lease::{lengthen_by_drift, shorten_by_drift};
use crate::message::{Message, TermId, to_wire_millis};

/// A leader's term ends this long after it requested the votes, in milliseconds.
pub const TERM_MS: Millis = 2_000;
/// Maximum interval between two ballots of a candidate, in milliseconds.
pub const BALLOT_INTERVAL_MS: Millis = 600;
/// Interval at which a leader requests votes to extend its term, in milliseconds.
const RENEWAL_INTERVAL_MS: Millis = TERM_MS / 4;

/// A message to one member.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedMessage {
    /// Receiver of the message.
    pub to: Member,
    /// Contents of the message.
    pub message: Message,
}

/// Actions that result from a timeout of the election.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ElectionActions {
    /// Messages to voters.
    pub messages: Vec<AddressedMessage>,
    /// Whether this server's term as leader began.
    pub term_began: bool,
}

/// A vote that this server granted to a candidate.
#[derive(Clone, Debug)]
struct GrantedVote {
    candidate: Member,
    expires: Millis,
    ballot: u32,
}

/// State of one server as voter and candidate. Times are milliseconds of its monotonic clock.
pub struct LeaderElection {
    own: Member,
    /// Names of the candidates, in the order of their first ballots.
    candidates: Vec<String>,
    /// Lease of units for RPCs in flight, which has to be the same on all candidates.
    lease: Millis,
    rng: SmallRng,
    granted_vote: Option<GrantedVote>,
    /// This server grants no vote before this time.
    abstains_until: Millis,
    ballot: u32,
    /// When the current ballot began; 0 if there is none.
    ballot_started: Millis,
    votes: BTreeSet<String>,
    next_ballot: Millis,
    term: TermId,
    term_expires: Millis,
}

impl LeaderElection {
    /// Creates the election of a server that started at `now`. `candidates` and `lease` have to be the same on all
    /// servers.
    pub fn new(
        own: &Member,
        candidates: &[String],
        lease: Millis,
        seed: u64,
        now: Millis,
    ) -> LeaderElection {
        let mut candidates = candidates.to_vec();
        candidates.dedup();
        let rank = candidates.iter().position(|name| *name == own.name);
        let rank = rank.unwrap_or(0) as u64;
        let abstains_until = now + lengthen_by_drift(TERM_MS);
        LeaderElection {
            own: own.clone(),
            candidates,
            lease,
            rng: SmallRng::seed_from_u64(seed ^ own.incarnation),
            granted_vote: None,
            abstains_until,
            ballot: 0,
            ballot_started: 0,
            votes: BTreeSet::new(),
            next_ballot: abstains_until + rank * BALLOT_INTERVAL_MS / 4,
            term: TermId::default(),
            term_expires: 0,
        }
    }

    /// Returns whether the server of this name is a candidate.
    pub fn is_candidate(&self, name: &str) -> bool {
        self.candidates.iter().any(|candidate| candidate == name)
    }

    /// Returns whether there are any candidates.
    pub fn has_candidates(&self) -> bool {
        !self.candidates.is_empty()
    }

    /// Returns whether this server leads at `now`.
    pub fn is_leader(&self, now: Millis) -> bool {
        now < self.term_expires
    }

    /// Returns this server's latest term as leader.
    pub fn term(&self) -> TermId {
        self.term
    }

    /// Returns the leader as far as this server knows: itself, or the candidate that has its vote.
    pub fn leader(&self, now: Millis) -> Option<&Member> {
        if self.is_leader(now) {
            return Some(&self.own);
        }
        self.vote_for_other(now).map(|vote| &vote.candidate)
    }

    fn vote_for_other(&self, now: Millis) -> Option<&GrantedVote> {
        let vote = self.granted_vote.as_ref()?;
        (now < vote.expires && vote.candidate != self.own).then_some(vote)
    }

    /// Handles a candidate's request. Returns whether this server votes for it for one term.
    pub fn handle_vote_request(
        &mut self,
        now: Millis,
        candidate: &Member,
        ballot: u32,
        lease_ms: u32,
    ) -> bool {
        let is_free = self
            .granted_vote
            .as_ref()
            .is_none_or(|vote| now >= vote.expires || vote.candidate == *candidate);
        let is_eligible = self.is_candidate(&self.own.name)
            && self.is_candidate(&candidate.name)
            && lease_ms == to_wire_millis(self.lease);
        if !is_free || !is_eligible || now < self.abstains_until {
            return false;
        }
        let earlier = self
            .granted_vote
            .as_ref()
            .filter(|vote| vote.candidate == *candidate);
        let earlier_ballot = earlier.map_or(0, |vote| vote.ballot);
        self.granted_vote = Some(GrantedVote {
            candidate: candidate.clone(),
            expires: now + lengthen_by_drift(TERM_MS),
            ballot: ballot.max(earlier_ballot),
        });
        true
    }

    /// Handles the release of a vote. Guards against a delayed release that revokes the vote of a later ballot.
    pub fn handle_vote_release(&mut self, candidate: &Member, ballot: u32) {
        self.granted_vote
            .take_if(|vote| vote.candidate == *candidate && vote.ballot <= ballot);
    }

    /// Counts a voter's answer. Returns whether this server's term as leader begins with it.
    pub fn handle_vote(&mut self, now: Millis, voter: &str, ballot: u32, granted: bool) -> bool {
        // Guards against votes of an earlier ballot, which may have expired.
        if ballot != self.ballot || !granted || !self.is_candidate(voter) {
            return false;
        }
        self.votes.insert(voter.to_owned());
        let expires = self.ballot_started + shorten_by_drift(TERM_MS);
        let is_majority = self.votes.len() * 2 > self.candidates.len();
        if !is_majority || now >= expires {
            return false;
        }
        let term_began = !self.is_leader(now);
        if term_began {
            // A new random term, so that units granted in another term are not taken for this term's.
            self.term = TermId(self.rng.random_range(1..u64::MAX));
        }
        self.term_expires = expires;
        term_began
    }

    /// Begins a ballot or releases the votes of a lost one, if either is due. `present` has the candidates that are
    /// alive, by name. A server that is `draining` begins no ballot.
    pub fn handle_timeout(
        &mut self,
        now: Millis,
        present: &BTreeMap<String, Member>,
        draining: bool,
    ) -> ElectionActions {
        let may_run = self.is_candidate(&self.own.name) && !draining;
        if !may_run || now < self.next_ballot || now < self.abstains_until {
            return ElectionActions::default();
        }
        if let Some(vote) = self.vote_for_other(now) {
            let expires = vote.expires;
            self.next_ballot = expires + self.rng.random_range(0..BALLOT_INTERVAL_MS / 2);
            return ElectionActions::default();
        }
        let has_lost_ballot =
            !self.is_leader(now) && self.ballot_started > 0 && !self.votes.is_empty();
        if has_lost_ballot {
            return self.release_votes(now, present);
        }
        self.begin_ballot(now, present)
    }

    /// Releases the votes of a lost ballot. Guards against voters bound to candidates none of which has a majority.
    fn release_votes(
        &mut self,
        now: Millis,
        present: &BTreeMap<String, Member>,
    ) -> ElectionActions {
        let release = Message::VoteRelease {
            ballot: self.ballot,
        };
        self.votes.clear();
        self.ballot_started = 0;
        self.granted_vote = None;
        // Delayed votes then belong to no ballot.
        self.ballot += 1;
        let pause = BALLOT_INTERVAL_MS / 8..BALLOT_INTERVAL_MS / 2;
        self.next_ballot = now + self.rng.random_range(pause);
        ElectionActions {
            messages: address_to_all(present, &release),
            term_began: false,
        }
    }

    fn begin_ballot(&mut self, now: Millis, present: &BTreeMap<String, Member>) -> ElectionActions {
        self.ballot += 1;
        self.ballot_started = now;
        self.votes.clear();
        let interval = if self.is_leader(now) {
            RENEWAL_INTERVAL_MS
        } else {
            BALLOT_INTERVAL_MS / 2
        };
        self.next_ballot = now + interval - self.rng.random_range(0..interval / 4);
        let lease_ms = to_wire_millis(self.lease);
        let ballot = self.ballot;
        let request = Message::VoteRequest { ballot, lease_ms };
        let own = self.own.clone();
        let own_vote = self.handle_vote_request(now, &own, ballot, lease_ms);
        ElectionActions {
            messages: address_to_all(present, &request),
            term_began: self.handle_vote(now, &own.name, ballot, own_vote),
        }
    }
}

fn address_to_all(voters: &BTreeMap<String, Member>, message: &Message) -> Vec<AddressedMessage> {
    let addressed = |voter: &Member| AddressedMessage {
        to: voter.clone(),
        message: message.clone(),
    };
    voters.values().map(addressed).collect()
}

#[cfg(test)]
mod tests;
