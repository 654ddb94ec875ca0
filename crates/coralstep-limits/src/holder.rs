//! What this server has in hand of each limit, and what it decides by it: an RPC that a limit is for takes a unit, or is turned away with a
//! true time to return. One look in tables, no message and no wait. What it asks for next follows from what came of late.
use std::collections::{HashMap, VecDeque};

use crate::Ms;
use crate::bounds::{TOKENS, shrunk};
use crate::letters::{Ask, ENTRIES, Give};
use crate::terms::{CutOff, Kind, Limit};

/// Letters of asks for one round at the most; further limits have their turn in the next.
const LETTERS: usize = 4;
/// Between two rounds where nobody has said, and right after something was turned away.
const ROUND: Ms = 250;
const SOON: Ms = 50;
/// Advice at the least (an ask and its answer fit in) and at the most.
const BACK_LEAST: Ms = 150;
const BACK_MOST: Ms = 30_000;
/// Nobody gave anything for so long: cut off.
const CUT_OFF: Ms = TOKENS + 1_000;
/// Rounds for which demand is asked for ahead, and the part of a new figure in the smoothed one.
const AHEAD: f64 = 2.0;
const FRESH: f64 = 0.5;
/// A limit without demand for so long is not asked for.
const IDLE: Ms = 5_000;
/// A unit is kept for who was told to come back until so long after that time; for so many at the most. The longest from one to the next.
const LATE: Ms = 1_000;
const BACKS_MOST: usize = 1_024;
const BACK_EACH_MOST: Ms = 5_000;

/// Which RPC it is, as far as limits see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Which {
    pub tenant: Option<usize>,
    pub method: usize,
    pub calls: bool,
}

#[derive(Clone, Debug)]
struct Share {
    limit: Limit,
    /// Tokens, or RPCs that may be in hand; good until then.
    units: u32,
    until: Ms,
    /// Tokens of the tenure before, which nobody renews.
    old: (u32, Ms),
    /// RPCs in hand, and how many at the most since the last round.
    used: u32,
    peak: u32,
    /// Admitted and turned away since the last round, and the smoothed sum a second.
    came: u32,
    turned: u32,
    demand: f64,
    /// The last letter that asked for it and was not answered: its number, when, what was held.
    asked: Option<(u32, Ms)>,
    /// When units were last given or confirmed, and when there will be more.
    given: Option<Ms>,
    more_at: Ms,
    /// When the next one that is turned away should come, and when those were told to who are still awaited.
    next_back: Ms,
    backs: VecDeque<Ms>,
    /// How long the keeper said that the next unit takes.
    wait: Ms,
    /// What it admits while cut off: tokens, and when they were reckoned.
    floor: (f64, Ms),
    active: Option<Ms>,
    /// Admitted a second, smoothed.
    through: f64,
    /// Admitted in all, and of these beyond what it had.
    admitted: u64,
    over: u64,
}

/// Units that an RPC took of limits on what is in hand; to be given back with [`Holder::done`].
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Pass(Vec<u64>);

/// What a server has of a limit, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Have {
    pub key: u64,
    pub units: u32,
    pub used: u32,
    pub lease_ms: Ms,
    pub turned_away: u64,
    pub over: u64,
}

pub struct Holder {
    shares: Vec<Share>,
    /// Limits by what they are for.
    by: HashMap<(Option<usize>, Option<usize>, bool), Vec<usize>>,
    index: HashMap<u64, usize>,
    /// The keeper's mark that gave last.
    tenure: u64,
    number: u32,
    next: Ms,
    last: Ms,
    round: Ms,
    turn: usize,
    /// The most members ever known here.
    members: usize,
    turned_away: HashMap<u64, u64>,
    /// RPCs in hand of limits that are gone: they are in hand all the same should the limit come again.
    gone: HashMap<u64, u32>,
}

impl Share {
    fn new(limit: Limit, now: Ms) -> Share {
        Share {
            limit,
            units: 0,
            until: 0,
            old: (0, 0),
            used: 0,
            peak: 0,
            came: 0,
            turned: 0,
            demand: 0.0,
            asked: None,
            given: None,
            more_at: now,
            next_back: now,
            backs: VecDeque::new(),
            wait: 0,
            floor: (1.0, now),
            active: None,
            through: 0.0,
            admitted: 0,
            over: 0,
        }
    }

    /// What a server that nobody gives anything admits a second, or has in hand.
    fn each(&self, now: Ms, members: usize) -> f64 {
        // A server that was never given anything is cut off, too, once it has asked for as long.
        let silent = self
            .given
            .is_none_or(|given| now.saturating_sub(given) > CUT_OFF);
        match self.limit.cut_off {
            CutOff::Open { each, most } if silent => each.min(most / members.max(1) as f64),
            _ => 0.0,
        }
    }

    /// Whether one more RPC may be admitted, which is answered within `covers`; and whether beyond what it has.
    fn may(&mut self, now: Ms, covers: Ms, members: usize) -> Option<bool> {
        let each = self.each(now, members);
        match self.limit.kind {
            Kind::Rate { .. } => {
                if now >= self.until {
                    self.units = 0;
                }
                if now >= self.old.1 {
                    self.old.0 = 0;
                }
                let (tokens, since) = self.floor;
                // One at once at the most: the floor of all must not come in one moment.
                self.floor = (
                    (tokens + each * now.saturating_sub(since) as f64 / 1000.0).min(1.0),
                    now,
                );
                match () {
                    () if self.units + self.old.0 > 0 => Some(false),
                    () if each > 0.0 && self.floor.0 >= 1.0 => Some(true),
                    () => None,
                }
            }
            // Guards against RPCs that are in hand when their unit is somebody else's again: they are over by then.
            Kind::InHand(_) => match () {
                () if self.used < self.units && now + covers <= self.until => Some(false),
                () if f64::from(self.used) + 1.0 <= each => Some(true),
                () => None,
            },
        }
    }

    fn take(&mut self, now: Ms, over: bool) {
        self.came += 1;
        self.active = Some(now);
        self.admitted += 1;
        // As far as anybody can tell it is the one that was to come back first.
        self.backs.pop_front();
        self.over += u64::from(over);
        match self.limit.kind {
            Kind::Rate { .. } if over => self.floor.0 -= 1.0,
            // First what nobody renews.
            Kind::Rate { .. } if self.old.0 > 0 => self.old.0 -= 1,
            Kind::Rate { .. } => self.units -= 1,
            Kind::InHand(_) => {
                self.used += 1;
                self.peak = self.peak.max(self.used);
            }
        }
    }

    /// From one unit for this server to the next, as far as it can tell.
    fn each_unit(&self, round: Ms) -> Ms {
        let each = if self.through >= 0.2 {
            (1000.0 / self.through) as Ms
        } else {
            self.wait.max(round)
        };
        each.min(BACK_EACH_MOST)
    }

    /// Guards against all that are turned away in one moment coming back in one: each is told a later time, as fast as units come.
    fn back(&mut self, now: Ms, round: Ms) -> Ms {
        let at = self
            .next_back
            .max(self.more_at)
            .max(now + BACK_LEAST)
            .min(now + BACK_MOST);
        self.next_back = at + self.each_unit(round);
        if self.backs.len() < BACKS_MOST {
            self.backs.push_back(at);
        }
        at - now
    }

    /// What it wants to have for the rounds to come.
    fn want(&self, now: Ms, round: Ms) -> u32 {
        let awaited = self.backs.len() as u32;
        if awaited == 0
            && self
                .active
                .is_none_or(|active| now.saturating_sub(active) > IDLE)
        {
            return self.used;
        }
        match self.limit.kind {
            // Where little comes nothing is kept for what may come, only for who was told to come back.
            Kind::Rate { .. } => {
                (self.demand * round as f64 / 1000.0 * AHEAD).round() as u32 + awaited
            }
            // A quarter more than it had at the most, and what was turned away.
            Kind::InHand(_) => self.peak.max(self.used) + self.peak / 4 + awaited.max(1),
        }
    }
}

impl Holder {
    pub fn new(limits: &[Limit], now: Ms) -> Holder {
        let mut holder = Holder {
            shares: Vec::new(),
            by: HashMap::new(),
            index: HashMap::new(),
            tenure: 0,
            number: 0,
            next: now,
            last: now,
            round: ROUND,
            turn: 0,
            members: 1,
            turned_away: HashMap::new(),
            gone: HashMap::new(),
        };
        holder.limits(limits, now);
        holder
    }

    /// The limits as they hold from now on; what is in hand of those that stay is kept.
    pub fn limits(&mut self, limits: &[Limit], now: Ms) {
        let mut old: HashMap<u64, Share> = std::mem::take(&mut self.shares)
            .into_iter()
            .map(|share| (share.limit.key, share))
            .collect();
        (self.by, self.index) = (HashMap::new(), HashMap::new());
        for (at, limit) in limits.iter().enumerate() {
            let mut share = old
                .remove(&limit.key)
                .unwrap_or_else(|| Share::new(limit.clone(), now));
            share.limit = limit.clone();
            share.used += self.gone.remove(&limit.key).unwrap_or(0);
            self.by
                .entry((limit.tenant, limit.method, limit.calls))
                .or_default()
                .push(at);
            self.index.insert(limit.key, at);
            self.shares.push(share);
        }
        let left = old.into_iter().filter(|(_, share)| share.used > 0);
        self.gone.extend(left.map(|(key, share)| (key, share.used)));
        self.turned_away
            .retain(|key, _| self.index.contains_key(key));
    }

    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// How many members there are; the most ever known counts.
    pub fn members(&mut self, count: usize) {
        self.members = self.members.max(count);
    }

    /// Takes a unit of each limit that is for this RPC, which is answered within `covers`; or says when it should come back. All or none.
    pub fn admit(&mut self, now: Ms, which: Which, covers: Ms) -> Result<Pass, Ms> {
        if self.shares.is_empty() {
            return Ok(Pass::default());
        }
        let mut found: Vec<usize> = Vec::new();
        for tenant in [None, which.tenant] {
            for method in [None, Some(which.method)] {
                for calls in [false, true] {
                    if calls && !which.calls {
                        continue;
                    }
                    found.extend(self.by.get(&(tenant, method, calls)).into_iter().flatten());
                }
            }
            if which.tenant.is_none() {
                break;
            }
        }
        let (members, round) = (self.members, self.round);
        let mut over = Vec::with_capacity(found.len());
        let (mut short, mut soonest) = (false, now);
        for at in &found {
            match self.shares[*at].may(now, covers, members) {
                Some(beyond) => over.push(beyond),
                None => {
                    short = true;
                    let share = &mut self.shares[*at];
                    (share.turned, share.active) = (share.turned + 1, Some(now));
                    *self.turned_away.entry(share.limit.key).or_default() += 1;
                    soonest = soonest.max(share.back(now, round) + now);
                }
            }
        }
        if short {
            // What it is short of is asked for at once, but not with each RPC.
            self.next = self.next.min((self.last + SOON).max(now));
            return Err(soonest - now);
        }
        let mut pass = Pass::default();
        for (at, over) in found.into_iter().zip(over) {
            let share = &mut self.shares[at];
            share.take(now, over);
            if matches!(share.limit.kind, Kind::InHand(_)) {
                pass.0.push(share.limit.key);
            }
        }
        Ok(pass)
    }

    /// The RPC has its answer.
    pub fn done(&mut self, pass: Pass) {
        for key in pass.0 {
            if let Some(at) = self.index.get(&key) {
                let share = &mut self.shares[*at];
                share.used = share.used.saturating_sub(1);
            } else if let Some(used) = self.gone.get_mut(&key) {
                *used -= 1;
                if *used == 0 {
                    self.gone.remove(&key);
                }
            }
        }
    }

    /// What is to be asked for now, and under whose mark; `leaving`: all that is not in use is given back.
    pub fn asks(&mut self, now: Ms, leaving: bool) -> Vec<(u32, Vec<Ask>)> {
        if now < self.next && !leaving || self.shares.is_empty() {
            return Vec::new();
        }
        let span = (now - self.last).max(1) as f64 / 1000.0;
        (self.last, self.next) = (now, now + self.round);
        let (round, count) = (self.round, self.shares.len());
        let mut asks = Vec::new();
        let number = self.number + 1;
        for step in 0..count {
            let at = (self.turn + step) % count;
            let share = &mut self.shares[at];
            let fresh = f64::from(share.came + share.turned) / span;
            share.demand += FRESH * (fresh - share.demand);
            share.through += FRESH * (f64::from(share.came) / span - share.through);
            if share.demand < 0.01 {
                share.demand = 0.0;
            }
            while share.backs.front().is_some_and(|at| *at + LATE < now) {
                share.backs.pop_front();
            }
            let want = if leaving {
                share.used
            } else {
                share.want(now, round)
            };
            (share.came, share.turned, share.peak) = (0, 0, share.used);
            let rate = matches!(share.limit.kind, Kind::Rate { .. });
            if now >= share.until {
                share.units = 0;
            }
            // What it does not want any more it has not got any more, from before it says so.
            let held = if rate {
                share.units.min(want)
            } else {
                share.units.min(want).max(share.used)
            };
            if held == 0 && want == 0 && share.units == 0 {
                continue;
            }
            if asks.len() >= ENTRIES * LETTERS {
                self.turn = at;
                break;
            }
            share.units = held;
            // Each letter has a number of its own: only an answer to the last one counts.
            let letter = number + (asks.len() / ENTRIES) as u32;
            share.asked = Some((letter, now));
            asks.push(Ask {
                key: share.limit.key,
                held,
                want,
            });
        }
        let letters: Vec<(u32, Vec<Ask>)> = asks
            .chunks(ENTRIES)
            .enumerate()
            .map(|(at, chunk)| (number + at as u32, chunk.to_vec()))
            .collect();
        self.number += letters.len() as u32;
        letters
    }

    /// The mark under which what is held was given.
    pub fn tenure(&self) -> u64 {
        self.tenure
    }

    /// A keeper gave, in answer to letter `number`. What is not the answer to the last letter about a limit came late, or twice.
    pub fn gives(
        &mut self,
        now: Ms,
        tenure: u64,
        number: u32,
        lease: Ms,
        round: Ms,
        gives: &[Give],
    ) {
        let answers = gives.iter().any(|give| {
            let share = self.index.get(&give.key).map(|at| &self.shares[*at]);
            share
                .and_then(|share| share.asked)
                .is_some_and(|(asked, _)| asked == number)
        });
        if !answers {
            return;
        }
        if tenure != self.tenure {
            // Another keeper: tokens of the one before run out by themselves, nobody renews them.
            self.tenure = tenure;
            for share in self
                .shares
                .iter_mut()
                .filter(|share| matches!(share.limit.kind, Kind::Rate { .. }))
            {
                if share.units > 0 {
                    share.old = (share.old.0 + share.units, share.until.max(share.old.1));
                    share.units = 0;
                }
            }
        }
        self.round = round.clamp(SOON, 10_000);
        self.next = self.next.min(now + self.round);
        for give in gives {
            let Some(at) = self.index.get(&give.key) else {
                continue;
            };
            let share = &mut self.shares[*at];
            let Some((_, sent)) = share.asked.take_if(|(asked, _)| *asked == number) else {
                continue;
            };
            let rate = matches!(share.limit.kind, Kind::Rate { .. });
            // Reckoned from when it asked: the letter may have been under way for long.
            let until = sent + shrunk(if rate { TOKENS } else { lease });
            if now >= until {
                continue;
            }
            (share.until, share.given) = (until, Some(now));
            // Tokens used since it asked are gone; a forged figure is no more than the limit has.
            let most = share.limit.kind.units();
            share.units = if rate {
                give.units.min(most).saturating_sub(share.came)
            } else {
                give.units.min(most)
            };
            share.wait = Ms::from(give.wait_ms);
            share.more_at = now + share.wait;
        }
    }

    /// What is in hand, for operators and for what is spread: limits with something in hand or turned away.
    pub fn have(&self, now: Ms) -> Vec<Have> {
        let all = self.shares.iter().map(|share| Have {
            key: share.limit.key,
            units: if now < share.until { share.units } else { 0 }
                + if now < share.old.1 { share.old.0 } else { 0 },
            used: share.used,
            lease_ms: share.until.saturating_sub(now),
            turned_away: self.turned_away.get(&share.limit.key).copied().unwrap_or(0),
            over: share.over,
        });
        all.filter(|have| have.units > 0 || have.used > 0 || have.turned_away > 0)
            .collect()
    }

    pub fn all(&self) -> impl Iterator<Item = &Limit> {
        self.shares.iter().map(|share| &share.limit)
    }

    /// Admitted of a limit in all, and of these beyond what this server had.
    pub fn admitted(&self, key: u64) -> (u64, u64) {
        self.index.get(&key).map_or((0, 0), |at| {
            (self.shares[*at].admitted, self.shares[*at].over)
        })
    }
}

#[cfg(test)]
mod tests;
