//! What the decisions in `choice.rs` are called with, and the [`Outlet`] they answer through.
use std::fmt;
use std::ops::{Add, Mul, Sub};

/// A moment, in tenths of a millisecond on the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A length of time, in tenths of a millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn ms(ms: u64) -> Span {
        Span(ms * 10)
    }

    pub fn share(self, share: f64) -> Span {
        Span((self.0 as f64 * share) as u64)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

/// Stops at the start of the clock.
impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

/// Nothing where `earlier` is in fact the later one.
impl Sub for Time {
    type Output = Span;
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Mul<u64> for Span {
    type Output = Span;
    fn mul(self, times: u64) -> Span {
        Span(self.0.saturating_mul(times))
    }
}

/// An RPC's small index. The caller may give it to another RPC once [`Outlet::release`] named it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RpcId(pub u32);

/// What may happen when a method runs twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    #[default]
    Idempotent,
    Tokened,
    NonIdempotent,
}

/// A method as agreed at start. `target` is when an answer is wanted, `deadline` when its client gives up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Method {
    pub effect: Effect,
    pub target: Span,
    pub deadline: Span,
    /// How long after its arrival a tokened RPC may come again.
    pub window: Span,
    pub criticality: f64,
    /// Part of the criticality that an answer past the target still earns.
    pub late: f64,
    /// Part of the criticality that an answer without the call earns; 0: the call can't be left out.
    pub skip: f64,
    pub calls: bool,
}

/// Where calls go.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Below {
    #[default]
    Nothing,
    /// One dependency for all servers; this one's share of the calls that it survives in its hands.
    Shared(f64),
    /// Servers that run this code.
    Tier,
}

impl Below {
    /// Of a shared dependency, where it is stated.
    pub fn share(self) -> Option<f64> {
        match self {
            Below::Shared(share) if share > 0.0 => Some(share),
            _ => None,
        }
    }
}

/// How callers read the value set by [`Outlet::advertise`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Advert {
    #[default]
    Off,
    /// Nothing that ranks below it comes.
    Level,
    /// So many RPCs of each caller at once.
    Credit,
    /// The chance that a caller doesn't pass this server over.
    Weight,
}

/// What may be done to running work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    #[default]
    Off,
    Drop,
    Pause,
}

/// What one server is told at its start. An absent value stays at its default and limits nothing.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    pub methods: Vec<Method>,
    /// RPCs a second within each tenant's share, over all servers.
    pub tenant_rates: Vec<f64>,
    /// Servers that share the traffic.
    pub fleet: u32,
    /// What an RPC beyond its tenant's share is worth, as a part of its criticality.
    pub over_share: f64,
    pub cores: u32,
    pub memory_kb: f64,
    pub run_factor: f64,
    pub key_kb: f64,
    /// Started a moment ago, so still slow.
    pub cold: bool,
    pub cold_speed: f64,
    pub warm_after: Span,
    /// RPCs on the cores, for each core, that a warm server survives.
    pub survivable_crowd: f64,
    pub drain_grace: Span,
    pub below: Below,
    pub linger: Span,
    pub callers: u32,
    pub advert: Advert,
    pub preemption: Preemption,
    /// How long callers keep an idle connection at the most.
    pub caller_idle: Span,
    pub worth_by_work: bool,
    /// Weights of the whole, the worst-served method and the worst-served tenant.
    pub goal: [f64; 3],
}

/// The earlier RPC that an arriving one repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Prior {
    #[default]
    Nothing,
    Of(RpcId),
    /// There is one, but the caller no longer holds its index.
    Forgotten,
}

/// An RPC that has been read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    pub id: RpcId,
    pub method: usize,
    pub tenant: Option<usize>,
    /// When its caller stops waiting, where that is said.
    pub due: Option<Time>,
    pub work: Option<Span>,
    pub held_kb: f64,
    pub retry: bool,
    /// Since it reached the machine.
    pub age: Span,
    /// That is only what a stranger says: nothing about the load is learned from it.
    pub claimed: bool,
    pub prior: Prior,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    PushedBack,
    TimedOut,
    Unreachable,
    Broken,
    Cancelled,
    Moot,
}

impl Outcome {
    pub fn proves_it_never_ran(self) -> bool {
        matches!(
            self,
            Outcome::PushedBack | Outcome::Unreachable | Outcome::Moot
        )
    }
}

/// The server's own readings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    pub busy: Option<f64>,
    pub connections: Option<f64>,
}

/// Where the answers go, each at once. What an outlet has no use for it leaves out.
#[allow(unused_variables)]
pub trait Outlet {
    fn admit(&mut self, rpc: RpcId) {}
    /// `after`: stay away so long; `last`: don't try elsewhere.
    fn push_back(&mut self, rpc: RpcId, after: Span, last: bool) {}
    fn abort(&mut self, rpc: RpcId) {}
    fn call(&mut self, rpc: RpcId, patience: Span) {}
    fn skip(&mut self, rpc: RpcId) {}
    /// Stops running work, or pauses it, as agreed at start.
    fn preempt(&mut self, rpc: RpcId) {}
    /// Asks whether a run that has its answer goes on. Where it can be proven ended, [`crate::Server::settled`] says so.
    fn inquire(&mut self, rpc: RpcId) {}
    fn keep_token(&mut self, rpc: RpcId, span: Span) {}
    fn drop_token(&mut self, rpc: RpcId) {}
    fn replay(&mut self, rpc: RpcId) {}
    fn health(&mut self, good: bool) {}
    fn advertise(&mut self, value: f64) {}
    fn idle_limit(&mut self, span: Span) {}
    /// Asks for [`crate::Server::timer`] after `span`.
    fn timer(&mut self, span: Span) {}
    fn log(&mut self, text: std::fmt::Arguments<'_>) {}
    /// The breaker changed its state.
    fn breaker(&mut self, turn: Turn) {
        self.log(format_args!("breaker {turn}"));
    }
    /// The module is done with this index.
    fn release(&mut self, rpc: RpcId) {}
}

/// What a stage does with an RPC: passes it on, keeps it, or ends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Pass,
    Keep,
    End,
}

/// Of a breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum State {
    #[default]
    Closed,
    Open {
        until: Time,
    },
    HalfOpen {
        trial: Option<RpcId>,
    },
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Closed => "closed",
            State::Open { .. } => "open",
            State::HalfOpen { .. } => "half-open",
        }
    }
}

/// A change of state, with the rate of failures that led to it; each is to be logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn {
    pub from: &'static str,
    pub to: &'static str,
    pub rate: f64,
}

impl fmt::Display for Turn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} -> {}, failed {:.2}", self.from, self.to, self.rate)
    }
}
