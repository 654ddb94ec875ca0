//! Degradation levels with the real scheduler in virtual time: four servers at 120% of their capacity during a rolling
//! deploy. The successors start cold, and each server decides on its level from its own state only.
use coralstep::{
    Actions, DegradationLevel, Dependency, Gauges, Idempotency, Method, Outcome, Request, RpcId,
    Scheduler, SchedulerConfig, Span, Time,
};
use coralstep_degradation::{DegradationConfig, LevelStateMachine};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEP_MS: u64 = 10;
const CORES: usize = 2;
/// CPU time of a run.
const WORK_MS: f64 = 100.0;
/// Runs per second that a warm server completes.
const CAPACITY: f64 = CORES as f64 * 1000.0 / WORK_MS;
const WARM_UP_MS: u64 = 10_000;
const COLD_SPEED: f64 = 0.3;
const TARGET_MS: u64 = 2_000;
/// Value of an answer without its call, as a fraction of the full value.
const SKIP_VALUE: f64 = 0.5;
/// Duration of a call.
const CALL_MS: u64 = 20;

#[derive(Default)]
struct RecordedActions {
    admitted: Vec<RpcId>,
    called: Vec<(RpcId, Span)>,
    skipped: Vec<RpcId>,
    released: Vec<RpcId>,
    rejected: u64,
}

impl Actions for RecordedActions {
    fn admit(&mut self, rpc: RpcId) {
        self.admitted.push(rpc);
    }
    fn call(&mut self, rpc: RpcId, timeout: Span) {
        self.called.push((rpc, timeout));
    }
    fn skip_call(&mut self, rpc: RpcId) {
        self.skipped.push(rpc);
    }
    fn reject(&mut self, _rpc: RpcId, _after: Span, _last: bool) {
        self.rejected += 1;
    }
    fn release_id(&mut self, rpc: RpcId) {
        self.released.push(rpc);
    }
}

struct Node {
    scheduler: Scheduler,
    levels: LevelStateMachine,
    actions: RecordedActions,
    /// Arrival time in milliseconds and method of each RPC, indexed by its id.
    rpcs: Vec<(u64, usize)>,
    /// Ids that can be reused.
    free_ids: Vec<RpcId>,
    /// Running RPCs with their remaining work in milliseconds.
    running: Vec<(RpcId, f64)>,
    /// RPCs in a call: id, start and end of the call in milliseconds, and whether it succeeds.
    calling: Vec<(RpcId, u64, u64, bool)>,
    /// RPCs that have requested their call.
    call_requested: Vec<RpcId>,
    /// RPCs whose call was skipped.
    call_skipped: Vec<RpcId>,
    started_ms: u64,
    cold: bool,
    /// Changes of level: time in milliseconds and name of the new level.
    changes: Vec<(u64, String)>,
}

fn time_at(ms: u64) -> Time {
    Time(1 << 30) + Span::ms(ms)
}

fn config(cold: bool) -> SchedulerConfig {
    let method = |idempotency, priority_weight| Method {
        idempotency,
        priority_weight,
        latency_objective: Span::ms(TARGET_MS),
        deadline: Span::ms(4 * TARGET_MS),
        late_value: 0.2,
        ..Method::default()
    };
    SchedulerConfig {
        methods: vec![
            Method {
                calls: true,
                skip_value: SKIP_VALUE,
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
        warm_up_time: Span::ms(WARM_UP_MS),
        ..SchedulerConfig::default()
    }
}

impl Node {
    fn new(ms: u64, cold: bool) -> Node {
        let mut actions = RecordedActions::default();
        Node {
            scheduler: Scheduler::start(&config(cold), ms + 1, time_at(ms), &mut actions),
            levels: LevelStateMachine::new(&DegradationConfig::default(), time_at(ms)).unwrap(),
            actions,
            rpcs: Vec::new(),
            free_ids: Vec::new(),
            running: Vec::new(),
            calling: Vec::new(),
            call_requested: Vec::new(),
            call_skipped: Vec::new(),
            started_ms: ms,
            cold,
            changes: Vec::new(),
        }
    }

    fn arrive(&mut self, ms: u64, method: usize, call_ms: u64) {
        let id = self.free_ids.pop().unwrap_or_else(|| {
            self.rpcs.push((0, 0));
            RpcId(self.rpcs.len() as u32 - 1)
        });
        self.rpcs[id.0 as usize] = (ms, method);
        self.scheduler.handle_request(
            time_at(ms),
            Request {
                id,
                method,
                queued_kb: 20.0,
                ..Request::default()
            },
            &mut self.actions,
        );
        self.apply_actions(ms, call_ms);
    }

    fn apply_actions(&mut self, ms: u64, call_ms: u64) {
        self.running
            .extend(self.actions.admitted.drain(..).map(|id| (id, WORK_MS)));
        for (id, timeout) in self.actions.called.drain(..) {
            let timeout_ms = timeout.0 / 10;
            self.calling
                .push((id, ms, ms + call_ms.min(timeout_ms), call_ms <= timeout_ms));
        }
        for id in self.actions.skipped.drain(..) {
            self.call_skipped.push(id);
            self.running.push((id, WORK_MS / 2.0));
        }
        self.free_ids.append(&mut self.actions.released);
    }

    /// Simulates one step and returns the total priority weight answered in time.
    fn step(&mut self, ms: u64, with_levels: bool, call_ms: u64) -> f64 {
        self.run(ms);
        self.end_calls(ms);
        self.begin_calls(ms);
        let answered = self.complete(ms);
        self.handle_timeout(ms);
        if with_levels && ms.is_multiple_of(100) {
            self.observe_levels(ms);
        }
        self.apply_actions(ms, call_ms);
        answered
    }

    fn run(&mut self, ms: u64) {
        let warm_up_progress = (ms - self.started_ms) as f64 / WARM_UP_MS as f64;
        let speed = if self.cold {
            (COLD_SPEED + (1.0 - COLD_SPEED) * warm_up_progress).min(1.0)
        } else {
            1.0
        };
        let work_done =
            STEP_MS as f64 * speed * (CORES as f64 / self.running.len().max(1) as f64).min(1.0);
        self.running
            .iter_mut()
            .for_each(|(_, remaining)| *remaining -= work_done);
    }

    fn end_calls(&mut self, ms: u64) {
        let ended: Vec<_> = self
            .calling
            .iter()
            .filter(|(_, _, end, _)| *end <= ms)
            .copied()
            .collect();
        self.calling.retain(|(_, _, end, _)| *end > ms);
        for (id, started_ms, _, succeeded) in ended {
            let outcome = if succeeded {
                Outcome::Ok
            } else {
                Outcome::TimedOut
            };
            self.scheduler.handle_call_result(
                time_at(ms),
                id,
                outcome,
                Span::ms(ms - started_ms),
                &mut self.actions,
            );
            if succeeded {
                self.running.push((id, WORK_MS / 2.0));
            }
        }
    }

    /// RPCs of the first method make their call after half of their work.
    fn begin_calls(&mut self, ms: u64) {
        let makes_call = |id: &RpcId| self.rpcs[id.0 as usize].1 == 0;
        let needs_call = |(id, remaining): &&(RpcId, f64)| {
            *remaining <= WORK_MS / 2.0 && makes_call(id) && !self.call_requested.contains(id)
        };
        let callers: Vec<RpcId> = self
            .running
            .iter()
            .filter(needs_call)
            .map(|(id, _)| *id)
            .collect();
        for id in callers {
            self.call_requested.push(id);
            self.running.retain(|(other, _)| *other != id);
            self.scheduler
                .handle_call_needed(time_at(ms), id, &mut self.actions);
        }
    }

    fn complete(&mut self, ms: u64) -> f64 {
        let completed: Vec<RpcId> = self
            .running
            .iter()
            .filter(|(_, remaining)| *remaining <= 0.0)
            .map(|(id, _)| *id)
            .collect();
        self.running.retain(|(_, remaining)| *remaining > 0.0);
        let mut answered = 0.0;
        for id in completed {
            let (arrived_ms, method) = self.rpcs[id.0 as usize];
            if ms - arrived_ms <= TARGET_MS {
                let value = if self.call_skipped.contains(&id) {
                    SKIP_VALUE
                } else {
                    1.0
                };
                answered += [0.5, 1.0, 3.0][method] * value;
            }
            self.call_requested.retain(|other| *other != id);
            self.call_skipped.retain(|other| *other != id);
            self.scheduler
                .handle_completion(time_at(ms), id, Outcome::Ok, &mut self.actions);
        }
        answered
    }

    fn handle_timeout(&mut self, ms: u64) {
        let busy = (self.running.len() as f64 / CORES as f64).min(1.0);
        let gauges = Gauges {
            cpu_busy: Some(busy),
            open_connections: None,
        };
        self.scheduler
            .handle_timeout(time_at(ms), gauges, &mut self.actions);
    }

    fn observe_levels(&mut self, ms: u64) {
        if let Some(change) = self.levels.observe(time_at(ms), &self.scheduler.signals()) {
            self.changes.push((ms, change.to));
        }
        let level: DegradationLevel = self.levels.degradation_level();
        self.scheduler
            .set_degradation(time_at(ms), level, &mut self.actions);
    }
}

struct SimulationResult {
    /// Fraction of the requested priority weight that was answered in time.
    answered_fraction: f64,
    /// All servers: the replaced ones first, then those running at the end.
    nodes: Vec<Node>,
}

/// Simulates a fleet for `ms` milliseconds. `load` returns the load at a time as a fraction of the capacity of the warm
/// fleet; one server is replaced every `deploy_interval_ms`.
fn simulate(
    seed: u64,
    ms: u64,
    load: impl Fn(u64) -> f64,
    deploy_interval_ms: Option<u64>,
    with_levels: bool,
) -> SimulationResult {
    simulate_with_calls(seed, ms, load, deploy_interval_ms, with_levels, |_| CALL_MS)
}

/// Like [`simulate`], with calls whose duration at a time is given by `call_ms`.
fn simulate_with_calls(
    seed: u64,
    ms: u64,
    load: impl Fn(u64) -> f64,
    deploy_interval_ms: Option<u64>,
    with_levels: bool,
    call_ms: impl Fn(u64) -> u64,
) -> SimulationResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut nodes: Vec<Node> = (0..4).map(|_| Node::new(0, false)).collect();
    let (mut requested, mut answered, mut replaced) = (0.0, 0.0, Vec::new());
    for now in (STEP_MS..ms).step_by(STEP_MS as usize) {
        if let Some(interval_ms) = deploy_interval_ms
            && now.is_multiple_of(interval_ms)
            && now / interval_ms <= 4
        {
            let index = (now / interval_ms - 1) as usize;
            replaced.push(std::mem::replace(&mut nodes[index], Node::new(now, true)));
        }
        let rate = load(now) * CAPACITY * nodes.len() as f64 * STEP_MS as f64 / 1000.0;
        let count = rate as u64 + u64::from(rng.random_range(0.0..1.0) < rate.fract());
        for _ in 0..count {
            let method = [0, 1, 1, 2][rng.random_range(0..4)];
            requested += [0.5, 1.0, 3.0][method];
            let target = rng.random_range(0..nodes.len());
            nodes[target].arrive(now, method, call_ms(now));
        }
        answered += nodes
            .iter_mut()
            .map(|node| node.step(now, with_levels, call_ms(now)))
            .sum::<f64>();
    }
    replaced.append(&mut nodes);
    SimulationResult {
        answered_fraction: answered / requested,
        nodes: replaced,
    }
}

/// Guards against cold successors that change level on their first signals, close, or flap during a rolling deploy.
#[test]
fn cold_successors_start_at_full_service_and_never_reach_closed_level() {
    for seed in 0..6 {
        let result = simulate(
            seed,
            240_000,
            |ms| if ms < 100_000 { 1.2 } else { 0.5 },
            Some(12_000),
            true,
        );
        let mut change_count = 0;
        for node in &result.nodes {
            let first = node.changes.first();
            assert!(
                first.is_none_or(|(ms, _)| *ms >= node.started_ms + 3_000),
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
            change_count += node.changes.len();
        }
        assert!(change_count > 0, "no change of level at 120% load");
        // After the load has dropped, every server returns to full service.
        assert!(
            result.nodes[4..]
                .iter()
                .all(|node| node.levels.level_name() == "full"),
            "seed {seed}"
        );
    }
}

#[test]
fn level_never_changes_below_capacity() {
    let result = simulate(3, 120_000, |_| 0.7, None, true);
    assert!(result.nodes.iter().all(|node| node.changes.is_empty()));
    assert!(
        result.answered_fraction > 0.95,
        "{}",
        result.answered_fraction
    );
}

/// Prints the priority weight answered in time with and without the built-in levels.
#[test]
#[ignore = "takes half a minute; prints the figures for docs/levels.md"]
fn print_answered_fraction_with_and_without_levels() {
    println!(
        "load  deploy  without   with  (fraction of priority weight answered in time, mean of 8 seeds, virtual time)"
    );
    for load in [0.83, 1.0, 1.2, 1.5] {
        for deploy in [None, Some(12_000)] {
            let mean = |with: bool| {
                (0..8)
                    .map(|seed| simulate(seed, 120_000, |_| load, deploy, with).answered_fraction)
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
        for slow_ms in [200, 700, 1_500] {
            let call_ms = |ms: u64| {
                if (40_000..80_000).contains(&ms) {
                    slow_ms
                } else {
                    CALL_MS
                }
            };
            let run = |seed, with| {
                simulate_with_calls(seed, 120_000, |_| load, None, with, call_ms).answered_fraction
            };
            let mean = |with: bool| (0..8).map(|seed| run(seed, with)).sum::<f64>() / 8.0;
            println!(
                "{load}\t{slow_ms} ms\t{:.3}\t{:.3}",
                mean(false),
                mean(true)
            );
        }
    }
}
