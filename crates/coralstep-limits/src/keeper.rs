//! The one that gives, for one tenure: what it has, what is in whose hands until when, and who waits. It counts as given before it says so,
//! and as still out whatever it has not been told is back: what is in hands never exceeds the limit, whatever is lost on the way.
use std::collections::{BTreeMap, HashMap, VecDeque};

use coralstep_fleet::Member;

use crate::Ms;
use crate::bounds::{TOKENS, stretched};
use crate::letters::{Ask, Give, ms};
use crate::terms::{Kind, Limit};

/// Rounds of one server's asking are so far apart at the least, and so much more for each server that asks: answers stay within half of
/// the bytes that a server may send.
const ROUND: Ms = 250;
const ROUND_EACH: Ms = 2;
const ROUND_MOST: Ms = 2_000;
/// Servers that may wait for one limit.
const WAITING_MOST: usize = 4_096;
/// Servers that may have a hand in one limit.
const HANDS_MOST: usize = 8_192;

/// What one server has of one limit, as far as this keeper must suppose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Hand {
    units: u32,
    until: Ms,
    want: u32,
    /// The letter that it was last told of in.
    number: u32,
    /// When it last got tokens.
    got: Ms,
}

#[derive(Clone, Debug)]
struct Book {
    kind: Kind,
    /// Tokens of a rate that nobody has yet, and when that was reckoned.
    bucket: f64,
    reckoned: Ms,
    hands: HashMap<Member, Hand>,
    /// Who wanted and got nothing, the longest first, with when it was last heard of.
    waiting: VecDeque<(Member, Ms)>,
}

#[derive(Debug)]
pub struct Keeper {
    lease: Ms,
    /// Until then RPCs in hand may be out that the keeper before gave: what is reported is confirmed, nothing new is given. And tokens of a
    /// rate, of which nothing is given.
    wakes: Ms,
    tokens_from: Ms,
    books: BTreeMap<u64, Book>,
    /// Servers that asked of late.
    askers: HashMap<Member, Ms>,
}

/// A hand, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub key: u64,
    pub server: String,
    pub units: u32,
    pub lease_ms: Ms,
}

/// The greatest level such that all wants up to it are within `all`.
fn level(wants: impl Iterator<Item = u32>, all: u32) -> u32 {
    let mut wants: Vec<u32> = wants.collect();
    wants.sort_unstable();
    let (mut left, mut count) = (all, wants.len() as u32);
    for want in wants {
        if u64::from(want) * u64::from(count) > u64::from(left) {
            return left / count.max(1);
        }
        left -= want;
        count -= 1;
    }
    u32::MAX
}

impl Book {
    fn new(kind: Kind, now: Ms) -> Book {
        // Nothing at first: what the keeper before gave may still be used.
        Book {
            kind,
            bucket: 0.0,
            reckoned: now,
            hands: HashMap::new(),
            waiting: VecDeque::new(),
        }
    }

    /// What may be in hands, but for `own`'s.
    fn out(&self, but: Option<&Member>) -> u32 {
        let others = self.hands.iter().filter(|(of, _)| Some(*of) != but);
        others
            .map(|(_, hand)| hand.units)
            .fold(0, u32::saturating_add)
    }

    /// Leases that are over are back; tokens come in as time passes, never more than fit.
    fn reckon(&mut self, now: Ms) {
        self.hands.retain(|_, hand| now < hand.until);
        self.waiting
            .retain(|(_, heard)| now.saturating_sub(*heard) <= 2 * TOKENS);
        if let Kind::Rate { rps, .. } = self.kind {
            let span = now.saturating_sub(self.reckoned) as f64 / 1000.0;
            let room = f64::from(self.kind.units()) - f64::from(self.out(None));
            self.bucket = (self.bucket + span * rps).min(room).max(0.0);
        }
        self.reckoned = now.max(self.reckoned);
    }

    /// How many wait for longer than `from`.
    fn before(&self, from: &Member) -> u32 {
        self.waiting
            .iter()
            .position(|(of, _)| of == from)
            .unwrap_or(self.waiting.len()) as u32
    }

    fn ask(
        &mut self,
        now: Ms,
        from: &Member,
        number: u32,
        ask: Ask,
        wakes: bool,
        lease: Ms,
    ) -> Option<Give> {
        self.reckon(now);
        let known = self.hands.get(from).copied();
        // Guards against letters that come twice or late: what they say is no longer so.
        if known.is_some_and(|known| known.number >= number)
            || (known.is_none() && self.hands.len() >= HANDS_MOST)
        {
            return None;
        }
        let most = self.kind.units();
        let want = ask.want.min(most);
        let before = self.before(from);
        let mut got = known.map_or(0, |known| known.got);
        let units = match self.kind {
            Kind::Rate { .. } => {
                // What was given in answer to a letter before this one and did not come is not used any more.
                let held = ask.held.min(known.map_or(0, |known| known.units));
                self.hands.remove(from);
                let need = want.saturating_sub(held);
                // Those who wait for longer are first; each of them is owed one.
                let free = (self.bucket.floor() as u32).saturating_sub(before);
                let fair = level(
                    self.hands.values().map(|hand| hand.want).chain([want]),
                    most,
                )
                .max(1);
                // Guards against one that asks more often than its round, and so gets all that comes in: the level is one of rounds.
                let soon =
                    known.is_some_and(|known| known.got > 0 && now < known.got + ROUND * 3 / 4);
                let more = if soon {
                    0
                } else {
                    need.min(free).min(fair.saturating_sub(held).max(1))
                };
                got = if more > 0 { now } else { got };
                self.bucket -= f64::from(more);
                held + more
            }
            Kind::InHand(_) => {
                let out = self.out(Some(from));
                let room = most.saturating_sub(out);
                // Those who wait for longer are owed one each, also by who has them: where there are more servers than units, they take turns.
                let free = if wakes {
                    ask.held.min(room)
                } else {
                    room.saturating_sub(before)
                };
                let wants = self
                    .hands
                    .iter()
                    .filter(|(of, _)| *of != from)
                    .map(|(_, hand)| hand.want);
                let fair = level(wants.chain([want]), most).max(1);
                want.min(free).min(fair)
            }
        };
        let lease = if matches!(self.kind, Kind::Rate { .. }) {
            TOKENS
        } else {
            lease
        };
        // What it says it has counts until it says that it has less: the letter that takes it away may be lost. Of what it can't have,
        // nothing: a forged figure takes room from nobody else.
        let keeps = match self.kind {
            Kind::Rate { .. } => units,
            Kind::InHand(most) => {
                units.max(ask.held.min(most.saturating_sub(self.out(Some(from)))))
            }
        };
        let waits = want > 0 && units == 0;
        let place = self.waiting.iter().position(|(of, _)| of == from);
        match (waits, place) {
            (true, Some(place)) => self.waiting[place].1 = now,
            (true, None) if self.waiting.len() < WAITING_MOST => {
                self.waiting.push_back((from.clone(), now))
            }
            (false, Some(place)) => drop(self.waiting.remove(place)),
            _ => {}
        }
        if keeps > 0 || want > 0 {
            self.hands.insert(
                from.clone(),
                Hand {
                    units: keeps,
                    until: now + stretched(lease),
                    want,
                    number,
                    got,
                },
            );
        } else {
            // Kept for its number alone.
            self.hands.insert(
                from.clone(),
                Hand {
                    units: 0,
                    until: now + TOKENS,
                    want: 0,
                    number,
                    got,
                },
            );
        }
        let wait_ms = if waits {
            self.wait(now, from, lease)
        } else {
            0
        };
        Some(Give {
            key: ask.key,
            units,
            wait_ms,
        })
    }

    /// When `from` will get its one: its place in the line by how fast the limit lets through.
    fn wait(&self, now: Ms, from: &Member, lease: Ms) -> u32 {
        let place = f64::from(self.before(from)) + 1.0;
        match self.kind {
            Kind::Rate { rps, .. } => ms((place / rps * 1000.0) as Ms + ROUND / 2),
            // Others come down to their level when they next ask; else their leases end.
            Kind::InHand(_) => {
                let soonest = self
                    .hands
                    .values()
                    .map(|hand| hand.until.saturating_sub(now))
                    .min();
                ms(soonest.unwrap_or(lease).min(2 * ROUND))
            }
        }
    }
}

impl Keeper {
    /// From `now` on; `lease` is that of RPCs in hand.
    pub fn new(now: Ms, lease: Ms) -> Keeper {
        let (wakes, tokens_from) = (now + stretched(lease), now + stretched(TOKENS));
        Keeper {
            lease,
            wakes,
            tokens_from,
            books: BTreeMap::new(),
            askers: HashMap::new(),
        }
    }

    /// The limits as they hold from now on. What is out stays out until its lease ends or it comes back.
    pub fn limits(&mut self, now: Ms, limits: &[Limit]) {
        for limit in limits {
            let from = now.max(self.tokens_from);
            let book = self
                .books
                .entry(limit.key)
                .or_insert_with(|| Book::new(limit.kind, from));
            book.reckon(now);
            book.kind = limit.kind;
        }
        let keys: std::collections::BTreeSet<u64> = limits.iter().map(|limit| limit.key).collect();
        // Guards against a limit that goes and comes again within a lease: what was given before is still out then.
        self.books.retain(|key, book| {
            book.reckon(now);
            keys.contains(key) || book.out(None) > 0
        });
    }

    /// A server asks; `ours`: what it says it holds was given in this tenure.
    pub fn asks(
        &mut self,
        now: Ms,
        from: &Member,
        number: u32,
        ours: bool,
        asks: &[Ask],
    ) -> Vec<Give> {
        if self.askers.len() < HANDS_MOST || self.askers.contains_key(from) {
            self.askers.insert(from.clone(), now);
        }
        let (wakes, lease) = (now < self.wakes, self.lease);
        let mut gives = Vec::new();
        for ask in asks {
            let Some(book) = self.books.get_mut(&ask.key) else {
                continue;
            };
            // Tokens of another tenure are not this one's to know of.
            let rate = matches!(book.kind, Kind::Rate { .. });
            let ask = Ask {
                held: if rate && !ours { 0 } else { ask.held },
                ..*ask
            };
            // Guards against a server that claims to hold what nobody gave it, once all that was given before is known.
            let known = book.hands.get(from).map_or(0, |hand| hand.units);
            let ask = Ask {
                held: if rate || wakes {
                    ask.held
                } else {
                    ask.held.min(known)
                },
                ..ask
            };
            gives.extend(book.ask(now, from, number, ask, wakes, lease));
        }
        gives
    }

    /// When a server that asks should ask again.
    pub fn round(&mut self, now: Ms) -> Ms {
        self.askers
            .retain(|_, asked| now.saturating_sub(*asked) <= 2 * ROUND_MOST);
        (ROUND + ROUND_EACH * self.askers.len() as Ms).min(ROUND_MOST)
    }

    pub fn lease(&self) -> Ms {
        self.lease
    }

    /// What may be in hands of a limit, and what is left.
    pub fn out(&mut self, now: Ms, key: u64) -> Option<(u32, f64)> {
        let book = self.books.get_mut(&key)?;
        book.reckon(now);
        let out = book.out(None);
        Some(match book.kind {
            Kind::Rate { .. } => (out, book.bucket),
            Kind::InHand(most) => (out, f64::from(most) - f64::from(out)),
        })
    }

    pub fn rows(&self, now: Ms) -> Vec<Row> {
        let row = |key: &u64, of: &Member, hand: &Hand| Row {
            key: *key,
            server: of.name.clone(),
            units: hand.units,
            lease_ms: hand.until.saturating_sub(now),
        };
        let hands = self
            .books
            .iter()
            .flat_map(|(key, book)| book.hands.iter().map(move |hand| (key, hand)));
        let mut rows: Vec<Row> = hands
            .filter(|(_, (_, hand))| hand.units > 0)
            .map(|(key, (of, hand))| row(key, of, hand))
            .collect();
        rows.sort_by(|a, b| (a.key, &a.server).cmp(&(b.key, &b.server)));
        rows
    }
}

#[cfg(test)]
mod tests;
