//! Who gives: one keeper at a time, among servers that operators name. Each voter promises itself to one candidate for a while; who has the
//! promises of most of the named may give until they lapse, reckoned from when it asked for them. No clock is compared with another, and
//! a voter that has just started says no for as long as a promise of its former life could last.
use std::collections::{BTreeMap, BTreeSet};

use coralstep_fleet::Member;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::Ms;
use crate::bounds::{ELECTION, TENURE, shrunk, stretched};
use crate::letters::{Letter, ms};

/// Votes are asked for again this long before they lapse.
const RENEW: Ms = TENURE / 4;

pub struct Tenure {
    own: Member,
    /// Names of all that may give, in the order in which they are tried.
    named: Vec<String>,
    lease: Ms,
    chance: SmallRng,
    /// As a voter: to whom, until when, at which question; and when it may promise at all.
    promised: Option<(Member, Ms, u32)>,
    abstains: Ms,
    /// As a candidate: the number of its last question, when that was, and who said yes.
    number: u32,
    asked: Ms,
    yes: BTreeSet<String>,
    next: Ms,
    /// Until when it gives, under which mark, and since when.
    until: Ms,
    mark: u64,
    since: Ms,
}

impl Tenure {
    pub fn new(own: &Member, named: &[String], lease: Ms, seed: u64, now: Ms) -> Tenure {
        let mut named = named.to_vec();
        named.dedup();
        let rank = named.iter().position(|name| *name == own.name).unwrap_or(0) as u64;
        Tenure {
            own: own.clone(),
            named,
            lease,
            chance: SmallRng::seed_from_u64(seed ^ own.incarnation),
            promised: None,
            abstains: now + stretched(TENURE),
            number: 0,
            asked: 0,
            yes: BTreeSet::new(),
            next: now + stretched(TENURE) + rank * ELECTION / 4,
            until: 0,
            mark: 0,
            since: 0,
        }
    }

    pub fn is_named(&self, name: &str) -> bool {
        self.named.iter().any(|one| one == name)
    }

    pub fn named(&self) -> &[String] {
        &self.named
    }

    /// Whether this server may give now.
    pub fn holds(&self, now: Ms) -> bool {
        now < self.until
    }

    /// The mark of its tenure, and when that began.
    pub fn mark(&self) -> (u64, Ms) {
        (self.mark, self.since)
    }

    /// Who gives, as far as this server knows: itself, or whom it promised itself to.
    pub fn keeper(&self, now: Ms) -> Option<&Member> {
        if self.holds(now) {
            return Some(&self.own);
        }
        self.promised
            .as_ref()
            .filter(|(to, until, _)| now < *until && *to != self.own)
            .map(|(to, ..)| to)
    }

    /// A candidate asks for this server's promise.
    pub fn vote(&mut self, now: Ms, from: &Member, number: u32, lease_ms: u32) -> bool {
        let free = self
            .promised
            .as_ref()
            .is_none_or(|(to, until, _)| now >= *until || to == from);
        let may = self.is_named(&self.own.name)
            && self.is_named(&from.name)
            && lease_ms == ms(self.lease);
        if !free || !may || now < self.abstains {
            return false;
        }
        let before = self
            .promised
            .as_ref()
            .filter(|(to, ..)| to == from)
            .map_or(0, |(_, _, number)| *number);
        self.promised = Some((from.clone(), now + stretched(TENURE), number.max(before)));
        true
    }

    /// A candidate does without this server's promise to its question `number`. Guards against a late letter that takes a later one back.
    pub fn released(&mut self, from: &Member, number: u32) {
        if self
            .promised
            .as_ref()
            .is_some_and(|(to, _, to_number)| to == from && *to_number <= number)
        {
            self.promised = None;
        }
    }

    /// A voter answered. True where the tenure begins with it.
    pub fn voted(&mut self, now: Ms, from: &str, number: u32, yes: bool) -> bool {
        // Guards against answers to an earlier question, which may have lapsed since.
        if number != self.number || !yes || !self.is_named(from) {
            return false;
        }
        self.yes.insert(from.to_owned());
        let until = self.asked + shrunk(TENURE);
        if self.yes.len() * 2 <= self.named.len() || now >= until {
            return false;
        }
        let begins = !self.holds(now);
        if begins {
            // A mark of its own for each tenure: what was given under another is not this one's.
            self.mark = self.chance.random_range(1..u64::MAX);
            self.since = now;
        }
        self.until = until;
        begins
    }

    /// Time passes. `present`: the named that are there. Letters to voters; the own vote is counted here. True where the tenure begins.
    pub fn tick(
        &mut self,
        now: Ms,
        present: &BTreeMap<String, Member>,
        leaving: bool,
    ) -> (Vec<(Member, Letter)>, bool) {
        if !self.is_named(&self.own.name) || leaving || now < self.next || now < self.abstains {
            return (Vec::new(), false);
        }
        let taken = self
            .promised
            .as_ref()
            .is_some_and(|(to, until, _)| now < *until && *to != self.own);
        if taken {
            // Somebody gives; it is looked at again when that could be over.
            let until = self.promised.as_ref().map_or(now, |(_, until, _)| *until);
            self.next = until + self.chance.random_range(0..ELECTION / 2);
            return (Vec::new(), false);
        }
        let mut letters = Vec::new();
        if !self.holds(now) && self.asked > 0 && !self.yes.is_empty() {
            // Too few votes came: guards against promises to candidates that none of them can use.
            let release = Letter::Release {
                number: self.number,
            };
            letters.extend(
                present
                    .values()
                    .map(|voter| (voter.clone(), release.clone())),
            );
            self.yes.clear();
            self.asked = 0;
            self.promised = None;
            // Late answers are to a question that nobody asks any more.
            self.number += 1;
            self.next = now + self.chance.random_range(ELECTION / 8..ELECTION / 2);
            return (letters, false);
        }
        self.number += 1;
        self.asked = now;
        self.yes.clear();
        let wait = if self.holds(now) { RENEW } else { ELECTION / 2 };
        self.next = now + wait - self.chance.random_range(0..wait / 4);
        let letter = Letter::Vote {
            number: self.number,
            lease_ms: ms(self.lease),
        };
        letters.extend(
            present
                .values()
                .map(|voter| (voter.clone(), letter.clone())),
        );
        let own = self.own.clone();
        let number = self.number;
        let yes = self.vote(now, &own, number, ms(self.lease));
        let begins = self.voted(now, &own.name, number, yes);
        (letters, begins)
    }
}

#[cfg(test)]
mod tests;
