//! The limits' part in the fleet: a rider of its channel. It asks whoever gives, gives where this server does, votes, and spreads what it
//! has, so that any server can show all shares.
use std::collections::{BTreeMap, HashSet};
use std::fmt;

use coralstep_fleet::Member;
use coralstep_fleet::extension::{GossipExtension, MembershipView, Message as Sent};
use coralstep_fleet::gossip::{Disseminator, Gossip};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::Ms;
use crate::bounds::TENURE;
use crate::holder::{Holder, Pass, Which};
use crate::keeper::Keeper;
use crate::letters::{Ask, Letter, ms};
use crate::tenure::Tenure;
use crate::terms::Limit;

/// What a server says of its shares is made anew this often, and has so many limits.
const OWN: Ms = 1_000;
const SAID: usize = 6;
/// Nobody gave anything for so long while something was asked for: an event.
const SILENT: Ms = 3_000;
const EVENTS: usize = 256;

/// What a server has in hand, as it says itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Holding {
    of: Member,
    number: u64,
    /// Limit, units, RPCs in hand, admitted beyond what it had.
    shares: Vec<(u64, u32, u32, u32)>,
}

impl Gossip for Holding {
    const MAX_AGE_MS: Ms = 30_000;

    fn origin(&self) -> &Member {
        &self.of
    }

    fn sequence(&self) -> u64 {
        self.number
    }

    fn is_valid(&self) -> bool {
        self.of.is_valid() && self.shares.len() <= SAID
    }
}

/// What changed, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This server gives shares from now on, or no longer.
    Gives,
    Ended,
    /// Nobody has given anything for a while; and somebody does again.
    CutOff,
    Back,
    /// Other limits hold.
    Limits(usize),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::Gives => write!(f, "this server gives shares"),
            Event::Ended => {
                write!(
                    f,
                    "this server gives no shares any more: too few of the keepers answer, or it leaves"
                )
            }
            Event::CutOff => write!(
                f,
                "cut off from whoever gives shares: what is in hand runs out"
            ),
            Event::Back => write!(f, "shares come again"),
            Event::Limits(count) => write!(f, "{count} limits hold"),
        }
    }
}

/// A server's share of a limit, as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    pub limit: String,
    pub server: String,
    pub share: u32,
    pub used: u32,
    /// None where another server has it and this one doesn't give.
    pub lease_ms: Option<Ms>,
    pub age_ms: Ms,
    /// RPCs admitted beyond the share, while cut off and `open`.
    pub over: u64,
}

pub struct Limits {
    own: Member,
    tenure: Tenure,
    keeper: Option<Keeper>,
    holder: Holder,
    limits: Vec<Limit>,
    /// Who gives, as another server said.
    known: Option<Member>,
    /// Servers that are shut out get nothing.
    shut: HashSet<Member>,
    named: BTreeMap<String, Member>,
    spread: Disseminator<Holding>,
    number: u64,
    own_due: Ms,
    /// Since when nobody answers, and when somebody last did.
    asked: Option<Ms>,
    answered: Ms,
    cut_off: bool,
    lease: Ms,
    chance: SmallRng,
    events: Vec<Event>,
}

impl Limits {
    /// `keepers`: names of servers that may give, the same list on all. `lease`: of RPCs in hand, the same on all.
    pub fn new(own: &Member, keepers: &[String], lease: Ms, seed: u64, now: Ms) -> Limits {
        Limits {
            own: own.clone(),
            tenure: Tenure::new(own, keepers, lease, seed, now),
            keeper: None,
            holder: Holder::new(&[], now),
            limits: Vec::new(),
            known: None,
            shut: HashSet::new(),
            named: BTreeMap::new(),
            spread: Disseminator::default(),
            number: 0,
            own_due: now,
            asked: None,
            answered: now,
            cut_off: false,
            lease,
            chance: SmallRng::seed_from_u64(seed ^ own.incarnation ^ 2),
            events: Vec::new(),
        }
    }

    fn event(&mut self, event: Event) {
        if self.events.len() < EVENTS {
            self.events.push(event);
        }
    }

    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// The limits as they hold from now on.
    pub fn set(&mut self, now: Ms, limits: &[Limit]) {
        if limits == self.limits {
            return;
        }
        self.limits = limits.to_vec();
        self.holder.limits(limits, now);
        if let Some(keeper) = &mut self.keeper {
            keeper.limits(now, limits);
        }
        self.event(Event::Limits(limits.len()));
    }

    /// Takes what this RPC needs, or says when it should come back.
    pub fn admit(&mut self, now: Ms, which: Which, covers: Ms) -> Result<Pass, Ms> {
        self.holder.admit(now, which, covers)
    }

    pub fn done(&mut self, pass: Pass) {
        self.holder.done(pass);
    }

    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Whether this server gives now.
    pub fn gives(&self, now: Ms) -> bool {
        self.keeper.is_some() && self.tenure.holds(now)
    }

    /// What may be in hands of a limit, and what is left, where this server gives.
    pub fn out(&mut self, now: Ms, key: u64) -> Option<(u32, f64)> {
        let holds = self.tenure.holds(now);
        self.keeper.as_mut().filter(|_| holds)?.out(now, key)
    }

    fn begins(&mut self, now: Ms) {
        let mut keeper = Keeper::new(now, self.lease);
        keeper.limits(now, &self.limits);
        self.keeper = Some(keeper);
        self.event(Event::Gives);
    }

    fn ends(&mut self, now: Ms) {
        if self.keeper.is_some() && !self.tenure.holds(now) {
            self.keeper = None;
            self.event(Event::Ended);
        }
    }

    /// Answers an ask; none where another server gives, or nobody.
    fn asks(
        &mut self,
        now: Ms,
        from: &Member,
        tenure: u64,
        number: u32,
        entries: &[Ask],
    ) -> Option<Letter> {
        self.ends(now);
        let (mark, _) = self.tenure.mark();
        let keeper = self.keeper.as_mut()?;
        // Others take nothing from a server that is shut out, and give it nothing.
        let none = |ask: &Ask| Ask {
            want: ask.want.min(if ask.held > 0 { ask.held } else { 0 }),
            ..*ask
        };
        let asks: Vec<Ask> = match self.shut.contains(from) {
            true => entries.iter().map(none).collect(),
            false => entries.to_vec(),
        };
        let entries = keeper.asks(now, from, number, tenure == mark, &asks);
        let again_ms = keeper.round(now).min(u64::from(u16::MAX)) as u16;
        Some(Letter::Gives {
            tenure: mark,
            number,
            lease_ms: ms(keeper.lease()),
            again_ms,
            entries,
        })
    }

    fn given(&mut self, now: Ms, letter: Letter) {
        let Letter::Gives {
            tenure,
            number,
            lease_ms,
            again_ms,
            entries,
        } = letter
        else {
            return;
        };
        // Guards against a lease that is not the one that all reckon by.
        if lease_ms != ms(self.lease) {
            return;
        }
        self.holder.gives(
            now,
            tenure,
            number,
            self.lease,
            Ms::from(again_ms),
            &entries,
        );
        (self.asked, self.answered) = (None, now);
        if std::mem::take(&mut self.cut_off) {
            self.event(Event::Back);
        }
    }

    /// Shares by limit and server: this server's own, the others' as they said or as this one gave.
    pub fn rows(&self, now: Ms) -> Vec<Row> {
        let name = |key: u64| {
            self.limits
                .iter()
                .find(|limit| limit.key == key)
                .map(|limit| limit.name.clone())
        };
        let book = self
            .keeper
            .as_ref()
            .map(|keeper| keeper.rows(now))
            .unwrap_or_default();
        let lease = |key: u64, server: &str| {
            book.iter()
                .find(|row| row.key == key && row.server == server)
                .map(|row| row.lease_ms)
        };
        let mut rows = Vec::new();
        for have in self.holder.have(now) {
            let Some(limit) = name(have.key) else {
                continue;
            };
            let (server, lease_ms) = (self.own.name.clone(), Some(have.lease_ms));
            rows.push(Row {
                limit,
                server,
                share: have.units,
                used: have.used,
                lease_ms,
                age_ms: 0,
                over: have.over,
            });
        }
        for heard in self.spread.iter() {
            let (word, age_ms) = (&heard.value, now.saturating_sub(heard.sent_at));
            for (key, share, used, over) in &word.shares {
                let Some(limit) = name(*key) else { continue };
                let lease_ms = lease(*key, &word.of.name);
                let server = word.of.name.clone();
                rows.push(Row {
                    limit,
                    server,
                    share: *share,
                    used: *used,
                    lease_ms,
                    age_ms,
                    over: u64::from(*over),
                });
            }
        }
        rows.sort_by(|a, b| (&a.limit, &a.server).cmp(&(&b.limit, &b.server)));
        rows
    }

    fn say(&mut self, now: Ms) {
        self.number += 1;
        let mut have = self.holder.have(now);
        have.sort_by_key(|have| std::cmp::Reverse((have.units, have.used)));
        let shares = have
            .into_iter()
            .take(SAID)
            .map(|have| {
                (
                    have.key,
                    have.units,
                    have.used,
                    have.over.min(u64::from(u32::MAX)) as u32,
                )
            })
            .collect();
        self.spread.set_own(Holding {
            of: self.own.clone(),
            number: self.number,
            shares,
        });
    }

    /// Whom to ask: who gives as far as is known, else any of those that may.
    fn whom(&mut self, now: Ms) -> Option<Member> {
        if let Some(keeper) = self.tenure.keeper(now) {
            return Some(keeper.clone());
        }
        let silent = self
            .asked
            .is_some_and(|asked| now.saturating_sub(asked) > TENURE / 4);
        if let Some(known) = self
            .known
            .clone()
            .filter(|known| !silent && self.named.values().any(|one| one == known))
        {
            return Some(known);
        }
        let count = self.named.len();
        (count > 0)
            .then(|| {
                self.named
                    .values()
                    .nth(self.chance.random_range(0..count))
                    .cloned()
            })
            .flatten()
    }
}

impl GossipExtension for Limits {
    fn next_gossip(&mut self, now: Ms, room: usize) -> Option<Vec<u8>> {
        (!self.limits.is_empty())
            .then(|| self.spread.next_payload(now, room))
            .flatten()
    }

    fn handle_gossip(&mut self, now: Ms, own: &Member, bytes: &[u8]) {
        self.spread.receive(now, own, bytes);
    }

    fn handle_message(&mut self, now: Ms, from: &Member, bytes: &[u8]) -> Vec<Sent> {
        let Some(letter) = Letter::read(bytes) else {
            return Vec::new();
        };
        let answer = match letter {
            Letter::Asks {
                tenure,
                number,
                entries,
            } => {
                let elsewhere = || Letter::Elsewhere { keeper: None };
                let answer = self.asks(now, from, tenure, number, &entries);
                Some(answer.unwrap_or_else(|| match self.tenure.keeper(now) {
                    Some(keeper) => Letter::Elsewhere {
                        keeper: Some(keeper.clone()),
                    },
                    None => elsewhere(),
                }))
            }
            Letter::Gives { .. } => {
                self.known = Some(from.clone());
                self.given(now, letter);
                None
            }
            Letter::Elsewhere { keeper } => {
                self.known = keeper.filter(|keeper| self.tenure.is_named(&keeper.name));
                None
            }
            Letter::Vote { number, lease_ms } => {
                let yes = self.tenure.vote(now, from, number, lease_ms);
                Some(Letter::Voted { number, yes })
            }
            Letter::Voted { number, yes } => {
                if self.tenure.voted(now, &from.name, number, yes) {
                    self.begins(now);
                }
                None
            }
            Letter::Release { number } => {
                self.tenure.released(from, number);
                None
            }
        };
        answer
            .into_iter()
            .map(|letter| Sent::new(from.address, letter.bytes()))
            .collect()
    }

    fn tick(&mut self, now: Ms, view: &MembershipView<'_>) -> Vec<Sent> {
        if self.tenure.named().is_empty() {
            return Vec::new();
        }
        self.own = view.own.clone();
        self.holder.members(view.present.len() + 1);
        self.shut = view
            .excluded
            .iter()
            .map(|member| (*member).clone())
            .collect();
        let named = view
            .present
            .iter()
            .filter(|member| self.tenure.is_named(&member.name));
        self.named = named
            .map(|member| (member.name.clone(), (*member).clone()))
            .collect();
        let mut sent = Vec::new();
        let (letters, begins) = self.tenure.tick(now, &self.named, view.leaving);
        sent.extend(
            letters
                .into_iter()
                .map(|(to, letter)| Sent::new(to.address, letter.bytes())),
        );
        if begins {
            self.begins(now);
        }
        self.ends(now);
        for (number, entries) in self.holder.asks(now, view.leaving) {
            let tenure = self.holder.tenure();
            let Some(whom) = self.whom(now) else { continue };
            if whom == self.own {
                let own = self.own.clone();
                if let Some(letter) = self.asks(now, &own, tenure, number, &entries) {
                    self.given(now, letter);
                }
                continue;
            }
            self.asked.get_or_insert(now);
            sent.push(Sent::new(
                whom.address,
                Letter::Asks {
                    tenure,
                    number,
                    entries,
                }
                .bytes(),
            ));
        }
        if !self.cut_off
            && self
                .asked
                .is_some_and(|asked| now.saturating_sub(asked) > SILENT)
        {
            self.cut_off = true;
            self.event(Event::CutOff);
        }
        if now >= self.own_due && !self.limits.is_empty() {
            self.own_due = now + OWN;
            self.spread.expire(now);
            self.say(now);
        }
        sent
    }
}
