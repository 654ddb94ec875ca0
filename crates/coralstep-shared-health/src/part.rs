//! The verdicts' part in the fleet: a rider of its channel. What this server's breakers see is said to all, quickly while something changes;
//! what others say is weighed for each dependency by its name.
use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use coralstep_fleet::extension::{GossipExtension, MembershipView, Message};
use coralstep_fleet::gossip::Disseminator;
use coralstep_fleet::{Member, Millis as Ms};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::said::{AGE_MOST, DEPENDENCIES_MOST, Own, Said, State, Word};
use crate::weigh::{Advice, Other, Parts, Weigh, Whose};

/// What a server says is made anew this often, where nothing changes.
const SAY: Ms = 1_000;
/// After a change, here or heard of, words go out by themselves for so long, this often, to so many, of so many bytes.
const HOT: Ms = 2_500;
const HOT_EVERY: Ms = 150;
const HOT_TO: usize = 2;
const HOT_BYTES: usize = 1_000;

struct Dependency {
    own: Own,
    called: Ms,
    /// When its breaker closed by a trial.
    healed: Option<Ms>,
    weigh: Weigh,
    whose: Whose,
}

/// What a server thinks of a dependency, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    pub dependency: String,
    pub server: String,
    pub state: State,
    pub failures: u32,
    pub calls: u32,
    pub age_ms: Ms,
}

/// A change with its cause, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub dependency: String,
    pub whose: Whose,
    /// Others that say something by calls of their own, and of these those that say it fails.
    pub known: usize,
    pub fails: usize,
}

impl std::fmt::Display for Event {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Event {
            dependency,
            whose,
            known,
            fails,
        } = self;
        match whose {
            Whose::Nobodys => write!(
                f,
                "{dependency} serves: {fails} of {known} others say that it fails"
            ),
            Whose::Dependencys => write!(f, "{dependency} fails: {fails} of {known} others say so"),
            Whose::OwnWays => {
                write!(
                    f,
                    "this server's way to {dependency} fails: {fails} of {known} others say that it does"
                )
            }
            Whose::Unknown => write!(
                f,
                "{dependency} fails here; no other server has called it of late"
            ),
        }
    }
}

pub struct Verdicts {
    own: Member,
    parts: Parts,
    dependencies: BTreeMap<String, Dependency>,
    spread: Disseminator<Word>,
    /// Whose word counts.
    current: HashSet<Member>,
    number: u64,
    say_at: Ms,
    hot_until: Ms,
    hot_next: Ms,
    seed: u64,
    chance: SmallRng,
    events: Vec<Event>,
}

fn who(member: &Member) -> u64 {
    let mut hasher = DefaultHasher::new();
    member.hash(&mut hasher);
    hasher.finish()
}

impl Verdicts {
    pub fn new(own: &Member, parts: Parts, seed: u64) -> Verdicts {
        Verdicts {
            own: own.clone(),
            parts,
            dependencies: BTreeMap::new(),
            spread: Disseminator::default(),
            current: HashSet::new(),
            number: 0,
            say_at: 0,
            hot_until: 0,
            hot_next: 0,
            seed,
            chance: SmallRng::seed_from_u64(seed ^ own.incarnation ^ 3),
            events: Vec::new(),
        }
    }

    fn others(&self, now: Ms, dependency: &str) -> Vec<Other> {
        let counts = self.spread.iter().filter(|heard| {
            now.saturating_sub(heard.sent_at) <= AGE_MOST && self.current.contains(&heard.value.of)
        });
        counts
            .filter_map(|heard| {
                let said = heard
                    .value
                    .said
                    .iter()
                    .find(|said| said.dependency == dependency)?;
                let age = now.saturating_sub(heard.sent_at);
                Some(Other {
                    who: who(&heard.value.of),
                    state: said.state,
                    failures: u32::from(said.failures),
                    calls: u32::from(said.calls),
                    called: age + Ms::from(said.called_ms),
                    healed: said.healed_ms.map(|healed| age + Ms::from(healed)),
                })
            })
            .collect()
    }

    /// What this server's own breaker has seen, to be said as it changes; and what it may go by now.
    pub fn see(&mut self, now: Ms, dependency: &str, own: Own) -> Advice {
        if !self.dependencies.contains_key(dependency) {
            if self.dependencies.len() >= DEPENDENCIES_MOST {
                return Advice::default();
            }
            let mut hasher = DefaultHasher::new();
            (dependency, self.seed, self.own.incarnation).hash(&mut hasher);
            let weigh = Weigh::new(hasher.finish());
            let fresh = Dependency {
                own: Own::default(),
                called: 0,
                healed: None,
                weigh,
                whose: Whose::Nobodys,
            };
            self.dependencies.insert(dependency.to_owned(), fresh);
        }
        let others = self.others(now, dependency);
        let parts = self.parts;
        let Some(of) = self.dependencies.get_mut(dependency) else {
            return Advice::default();
        };
        if own != of.own {
            if own.state != of.own.state || (own.failures > 0 && own.calls > 0) {
                // An ordinary call that went well is no news.
                self.hot_until = now + HOT;
                self.say_at = now;
            }
            if own.calls > 0 {
                of.called = now;
            }
            match (of.own.state, own.state) {
                (State::Closed, State::Closed) => {}
                (_, State::Closed) => of.healed = Some(now),
                _ => of.healed = None,
            }
            of.own = own;
        }
        let fails = own.state != State::Closed;
        let whose = Weigh::whose(fails, &others);
        if whose != of.whose {
            of.whose = whose;
            let known = others.iter().filter(|other| other.knows()).count();
            let fails = others
                .iter()
                .filter(|other| other.knows() && other.fails())
                .count();
            if self.events.len() < 64 {
                self.events.push(Event {
                    dependency: dependency.to_owned(),
                    whose,
                    known,
                    fails,
                });
            }
        }
        of.weigh.advise(now, parts, own.state, &others)
    }

    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// What is said of each dependency, by server; whose word counts first.
    pub fn rows(&self, now: Ms) -> Vec<Row> {
        let mut rows: Vec<Row> = self
            .dependencies
            .iter()
            .map(|(name, of)| Row {
                dependency: name.clone(),
                server: self.own.name.clone(),
                state: of.own.state,
                failures: of.own.failures,
                calls: of.own.calls,
                age_ms: now.saturating_sub(of.called),
            })
            .collect();
        for heard in self.spread.iter() {
            rows.extend(heard.value.said.iter().map(|said| Row {
                dependency: said.dependency.clone(),
                server: heard.value.of.name.clone(),
                state: said.state,
                failures: u32::from(said.failures),
                calls: u32::from(said.calls),
                age_ms: now.saturating_sub(heard.sent_at) + Ms::from(said.called_ms),
            }));
        }
        rows.sort_by(|a, b| (&a.dependency, &a.server).cmp(&(&b.dependency, &b.server)));
        rows
    }

    /// Whose trouble each dependency's is.
    pub fn whose(&self) -> impl Iterator<Item = (&str, Whose)> {
        self.dependencies
            .iter()
            .map(|(name, of)| (name.as_str(), of.whose))
    }

    fn say(&mut self, now: Ms) {
        self.number += 1;
        let age = |at: Ms| now.saturating_sub(at).min(u64::from(u32::MAX)) as u32;
        let said = self
            .dependencies
            .iter()
            .map(|(name, of)| Said {
                dependency: name.clone(),
                state: of.own.state,
                failures: of.own.failures.min(255) as u8,
                calls: of.own.calls.min(255) as u8,
                called_ms: age(of.called),
                healed_ms: of.healed.map(age),
            })
            .collect();
        self.spread.set_own(Word {
            of: self.own.clone(),
            number: self.number,
            said,
        });
    }

    fn hears(&mut self, now: Ms, own: &Member, bytes: &[u8]) {
        let changed = |word: &Word| {
            word.said.iter().any(|said| {
                said.state != State::Closed || said.healed_ms.is_some_and(|ms| Ms::from(ms) <= HOT)
            })
        };
        if self.spread.receive(now, own, bytes).iter().any(changed) {
            self.hot_until = now + HOT / 2;
        }
    }
}

impl GossipExtension for Verdicts {
    fn next_gossip(&mut self, now: Ms, room: usize) -> Option<Vec<u8>> {
        (!self.dependencies.is_empty())
            .then(|| self.spread.next_payload(now, room))
            .flatten()
    }

    fn handle_gossip(&mut self, now: Ms, own: &Member, bytes: &[u8]) {
        self.hears(now, own, bytes);
    }

    fn handle_message(&mut self, now: Ms, _from: &Member, bytes: &[u8]) -> Vec<Message> {
        let own = self.own.clone();
        self.hears(now, &own, bytes);
        Vec::new()
    }

    fn tick(&mut self, now: Ms, view: &MembershipView<'_>) -> Vec<Message> {
        self.own = view.own.clone();
        self.current = view
            .current
            .iter()
            .map(|member| (*member).clone())
            .collect();
        if self.dependencies.is_empty() {
            return Vec::new();
        }
        if now >= self.say_at {
            self.say_at = now + SAY;
            self.spread.expire(now);
            self.say(now);
        }
        if now >= self.hot_until || now < self.hot_next || view.current.is_empty() {
            return Vec::new();
        }
        self.hot_next = now + HOT_EVERY;
        let mut letters = Vec::new();
        for _ in 0..HOT_TO {
            let to = view.current[self.chance.random_range(0..view.current.len())];
            letters.extend(
                self.spread
                    .next_payload(now, HOT_BYTES)
                    .map(|bytes| Message::new(to.address, bytes)),
            );
        }
        letters
    }
}
