//! The decisions as network code sees them: `pick` an RPC and wait for its verdict, `report` how a run or a call
//! ended and wait for what is next, `tick`. Only here do the module's ids, times and outlet show.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use coralstep::{
    Actions, DegradationLevel, EarlierAttempt, Gauges, LearnedState, Outcome, Request, RpcId,
    Scheduler, SchedulerConfig, Span, Time, Transition,
};
use coralstep_config::Names;
use coralstep_degradation::DegradationConfig;
use coralstep_quota::{Permit, RequestKey};
use event_listener::Event;

use crate::base::clock::{self, Clock};
use crate::base::config::Limits;
use crate::decisions::levels::Kept;
use crate::decisions::tokens::{Found, Mark, Token, Tokens};
use crate::note;

/// Calls that others are told of: those of so long, the last ones.
const RECENT: Duration = Duration::from_secs(2);
const CALLED: usize = 64;

/// Tokens that ran and are no longer kept are remembered for as long as a try of them may lie unread, one for so many ids known.
pub const UNREAD: Span = Span::ms(60_000);
const TOKENS_PAST: usize = 4;

/// Says for how long nothing is to be admitted.
pub type Gate = Rc<dyn Fn() -> Option<Span>>;

/// The fleet's limits: takes a unit of each that is for an RPC, answered within so many milliseconds, or says after how many it should
/// come back.
pub trait Limiter {
    fn take(&self, request: RequestKey, covers_ms: u64) -> Result<Permit, u64>;
    fn give_back(&self, permit: Permit);
}

/// What an RPC took of the fleet's limits; given back when dropped.
pub struct Taken(Option<(Rc<dyn Limiter>, Permit)>);

impl Drop for Taken {
    fn drop(&mut self) {
        if let Some((limiter, permit)) = self.0.take() {
            limiter.give_back(permit);
        }
    }
}

/// What is known of an RPC once it is read.
#[derive(Debug, Default)]
pub struct Offer {
    pub method: usize,
    pub tenant: Option<usize>,
    pub room_kb: f64,
    pub retry: bool,
    /// Since it came to the machine.
    pub age: Span,
    /// That is only what a stranger says.
    pub claimed: bool,
    /// By which a repeat is known, and a digest of the body: a repeat has the same.
    pub token: Option<Box<[u8]>>,
    pub content: u64,
    /// How long its caller said that it waits, from when it came to the machine.
    pub patience: Option<Span>,
    /// Where its id is taken, another will do: callers of this front keep an id over their tries.
    pub renames: bool,
}

/// What is to be done next with an RPC.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Run,
    Call {
        patience: Duration,
    },
    /// Stop its run.
    Halt,
    /// Find out whether its run goes on.
    Inquire,
    PushBack {
        after_ms: u64,
        last: bool,
    },
    Abort,
    /// Answer with the result of the RPC that it repeats.
    Replay(Rc<[u8]>),
    /// Nothing more will come of it.
    Over,
}

/// Why an RPC was not picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unpicked {
    /// The table of RPCs is full.
    Full,
    /// Its token is another RPC's, or ran and came again within its window; it must not run.
    Barred,
}

/// How a call to the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    Ok,
    Error,
    PushedBack,
    TimedOut,
    /// It never left this machine.
    Unreachable,
    /// It left, and nothing came back.
    Broken,
    /// No run waited for it.
    Moot,
}

/// How a run ended.
#[derive(Clone, Debug)]
pub enum RunEnd {
    Ok(Rc<[u8]>),
    Error,
    Cancelled,
    /// The RPC is over, so nothing was begun.
    Moot,
    /// It provably never began; so long it can't be tried again here.
    Unstarted(Duration),
}

#[derive(Debug)]
pub enum News {
    /// Nothing yet; wait for the next verdict.
    Underway,
    NeedsCall,
    Called {
        end: CallEnd,
        took: Duration,
    },
    Ran(RunEnd),
    /// Nobody waits for its answer any more.
    Gone,
}

/// What answers carry of this server.
#[derive(Clone, Debug, Default)]
pub struct About {
    /// The free value, where one was set.
    pub value: Option<f64>,
    /// The level of reduced service, where there are levels.
    pub level: Option<String>,
}

/// One RPC in the table.
#[derive(Default)]
struct Entry {
    verdicts: VecDeque<Verdict>,
    waker: Option<Waker>,
    /// Nobody waits for verdicts any more.
    orphan: bool,
    token: Option<Token>,
    mark: Mark,
    /// Of a tokened RPC: how its run ended, `None` for badly.
    result: Option<Option<Rc<[u8]>>>,
    /// What it repeats.
    prior: Option<RpcId>,
    /// Those that wait for its result.
    waiting: Vec<RpcId>,
    /// Its run can't be tried again sooner.
    back: Span,
}

/// What the decisions lead to, until network code fetches it.
struct Desk {
    entries: Vec<Option<Entry>>,
    free: Vec<u32>,
    tokens: Tokens,
    clock: Clock,
    /// Replays that have come to their end.
    settled: VecDeque<(RpcId, Option<Rc<[u8]>>)>,
    kept: usize,
    most_kept: usize,
    health: bool,
    value: Option<f64>,
    idle: Option<Duration>,
    next_tick: Span,
    instance: String,
}

impl Desk {
    fn entry(&mut self, id: RpcId) -> Option<&mut Entry> {
        self.entries.get_mut(id.0 as usize)?.as_mut()
    }

    fn tell(&mut self, id: RpcId, verdict: Verdict) {
        if let Some(entry) = self.entry(id) {
            entry.verdicts.push_back(verdict);
            entry.waker.take().inspect(Waker::wake_by_ref);
        }
    }

    fn free(&mut self, id: RpcId) {
        let Some(entry) = self.entries.get_mut(id.0 as usize).and_then(Option::take) else {
            return;
        };
        // Guards against a late result that goes to whatever RPC has this index by then.
        if let Some(prior) = entry.prior.and_then(|prior| self.entry(prior)) {
            prior.waiting.retain(|waiting| *waiting != id);
        }
        if let Some(Some(result)) = entry.result {
            self.kept -= result.len();
        }
        self.settled
            .extend(entry.waiting.into_iter().map(|waiting| (waiting, None)));
        self.free.push(id.0);
    }

    /// Keeps the result of a tokened RPC for its repeats, while there is room.
    fn ended(&mut self, id: RpcId, end: &RunEnd) {
        let (kept, most) = (self.kept, self.most_kept);
        let first = |entry: &&mut Entry| entry.token.is_some() && entry.result.is_none();
        let Some(entry) = self.entry(id).filter(first) else {
            return;
        };
        let result = match end {
            RunEnd::Ok(result) if kept + result.len() <= most => Some(result.clone()),
            _ => None,
        };
        entry.result = Some(result.clone());
        let waiting = std::mem::take(&mut entry.waiting);
        self.kept += result.as_ref().map_or(0, |result| result.len());
        // Those that wait need no room.
        let result = if let RunEnd::Ok(result) = end {
            Some(result.clone())
        } else {
            None
        };
        self.settled
            .extend(waiting.into_iter().map(|id| (id, result.clone())));
    }
}

impl Actions for Desk {
    fn admit(&mut self, rpc: RpcId) {
        if let Some(token) = self.entry(rpc).and_then(|entry| entry.token.clone()) {
            self.tokens.runs(&token, rpc, true);
        }
        self.tell(rpc, Verdict::Run);
    }

    fn reject(&mut self, rpc: RpcId, after: Span, last: bool) {
        // Guards against callers sent back to where nobody may try yet.
        let after = self.entry(rpc).map_or(after, |entry| after.max(entry.back));
        self.tell(
            rpc,
            Verdict::PushBack {
                after_ms: clock::ms_up(after),
                last,
            },
        );
    }

    fn fail(&mut self, rpc: RpcId) {
        self.tell(rpc, Verdict::Abort);
    }

    fn call(&mut self, rpc: RpcId, patience: Span) {
        self.tell(
            rpc,
            Verdict::Call {
                patience: clock::duration(patience),
            },
        );
    }

    fn preempt(&mut self, rpc: RpcId) {
        self.tell(rpc, Verdict::Halt);
    }

    fn query_run(&mut self, rpc: RpcId) {
        self.tell(rpc, Verdict::Inquire);
    }

    fn retain_key(&mut self, rpc: RpcId, span: Span) {
        let until = self.clock.now() + span;
        if let Some((token, mark)) = self
            .entry(rpc)
            .and_then(|entry| Some((entry.token.clone()?, entry.mark)))
        {
            self.tokens.keep(token, mark, rpc, until);
        }
    }

    fn release_key(&mut self, rpc: RpcId) {
        let now = self.clock.now();
        if let Some(token) = self.entry(rpc).and_then(|entry| entry.token.clone()) {
            self.tokens.release(now, &token, rpc, UNREAD);
        }
    }

    fn replay(&mut self, rpc: RpcId) {
        let prior = self.entry(rpc).and_then(|entry| entry.prior);
        match prior.and_then(|prior| self.entry(prior)) {
            Some(Entry {
                result: Some(result),
                ..
            }) => {
                let result = result.clone();
                self.settled.push_back((rpc, result));
            }
            Some(entry) => entry.waiting.push(rpc),
            None => self.settled.push_back((rpc, None)),
        }
    }

    fn set_health(&mut self, good: bool) {
        self.health = good;
    }

    fn report_load(&mut self, value: f64) {
        self.value = Some(value);
    }

    fn set_idle_timeout(&mut self, span: Span) {
        self.idle = Some(clock::duration(span));
    }

    fn set_timer(&mut self, span: Span) {
        self.next_tick = span;
    }

    fn log(&mut self, text: std::fmt::Arguments<'_>) {
        note!("{text}");
    }

    fn breaker_transition(&mut self, turn: Transition) {
        let Transition {
            from,
            to,
            failure_rate: rate,
        } = turn;
        let instance = self.instance.as_str();
        tracing::info!(target: "breaker", dependency = "store", instance, from, to, rate, "breaker {turn}");
    }

    fn release_id(&mut self, rpc: RpcId) {
        self.tell(rpc, Verdict::Over);
        if self.entry(rpc).is_some_and(|entry| entry.orphan) {
            self.free(rpc);
        }
    }
}

struct Inner {
    server: Option<Scheduler>,
    desk: Desk,
}

pub struct Facade {
    inner: RefCell<Inner>,
    names: Names,
    terms: SchedulerConfig,
    levels: Option<Rc<Kept>>,
    /// Learned before a restart, and how far it is trusted.
    before: RefCell<Option<(LearnedState, f64)>>,
    seed: u64,
    clock: Clock,
    most_rpcs: usize,
    /// A tick earlier than the one waited for was asked for.
    sooner: Event,
    picked: Cell<u64>,
    /// RPCs whose runs ended well.
    ran: Cell<u64>,
    /// How long this server admits nothing, where the fleet says so: asked before each RPC.
    gate: RefCell<Option<Gate>>,
    /// When the last calls ended, and whether they failed.
    called: RefCell<VecDeque<(Instant, bool)>>,
    limiter: RefCell<Option<Rc<dyn Limiter>>>,
    shut: Cell<bool>,
}

/// An RPC's place with the decisions; given back when dropped.
pub struct Ticket {
    facade: Rc<Facade>,
    id: RpcId,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut inner = self.facade.inner.borrow_mut();
        let over = inner
            .desk
            .entry(self.id)
            .is_some_and(|entry| entry.verdicts.contains(&Verdict::Over));
        if over {
            inner.desk.free(self.id);
        } else if let Some(entry) = inner.desk.entry(self.id) {
            entry.orphan = true;
        }
    }
}

impl Facade {
    pub fn new(terms: SchedulerConfig, names: Names, seed: u64, limits: &Limits) -> Facade {
        let instance = names.instance.clone();
        let clock = Clock::start();
        let desk = Desk {
            entries: Vec::new(),
            free: Vec::new(),
            tokens: Tokens::new(limits.ids / TOKENS_PAST),
            clock,
            settled: VecDeque::new(),
            kept: 0,
            most_kept: limits.results,
            health: true,
            value: None,
            idle: None,
            next_tick: Span::ZERO,
            instance,
        };
        Facade {
            inner: RefCell::new(Inner { server: None, desk }),
            names,
            terms,
            levels: None,
            before: RefCell::default(),
            seed,
            clock,
            most_rpcs: limits.rpcs,
            sooner: Event::new(),
            picked: Cell::new(0),
            ran: Cell::new(0),
            gate: RefCell::default(),
            called: RefCell::default(),
            limiter: RefCell::default(),
            shut: Cell::new(false),
        }
    }

    /// With levels of reduced service.
    pub fn with_levels(mut self, terms: &DegradationConfig) -> Result<Facade, String> {
        self.levels = Some(Rc::new(Kept::new(terms, self.clock)?));
        Ok(self)
    }

    pub fn levels(&self) -> Option<&Rc<Kept>> {
        self.levels.as_ref()
    }

    /// What answers carry of this server beside their own.
    pub fn about(&self) -> About {
        About {
            value: self.value(),
            level: self.levels.as_ref().map(|levels| levels.name()),
        }
    }

    /// The engine is up since `ago`; `cold` where it is not yet warm.
    pub fn start(&self, cold: Option<bool>, ago: Duration) {
        let mut inner = self.inner.borrow_mut();
        let Inner { server, desk } = &mut *inner;
        if server.is_none() {
            let terms = SchedulerConfig {
                warming_up: cold.unwrap_or(self.terms.warming_up),
                ..self.terms.clone()
            };
            let since = self.clock.now() - clock::span(ago);
            // Guards against a start long ago that looks like cores which have stood still ever since: time has passed, and
            // nothing ran.
            let mut new = Scheduler::start(&terms, self.seed, since, desk);
            if let Some((learned, trust)) = self.before.take() {
                new.restore(&learned, trust);
            }
            new.handle_timeout(self.clock.now(), Gauges::default(), desk);
            *server = Some(new);
            self.sooner.notify(usize::MAX);
        }
    }

    /// What was learned before a restart, and how far it is trusted: taken in at the start.
    pub fn before(&self, learned: LearnedState, trust: f64) {
        *self.before.borrow_mut() = Some((learned, trust));
    }

    /// What is learned so far; none before the start.
    pub fn learned(&self) -> Option<LearnedState> {
        self.inner
            .borrow()
            .server
            .as_ref()
            .map(Scheduler::learned_state)
    }

    /// How much runs, as a part of the running limit.
    pub fn busy(&self) -> f64 {
        let inner = self.inner.borrow();
        inner
            .server
            .as_ref()
            .and_then(|server| server.signals().concurrency)
            .unwrap_or(0.0)
    }

    /// Lets something happen to the decisions, and all that follows from it.
    fn happen(&self, event: impl FnOnce(&mut Scheduler, Time, &mut Desk)) {
        let mut inner = self.inner.borrow_mut();
        let Inner {
            server: Some(server),
            desk,
        } = &mut *inner
        else {
            return;
        };
        let (now, tick) = (self.clock.now(), desk.next_tick);
        event(server, now, desk);
        while let Some((id, result)) = desk.settled.pop_front() {
            let outcome = if result.is_some() {
                Outcome::Ok
            } else {
                Outcome::Error
            };
            desk.tell(id, result.map_or(Verdict::Abort, Verdict::Replay));
            server.handle_completion(now, id, outcome, desk);
        }
        if desk.next_tick < tick {
            self.sooner.notify(usize::MAX);
        }
    }

    pub fn method(&self, name: &str) -> Option<usize> {
        self.names.methods.iter().position(|method| method == name)
    }

    pub fn method_name(&self, method: usize) -> &str {
        &self.names.methods[method]
    }

    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.names.tenants.iter().position(|tenant| tenant == name)
    }

    /// Whether the decisions are under way.
    pub fn started(&self) -> bool {
        self.inner.borrow().server.is_some()
    }

    pub fn tenant_name(&self, tenant: usize) -> Option<&str> {
        self.names.tenants.get(tenant).map(String::as_str)
    }

    pub fn effect(&self, method: usize) -> coralstep::Idempotency {
        self.terms.methods[method].idempotency
    }

    /// How long an RPC of `method` is waited for at the most.
    pub fn deadline(&self, method: usize) -> Duration {
        clock::duration(self.terms.methods[method].deadline)
    }

    /// Takes an RPC in and waits for its verdict.
    pub async fn pick(self: &Rc<Self>, offer: Offer) -> Result<(Ticket, Verdict), Unpicked> {
        let ticket = self.arrive(offer)?;
        let verdict = self.report(&ticket, News::Underway).await;
        Ok((ticket, verdict))
    }

    fn arrive(self: &Rc<Self>, offer: Offer) -> Result<Ticket, Unpicked> {
        self.start(None, Duration::ZERO);
        let (id, prior) = {
            let desk = &mut self.inner.borrow_mut().desk;
            let token = offer.token.map(|token| (offer.method, token));
            let mark = Mark {
                content: offer.content,
                tenant: offer.tenant,
            };
            let arrived = self.clock.now() - offer.age;
            let found = token.as_ref().map_or(Found::Nothing, |token| {
                desk.tokens.find(token, mark, arrived)
            });
            let prior = match found {
                Found::Nothing => None,
                Found::Of(prior) => Some(prior),
                Found::Barred => return Err(Unpicked::Barred),
            };
            let id = match desk.free.pop() {
                Some(id) => RpcId(id),
                None if desk.entries.len() >= self.most_rpcs => return Err(Unpicked::Full),
                None => {
                    desk.entries.push(None);
                    RpcId(desk.entries.len() as u32 - 1)
                }
            };
            desk.entries[id.0 as usize] = Some(Entry {
                token,
                mark,
                prior,
                ..Entry::default()
            });
            (id, prior)
        };
        // A stated patience makes an RPC due sooner, never later: nobody may have kept what its method promises.
        let patience = offer
            .patience
            .map(|patience| patience.min(self.terms.methods[offer.method].deadline));
        let due = patience.map(|patience| self.clock.now() - offer.age + patience);
        let arrival = Request {
            id,
            method: offer.method,
            deadline: due,
            tenant: offer.tenant,
            queued_kb: offer.room_kb,
            is_retry: offer.retry,
            age: offer.age,
            untrusted_age: offer.claimed,
            earlier_attempt: prior.map_or(EarlierAttempt::None, EarlierAttempt::Known),
            ..Request::default()
        };
        self.obey();
        self.picked.set(self.picked.get() + 1);
        self.happen(|server, now, desk| server.handle_request(now, arrival, desk));
        Ok(Ticket {
            facade: self.clone(),
            id,
        })
    }

    /// Tells how a run or a call ended and waits for what is next.
    pub async fn report(&self, ticket: &Ticket, news: News) -> Verdict {
        let id = ticket.id;
        match news {
            News::Underway => {}
            News::NeedsCall => {
                self.happen(|server, now, desk| server.handle_call_needed(now, id, desk))
            }
            News::Called { end, took } => {
                let outcome = match end {
                    CallEnd::Ok => Outcome::Ok,
                    CallEnd::Error => Outcome::Error,
                    CallEnd::PushedBack => Outcome::Rejected,
                    CallEnd::TimedOut => Outcome::TimedOut,
                    CallEnd::Unreachable => Outcome::Unreachable,
                    CallEnd::Broken => Outcome::ConnectionLost,
                    CallEnd::Moot => Outcome::NoLongerNeeded,
                };
                {
                    let mut called = self.called.borrow_mut();
                    if called.len() >= CALLED {
                        called.pop_front();
                    }
                    called.push_back((Instant::now(), end != CallEnd::Ok));
                }
                self.happen(|server, now, desk| {
                    server.handle_call_result(now, id, outcome, clock::span(took), desk)
                });
            }
            News::Gone => {
                self.happen(|server, now, desk| server.handle_cancellation(now, id, desk))
            }
            News::Ran(end) => {
                self.ran
                    .set(self.ran.get() + u64::from(matches!(end, RunEnd::Ok(_))));
                let outcome = match end {
                    RunEnd::Ok(_) => Outcome::Ok,
                    RunEnd::Error => Outcome::Error,
                    RunEnd::Cancelled => Outcome::Cancelled,
                    RunEnd::Moot => Outcome::NoLongerNeeded,
                    RunEnd::Unstarted(_) => Outcome::Unreachable,
                };
                self.happen(|server, now, desk| {
                    if let (RunEnd::Unstarted(back), Some(entry)) = (&end, desk.entry(id)) {
                        entry.back = clock::span(*back);
                        if let Some(token) = entry.token.clone() {
                            desk.tokens.runs(&token, id, false);
                        }
                    }
                    desk.ended(id, &end);
                    server.handle_completion(now, id, outcome, desk);
                });
            }
        }
        poll_fn(|cx| {
            let mut inner = self.inner.borrow_mut();
            let Some(entry) = inner.desk.entry(id) else {
                return Poll::Ready(Verdict::Over);
            };
            match entry.verdicts.front() {
                // It stays in the queue: what it stands for is freed with the ticket.
                Some(Verdict::Over) => Poll::Ready(Verdict::Over),
                Some(_) => Poll::Ready(entry.verdicts.pop_front().unwrap_or(Verdict::Over)),
                None => {
                    entry.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    /// Lets time pass; `readings` stand in the order of the settings' gauges.
    pub fn tick(&self, readings: &[Option<f64>]) {
        let mut gauges = Gauges::default();
        for (name, reading) in self.names.gauges.iter().zip(readings) {
            match name.as_str() {
                "cpu_busy" => gauges.cpu_busy = *reading,
                "sockets" => gauges.open_connections = *reading,
                _ => {}
            }
        }
        self.happen(|server, now, desk| server.handle_timeout(now, gauges, desk));
        self.obey();
        let Some(levels) = self.levels.as_ref().filter(|_| !self.shut.get()) else {
            return;
        };
        // Guards against a fault among the levels that takes the tick along: without one the last level holds.
        let beat = AssertUnwindSafe(|| {
            self.happen(|server, now, desk| {
                let level = levels.beat(now, &server.signals());
                server.set_degradation(now, level, desk);
            })
        });
        if catch_unwind(beat).is_err() {
            note!("the levels' beat ended by a panic; the last level holds");
        }
    }

    /// When the next tick is wanted, from now.
    pub fn next_tick(&self) -> Duration {
        clock::duration(self.inner.borrow().desk.next_tick)
    }

    /// Ends when the decisions start, and when a tick is wanted sooner than was said.
    pub fn sooner(&self) -> event_listener::EventListener {
        self.sooner.listen()
    }

    /// The notice to leave: the process ends after `left`.
    pub fn leave(&self, left: Duration) {
        self.start(None, Duration::ZERO);
        self.happen(|server, now, desk| {
            server.begin_drain(now, now + Span(left.as_micros() as u64 / 100), desk)
        });
    }

    pub fn healthy(&self) -> bool {
        self.inner.borrow().desk.health && !self.shut.get()
    }

    /// The free value, where one was set.
    pub fn value(&self) -> Option<f64> {
        self.inner.borrow().desk.value
    }

    /// How long a connection may carry nothing.
    pub fn idle_limit(&self) -> Option<Duration> {
        self.inner.borrow().desk.idle.filter(|idle| !idle.is_zero())
    }

    /// Who may shut this server: `gate` tells for how long nothing is to be admitted, and none while all is.
    pub fn gate(&self, gate: Gate) {
        *self.gate.borrow_mut() = Some(gate);
    }

    /// The fleet's limits hold from now on.
    pub fn limiter(&self, limiter: Rc<dyn Limiter>) {
        *self.limiter.borrow_mut() = Some(limiter);
    }

    /// Takes what `offer` needs of the fleet's limits, before anything else is decided of it; or says after how many milliseconds it should
    /// come back. A repeat of what is here, or has run, costs nothing: it is not run again.
    pub fn share(&self, offer: &Offer) -> Result<Taken, u64> {
        let Some(limiter) = self.limiter.borrow().clone().filter(|_| !self.shut.get()) else {
            return Ok(Taken(None));
        };
        if let Some(token) = &offer.token
            && self
                .inner
                .borrow()
                .desk
                .tokens
                .is_kept(&(offer.method, token.clone()))
        {
            return Ok(Taken(None));
        }
        let method = &self.terms.methods[offer.method];
        let patience = offer
            .patience
            .map_or(method.deadline, |patience| patience.min(method.deadline));
        let covers_ms = (patience.0.saturating_sub(offer.age.0)).div_ceil(10);
        let request = RequestKey {
            tenant: offer.tenant,
            method: offer.method,
            calls_dependency: method.calls,
        };
        match limiter.take(request, covers_ms) {
            Ok(permit) => Ok(Taken(Some((limiter, permit)))),
            Err(after_ms) => {
                self.picked.set(self.picked.get() + 1);
                Err(after_ms)
            }
        }
    }

    /// Looks whether this server is shut out. Held RPCs are then answered at once, what has run goes on to its end.
    pub fn obey(&self) {
        let Some(gate) = self.gate.borrow().clone() else {
            return;
        };
        let back = gate();
        if back.is_none() && !self.shut.get() {
            return;
        }
        self.shut.set(back.is_some());
        // Let in, it goes back to the level that holds: guards against a moment of full service in between.
        let open = || {
            self.levels
                .as_ref()
                .map_or_else(DegradationLevel::default, |levels| levels.effect())
        };
        let level = back.map_or_else(open, |back| DegradationLevel {
            reject_all: true,
            fenced: true,
            retry_after: back,
            ..DegradationLevel::default()
        });
        self.happen(|server, now, desk| server.set_degradation(now, level, desk));
    }

    /// The breaker's state, and of the calls of the last seconds how many failed and how many there were; none before the start.
    pub fn breaker(&self) -> Option<(&'static str, u32, u32)> {
        let state = self.inner.borrow().server.as_ref()?.breaker().state_name();
        let mut called = self.called.borrow_mut();
        while called.front().is_some_and(|(at, _)| at.elapsed() > RECENT) {
            called.pop_front();
        }
        let failures = called.iter().filter(|(_, failed)| *failed).count();
        Some((state, failures as u32, called.len() as u32))
    }

    /// What other servers saw of the dependency, as far as a breaker may go by it; a cooldown that runs ends after `left`.
    pub fn hear(&self, need: u32, left: Option<Duration>) {
        self.happen(|server, now, _| server.apply_peer_reports(now, need, left.map(clock::span)));
    }

    /// Another version of the settings holds for what is read from now on.
    pub fn versioned(&self) {
        self.happen(|server, _, _| server.begin_config_version());
    }

    /// RPCs picked since the start, and of these those whose runs ended well.
    pub fn counts(&self) -> (u64, u64) {
        (self.picked.get(), self.ran.get())
    }

    /// RPCs picked since the start.
    pub fn picked(&self) -> u64 {
        self.picked.get()
    }
}

#[cfg(test)]
mod tests;
