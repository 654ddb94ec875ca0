//! Degradation levels on the real scheduler, in virtual time: four servers at 120% through a rolling deploy whose
//! successors start cold, each with its own levels and nobody's state but its own.
use coralstep::{
    Actions, DegradationLevel, Dependency, Gauges, Idempotency, Method, Outcome, Request, RpcId,
    Scheduler, SchedulerConfig, Span, Time,
};
use coralstep_degradation::{DegradationConfig, LevelStateMachine};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEP_MS: u64 = 10;
const CORES: usize = 2;
/// Work of a run on a core, and the runs a second that a warm server gets done.
const WORK_MS: f64 = 100.0;
const CAPACITY: f64 = CORES as f64 * 1000.0 / WORK_MS;
const WARMING_MS: u64 = 10_000;
const COLD_SPEED: f64 = 0.3;
const TARGET_MS: u64 = 2_000;
/// What an answer without its call earns, and how long a call takes.
const SKIP: f64 = 0.5;
const CALL_MS: u64 = 20;

#[derive(Default)]
struct Answers {
    admitted: Vec<RpcId>,
    called: Vec<(RpcId, Span)>,
    skipped: Vec<RpcId>,
    released: Vec<RpcId>,
    pushed_back: u64,
}

impl Actions for Answers {
    fn admit(&mut self, rpc: RpcId) {
        self.admitted.push(rpc);
    }
    fn call(&mut self, rpc: RpcId, patience: Span) {
        self.called.push((rpc, patience));
    }
    fn skip_call(&mut self, rpc: RpcId) {
        self.skipped.push(rpc);
    }
    fn reject(&mut self, _rpc: RpcId, _after: Span, _last: bool) {
        self.pushed_back += 1;
    }
    fn release_id(&mut self, rpc: RpcId) {
        self.released.push(rpc);
    }
}

struct Node {
    server: Scheduler,
    levels: LevelStateMachine,
    out: Answers,
    /// Since when and how long each index's run still takes.
    rpcs: Vec<(u64, usize)>,
    free: Vec<RpcId>,
    running: Vec<(RpcId, f64)>,
    /// Those at their call, until when it lasts, and whether it then goes well.
    calling: Vec<(RpcId, u64, u64, bool)>,
    /// Who came to its call.
    halfway: Vec<RpcId>,
    /// Whose call was left out.
    bare: Vec<RpcId>,
    began: u64,
    cold: bool,
    changes: Vec<(u64, String)>,
}

fn at(ms: u64) -> Time {
    Time(1 << 30) + Span::ms(ms)
}

fn config(cold: bool) -> SchedulerConfig {
    let method = |effect, criticality| Method {
        idempotency: effect,
        priority_weight: criticality,
        latency_objective: Span::ms(TARGET_MS),
        deadline: Span::ms(4 * TARGET_MS),
        late_value: 0.2,
        ..Method::default()
    };
    SchedulerConfig {
        methods: vec![
            Method {
                calls: true,
                skip_value: SKIP,
                ..method(Idempotency::Idempotent, 0.5)
            },
            method(Idempotency::Idempotent, 1.0),
            method(Idempotency::NonIdempotent, 3.0),
        ],
        cores: CORES as u32,
        dependency: Dependency::Shared(20.0),
        memory_kb: 20_000.0,
        run_memory_factor: 4.0,
        max_started_per_core: 6.0,
        warming_up: cold,
        cold_speed: COLD_SPEED,
        warm_up_time: Span::ms(WARMING_MS),
        ..SchedulerConfig::default()
    }
}

impl Node {
    fn new(ms: u64, cold: bool) -> Node {
        let mut out = Answers::default();
        Node {
            server: Scheduler::start(&config(cold), ms + 1, at(ms), &mut out),
            levels: LevelStateMachine::new(&DegradationConfig::default(), at(ms)).unwrap(),
            out,
            rpcs: Vec::new(),
            free: Vec::new(),
            running: Vec::new(),
            calling: Vec::new(),
            halfway: Vec::new(),
            bare: Vec::new(),
            began: ms,
            cold,
            changes: Vec::new(),
        }
    }

    fn arrive(&mut self, ms: u64, method: usize, call_ms: u64) {
        let id = self.free.pop().unwrap_or_else(|| {
            self.rpcs.push((0, 0));
            RpcId(self.rpcs.len() as u32 - 1)
        });
        self.rpcs[id.0 as usize] = (ms, method);
        self.server.handle_request(
            at(ms),
            Request {
                id,
                method,
                queued_kb: 20.0,
                ..Request::default()
            },
            &mut self.out,
        );
        self.settle(ms, call_ms);
    }

    fn settle(&mut self, ms: u64, call_ms: u64) {
        self.running
            .extend(self.out.admitted.drain(..).map(|id| (id, WORK_MS)));
        for (id, patience) in self.out.called.drain(..) {
            let patience = patience.0 / 10;
            self.calling
                .push((id, ms, ms + call_ms.min(patience), call_ms <= patience));
        }
        for id in self.out.skipped.drain(..) {
            self.bare.push(id);
            self.running.push((id, WORK_MS / 2.0));
        }
        self.free.append(&mut self.out.released);
    }

    /// One step; the priority weight answered in time.
    fn step(&mut self, ms: u64, with_levels: bool, call_ms: u64) -> f64 {
        self.work(ms);
        self.end_calls(ms);
        self.begin_calls(ms);
        let answered = self.complete(ms);
        self.tick(ms);
        if with_levels && ms.is_multiple_of(100) {
            self.observe_levels(ms);
        }
        self.settle(ms, call_ms);
        answered
    }

    fn work(&mut self, ms: u64) {
        let warmth = (ms - self.began) as f64 / WARMING_MS as f64;
        let speed = if self.cold {
            (COLD_SPEED + (1.0 - COLD_SPEED) * warmth).min(1.0)
        } else {
            1.0
        };
        let each =
            STEP_MS as f64 * speed * (CORES as f64 / self.running.len().max(1) as f64).min(1.0);
        self.running.iter_mut().for_each(|(_, left)| *left -= each);
    }

    fn end_calls(&mut self, ms: u64) {
        let ended: Vec<_> = self
            .calling
            .iter()
            .filter(|(_, _, end, _)| *end <= ms)
            .copied()
            .collect();
        self.calling.retain(|(_, _, end, _)| *end > ms);
        for (id, began, _, good) in ended {
            let outcome = if good { Outcome::Ok } else { Outcome::TimedOut };
            self.server.handle_call_result(
                at(ms),
                id,
                outcome,
                Span::ms(ms - began),
                &mut self.out,
            );
            if good {
                self.running.push((id, WORK_MS / 2.0));
            }
        }
    }

    /// The first method calls halfway.
    fn begin_calls(&mut self, ms: u64) {
        let calls = |id: &RpcId| self.rpcs[id.0 as usize].1 == 0;
        let half = |(id, left): &&(RpcId, f64)| {
            *left <= WORK_MS / 2.0 && calls(id) && !self.halfway.contains(id)
        };
        let need: Vec<RpcId> = self
            .running
            .iter()
            .filter(half)
            .map(|(id, _)| *id)
            .collect();
        for id in need {
            self.halfway.push(id);
            self.running.retain(|(other, _)| *other != id);
            self.server.handle_call_needed(at(ms), id, &mut self.out);
        }
    }

    fn complete(&mut self, ms: u64) -> f64 {
        let over: Vec<RpcId> = self
            .running
            .iter()
            .filter(|(_, left)| *left <= 0.0)
            .map(|(id, _)| *id)
            .collect();
        self.running.retain(|(_, left)| *left > 0.0);
        let mut answered = 0.0;
        for id in over {
            let (since, method) = self.rpcs[id.0 as usize];
            if ms - since <= TARGET_MS {
                let part = if self.bare.contains(&id) { SKIP } else { 1.0 };
                answered += [0.5, 1.0, 3.0][method] * part;
            }
            self.halfway.retain(|other| *other != id);
            self.bare.retain(|other| *other != id);
            self.server
                .handle_completion(at(ms), id, Outcome::Ok, &mut self.out);
        }
        answered
    }

    fn tick(&mut self, ms: u64) {
        let busy = (self.running.len() as f64 / CORES as f64).min(1.0);
        let gauges = Gauges {
            cpu_busy: Some(busy),
            open_connections: None,
        };
        self.server.handle_timeout(at(ms), gauges, &mut self.out);
    }

    fn observe_levels(&mut self, ms: u64) {
        if let Some(change) = self.levels.observe(at(ms), &self.server.signals()) {
            self.changes.push((ms, change.to));
        }
        let level: DegradationLevel = self.levels.degradation_level();
        self.server.set_degradation(at(ms), level, &mut self.out);
    }
}

struct Day {
    /// Part of the criticality asked for that was answered in time.
    kept: f64,
    /// All servers there were, with their changes.
    nodes: Vec<Node>,
}

/// `load` by the millisecond, of what the warm fleet gets done; one server is replaced each `deploy` ms.
fn play(
    seed: u64,
    ms: u64,
    load: impl Fn(u64) -> f64,
    deploy: Option<u64>,
    with_levels: bool,
) -> Day {
    play_slow(seed, ms, load, deploy, with_levels, |_| CALL_MS)
}

/// The same with calls that take as long as `calls` says, by the millisecond.
fn play_slow(
    seed: u64,
    ms: u64,
    load: impl Fn(u64) -> f64,
    deploy: Option<u64>,
    with_levels: bool,
    calls: impl Fn(u64) -> u64,
) -> Day {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut nodes: Vec<Node> = (0..4).map(|_| Node::new(0, false)).collect();
    let (mut asked, mut good, mut gone) = (0.0, 0.0, Vec::new());
    for now in (STEP_MS..ms).step_by(STEP_MS as usize) {
        if let Some(every) = deploy
            && now.is_multiple_of(every)
            && now / every <= 4
        {
            let at = (now / every - 1) as usize;
            gone.push(std::mem::replace(&mut nodes[at], Node::new(now, true)));
        }
        let rate = load(now) * CAPACITY * nodes.len() as f64 * STEP_MS as f64 / 1000.0;
        let count = rate as u64 + u64::from(rng.random_range(0.0..1.0) < rate.fract());
        for _ in 0..count {
            let method = [0, 1, 1, 2][rng.random_range(0..4)];
            asked += [0.5, 1.0, 3.0][method];
            let to = rng.random_range(0..nodes.len());
            nodes[to].arrive(now, method, calls(now));
        }
        good += nodes
            .iter_mut()
            .map(|node| node.step(now, with_levels, calls(now)))
            .sum::<f64>();
    }
    gone.append(&mut nodes);
    Day {
        kept: good / asked,
        nodes: gone,
    }
}

#[test]
fn cold_successors_neither_start_closed_nor_reopen_what_their_peers_cannot_carry() {
    for seed in 0..6 {
        let day = play(
            seed,
            240_000,
            |ms| if ms < 100_000 { 1.2 } else { 0.5 },
            Some(12_000),
            true,
        );
        let mut moved = 0;
        for node in &day.nodes {
            let first = node.changes.first();
            assert!(
                first.is_none_or(|(ms, _)| *ms >= node.began + 3_000),
                "seed {seed}: {:?}",
                node.changes
            );
            assert!(
                node.changes.iter().all(|(_, to)| to != "closed"),
                "seed {seed}: {:?}",
                node.changes
            );
            assert!(
                node.changes
                    .windows(2)
                    .all(|pair| pair[1].0 - pair[0].0 >= 30_000),
                "{:?}",
                node.changes
            );
            moved += node.changes.len();
        }
        assert!(moved > 0, "120% moved no level");
        // Once the load has fallen, full service is back everywhere.
        assert!(
            day.nodes[4..]
                .iter()
                .all(|node| node.levels.level_name() == "full"),
            "seed {seed}"
        );
    }
}

#[test]
fn a_calm_day_changes_nothing() {
    let day = play(3, 120_000, |_| 0.7, None, true);
    assert!(day.nodes.iter().all(|node| node.changes.is_empty()));
    assert!(day.kept > 0.95, "{}", day.kept);
}

/// Criticality answered in time with and without the built-in levels.
#[test]
#[ignore = "half a minute; figures for docs/levels.md"]
fn by_hand_with_and_without() {
    println!(
        "load  deploy  without   with  (criticality answered in time, mean of 8 seeds, virtual time)"
    );
    for load in [0.83, 1.0, 1.2, 1.5] {
        for deploy in [None, Some(12_000)] {
            let mean = |with: bool| {
                (0..8)
                    .map(|seed| play(seed, 120_000, |_| load, deploy, with).kept)
                    .sum::<f64>()
                    / 8.0
            };
            println!(
                "{load}\t{}\t{:.3}\t{:.3}",
                deploy.is_some(),
                mean(false),
                mean(true)
            );
        }
    }
    println!("load  calls from 40 to 80 s  without   with");
    for load in [0.83, 1.0, 1.2, 1.5] {
        for slow in [200, 700, 1_500] {
            let calls = |ms: u64| {
                if (40_000..80_000).contains(&ms) {
                    slow
                } else {
                    CALL_MS
                }
            };
            let play = |seed, with| play_slow(seed, 120_000, |_| load, None, with, calls).kept;
            let mean = |with: bool| (0..8).map(|seed| play(seed, with)).sum::<f64>() / 8.0;
            println!("{load}\t{slow} ms\t{:.3}\t{:.3}", mean(false), mean(true));
        }
    }
}
