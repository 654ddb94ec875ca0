//! Elects the leader: one server at a time, among candidates that operators name.
//!
//! Each voter promises itself to one candidate for a while. Who has the promises of most of the candidates leads until
//! they lapse, counted from when it asked for them. No clock is compared with another. A voter that has just started
//! promises nothing for as long as a promise of its former incarnation could last.
use std::collections::{BTreeMap, BTreeSet};

use coralstep_fleet::Member;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::Millis;
use crate::lease::{lengthen_by_drift, shorten_by_drift};
use crate::message::{Message, TermId, wire_millis};

/// A leader's term lapses this long after its votes were requested, in milliseconds.
pub const TERM_MS: Millis = 2_000;
/// From one ballot of a candidate to the next, at most, in milliseconds.
pub const BALLOT_INTERVAL_MS: Millis = 600;
/// A leader requests votes for its next term this often, in milliseconds.
const RENEWAL_INTERVAL_MS: Millis = TERM_MS / 4;

/// A message to one member.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedMessage {
    /// The receiver.
    pub to: Member,
    /// What it is sent.
    pub message: Message,
}

/// What a tick of the election leads to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ElectionTick {
    /// Messages to voters.
    pub messages: Vec<AddressedMessage>,
    /// Whether this server's term as leader begins now.
    pub term_began: bool,
}

/// A voter's promise to one candidate.
#[derive(Clone, Debug)]
struct Promise {
    candidate: Member,
    until: Millis,
    ballot: u32,
}

/// One server's part in the election, as voter and candidate. Times are milliseconds of its monotonic clock.
pub struct LeaderElection {
    own: Member,
    /// Names of the candidates, in the order in which they first stand.
    candidates: Vec<String>,
    /// Lease of RPCs in flight, which all candidates have to share.
    lease: Millis,
    rng: SmallRng,
    promise: Option<Promise>,
    /// No promise is given before.
    abstains_until: Millis,
    ballot: u32,
    /// When the ballot began; 0 where none is under way.
    ballot_started: Millis,
    votes: BTreeSet<String>,
    next_ballot: Millis,
    term: TermId,
    leads_until: Millis,
}

impl LeaderElection {
    /// A server that started at `now`. `candidates` and `lease` are the same on all servers.
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
            promise: None,
            abstains_until,
            ballot: 0,
            ballot_started: 0,
            votes: BTreeSet::new(),
            next_ballot: abstains_until + rank * BALLOT_INTERVAL_MS / 4,
            term: TermId::default(),
            leads_until: 0,
        }
    }

    /// Whether a server of this name may lead.
    pub fn is_candidate(&self, name: &str) -> bool {
        self.candidates.iter().any(|candidate| candidate == name)
    }

    /// Whether any server may lead.
    pub fn has_candidates(&self) -> bool {
        !self.candidates.is_empty()
    }

    /// Whether this server leads now.
    pub fn is_leader(&self, now: Millis) -> bool {
        now < self.leads_until
    }

    /// Its latest term as leader.
    pub fn term(&self) -> TermId {
        self.term
    }

    /// The leader, as far as this server knows: itself, or whom it promised itself to.
    pub fn leader(&self, now: Millis) -> Option<&Member> {
        if self.is_leader(now) {
            return Some(&self.own);
        }
        self.promise_to_other(now).map(|promise| &promise.candidate)
    }

    fn promise_to_other(&self, now: Millis) -> Option<&Promise> {
        let promise = self.promise.as_ref()?;
        (now < promise.until && promise.candidate != self.own).then_some(promise)
    }

    /// Decides on a candidate's request. True where this server promises itself to it, for a term.
    pub fn handle_vote_request(
        &mut self,
        now: Millis,
        candidate: &Member,
        ballot: u32,
        lease_ms: u32,
    ) -> bool {
        let is_free = self
            .promise
            .as_ref()
            .is_none_or(|promise| now >= promise.until || promise.candidate == *candidate);
        let is_eligible = self.is_candidate(&self.own.name)
            && self.is_candidate(&candidate.name)
            && lease_ms == wire_millis(self.lease);
        if !is_free || !is_eligible || now < self.abstains_until {
            return false;
        }
        let earlier = self
            .promise
            .as_ref()
            .filter(|promise| promise.candidate == *candidate);
        let earlier_ballot = earlier.map_or(0, |promise| promise.ballot);
        self.promise = Some(Promise {
            candidate: candidate.clone(),
            until: now + lengthen_by_drift(TERM_MS),
            ballot: ballot.max(earlier_ballot),
        });
        true
    }

    /// A candidate gives a vote back. Guards against a late message that takes back the vote of a later ballot.
    pub fn handle_vote_release(&mut self, candidate: &Member, ballot: u32) {
        self.promise
            .take_if(|promise| promise.candidate == *candidate && promise.ballot <= ballot);
    }

    /// Counts a voter's answer. True where this server's term as leader begins with it.
    pub fn handle_vote(&mut self, now: Millis, voter: &str, ballot: u32, granted: bool) -> bool {
        // Guards against votes of an earlier ballot, which may have lapsed since.
        if ballot != self.ballot || !granted || !self.is_candidate(voter) {
            return false;
        }
        self.votes.insert(voter.to_owned());
        let until = self.ballot_started + shorten_by_drift(TERM_MS);
        let is_majority = self.votes.len() * 2 > self.candidates.len();
        if !is_majority || now >= until {
            return false;
        }
        let term_began = !self.is_leader(now);
        if term_began {
            // Drawn anew, so that what was granted in another term is not taken for this one's.
            self.term = TermId(self.rng.random_range(1..u64::MAX));
        }
        self.leads_until = until;
        term_began
    }

    /// Lets time pass. `present` are the candidates that are there, by name; a server that is `draining` doesn't stand.
    pub fn tick(
        &mut self,
        now: Millis,
        present: &BTreeMap<String, Member>,
        draining: bool,
    ) -> ElectionTick {
        let may_stand = self.is_candidate(&self.own.name) && !draining;
        if !may_stand || now < self.next_ballot || now < self.abstains_until {
            return ElectionTick::default();
        }
        if let Some(promise) = self.promise_to_other(now) {
            let until = promise.until;
            self.next_ballot = until + self.rng.random_range(0..BALLOT_INTERVAL_MS / 2);
            return ElectionTick::default();
        }
        let has_lost = !self.is_leader(now) && self.ballot_started > 0 && !self.votes.is_empty();
        if has_lost {
            return self.release_votes(now, present);
        }
        self.begin_ballot(now, present)
    }

    /// Guards against voters that stay promised to candidates none of which has enough of them.
    fn release_votes(&mut self, now: Millis, present: &BTreeMap<String, Member>) -> ElectionTick {
        let release = Message::VoteRelease {
            ballot: self.ballot,
        };
        self.votes.clear();
        self.ballot_started = 0;
        self.promise = None;
        // Votes that come late belong to no ballot.
        self.ballot += 1;
        let pause = BALLOT_INTERVAL_MS / 8..BALLOT_INTERVAL_MS / 2;
        self.next_ballot = now + self.rng.random_range(pause);
        ElectionTick {
            messages: to_all(present, &release),
            term_began: false,
        }
    }

    fn begin_ballot(&mut self, now: Millis, present: &BTreeMap<String, Member>) -> ElectionTick {
        self.ballot += 1;
        self.ballot_started = now;
        self.votes.clear();
        let interval = if self.is_leader(now) {
            RENEWAL_INTERVAL_MS
        } else {
            BALLOT_INTERVAL_MS / 2
        };
        self.next_ballot = now + interval - self.rng.random_range(0..interval / 4);
        let lease_ms = wire_millis(self.lease);
        let ballot = self.ballot;
        let request = Message::VoteRequest { ballot, lease_ms };
        let own = self.own.clone();
        let own_vote = self.handle_vote_request(now, &own, ballot, lease_ms);
        ElectionTick {
            messages: to_all(present, &request),
            term_began: self.handle_vote(now, &own.name, ballot, own_vote),
        }
    }
}

fn to_all(voters: &BTreeMap<String, Member>, message: &Message) -> Vec<AddressedMessage> {
    let addressed = |voter: &Member| AddressedMessage {
        to: voter.clone(),
        message: message.clone(),
    };
    voters.values().map(addressed).collect()
}

#[cfg(test)]
mod tests;
