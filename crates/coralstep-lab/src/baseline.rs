//! What decides in a simulated server: the real module, or a baseline to hold it against. The baselines are simple on purpose and
//! keep the four rules as far as a plain pool can.
use std::collections::{HashMap, VecDeque};

use coralstep::{
    Actions, DegradationLevel, EarlierAttempt, Gauges, Idempotency, Method, Outcome, Request,
    RpcId, Scheduler, SchedulerConfig, Signals, Span, Time,
};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The real module.
    #[default]
    Module,
    /// The real module, told what the others say of the dependency (`coralstep-shared-health`), as old as it comes by gossip.
    Sharing,
    /// A pool of four runs a core and a line of as many, first come first served; no breaker.
    Plain,
    /// The real module, told that every call went well: its breaker never opens.
    NoBreaker,
    /// Fixed limits: two runs a core, a fixed part of the dependency's share, a line of a hundred.
    Static,
    /// As the pool, but with a long line from whose head is dropped while waits stay past a target (as CoDel does).
    Codel,
}

pub const POLICIES: [(&str, Policy); 6] = [
    ("module", Policy::Module),
    ("sharing", Policy::Sharing),
    ("plain", Policy::Plain),
    ("no-breaker", Policy::NoBreaker),
    ("static", Policy::Static),
    ("codel", Policy::Codel),
];

impl Policy {
    pub fn named(name: &str) -> Option<Policy> {
        POLICIES
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, policy)| *policy)
    }
}

/// Decides for one server.
pub enum Decider {
    Module(Box<Scheduler>),
    NoBreaker(Box<Scheduler>),
    Pool(Box<Pool>),
}

impl Decider {
    pub fn start(
        policy: Policy,
        terms: &SchedulerConfig,
        seed: u64,
        now: Time,
        out: &mut dyn Actions,
    ) -> Decider {
        match policy {
            Policy::Module | Policy::Sharing => {
                Decider::Module(Box::new(Scheduler::start(terms, seed, now, out)))
            }
            Policy::NoBreaker => {
                Decider::NoBreaker(Box::new(Scheduler::start(terms, seed, now, out)))
            }
            _ => Decider::Pool(Box::new(Pool::start(policy, terms, out))),
        }
    }

    pub fn rpc(&mut self, now: Time, arrival: Request, out: &mut dyn Actions) {
        match self {
            Decider::Module(server) | Decider::NoBreaker(server) => {
                server.handle_request(now, arrival, out)
            }
            Decider::Pool(pool) => pool.rpc(now, arrival, out),
        }
    }

    pub fn settled(&mut self, now: Time, id: RpcId, outcome: Outcome, out: &mut dyn Actions) {
        match self {
            Decider::Module(server) | Decider::NoBreaker(server) => {
                server.handle_completion(now, id, outcome, out)
            }
            Decider::Pool(pool) => pool.settled(now, id, out),
        }
    }

    pub fn needs_call(&mut self, now: Time, id: RpcId, out: &mut dyn Actions) {
        match self {
            Decider::Module(server) | Decider::NoBreaker(server) => {
                server.handle_call_needed(now, id, out)
            }
            Decider::Pool(pool) => pool.needs_call(now, id, out),
        }
    }

    pub fn called(
        &mut self,
        now: Time,
        id: RpcId,
        outcome: Outcome,
        took: Span,
        out: &mut dyn Actions,
    ) {
        match self {
            Decider::Module(server) => server.handle_call_result(now, id, outcome, took, out),
            // Of the dependency only good is heard; the failure is the RPC's alone.
            Decider::NoBreaker(server) => {
                server.handle_call_result(now, id, Outcome::Ok, took, out)
            }
            Decider::Pool(pool) => pool.called(now, id, outcome, out),
        }
    }

    pub fn wind_down(&mut self, now: Time, stop: Time, out: &mut dyn Actions) {
        match self {
            Decider::Module(server) | Decider::NoBreaker(server) => {
                server.begin_drain(now, stop, out)
            }
            Decider::Pool(pool) => pool.wind_down(now, stop, out),
        }
    }

    pub fn timer(&mut self, now: Time, gauges: Gauges, out: &mut dyn Actions) {
        match self {
            Decider::Module(server) | Decider::NoBreaker(server) => {
                server.handle_timeout(now, gauges, out)
            }
            Decider::Pool(pool) => pool.timer(now, out),
        }
    }

    /// The breaker's state; none for those that have none.
    pub fn breaker(&self) -> Option<&'static str> {
        match self {
            Decider::Module(server) => Some(server.breaker().state().as_str()),
            _ => None,
        }
    }

    pub fn hear(&mut self, now: Time, need: u32, left: Option<Span>) {
        if let Decider::Module(server) = self {
            server.apply_peer_reports(now, need, left);
        }
    }

    /// None for those that know of no levels.
    pub fn signals(&self) -> Option<Signals> {
        match self {
            Decider::Module(server) | Decider::NoBreaker(server) => Some(server.signals()),
            Decider::Pool(_) => None,
        }
    }

    pub fn level(&mut self, now: Time, level: DegradationLevel, out: &mut dyn Actions) {
        if let Decider::Module(server) | Decider::NoBreaker(server) = self {
            server.set_degradation(now, level, out);
        }
    }
}

const BEAT: Span = Span::ms(20);
/// Answers leave so much before they are due, and the last ones so much before the stop.
const EARLY: Span = Span::ms(50);
const LAST: Span = Span::ms(400);
/// CoDel's target and interval.
const TARGET: Span = Span::ms(5);
const INTERVAL: Span = Span::ms(100);
/// Patience with a call.
const PATIENCE: Span = Span::ms(2_000);
/// Part of its share of the dependency that fixed limits let a server use.
const SHARE: f64 = 0.5;

struct One {
    method: usize,
    arrived: Time,
    due: Time,
    /// Begun.
    ran: bool,
    answered: bool,
    /// Its run goes on.
    running: bool,
    token_until: Option<Time>,
}

/// A pool of a fixed number of places with a line before it.
pub struct Pool {
    methods: Vec<Method>,
    /// Runs at once, and places in the line.
    limit: usize,
    line_most: usize,
    calls_most: usize,
    codel: bool,
    grace: Span,
    line: VecDeque<RpcId>,
    running: usize,
    calling: usize,
    waiting: VecDeque<RpcId>,
    all: HashMap<RpcId, One>,
    /// Since when waits are past the target.
    past: Option<Time>,
    drops: u32,
    next_drop: Time,
    leaving: Option<(Time, Time)>,
}

impl Pool {
    fn start(policy: Policy, terms: &SchedulerConfig, out: &mut dyn Actions) -> Pool {
        let cores = terms.cores.max(1) as usize;
        let share = terms
            .dependency
            .share()
            .map_or(usize::MAX, |share| (share * SHARE).max(1.0) as usize);
        // A pool is sized by its operator, who knows how much memory there is: runs, and a line, that fit.
        let fits = |kb: f64| {
            if kb > 0.0 {
                (terms.memory_kb / kb / 40.0) as usize
            } else {
                usize::MAX
            }
        };
        let room = fits(terms.run_memory_factor).max(cores);
        let (limit, line_most, calls_most) = match policy {
            Policy::Static => (cores * 2, 100, share),
            Policy::Codel => (cores * 4, 200, usize::MAX),
            _ => (cores * 4, cores * 4, usize::MAX),
        };
        out.set_timer(BEAT);
        Pool {
            methods: terms.methods.clone(),
            limit: limit.min(room),
            line_most: line_most.min(room * 4),
            calls_most,
            codel: policy == Policy::Codel,
            grace: terms.drain_grace,
            line: VecDeque::new(),
            running: 0,
            calling: 0,
            waiting: VecDeque::new(),
            all: HashMap::new(),
            past: None,
            drops: 0,
            next_drop: Time(0),
            leaving: None,
        }
    }

    fn rpc(&mut self, now: Time, arrival: Request, out: &mut dyn Actions) {
        let of = self.methods[arrival.method];
        let mut due = arrival.deadline.unwrap_or(now + of.deadline) - EARLY;
        if let Some((_, stop)) = self.leaving {
            due = due.min(stop - LAST);
        }
        let one = One {
            method: arrival.method,
            arrived: now,
            due,
            ran: false,
            answered: false,
            running: false,
            token_until: None,
        };
        self.all.insert(arrival.id, one);
        match arrival.earlier_attempt {
            EarlierAttempt::Known(_) => return out.replay(arrival.id),
            EarlierAttempt::Forgotten => return self.answer(arrival.id, false, out),
            EarlierAttempt::None => {}
        }
        let late = self
            .leaving
            .is_some_and(|(notice, _)| now > notice + self.grace);
        if late || self.line.len() >= self.line_most {
            return self.answer(arrival.id, true, out);
        }
        self.line.push_back(arrival.id);
        self.pump(now, out);
    }

    /// The one final answer of what gets no good one.
    fn answer(&mut self, id: RpcId, push: bool, out: &mut dyn Actions) {
        let Some(one) = self.all.get_mut(&id).filter(|one| !one.answered) else {
            return;
        };
        one.answered = true;
        // Guards against an index that stands in line after it went to another RPC.
        self.line.retain(|held| *held != id);
        let effect = self.methods[one.method].idempotency != Idempotency::Idempotent;
        if push && !(one.ran && effect) {
            out.reject(id, Span::ms(250), false);
        } else {
            out.fail(id);
        }
        self.forget(id, out);
    }

    /// What is answered and runs no more goes, unless its token counts.
    fn forget(&mut self, id: RpcId, out: &mut dyn Actions) {
        if self
            .all
            .get(&id)
            .is_some_and(|one| one.answered && !one.running && one.token_until.is_none())
        {
            self.all.remove(&id);
            out.release_id(id);
        }
    }

    fn pump(&mut self, now: Time, out: &mut dyn Actions) {
        while self.running < self.limit {
            let Some(id) = self.line.pop_front() else {
                return;
            };
            let Some(one) = self.all.get_mut(&id).filter(|one| !one.answered) else {
                continue;
            };
            let waited = now - one.arrived;
            if self.codel && self.drops_now(now, waited) {
                self.answer(id, true, out);
                continue;
            }
            let Some(one) = self.all.get_mut(&id) else {
                continue;
            };
            (one.ran, one.running) = (true, true);
            let of = self.methods[one.method];
            if of.idempotency == Idempotency::Keyed {
                one.token_until = Some(now + of.retry_window);
                out.retain_key(id, of.retry_window);
            }
            self.running += 1;
            out.admit(id);
        }
    }

    fn drops_now(&mut self, now: Time, waited: Span) -> bool {
        if waited < TARGET {
            (self.past, self.drops) = (None, 0);
            return false;
        }
        let since = *self.past.get_or_insert(now);
        if now - since < INTERVAL || now < self.next_drop {
            return false;
        }
        self.drops += 1;
        self.next_drop = now + Span((INTERVAL.0 as f64 / f64::from(self.drops).sqrt()) as u64);
        true
    }

    fn settled(&mut self, now: Time, id: RpcId, out: &mut dyn Actions) {
        let Some(one) = self.all.get_mut(&id) else {
            return;
        };
        one.answered = true;
        if std::mem::take(&mut one.running) {
            self.running -= 1;
            self.waiting.retain(|waiting| *waiting != id);
        }
        self.forget(id, out);
        self.pump(now, out);
    }

    fn needs_call(&mut self, now: Time, id: RpcId, out: &mut dyn Actions) {
        self.waiting.push_back(id);
        self.calls(now, out);
    }

    fn calls(&mut self, now: Time, out: &mut dyn Actions) {
        while self.calling < self.calls_most {
            let Some(id) = self.waiting.pop_front() else {
                return;
            };
            let Some(one) = self.all.get(&id).filter(|one| one.running) else {
                continue;
            };
            self.calling += 1;
            out.call(id, PATIENCE.min(one.due - now).max(Span::ms(1)));
        }
    }

    fn called(&mut self, now: Time, id: RpcId, outcome: Outcome, out: &mut dyn Actions) {
        self.calling = self.calling.saturating_sub(1);
        if outcome != Outcome::Ok {
            self.answer(id, false, out);
        }
        self.calls(now, out);
    }

    fn wind_down(&mut self, now: Time, stop: Time, out: &mut dyn Actions) {
        self.leaving = Some((now, stop));
        self.all
            .values_mut()
            .for_each(|one| one.due = one.due.min(stop - LAST));
        out.set_health(false);
    }

    fn timer(&mut self, now: Time, out: &mut dyn Actions) {
        let mut due: Vec<RpcId> = self
            .all
            .iter()
            .filter(|(_, one)| !one.answered && one.due <= now)
            .map(|(id, _)| *id)
            .collect();
        // Guards against the order of a table, which differs from run to run.
        due.sort_unstable_by_key(|id| id.0);
        for id in due {
            let push = self.all.get(&id).is_some_and(|one| !one.ran);
            self.answer(id, push, out);
        }
        let over = |one: &One| one.token_until.is_some_and(|until| until <= now);
        let mut over: Vec<RpcId> = self
            .all
            .iter()
            .filter(|(_, one)| over(one))
            .map(|(id, _)| *id)
            .collect();
        over.sort_unstable_by_key(|id| id.0);
        for id in over {
            self.all
                .get_mut(&id)
                .into_iter()
                .for_each(|one| one.token_until = None);
            out.release_key(id);
            self.forget(id, out);
        }
        self.pump(now, out);
        out.set_timer(BEAT);
    }
}
