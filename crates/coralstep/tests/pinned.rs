//! Pinned digests: pseudo-random event histories must lead to the same actions and the same state.
use std::collections::BTreeMap;

use coralstep::*;

/// Number of events in one history.
const EVENTS: u32 = 40_000;

/// FNV-1a hash, which is the same with every toolchain.
struct Digest(u64);

impl Digest {
    fn add(&mut self, value: u64) {
        for byte in value.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// Linear congruential generator, so that a history depends only on its seed.
struct Rng(u64);

impl Rng {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % end
    }
}

/// Phase of an RPC in the history.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Waiting,
    Running,
    Calling(Time),
    Replaying,
}

/// Hashes every action and executes it as a server would.
struct Recorder {
    digest: Digest,
    phases: BTreeMap<u32, Phase>,
    free: Vec<u32>,
    next: u32,
    now: Time,
    timer: Time,
}

impl Recorder {
    fn record(&mut self, kind: u64, rpc: RpcId, value: u64) {
        self.digest.add(kind << 32 | u64::from(rpc.0));
        self.digest.add(value);
    }

    fn allocate_id(&mut self) -> RpcId {
        let id = self.free.pop().unwrap_or(self.next);
        self.next = self.next.max(id + 1);
        self.phases.insert(id, Phase::Waiting);
        RpcId(id)
    }

    fn pick(&self, rng: &mut Rng, wanted: impl Fn(Phase) -> bool) -> Option<RpcId> {
        let ids: Vec<u32> = self
            .phases
            .iter()
            .filter(|(_, phase)| wanted(**phase))
            .map(|(id, _)| *id)
            .collect();
        (!ids.is_empty()).then(|| RpcId(ids[rng.below(ids.len() as u64) as usize]))
    }
}

impl Actions for Recorder {
    fn admit(&mut self, rpc: RpcId) {
        self.record(1, rpc, 0);
        self.phases.insert(rpc.0, Phase::Running);
    }
    fn reject(&mut self, rpc: RpcId, retry_after: Span, is_final: bool) {
        self.record(2, rpc, retry_after.0 << 1 | u64::from(is_final));
    }
    fn fail(&mut self, rpc: RpcId) {
        self.record(3, rpc, 0);
    }
    fn call(&mut self, rpc: RpcId, timeout: Span) {
        self.record(4, rpc, timeout.0);
        self.phases.insert(rpc.0, Phase::Calling(self.now));
    }
    fn skip_call(&mut self, rpc: RpcId) {
        self.record(5, rpc, 0);
        self.phases.insert(rpc.0, Phase::Running);
    }
    fn preempt(&mut self, rpc: RpcId) {
        self.record(6, rpc, 0);
    }
    fn query_run(&mut self, rpc: RpcId) {
        self.record(7, rpc, 0);
    }
    fn retain_key(&mut self, rpc: RpcId, span: Span) {
        self.record(8, rpc, span.0);
    }
    fn release_key(&mut self, rpc: RpcId) {
        self.record(9, rpc, 0);
    }
    fn replay(&mut self, rpc: RpcId) {
        self.record(10, rpc, 0);
        self.phases.insert(rpc.0, Phase::Replaying);
    }
    fn set_health(&mut self, healthy: bool) {
        self.record(11, RpcId(0), u64::from(healthy));
    }
    fn report_load(&mut self, value: f64) {
        self.record(12, RpcId(0), value.to_bits());
    }
    fn set_idle_timeout(&mut self, span: Span) {
        self.record(13, RpcId(0), span.0);
    }
    fn set_timer(&mut self, span: Span) {
        self.record(14, RpcId(0), span.0);
        self.timer = self.now + span;
    }
    fn breaker_transition(&mut self, transition: BreakerTransition) {
        self.record(
            15,
            RpcId(transition.to.as_str().len() as u32),
            transition.failure_rate.to_bits(),
        );
    }
    fn release_id(&mut self, rpc: RpcId) {
        self.record(16, rpc, 0);
        self.phases.remove(&rpc.0);
        self.free.push(rpc.0);
    }
}

fn config(variant: u64) -> SchedulerConfig {
    let method = |idempotency, calls, skip_value, priority_weight| Method {
        idempotency,
        latency_objective: Span::ms(400),
        deadline: Span::ms(1_200),
        retry_window: Span::ms(4_000),
        priority_weight,
        late_value: 0.2,
        skip_value,
        calls,
    };
    SchedulerConfig {
        methods: vec![
            method(Idempotency::Idempotent, true, 0.4, 1.0),
            method(Idempotency::NonIdempotent, true, 0.0, 4.0),
            method(Idempotency::Keyed, false, 0.0, 2.0),
            method(Idempotency::Idempotent, false, 0.0, 0.5),
        ],
        tenant_quotas: vec![40.0, 10.0],
        fleet_size: 3,
        over_quota_weight: 0.2,
        cores: 2 + 2 * variant as u32,
        memory_kb: if variant == 2 { 1_200.0 } else { 20_000.0 },
        run_memory_factor: 6.0,
        key_kb: 2.0,
        warming_up: variant == 1,
        cold_speed: 0.3,
        warm_up_time: Span::ms(3_000),
        max_started_per_core: 4.0,
        drain_grace: Span::ms(300),
        dependency: [
            Dependency::Shared(6.0),
            Dependency::Tier,
            Dependency::Shared(0.8),
        ][variant as usize],
        abandoned_call_time: Span::ms(500),
        callers: 3,
        load_report: [
            LoadReportKind::Threshold,
            LoadReportKind::Credit,
            LoadReportKind::Weight,
        ][variant as usize],
        preemption: Preemption::Cancel,
        max_idle_time: Span::ms(60_000),
        weight_per_work: variant == 1,
        goal: GoalWeights {
            overall: 1.0,
            worst_method: 0.3,
            worst_tenant: 0.2,
        },
    }
}

fn request(rng: &mut Rng, out: &mut Recorder) -> Request {
    let earlier_attempt = match rng.below(8) {
        0 => out
            .pick(rng, |_| true)
            .map_or(EarlierAttempt::Forgotten, EarlierAttempt::Known),
        1 => EarlierAttempt::Forgotten,
        _ => EarlierAttempt::None,
    };
    Request {
        id: out.allocate_id(),
        method: rng.below(4) as usize,
        tenant: rng.below(3).checked_sub(1).map(|tenant| tenant as usize),
        deadline: (rng.below(3) == 0).then_some(out.now + Span(rng.below(20_000))),
        queued_kb: 1.0 + rng.below(40) as f64,
        is_retry: earlier_attempt != EarlierAttempt::None || rng.below(6) == 0,
        age: Span(rng.below(400)),
        untrusted_age: rng.below(20) == 0,
        earlier_attempt,
    }
}

fn call_outcome(rng: &mut Rng, failing: bool) -> Outcome {
    const FAILED: [Outcome; 5] = [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Rejected,
        Outcome::Unreachable,
        Outcome::ConnectionLost,
    ];
    if failing || rng.below(12) == 0 {
        FAILED[rng.below(5) as usize]
    } else {
        Outcome::Ok
    }
}

fn run_outcome(rng: &mut Rng) -> Outcome {
    match rng.below(30) {
        0 => Outcome::Error,
        1 => Outcome::Unreachable,
        2 => Outcome::Cancelled,
        _ => Outcome::Ok,
    }
}

/// Plays one event of the history. Calls fail in every third block of 5,000 events.
fn play_event(scheduler: &mut Scheduler, rng: &mut Rng, out: &mut Recorder, event: u32) {
    match rng.below(20) {
        0..6 => {
            let request = request(rng, out);
            scheduler.handle_request(out.now, request, out);
        }
        6..10 => end_run(scheduler, rng, out),
        10..13 => request_call(scheduler, rng, out),
        13..17 => end_call(scheduler, rng, out, event / 5_000 % 3 == 1),
        17 if rng.below(4) == 0 => {
            if let Some(id) = out.pick(rng, |_| true) {
                scheduler.handle_cancellation(out.now, id, out);
            }
        }
        18 if rng.below(200) == 0 => change_level(scheduler, rng, out),
        19 if rng.below(50) == 0 => {
            let min_outcomes = 2 + rng.below(19) as u32;
            let cooldown_left = Some(Span::ms(rng.below(900)));
            scheduler.apply_peer_reports(out.now, min_outcomes, cooldown_left);
        }
        _ => {}
    }
}

fn end_run(scheduler: &mut Scheduler, rng: &mut Rng, out: &mut Recorder) {
    let id = out.pick(rng, |phase| {
        matches!(phase, Phase::Running | Phase::Replaying)
    });
    if let Some(id) = id {
        scheduler.handle_completion(out.now, id, run_outcome(rng), out);
    }
}

fn request_call(scheduler: &mut Scheduler, rng: &mut Rng, out: &mut Recorder) {
    if let Some(id) = out.pick(rng, |phase| phase == Phase::Running) {
        out.phases.insert(id.0, Phase::Waiting);
        scheduler.handle_call_needed(out.now, id, out);
    }
}

fn end_call(scheduler: &mut Scheduler, rng: &mut Rng, out: &mut Recorder, failing: bool) {
    let Some(id) = out.pick(rng, |phase| matches!(phase, Phase::Calling(_))) else {
        return;
    };
    let Some(Phase::Calling(began)) = out.phases.insert(id.0, Phase::Waiting) else {
        return;
    };
    let outcome = call_outcome(rng, failing);
    if outcome == Outcome::Ok {
        out.phases.insert(id.0, Phase::Running);
    }
    scheduler.handle_call_result(out.now, id, outcome, out.now - began, out);
}

fn change_level(scheduler: &mut Scheduler, rng: &mut Rng, out: &mut Recorder) {
    let reduced = DegradationLevel {
        queue_limit_factor: 0.5,
        skip_calls: rng.below(2) == 0,
        load_report_factor: 0.7,
        ..DegradationLevel::default()
    };
    let level = if rng.below(2) == 0 {
        reduced
    } else {
        DegradationLevel::default()
    };
    scheduler.set_degradation(out.now, level, out);
    scheduler.begin_config_version();
}

/// Hashes the sorted numbers and booleans of the state, so that names and order of fields do not matter.
fn state_digest(scheduler: &Scheduler) -> u64 {
    let text = scheduler.state_text();
    let words = text.split(|at: char| !at.is_ascii_alphanumeric() && !matches!(at, '.' | '-'));
    let is_value = |word: &&str| {
        matches!(*word, "true" | "false")
            || word.starts_with(|at: char| at.is_ascii_digit() || at == '-')
    };
    let mut values: Vec<&str> = words.filter(is_value).collect();
    values.sort_unstable();
    let mut digest = Digest(0xcbf2_9ce4_8422_2325);
    values
        .iter()
        .flat_map(|value| value.bytes().chain([0]))
        .for_each(|byte| digest.add(u64::from(byte)));
    digest.0
}

/// Plays a history and returns the digests of its actions and of the final state.
fn play_history(variant: u64, seed: u64) -> (u64, u64) {
    let mut out = Recorder {
        digest: Digest(0xcbf2_9ce4_8422_2325),
        phases: BTreeMap::new(),
        free: Vec::new(),
        next: 0,
        now: Time(1_000),
        timer: Time(0),
    };
    let mut rng = Rng(seed);
    let mut scheduler = Scheduler::start(&config(variant), seed, out.now, &mut out);
    for event in 0..EVENTS {
        out.now = out.now + Span(rng.below(60));
        if out.now >= out.timer {
            let gauges = Gauges {
                cpu_busy: Some(rng.below(101) as f64 / 100.0),
                open_connections: Some(rng.below(60) as f64),
            };
            scheduler.handle_timeout(out.now, gauges, &mut out);
        }
        if event == EVENTS - 2_000 {
            scheduler.begin_drain(out.now, out.now + Span::ms(4_000), &mut out);
        }
        play_event(&mut scheduler, &mut rng, &mut out, event);
        if event % 1_000 == 0 {
            out.digest.add(state_digest(&scheduler));
        }
    }
    (out.digest.0, state_digest(&scheduler))
}

/// Guards against refactorings that change a decision, the order of a sum or a random draw.
#[test]
fn actions_and_state_match_pinned_digests() {
    let pinned: [(u64, u64, u64, u64); 6] = [
        (0, 11, 1_029_266_313_548_693_095, 2_760_822_768_949_938_020),
        (0, 12, 5_494_593_168_559_385_049, 15_806_529_715_442_292_236),
        (1, 11, 12_903_406_329_756_872_303, 6_371_050_736_492_408_710),
        (
            1,
            12,
            13_355_749_073_585_840_093,
            11_105_370_791_268_635_374,
        ),
        (2, 11, 9_518_850_854_038_760_338, 15_128_944_329_797_808_672),
        (2, 12, 3_027_950_431_325_850_106, 15_807_281_336_624_211_255),
    ];
    let played = pinned.map(|(variant, seed, ..)| {
        let (actions, state) = play_history(variant, seed);
        (variant, seed, actions, state)
    });
    assert_eq!(played, pinned);
}
