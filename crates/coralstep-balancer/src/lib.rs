//! A pool of applications that do the same work: which of them gets the next attempt of an RPC ([`Pool::choose`]), and
//! whether an RPC whose attempt failed gets another one ([`Pool::repeats`]). Each application has the breaker of the
//! design (`coralstep::CircuitBreaker`). No I/O and no clock: the caller passes the time in; the same calls from the same seed
//! lead to the same choices.
//!
//! ```
//! use coralstep::Time;
//! use coralstep_balancer::{End, Pool, PoolTerms};
//!
//! let mut pool = Pool::new(PoolTerms::default(), 7);
//! pool.set(Time(0), &["10.0.0.1:4000", "10.0.0.2:4000"]);
//! let pick = pool.choose(Time(10), None).unwrap();
//! assert!(pool.key(&pick).starts_with("10.0.0."));
//! pool.ended(Time(60), pick, End::Answered);
//! ```
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use coralstep::{BreakerTransition, CircuitBreaker, Flow, RpcId, Span, Time};
use nanorand::{Rng, WyRand};

mod budget;
mod ramp;
pub use budget::Budget;
pub use ramp::RampTerms;
use ramp::{Ramp, drawn};

/// The usual time of an answer before any came, and the wait advised where all are only full.
const GUESS: Span = Span::ms(250);
/// So long after its last answer an application is taken to be as quick as the others: who was slow once is tried again.
const STALE: Span = Span::ms(10_000);
/// Part that the last answer has in an application's usual time: some ten answers are remembered.
const LAST: f64 = 0.2;
/// A trial that the cold rate does not leave to this process is due again after so long.
const TRIAL_AGAIN: Span = Span::ms(50);
/// Draws for one of the warm applications before they are looked through in order.
const DRAWS: u32 = 8;

/// Attempts of so long are told to others, the last ones.
pub const RECENT: Span = Span::ms(2_000);
const RECENT_MOST: usize = 32;

/// What is agreed at start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolTerms {
    /// How an application that has come back is led up to its share.
    pub ramp: RampTerms,
    /// Attempts in hand at one application at the most.
    pub each_most: u32,
    /// Repeats as a part of first tries.
    pub repeats: f64,
    /// Attempts of one RPC at the most.
    pub attempts: u32,
}

impl Default for PoolTerms {
    /// Ten seconds of slow start by one process, 64 in hand, a tenth of repeats, three attempts.
    fn default() -> PoolTerms {
        let ramp = RampTerms {
            slow_start: Span::ms(10_000),
            cold_rate: 0.0,
            processes: 1,
        };
        PoolTerms {
            ramp,
            each_most: 64,
            repeats: 0.1,
            attempts: 3,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With an answer of the application that tells of no trouble of its own.
    Answered,
    /// The application says that it failed.
    Failed,
    /// Nothing of it ever left: it provably never ran.
    Unstarted,
    /// The same, for nobody listens there: the application is not up, and will be cold when it is.
    Refused,
    /// Some of it left, and no whole answer came.
    Broken,
    /// Nobody waits for it any more, and that tells nothing of the application.
    GivenUp,
}

impl End {
    /// Whether it never ran.
    pub fn is_unstarted(self) -> bool {
        matches!(self, End::Unstarted | End::Refused)
    }
}

/// An attempt at one application; to be given back to [`Pool::ended`].
#[derive(Debug)]
pub struct Pick {
    slot: u32,
    began: Time,
    attempt: RpcId,
    /// Its failure is already counted.
    judged: bool,
}

impl Pick {
    /// Names the application as long as the pick is out.
    pub fn slot(&self) -> u32 {
        self.slot
    }
}

struct App<K> {
    key: K,
    in_hand: u32,
    /// The usual time of an answer, in ticks, and when the last one came; 0 before the first.
    time: f64,
    last: Time,
    breaker: CircuitBreaker,
    /// While it is led up to its share; those that were there from the start are not.
    ramp: Option<Ramp>,
    /// Nobody listened there at the last attempt.
    down: bool,
    /// Its place among the ready ones.
    ready: Option<usize>,
    /// No longer part of the pool; goes with its last attempt.
    leaving: bool,
    /// When its last attempts ended, and whether they failed.
    recent: VecDeque<(Time, bool)>,
}

/// What is seen of an application from outside.
#[derive(Clone, Debug, PartialEq)]
pub struct View<K> {
    pub key: K,
    pub in_hand: u32,
    pub state: &'static str,
    /// The usual time of an answer, where one came.
    pub time: Option<Span>,
    pub leaving: bool,
    /// Attempts that ended within [`RECENT`], and of these those that failed.
    pub recent: u32,
    pub failures: u32,
}

/// Applications by key. A choice costs the same for any number of them: those that may be chosen stand in one dense
/// list, those that are shut in a heap by the end of their cooldown.
pub struct Pool<K> {
    terms: PoolTerms,
    /// Processes that send, as the terms state it and as they were last counted.
    stated: u32,
    counted: u32,
    apps: Vec<Option<App<K>>>,
    free: Vec<u32>,
    /// Slots that may be chosen.
    ready: Vec<u32>,
    /// Slots that are shut, by when a trial is due; what no longer holds is passed over when it is met.
    shut: BinaryHeap<Reverse<(Time, u32)>>,
    budget: Budget,
    attempts: u32,
    /// The usual time of an answer of any of them, in ticks.
    usual: f64,
    chance: WyRand,
    /// Changes of breakers since they were last taken.
    turns: Vec<(K, BreakerTransition)>,
}

impl<K: Clone + PartialEq> Pool<K> {
    pub fn new(terms: PoolTerms, seed: u64) -> Pool<K> {
        Pool {
            terms,
            stated: terms.ramp.processes,
            counted: 0,
            apps: Vec::new(),
            free: Vec::new(),
            ready: Vec::new(),
            shut: BinaryHeap::new(),
            budget: Budget::new(terms.repeats),
            attempts: 0,
            usual: 0.0,
            chance: WyRand::new_seed(seed),
            turns: Vec::new(),
        }
    }

    /// The pool is made of `keys` from now on. Who stays keeps all that is known of it; who goes gets nothing new and is
    /// forgotten with its last attempt; who comes to a pool that serves already starts slowly.
    pub fn set(&mut self, now: Time, keys: &[K]) {
        let first = self.apps.iter().all(Option::is_none);
        for slot in 0..self.apps.len() as u32 {
            let Some(app) = self.apps[slot as usize].as_mut() else {
                continue;
            };
            let stays = keys.contains(&app.key);
            if !stays && !app.leaving {
                app.leaving = true;
                self.settle(slot);
            } else if stays && app.leaving {
                app.leaving = false;
                self.settle(slot);
            }
        }
        for key in keys {
            if self.apps.iter().flatten().any(|app| app.key == *key) {
                continue;
            }
            let app = App {
                key: key.clone(),
                in_hand: 0,
                time: 0.0,
                last: now,
                breaker: CircuitBreaker::new(now),
                recent: VecDeque::new(),
                ramp: (!first).then(|| Ramp::new(now)),
                down: false,
                ready: None,
                leaving: false,
            };
            let slot = self.free.pop().unwrap_or(self.apps.len() as u32);
            match self.apps.get_mut(slot as usize) {
                Some(place) => *place = Some(app),
                None => self.apps.push(Some(app)),
            }
            self.settle(slot);
        }
    }

    pub fn key(&self, pick: &Pick) -> &K {
        // A pick keeps its application in its slot.
        &self.apps[pick.slot as usize]
            .as_ref()
            .expect("a pick's application")
            .key
    }

    /// Puts a slot into the list or the heap that it belongs to, or frees it.
    fn settle(&mut self, slot: u32) {
        let Some(app) = self.apps[slot as usize].as_mut() else {
            return;
        };
        let closed = app.breaker.is_closed() && !app.leaving && app.in_hand < self.terms.each_most;
        match (closed, app.ready) {
            (true, None) => {
                app.ready = Some(self.ready.len());
                self.ready.push(slot);
            }
            (false, Some(at)) => {
                app.ready = None;
                self.ready.swap_remove(at);
                if let Some(moved) = self.ready.get(at)
                    && let Some(moved) = self.apps[*moved as usize].as_mut()
                {
                    moved.ready = Some(at);
                }
            }
            _ => {}
        }
        let gone = self.apps[slot as usize]
            .as_ref()
            .is_some_and(|app| app.leaving && app.in_hand == 0);
        if gone {
            self.apps[slot as usize] = None;
            self.free.push(slot);
        }
    }

    /// How loaded an application is: what is in hand, by how long it usually takes.
    fn load(&self, now: Time, slot: u32) -> f64 {
        let Some(app) = self.apps[slot as usize].as_ref() else {
            return f64::MAX;
        };
        let usual = if self.usual > 0.0 {
            self.usual
        } else {
            GUESS.0 as f64
        };
        let known = 1.0 - ((now - app.last).0 as f64 / STALE.0 as f64).min(1.0);
        let time = if app.time > 0.0 {
            usual + (app.time - usual) * known
        } else {
            usual
        };
        f64::from(app.in_hand + 1) * time
    }

    /// Whose cooldown is over gets its one trial.
    fn trial(&mut self, now: Time) -> Option<u32> {
        while let Some(Reverse((until, slot))) = self.shut.peek().copied() {
            if until > now {
                return None;
            }
            self.shut.pop();
            let (terms, chance) = (&self.terms.ramp, &mut self.chance);
            let app = self.apps[slot as usize].as_mut();
            let Some(app) = app.filter(|app| !app.leaving && app.breaker.awaits_probe(now)) else {
                continue;
            };
            // Guards against the trials of many processes, each one alone and all at once.
            let ramp = app.ramp.get_or_insert_with(|| Ramp::new(now));
            if ramp.lets(now, terms, chance) {
                return Some(slot);
            }
            self.shut.push(Reverse((now + TRIAL_AGAIN, slot)));
        }
        None
    }

    /// The application for the next attempt: one whose trial is due, else the less loaded of two by chance, not the one of
    /// `but` where there is another. Without any, the time after which one may be there.
    pub fn choose(&mut self, now: Time, but: Option<u32>) -> Result<Pick, Span> {
        let slot = match self.trial(now) {
            Some(slot) => slot,
            None => self
                .less_loaded(now, but)
                .ok_or_else(|| self.back_in(now))?,
        };
        self.attempts = self.attempts.wrapping_add(1);
        let attempt = RpcId(self.attempts);
        let Some(app) = self.apps[slot as usize].as_mut() else {
            return Err(GUESS);
        };
        let decision = app.breaker.admit_call(now, attempt);
        debug_assert!(matches!(decision.flow, Flow::Continue));
        app.in_hand += 1;
        let key = app.key.clone();
        self.turns
            .extend(decision.transition.map(|turn| (key, turn)));
        self.settle(slot);
        Ok(Pick {
            slot,
            began: now,
            attempt,
            judged: false,
        })
    }

    /// Whether a ready application is still led up to its share.
    fn is_cold(&mut self, now: Time, slot: u32) -> bool {
        let (terms, app) = (&self.terms.ramp, self.apps[slot as usize].as_mut());
        let Some(app) = app else { return false };
        app.ramp = app.ramp.take().filter(|ramp| !ramp.is_over(now, terms));
        app.ramp.is_some()
    }

    /// A warm one by chance, not that of `but`; `None` where there is none.
    fn warm(&mut self, now: Time, but: Option<u32>) -> Option<u32> {
        let count = self.ready.len();
        for _ in 0..DRAWS {
            let at = self.index(count)?;
            let slot = self.ready[at];
            if Some(slot) != but && !self.is_cold(now, slot) {
                return Some(slot);
            }
        }
        let from = self.index(count)?;
        let slots = (0..count).map(|at| self.ready[(from + at) % count]);
        let slots: Vec<u32> = slots.filter(|slot| Some(*slot) != but).collect();
        slots.into_iter().find(|slot| !self.is_cold(now, *slot))
    }

    /// A cold one gets its part of what falls to it by chance, and no more for standing idle; the others share the rest, each
    /// attempt going to the less loaded of two.
    fn less_loaded(&mut self, now: Time, but: Option<u32>) -> Option<u32> {
        let count = self.ready.len();
        let at = self.index(count)?;
        let first = self.ready[at];
        if Some(first) != but && self.is_cold(now, first) && self.takes(now, first) {
            return Some(first);
        }
        let one = match self.warm(now, but) {
            Some(one) => one,
            // The one that it comes from is better than none, unless all others are cold: then they share it.
            None => return self.cold(now, but),
        };
        let other = self
            .warm(now, Some(one))
            .filter(|other| Some(*other) != but);
        Some(
            other
                .filter(|other| self.load(now, *other) < self.load(now, one))
                .unwrap_or(one),
        )
    }

    /// Whether a cold application takes this attempt: by its part, by the cold rate, and not where it is more loaded than a warm one.
    fn takes(&mut self, now: Time, slot: u32) -> bool {
        let part = self.apps[slot as usize]
            .as_ref()
            .and_then(|app| Some(app.ramp.as_ref()?.part(now, &self.terms.ramp)));
        if !drawn(part.unwrap_or(1.0), &mut self.chance) {
            return false;
        }
        let warm = self.warm(now, None);
        // By what is in hand alone: it is slower while it is cold, and would get nothing where little is in hand.
        let in_hand = |slot: u32| {
            self.apps[slot as usize]
                .as_ref()
                .map_or(0, |app| app.in_hand)
        };
        warm.is_none_or(|warm| in_hand(slot) <= in_hand(warm)) && self.lets(now, slot)
    }

    fn lets(&mut self, now: Time, slot: u32) -> bool {
        let (terms, chance) = (&self.terms.ramp, &mut self.chance);
        let ramp = self.apps[slot as usize]
            .as_mut()
            .and_then(|app| app.ramp.as_mut());
        ramp.is_none_or(|ramp| ramp.lets(now, terms, chance))
    }

    /// Where none is warm: the less loaded of two, as far as the cold rate lets it; the one of `but` where there is no other.
    fn cold(&mut self, now: Time, but: Option<u32>) -> Option<u32> {
        let others: Vec<u32> = self
            .ready
            .iter()
            .copied()
            .filter(|slot| Some(*slot) != but)
            .collect();
        let Some(at) = self.index(others.len()) else {
            return self
                .ready
                .first()
                .copied()
                .filter(|slot| !self.is_cold(now, *slot) || self.lets(now, *slot));
        };
        let second = others[(at + 1) % others.len()];
        let slot = if self.load(now, second) < self.load(now, others[at]) {
            second
        } else {
            others[at]
        };
        self.lets(now, slot).then_some(slot)
    }

    fn index(&mut self, count: usize) -> Option<usize> {
        (count > 0).then(|| self.chance.generate_range(0..count))
    }

    /// When the next trial is due, from now; a moment where all are only full.
    fn back_in(&self, now: Time) -> Span {
        let next = self.shut.peek().map(|Reverse((until, _))| *until - now);
        next.unwrap_or(GUESS).max(Span::ms(1))
    }

    /// The time that an attempt's RPC had is over. Guards against applications that take work and say nothing: the attempt
    /// has failed, though it stays in their hands.
    pub fn overran(&mut self, now: Time, pick: &mut Pick) {
        if !std::mem::replace(&mut pick.judged, true) {
            self.judge(now, pick.slot, pick.attempt, pick.began, true);
        }
    }

    fn judge(&mut self, now: Time, slot: u32, attempt: RpcId, began: Time, failed: bool) {
        let Some(app) = self.apps[slot as usize].as_mut() else {
            return;
        };
        if app.recent.len() >= RECENT_MOST {
            app.recent.pop_front();
        }
        app.recent.push_back((now, failed));
        let Some(turn) = app
            .breaker
            .record_call(now, attempt, began, failed, &mut self.chance)
        else {
            return;
        };
        if app.breaker.is_closed() {
            // What it did before it was shut is no measure of it now.
            (app.ramp, app.time) = (Some(Ramp::new(now)), 0.0);
        }
        if let Some(until) = app.breaker.open_until() {
            app.ramp = None;
            self.shut.push(Reverse((until, slot)));
        }
        let key = app.key.clone();
        self.turns.push((key, turn));
        self.settle(slot);
    }

    /// An attempt is out of the application's hands.
    pub fn ended(&mut self, now: Time, pick: Pick, end: End) {
        let Pick {
            slot,
            began,
            attempt,
            judged,
        } = pick;
        if let Some(app) = self.apps[slot as usize].as_mut() {
            app.in_hand -= 1;
            let took = (now - began).0.max(1) as f64;
            if end == End::Refused {
                app.down = true;
            } else if end == End::Answered && std::mem::take(&mut app.down) {
                // Guards against an application that was restarted too quickly for its breaker to open, and is as cold.
                app.ramp = Some(Ramp::new(now));
            }
            if matches!(end, End::Answered | End::Failed) {
                app.time = if app.time > 0.0 {
                    app.time + (took - app.time) * LAST
                } else {
                    took
                };
                app.last = now;
                self.usual = if self.usual > 0.0 {
                    self.usual + (took - self.usual) * LAST
                } else {
                    took
                };
            }
        }
        match end {
            _ if judged => {}
            End::GivenUp => {
                let app = self.apps[slot as usize].as_mut();
                // The next one is its trial, at once.
                if app.is_some_and(|app| app.breaker.abandon_probe(attempt)) {
                    self.shut.push(Reverse((now, slot)));
                }
            }
            _ => self.judge(now, slot, attempt, began, end != End::Answered),
        }
        self.settle(slot);
    }

    /// A first try came: it earns a part of a repeat.
    pub fn first_try(&mut self) {
        self.budget.earn();
    }

    /// Whether an RPC whose attempt ended so is tried once more. Only what provably never ran or may run twice, never past its
    /// due time, and within the budget.
    pub fn repeats(&mut self, now: Time, end: End, idempotent: bool, made: u32, due: Time) -> bool {
        let allowed =
            end.is_unstarted() || (idempotent && matches!(end, End::Failed | End::Broken));
        allowed && made < self.terms.attempts && now < due && self.budget.spend()
    }

    /// Other terms hold from now on; what is known of each application and what is in hand stay. A ramp under way goes on from
    /// the same return.
    pub fn reload(&mut self, terms: PoolTerms) {
        if terms.repeats != self.terms.repeats {
            self.budget = Budget::new(terms.repeats);
        }
        (self.terms, self.stated) = (terms, terms.ramp.processes);
        self.processes(self.counted);
        // One that was full may have room, or the other way round.
        (0..self.apps.len() as u32).for_each(|slot| self.settle(slot));
    }

    /// So many processes send, as they were counted; what the terms state is the least. Guards against a part that hears no
    /// other and takes itself for the whole, and against a ramp of one process alone after a reload.
    pub fn processes(&mut self, count: u32) {
        self.counted = count;
        self.terms.ramp.processes = self.stated.max(count).max(1);
    }

    /// Attempts in hand of all.
    pub fn in_hand(&self) -> u32 {
        self.apps.iter().flatten().map(|app| app.in_hand).sum()
    }

    /// Changes of breakers since the last look: each is to be logged.
    pub fn turns(&mut self) -> Vec<(K, BreakerTransition)> {
        std::mem::take(&mut self.turns)
    }

    /// What others saw of an application: so much evidence of one's own does, and its cooldown ends by then, where that is sooner.
    pub fn hear(&mut self, key: &K, need: u32, by: Option<Time>) {
        let slot = self
            .apps
            .iter()
            .position(|app| app.as_ref().is_some_and(|app| app.key == *key));
        let Some((slot, app)) = slot.and_then(|slot| Some((slot, self.apps[slot].as_mut()?)))
        else {
            return;
        };
        let sooner = by.filter(|by| app.breaker.open_until().is_some_and(|until| *by < until));
        app.breaker.apply_peer_reports(need, sooner);
        if let Some(by) = sooner {
            self.shut.push(Reverse((by, slot as u32)));
        }
    }

    pub fn view(&self, now: Time) -> Vec<View<K>> {
        let recent = |app: &App<K>| {
            let ends = app.recent.iter().filter(|(at, _)| *at + RECENT >= now);
            ends.fold((0, 0), |sum, (_, failed)| {
                (sum.0 + 1, sum.1 + u32::from(*failed))
            })
        };
        let one = |app: &App<K>| View {
            key: app.key.clone(),
            in_hand: app.in_hand,
            state: app.breaker.state().as_str(),
            time: (app.time > 0.0).then_some(Span(app.time as u64)),
            leaving: app.leaving,
            recent: recent(app).0,
            failures: recent(app).1,
        };
        self.apps.iter().flatten().map(one).collect()
    }
}
