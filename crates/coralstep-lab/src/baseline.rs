//! Schedulers of a simulated server: the real one, and baselines to compare it with. The baselines are simple on purpose and keep
//! the rules of `crate::rules` as far as a plain worker pool can.
use std::collections::{HashMap, VecDeque};

use coralstep::{
    Actions, DegradationLevel, EarlierAttempt, Gauges, Idempotency, Method, Outcome, Request,
    RpcId, Scheduler, SchedulerConfig, Signals, Span, Time,
};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The real scheduler.
    #[default]
    Module,
    /// The real scheduler with its peers' health reports (`coralstep-shared-health`), delayed as by gossip.
    Sharing,
    /// A pool of four runs per core and a FIFO queue of the same length; no breaker.
    Plain,
    /// The real scheduler, to which every call is reported as successful, so that its breaker never opens.
    NoBreaker,
    /// Fixed limits: two runs per core, a fixed fraction of the dependency's share, a queue of 100.
    Static,
    /// The pool with a long queue that is shortened at its head while waits stay above a target (CoDel).
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
    pub fn from_name(name: &str) -> Option<Policy> {
        POLICIES
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, policy)| *policy)
    }
}

/// The scheduler of one simulated server.
pub enum ServerScheduler {
    Module(Box<Scheduler>),
    NoBreaker(Box<Scheduler>),
    WorkerPool(Box<WorkerPool>),
}

impl ServerScheduler {
    pub fn start(
        policy: Policy,
        config: &SchedulerConfig,
        seed: u64,
        now: Time,
        out: &mut dyn Actions,
    ) -> ServerScheduler {
        match policy {
            Policy::Module | Policy::Sharing => {
                ServerScheduler::Module(Box::new(Scheduler::start(config, seed, now, out)))
            }
            Policy::NoBreaker => {
                ServerScheduler::NoBreaker(Box::new(Scheduler::start(config, seed, now, out)))
            }
            _ => ServerScheduler::WorkerPool(Box::new(WorkerPool::start(policy, config, out))),
        }
    }

    pub fn handle_request(&mut self, now: Time, arrival: Request, out: &mut dyn Actions) {
        match self {
            ServerScheduler::Module(server) | ServerScheduler::NoBreaker(server) => {
                server.handle_request(now, arrival, out)
            }
            ServerScheduler::WorkerPool(pool) => pool.handle_request(now, arrival, out),
        }
    }

    pub fn handle_completion(
        &mut self,
        now: Time,
        id: RpcId,
        outcome: Outcome,
        out: &mut dyn Actions,
    ) {
        match self {
            ServerScheduler::Module(server) | ServerScheduler::NoBreaker(server) => {
                server.handle_completion(now, id, outcome, out)
            }
            ServerScheduler::WorkerPool(pool) => pool.handle_completion(now, id, out),
        }
    }

    pub fn handle_call_needed(&mut self, now: Time, id: RpcId, out: &mut dyn Actions) {
        match self {
            ServerScheduler::Module(server) | ServerScheduler::NoBreaker(server) => {
                server.handle_call_needed(now, id, out)
            }
            ServerScheduler::WorkerPool(pool) => pool.handle_call_needed(now, id, out),
        }
    }

    pub fn handle_call_result(
        &mut self,
        now: Time,
        id: RpcId,
        outcome: Outcome,
        took: Span,
        out: &mut dyn Actions,
    ) {
        match self {
            ServerScheduler::Module(server) => {
                server.handle_call_result(now, id, outcome, took, out)
            }
            // The scheduler sees only successful calls; the simulated server handles the failure of the RPC.
            ServerScheduler::NoBreaker(server) => {
                server.handle_call_result(now, id, Outcome::Ok, took, out)
            }
            ServerScheduler::WorkerPool(pool) => pool.handle_call_result(now, id, outcome, out),
        }
    }

    pub fn begin_drain(&mut self, now: Time, stop: Time, out: &mut dyn Actions) {
        match self {
            ServerScheduler::Module(server) | ServerScheduler::NoBreaker(server) => {
                server.begin_drain(now, stop, out)
            }
            ServerScheduler::WorkerPool(pool) => pool.begin_drain(now, stop, out),
        }
    }

    pub fn handle_timeout(&mut self, now: Time, gauges: Gauges, out: &mut dyn Actions) {
        match self {
            ServerScheduler::Module(server) | ServerScheduler::NoBreaker(server) => {
                server.handle_timeout(now, gauges, out)
            }
            ServerScheduler::WorkerPool(pool) => pool.handle_timeout(now, out),
        }
    }

    /// Returns the breaker's state, or `None` for a baseline without a breaker.
    pub fn breaker_state(&self) -> Option<&'static str> {
        match self {
            ServerScheduler::Module(server) => Some(server.breaker().state().as_str()),
            _ => None,
        }
    }

    pub fn apply_peer_reports(&mut self, now: Time, need: u32, left: Option<Span>) {
        if let ServerScheduler::Module(server) = self {
            server.apply_peer_reports(now, need, left);
        }
    }

    /// Returns the inputs of the degradation levels, or `None` for a baseline without levels.
    pub fn signals(&self) -> Option<Signals> {
        match self {
            ServerScheduler::Module(server) | ServerScheduler::NoBreaker(server) => {
                Some(server.signals())
            }
            ServerScheduler::WorkerPool(_) => None,
        }
    }

    pub fn set_degradation(&mut self, now: Time, level: DegradationLevel, out: &mut dyn Actions) {
        if let ServerScheduler::Module(server) | ServerScheduler::NoBreaker(server) = self {
            server.set_degradation(now, level, out);
        }
    }
}

/// Interval of the pool's timer.
const TIMER_INTERVAL: Span = Span::ms(20);
/// Margin between an answer and its deadline.
const DEADLINE_MARGIN: Span = Span::ms(50);
/// Margin between the last answers and the stop of the server.
const STOP_MARGIN: Span = Span::ms(400);
/// CoDel's target for the queue wait.
const CODEL_TARGET: Span = Span::ms(5);
/// CoDel's interval.
const CODEL_INTERVAL: Span = Span::ms(100);
/// Timeout of a call.
const CALL_TIMEOUT: Span = Span::ms(2_000);
/// Fraction of its share of the dependency that a server uses with fixed limits.
const STATIC_SHARE_FRACTION: f64 = 0.5;

struct PoolRpc {
    method: usize,
    arrived: Time,
    due: Time,
    /// Whether its run ever started.
    ran: bool,
    answered: bool,
    /// Whether its run is in progress.
    running: bool,
    token_until: Option<Time>,
}

/// A worker pool of fixed size with a queue.
pub struct WorkerPool {
    methods: Vec<Method>,
    /// Maximum number of concurrent runs, of queued RPCs and of concurrent calls.
    limit: usize,
    max_queued: usize,
    max_calls: usize,
    codel: bool,
    grace: Span,
    queue: VecDeque<RpcId>,
    running: usize,
    calling: usize,
    waiting: VecDeque<RpcId>,
    all: HashMap<RpcId, PoolRpc>,
    /// Time since which waits have been above CoDel's target.
    past: Option<Time>,
    drops: u32,
    next_drop: Time,
    leaving: Option<(Time, Time)>,
}

impl WorkerPool {
    fn start(policy: Policy, config: &SchedulerConfig, out: &mut dyn Actions) -> WorkerPool {
        let cores = config.cores.max(1) as usize;
        let share = config.dependency.share().map_or(usize::MAX, |share| {
            (share * STATIC_SHARE_FRACTION).max(1.0) as usize
        });
        // Operators size a pool to the memory, so runs and queue are limited to what fits.
        let fits = |kb: f64| {
            if kb > 0.0 {
                (config.memory_kb / kb / 40.0) as usize
            } else {
                usize::MAX
            }
        };
        let room = fits(config.run_memory_factor).max(cores);
        let (limit, max_queued, max_calls) = match policy {
            Policy::Static => (cores * 2, 100, share),
            Policy::Codel => (cores * 4, 200, usize::MAX),
            _ => (cores * 4, cores * 4, usize::MAX),
        };
        out.set_timer(TIMER_INTERVAL);
        WorkerPool {
            methods: config.methods.clone(),
            limit: limit.min(room),
            max_queued: max_queued.min(room * 4),
            max_calls,
            codel: policy == Policy::Codel,
            grace: config.drain_grace,
            queue: VecDeque::new(),
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

    fn handle_request(&mut self, now: Time, arrival: Request, out: &mut dyn Actions) {
        let of = self.methods[arrival.method];
        let mut due = arrival.deadline.unwrap_or(now + of.deadline) - DEADLINE_MARGIN;
        if let Some((_, stop)) = self.leaving {
            due = due.min(stop - STOP_MARGIN);
        }
        let one = PoolRpc {
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
            EarlierAttempt::Forgotten => return self.reject_or_fail(arrival.id, false, out),
            EarlierAttempt::None => {}
        }
        let late = self
            .leaving
            .is_some_and(|(notice, _)| now > notice + self.grace);
        if late || self.queue.len() >= self.max_queued {
            return self.reject_or_fail(arrival.id, true, out);
        }
        self.queue.push_back(arrival.id);
        self.start_runs(now, out);
    }

    /// Rejects or fails an RPC that has no answer yet.
    fn reject_or_fail(&mut self, id: RpcId, push: bool, out: &mut dyn Actions) {
        let Some(one) = self.all.get_mut(&id).filter(|one| !one.answered) else {
            return;
        };
        one.answered = true;
        // Guards against an id that stays in the queue after it was reused for another RPC.
        self.queue.retain(|held| *held != id);
        let effect = self.methods[one.method].idempotency != Idempotency::Idempotent;
        if push && !(one.ran && effect) {
            out.reject(id, Span::ms(250), false);
        } else {
            out.fail(id);
        }
        self.release_if_finished(id, out);
    }

    /// Releases an RPC that is answered and not running, unless its idempotency key is still retained.
    fn release_if_finished(&mut self, id: RpcId, out: &mut dyn Actions) {
        if self
            .all
            .get(&id)
            .is_some_and(|one| one.answered && !one.running && one.token_until.is_none())
        {
            self.all.remove(&id);
            out.release_id(id);
        }
    }

    fn start_runs(&mut self, now: Time, out: &mut dyn Actions) {
        while self.running < self.limit {
            let Some(id) = self.queue.pop_front() else {
                return;
            };
            let Some(one) = self.all.get_mut(&id).filter(|one| !one.answered) else {
                continue;
            };
            let waited = now - one.arrived;
            if self.codel && self.should_drop(now, waited) {
                self.reject_or_fail(id, true, out);
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

    fn should_drop(&mut self, now: Time, waited: Span) -> bool {
        if waited < CODEL_TARGET {
            (self.past, self.drops) = (None, 0);
            return false;
        }
        let since = *self.past.get_or_insert(now);
        if now - since < CODEL_INTERVAL || now < self.next_drop {
            return false;
        }
        self.drops += 1;
        self.next_drop =
            now + Span((CODEL_INTERVAL.0 as f64 / f64::from(self.drops).sqrt()) as u64);
        true
    }

    fn handle_completion(&mut self, now: Time, id: RpcId, out: &mut dyn Actions) {
        let Some(one) = self.all.get_mut(&id) else {
            return;
        };
        one.answered = true;
        if std::mem::take(&mut one.running) {
            self.running -= 1;
            self.waiting.retain(|waiting| *waiting != id);
        }
        self.release_if_finished(id, out);
        self.start_runs(now, out);
    }

    fn handle_call_needed(&mut self, now: Time, id: RpcId, out: &mut dyn Actions) {
        self.waiting.push_back(id);
        self.start_calls(now, out);
    }

    fn start_calls(&mut self, now: Time, out: &mut dyn Actions) {
        while self.calling < self.max_calls {
            let Some(id) = self.waiting.pop_front() else {
                return;
            };
            let Some(one) = self.all.get(&id).filter(|one| one.running) else {
                continue;
            };
            self.calling += 1;
            out.call(id, CALL_TIMEOUT.min(one.due - now).max(Span::ms(1)));
        }
    }

    fn handle_call_result(
        &mut self,
        now: Time,
        id: RpcId,
        outcome: Outcome,
        out: &mut dyn Actions,
    ) {
        self.calling = self.calling.saturating_sub(1);
        if outcome != Outcome::Ok {
            self.reject_or_fail(id, false, out);
        }
        self.start_calls(now, out);
    }

    fn begin_drain(&mut self, now: Time, stop: Time, out: &mut dyn Actions) {
        self.leaving = Some((now, stop));
        self.all
            .values_mut()
            .for_each(|one| one.due = one.due.min(stop - STOP_MARGIN));
        out.set_health(false);
    }

    fn handle_timeout(&mut self, now: Time, out: &mut dyn Actions) {
        let mut due: Vec<RpcId> = self
            .all
            .iter()
            .filter(|(_, one)| !one.answered && one.due <= now)
            .map(|(id, _)| *id)
            .collect();
        // Guards against the iteration order of the hash table, which differs from run to run.
        due.sort_unstable_by_key(|id| id.0);
        for id in due {
            let push = self.all.get(&id).is_some_and(|one| !one.ran);
            self.reject_or_fail(id, push, out);
        }
        let over = |one: &PoolRpc| one.token_until.is_some_and(|until| until <= now);
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
            self.release_if_finished(id, out);
        }
        self.start_runs(now, out);
        out.set_timer(TIMER_INTERVAL);
    }
}
