//! A day of a world in virtual time: discrete events, the real decisions in each server. Times are ticks of a tenth of a ms.
use std::collections::HashMap;

use coralstep::{
    Dependency, GoalWeights, Idempotency, Method, Outcome, RpcId, SchedulerConfig, Span,
};
use coralstep_balancer::{Attempt, Pool};
use coralstep_degradation::LevelStateMachine;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Gamma;
use serde::Serialize;

use self::sharing::Sharing;
use crate::baseline::{Decider, Policy};
use crate::queue::Wheel;
use crate::record::Record;
use crate::rules::Rules;
use crate::world::{Effect, World};

mod clockwork;
mod engine;
mod gateways;
mod server;
mod sharing;
mod troubles;

/// Where virtual time starts, so that a server may have been up for long before.
const ORIGIN: u64 = 1 << 40;
/// What is open when the last request came is played on for so long, in ticks.
const AFTER: u64 = 300_000;
/// Subjects of requests that go to the server of their subject.
const SUBJECTS: usize = 1_000;
/// So long after its RPC's answer a run in the hands of an application that hangs is counted as lost, in ticks.
const STUCK: u64 = 100_000;
/// Levels look this often, in ticks.
const LOOK: u64 = 1_000;

fn ticks(ms: f64) -> u64 {
    (ms * 10.0).round() as u64
}

/// What a day came to. Figures of virtual time.
#[derive(Clone, Debug, Serialize)]
pub struct Day {
    pub world: String,
    pub seed: u64,
    pub requests: u64,
    pub attempts: u64,
    pub ok: u64,
    /// The last try ended so.
    pub pushed_back: u64,
    pub aborted: u64,
    pub unreached: u64,
    /// Open when the day ended.
    pub open: u64,
    /// Criticality answered within its target, as a part of all that was asked for.
    pub kept: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub breaker_turns: u64,
    pub breaches: u64,
    /// The first of them, and how many of each rule.
    pub told: Vec<String>,
    #[serde(skip)]
    pub by_rule: Vec<(String, u64)>,
    pub events: u64,
    /// Of all events and their outcomes: the same for the same world and seed.
    pub trace: u64,
}

impl Day {
    /// Nothing has happened yet.
    pub fn new(world: &World, seed: u64) -> Day {
        Day {
            world: world.name.clone(),
            seed,
            requests: 0,
            attempts: 0,
            ok: 0,
            pushed_back: 0,
            aborted: 0,
            unreached: 0,
            open: 0,
            kept: 1.0,
            p50_ms: 0.0,
            p99_ms: 0.0,
            breaker_turns: 0,
            breaches: 0,
            told: Vec::new(),
            by_rule: Vec::new(),
            events: 0,
            trace: 0,
        }
    }
}

/// One attempt at a server.
struct Rpc {
    attempt: u64,
    request: usize,
    work: f64,
    /// Its call is still to come.
    calls: bool,
    /// Answered without its call.
    bare: bool,
    answered: bool,
    prior: Option<RpcId>,
    /// How its run ended, where it did: well or not.
    ended: Option<bool>,
    /// Those that wait for its result.
    waiting: Vec<RpcId>,
    running: bool,
    call: u64,
    arrived: u64,
    tenant: Option<usize>,
    /// Its call came to no good end.
    call_failed: bool,
    /// At which application it runs.
    pick: Option<Attempt>,
}

struct Node {
    server: Option<Decider>,
    levels: Option<LevelStateMachine>,
    /// At a level of reduced service.
    reduced: bool,
    /// The breaker is not closed.
    shut: bool,
    pool: Option<Pool<usize>>,
    /// Attempts at each application, and whether it hangs.
    apps: Vec<(u32, bool)>,
    cut_off: bool,
    life: u64,
    speed: f64,
    /// Cold since then.
    cold: Option<u64>,
    slow: f64,
    paused: bool,
    /// Until when that lasts.
    pause_ends: u64,
    rpcs: Vec<Option<Rpc>>,
    free: Vec<RpcId>,
    tokens: HashMap<u64, RpcId>,
    /// Those on the cores, and the service at which each is done.
    jobs: Vec<(RpcId, f64)>,
    /// Service that each job has had, were it there from the start.
    service: f64,
    since: u64,
    /// Of the next end of a job and the next beat: older events are void.
    version: u64,
    beat: u64,
    held: usize,
    /// It alone doesn't reach the dependency: its calls fail, or come to no end.
    way_dead: bool,
    way_hangs: bool,
    listed_from: u64,
    unlisted_from: u64,
}

struct Request {
    method: usize,
    token: u64,
    first: u64,
    tries: u32,
    gateway: usize,
    tenant: Option<usize>,
    /// Where its first try goes, where that is not by chance.
    subject: Option<usize>,
}

enum Event {
    Arrive,
    Try(usize),
    Beat(usize, u64, u64),
    Done(usize, u64),
    Called {
        node: usize,
        life: u64,
        rpc: RpcId,
        call: u64,
        outcome: Outcome,
        began: u64,
    },
    /// An attempt at an application ends.
    Ran {
        node: usize,
        life: u64,
        rpc: RpcId,
        good: bool,
    },
    /// What hung in an application's hands is counted as lost.
    LetGo {
        node: usize,
        life: u64,
        pick: Attempt,
    },
    Trouble(usize, bool),
    Look,
    Leave(usize),
    Stop(usize, u64),
    Return(usize),
    End,
}

struct Sim<'a> {
    world: &'a World,
    chance: SmallRng,
    queue: Wheel<Event>,
    now: u64,
    nodes: Vec<Node>,
    requests: Vec<Option<Request>>,
    free: Vec<usize>,
    heeds: Vec<bool>,
    away: HashMap<(usize, usize), u64>,
    calls: u64,
    /// When the last request came, from the start, in parts of a tick, too.
    arrival: f64,
    jump: f64,
    slow_calls: f64,
    hangs: bool,
    dead: bool,
    sharing: Sharing,
    tail: Option<(f64, f64)>,
    /// Part of the requests that a hot caller sends, and the server it sends them to.
    hot: Option<(f64, usize)>,
    struck: Vec<Vec<usize>>,
    policy: Policy,
    cheat: Cheat,
    gaps: Option<Gamma<f64>>,
    record: Record,
    /// Servers whose breaker is not closed, and work that cores could do in the present slice.
    shut: u32,
    reduced: u32,
    rules: Rules,
    took: Histogram<u64>,
    asked: f64,
    good: f64,
    day: Day,
    tokens: u64,
    shares: f64,
}

fn terms(world: &World, cold: bool) -> SchedulerConfig {
    let span = |ms: f64| Span(ticks(ms));
    let below = world
        .dependency
        .as_ref()
        .map_or(Dependency::None, |dependency| {
            Dependency::Shared(dependency.capacity / world.servers.count as f64)
        });
    let tenant_rates = world.tenants.iter().map(|tenant| tenant.rate).collect();
    let method = |method: &crate::world::OneMethod| Method {
        idempotency: match method.effect {
            Effect::Idempotent => Idempotency::Idempotent,
            Effect::Tokened => Idempotency::Keyed,
            Effect::NonIdempotent => Idempotency::NonIdempotent,
        },
        latency_objective: span(method.target_ms),
        deadline: span(method.deadline_ms),
        retry_window: span(method.window_ms),
        priority_weight: method.criticality,
        late_value: method.late,
        skip_value: method.skip,
        calls: method.calls,
    };
    SchedulerConfig {
        methods: world.methods.iter().map(method).collect(),
        tenant_quotas: tenant_rates,
        over_quota_weight: world.over_share,
        goal: GoalWeights {
            overall: 1.0,
            ..GoalWeights::default()
        },
        fleet_size: world.servers.count as u32,
        cores: world.servers.cores,
        memory_kb: world.servers.memory_kb,
        run_memory_factor: world.servers.run_factor,
        key_kb: world.servers.key_kb,
        warming_up: cold,
        cold_speed: world.servers.cold_speed,
        warm_up_time: span(world.servers.warm_ms),
        max_started_per_core: world.servers.crowd,
        drain_grace: span(world.servers.grace_ms),
        dependency: below,
        callers: world.gateways.count as u32,
        ..SchedulerConfig::default()
    }
}

/// Plays a day; the same for the same world and seed.
pub fn simulate(world: &World, seed: u64) -> Day {
    play(world, seed, Policy::Module, false).0
}

/// What servers do wrong on purpose, for tests of the checker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cheat {
    #[default]
    None,
    /// They say nothing to whom they push back.
    Silent,
    /// They begin each run twice.
    Again,
    /// They push back what has run and was to be aborted.
    PushBackRan,
    /// They run what they should push back.
    RunAll,
    /// They don't say when to come back.
    NoAdvice,
}

/// A day with servers that cheat.
pub fn cheated(world: &World, seed: u64, cheat: Cheat) -> Day {
    let mut sim = Sim::new(world, seed, Policy::Module, Record::new(world));
    sim.cheat = cheat;
    sim.play().0
}

/// Plays a day with `policy` in each server, and tells what it was like; `requests`: and which requests came.
pub fn play(world: &World, seed: u64, policy: Policy, requests: bool) -> (Day, Record) {
    let mut record = Record::new(world);
    record.requests = requests.then(Vec::new);
    Sim::new(world, seed, policy, record).play()
}
impl<'a> Sim<'a> {
    fn new(world: &'a World, seed: u64, policy: Policy, record: Record) -> Sim<'a> {
        let mut chance = SmallRng::seed_from_u64(seed);
        let servers = &world.servers;
        let [least, most] = servers.speed;
        let heeds = (0..world.gateways.count)
            .map(|_| chance.random_range(0.0..1.0) < world.gateways.heed)
            .collect();
        let crowd = servers.crowd * f64::from(servers.cores);
        let mut sim = Sim {
            world,
            queue: Wheel::default(),
            now: ORIGIN,
            nodes: Vec::new(),
            requests: Vec::new(),
            free: Vec::new(),
            heeds,
            away: HashMap::new(),
            calls: 0,
            arrival: 0.0,
            jump: 1.0,
            slow_calls: 1.0,
            hangs: false,
            dead: false,
            sharing: Sharing::new(servers.count, seed),
            tail: None,
            hot: None,
            policy,
            cheat: Cheat::None,
            // Of mean 1, so that the rate is the world's. None: by pure chance.
            gaps: Gamma::new(world.gap_shape, 1.0 / world.gap_shape)
                .ok()
                .filter(|_| world.gap_shape != 1.0),
            shut: 0,
            reduced: 0,
            struck: vec![Vec::new(); world.troubles.len()],
            rules: Rules::new(servers.count, servers.memory_kb, crowd),
            // One to a billion ticks, three digits: what is created so can't fail.
            took: Histogram::new_with_bounds(1, 1_000_000_000, 3).expect("sound bounds"),
            asked: 0.0,
            good: 0.0,
            day: Day::new(world, seed),
            record,
            tokens: 0,
            shares: world.methods.iter().map(|method| method.share).sum(),
            chance,
        };
        for _ in 0..servers.count {
            let speed = if least < most {
                sim.chance.random_range(least..most)
            } else {
                least
            };
            sim.nodes.push(Node {
                server: None,
                levels: None,
                reduced: false,
                shut: false,
                pool: None,
                apps: Vec::new(),
                cut_off: false,
                life: 0,
                speed,
                cold: None,
                slow: 1.0,
                paused: false,
                pause_ends: 0,
                rpcs: Vec::new(),
                free: Vec::new(),
                tokens: HashMap::new(),
                jobs: Vec::new(),
                service: 0.0,
                since: ORIGIN,
                version: 0,
                beat: 0,
                held: 0,
                way_dead: false,
                way_hangs: false,
                listed_from: 0,
                unlisted_from: u64::MAX,
            });
        }
        (0..servers.count).for_each(|node| sim.boot(node, false));
        for (at, trouble) in world.troubles.iter().enumerate() {
            let from = ORIGIN as f64 + trouble.at_s * 10_000.0;
            let to = from + trouble.for_s * 10_000.0;
            // One that was over before the day began is none.
            if to > ORIGIN as f64 {
                sim.push(from.max(ORIGIN as f64) as u64, Event::Trouble(at, true));
                sim.push(to as u64, Event::Trouble(at, false));
            }
        }
        let end = ORIGIN + ticks(world.seconds * 1000.0) + AFTER;
        sim.push(end, Event::End);
        sim.push(ORIGIN, Event::Look);
        sim.next_arrival();
        sim
    }
}
