//! Discrete-event simulation of a world in virtual time, with the real scheduler in each server. Times are ticks of 0.1 ms.
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
use crate::baseline::{Policy, ServerScheduler};
use crate::queue::TimingWheel;
use crate::record::Record;
use crate::rules::Rules;
use crate::world::{Effect, World};

mod engine;
mod event_loop;
mod gateways;
mod server;
mod sharing;
mod troubles;

/// Start of virtual time, above zero so that servers can have started long before.
const ORIGIN: u64 = 1 << 40;
/// How long the simulation goes on after the last arrival for requests that are still open, in ticks.
const TAIL_TIME: u64 = 300_000;
/// Number of subjects, for requests that are routed by subject.
const SUBJECTS: usize = 1_000;
/// Time after the RPC's answer at which a run at a hanging application counts as lost, in ticks.
const ABANDONED_RUN_TIMEOUT: u64 = 100_000;
/// Interval at which degradation levels and statistics are sampled, in ticks.
const SAMPLE_INTERVAL: u64 = 1_000;

fn ticks_from_ms(ms: f64) -> u64 {
    (ms * 10.0).round() as u64
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Day {
    pub world: String,
    pub seed: u64,
    pub requests: u64,
    pub attempts: u64,
    pub ok: u64,
    /// Requests whose last attempt was rejected.
    pub pushed_back: u64,
    pub aborted: u64,
    pub unreached: u64,
    /// Requests still open at the end.
    pub open: u64,
    /// Criticality earned by answers, as a fraction of the criticality of all requests.
    pub kept: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub breaker_turns: u64,
    pub breaches: u64,
    /// The first breaches.
    pub told: Vec<String>,
    /// Number of breaches of each rule.
    #[serde(skip)]
    pub by_rule: Vec<(String, u64)>,
    pub events: u64,
    /// Hash of all events and their outcomes; equal for equal world and seed.
    pub trace: u64,
}

impl Day {
    /// Creates the result of a run without any requests.
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

/// An attempt at a server.
struct Rpc {
    attempt: u64,
    request: usize,
    work: f64,
    /// Its call of the dependency is still to be made.
    calls: bool,
    /// It runs without its call.
    bare: bool,
    answered: bool,
    prior: Option<RpcId>,
    /// Whether its run succeeded; `None` until the run ends.
    ended: Option<bool>,
    /// Retries that wait for its result.
    waiting: Vec<RpcId>,
    running: bool,
    call: u64,
    arrived: u64,
    tenant: Option<usize>,
    /// Its call failed or timed out.
    call_failed: bool,
    /// The application that runs it.
    pick: Option<Attempt>,
}

struct SimulatedServer {
    server: Option<ServerScheduler>,
    levels: Option<LevelStateMachine>,
    /// Whether the server is at a degraded service level.
    reduced: bool,
    /// Whether the breaker isn't closed.
    shut: bool,
    pool: Option<Pool<usize>>,
    /// Number of attempts at each application, and whether the application hangs.
    apps: Vec<(u32, bool)>,
    cut_off: bool,
    life: u64,
    speed: f64,
    /// Start of the warm-up.
    cold: Option<u64>,
    slow: f64,
    paused: bool,
    /// End of the pause.
    pause_ends: u64,
    rpcs: Vec<Option<Rpc>>,
    free: Vec<RpcId>,
    tokens: HashMap<u64, RpcId>,
    /// Jobs on the cores, each with the value of `service` at which it is complete.
    jobs: Vec<(RpcId, f64)>,
    /// Service received so far by a job that has been on the cores since the start (processor sharing).
    service: f64,
    since: u64,
    /// Versions of the scheduled completion and timer events; events of an older version are ignored.
    version: u64,
    beat: u64,
    held: usize,
    /// Whether this server alone can't reach the dependency: its calls fail (`way_dead`) or hang (`way_hangs`).
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
    /// Server of the first attempt, if it isn't chosen at random.
    subject: Option<usize>,
}

enum Event {
    Arrive,
    StartAttempt(usize),
    Timer(usize, u64, u64),
    JobsCompleted(usize, u64),
    CallEnded {
        node: usize,
        life: u64,
        rpc: RpcId,
        call: u64,
        outcome: Outcome,
        began: u64,
    },
    /// An attempt at an application has ended.
    ApplicationEnded {
        node: usize,
        life: u64,
        rpc: RpcId,
        good: bool,
    },
    /// An abandoned attempt at a hanging application counts as lost.
    AbandonedAttemptExpired {
        node: usize,
        life: u64,
        pick: Attempt,
    },
    Trouble(usize, bool),
    Sample,
    BeginDrain(usize),
    Stop(usize, u64),
    Restart(usize),
    End,
}

struct Simulation<'a> {
    world: &'a World,
    chance: SmallRng,
    queue: TimingWheel<Event>,
    now: u64,
    nodes: Vec<SimulatedServer>,
    requests: Vec<Option<Request>>,
    free: Vec<usize>,
    heeds: Vec<bool>,
    away: HashMap<(usize, usize), u64>,
    calls: u64,
    /// Time of the last arrival from the start, in ticks with fractions.
    arrival: f64,
    jump: f64,
    slow_calls: f64,
    hangs: bool,
    dead: bool,
    sharing: Sharing,
    tail: Option<(f64, f64)>,
    /// Fraction of the requests that a hot caller sends, and the server it sends them to.
    hot: Option<(f64, usize)>,
    affected: Vec<Vec<usize>>,
    policy: Policy,
    defect: Defect,
    gaps: Option<Gamma<f64>>,
    record: Record,
    /// Number of servers whose breaker isn't closed, and number of servers at a degraded level.
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

fn scheduler_config(world: &World, cold: bool) -> SchedulerConfig {
    let span = |ms: f64| Span(ticks_from_ms(ms));
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

/// Simulates a world; the result is the same for the same world and seed.
pub fn simulate(world: &World, seed: u64) -> Day {
    play(world, seed, Policy::Module, false).0
}

/// Defects injected into the servers to test the rule checker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Defect {
    #[default]
    None,
    /// Rejected requests get no answer.
    Silent,
    /// Each run starts twice.
    Again,
    /// Requests that ran and should fail are rejected instead.
    PushBackRan,
    /// Requests that should be rejected run.
    RunAll,
    /// Rejections carry no Retry-After.
    NoAdvice,
}

/// Simulates a world with a defect injected into its servers.
pub fn simulate_with_defect(world: &World, seed: u64, defect: Defect) -> Day {
    let mut sim = Simulation::new(world, seed, Policy::Module, Record::new(world));
    sim.defect = defect;
    sim.play().0
}

/// Simulates a world with `policy` in each server. The record lists all requests if `requests` is set.
pub fn play(world: &World, seed: u64, policy: Policy, requests: bool) -> (Day, Record) {
    let mut record = Record::new(world);
    record.requests = requests.then(Vec::new);
    Simulation::new(world, seed, policy, record).play()
}
impl<'a> Simulation<'a> {
    fn new(world: &'a World, seed: u64, policy: Policy, record: Record) -> Simulation<'a> {
        let mut chance = SmallRng::seed_from_u64(seed);
        let servers = &world.servers;
        let [least, most] = servers.speed;
        let heeds = (0..world.gateways.count)
            .map(|_| chance.random_range(0.0..1.0) < world.gateways.heed)
            .collect();
        let crowd = servers.crowd * f64::from(servers.cores);
        let mut sim = Simulation {
            world,
            queue: TimingWheel::default(),
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
            defect: Defect::None,
            // Mean 1, which keeps the world's rate. `None`: exponential gaps.
            gaps: Gamma::new(world.gap_shape, 1.0 / world.gap_shape)
                .ok()
                .filter(|_| world.gap_shape != 1.0),
            shut: 0,
            reduced: 0,
            affected: vec![Vec::new(); world.troubles.len()],
            rules: Rules::new(servers.count, servers.memory_kb, crowd),
            // One to 10^9 ticks with three significant digits: these constant bounds are valid.
            took: Histogram::new_with_bounds(1, 1_000_000_000, 3)
                .expect("histogram bounds are valid"),
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
            sim.nodes.push(SimulatedServer {
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
        (0..servers.count).for_each(|node| sim.start_server(node, false));
        for (at, trouble) in world.troubles.iter().enumerate() {
            let from = ORIGIN as f64 + trouble.at_s * 10_000.0;
            let to = from + trouble.for_s * 10_000.0;
            // Skips a trouble that ended before the run starts.
            if to > ORIGIN as f64 {
                sim.push(from.max(ORIGIN as f64) as u64, Event::Trouble(at, true));
                sim.push(to as u64, Event::Trouble(at, false));
            }
        }
        let end = ORIGIN + ticks_from_ms(world.seconds * 1000.0) + TAIL_TIME;
        sim.push(end, Event::End);
        sim.push(ORIGIN, Event::Sample);
        sim.schedule_next_arrival();
        sim
    }
}
