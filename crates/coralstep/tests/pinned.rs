//! Pinned digests of the decisions: pseudo-random histories must give the very same actions and the same state.
use std::collections::BTreeMap;

use coralstep::*;

/// Events of one history.
const EVENTS: u32 = 40_000;

/// FNV-1a, whose result is the same with every toolchain.
struct Digest(u64);

impl Digest {
    fn add(&mut self, value: u64) {
        for byte in value.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// A linear congruential generator, so that a history depends on its seed alone.
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

/// Where the history has an RPC.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Waiting,
    Running,
    Calling(Time),
    Replaying,
}

/// Hashes every action and follows it as a server would.
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

    fn id(&mut self) -> RpcId {
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

impl Outlet for Recorder {
    fn admit(&mut self, rpc: RpcId) {
        self.record(1, rpc, 0);
        self.phases.insert(rpc.0, Phase::Running);
    }
    fn push_back(&mut self, rpc: RpcId, after: Span, last: bool) {
        self.record(2, rpc, after.0 << 1 | u64::from(last));
    }
    fn abort(&mut self, rpc: RpcId) {
        self.record(3, rpc, 0);
    }
    fn call(&mut self, rpc: RpcId, patience: Span) {
        self.record(4, rpc, patience.0);
        self.phases.insert(rpc.0, Phase::Calling(self.now));
    }
    fn skip(&mut self, rpc: RpcId) {
        self.record(5, rpc, 0);
        self.phases.insert(rpc.0, Phase::Running);
    }
    fn preempt(&mut self, rpc: RpcId) {
        self.record(6, rpc, 0);
    }
    fn inquire(&mut self, rpc: RpcId) {
        self.record(7, rpc, 0);
    }
    fn keep_token(&mut self, rpc: RpcId, span: Span) {
        self.record(8, rpc, span.0);
    }
    fn drop_token(&mut self, rpc: RpcId) {
        self.record(9, rpc, 0);
    }
    fn replay(&mut self, rpc: RpcId) {
        self.record(10, rpc, 0);
        self.phases.insert(rpc.0, Phase::Replaying);
    }
    fn health(&mut self, good: bool) {
        self.record(11, RpcId(0), u64::from(good));
    }
    fn advertise(&mut self, value: f64) {
        self.record(12, RpcId(0), value.to_bits());
    }
    fn idle_limit(&mut self, span: Span) {
        self.record(13, RpcId(0), span.0);
    }
    fn timer(&mut self, span: Span) {
        self.record(14, RpcId(0), span.0);
        self.timer = self.now + span;
    }
    fn breaker(&mut self, turn: Turn) {
        self.record(15, RpcId(turn.to.len() as u32), turn.rate.to_bits());
    }
    fn release(&mut self, rpc: RpcId) {
        self.record(16, rpc, 0);
        self.phases.remove(&rpc.0);
        self.free.push(rpc.0);
    }
}

fn terms(variant: u64) -> Terms {
    let method = |effect, calls, skip, criticality| Method {
        effect,
        target: Span::ms(400),
        deadline: Span::ms(1_200),
        window: Span::ms(4_000),
        criticality,
        late: 0.2,
        skip,
        calls,
    };
    Terms {
        methods: vec![
            method(Effect::Idempotent, true, 0.4, 1.0),
            method(Effect::NonIdempotent, true, 0.0, 4.0),
            method(Effect::Tokened, false, 0.0, 2.0),
            method(Effect::Idempotent, false, 0.0, 0.5),
        ],
        tenant_rates: vec![40.0, 10.0],
        fleet: 3,
        over_share: 0.2,
        cores: 2 + 2 * variant as u32,
        memory_kb: if variant == 2 { 1_200.0 } else { 20_000.0 },
        run_factor: 6.0,
        key_kb: 2.0,
        cold: variant == 1,
        cold_speed: 0.3,
        warm_after: Span::ms(3_000),
        survivable_crowd: 4.0,
        drain_grace: Span::ms(300),
        below: [Below::Shared(6.0), Below::Tier, Below::Shared(0.8)][variant as usize],
        linger: Span::ms(500),
        callers: 3,
        advert: [Advert::Level, Advert::Credit, Advert::Weight][variant as usize],
        preemption: Preemption::Drop,
        caller_idle: Span::ms(60_000),
        worth_by_work: variant == 1,
        goal: [1.0, 0.3, 0.2],
    }
}

fn arrival(rng: &mut Rng, out: &mut Recorder) -> Arrival {
    let prior = match rng.below(8) {
        0 => out.pick(rng, |_| true).map_or(Prior::Forgotten, Prior::Of),
        1 => Prior::Forgotten,
        _ => Prior::Nothing,
    };
    Arrival {
        id: out.id(),
        method: rng.below(4) as usize,
        tenant: rng.below(3).checked_sub(1).map(|tenant| tenant as usize),
        due: (rng.below(3) == 0).then_some(out.now + Span(rng.below(20_000))),
        work: None,
        held_kb: 1.0 + rng.below(40) as f64,
        retry: prior != Prior::Nothing || rng.below(6) == 0,
        age: Span(rng.below(400)),
        claimed: rng.below(20) == 0,
        prior,
    }
}

fn call_result(rng: &mut Rng, failing: bool) -> Outcome {
    const FAILED: [Outcome; 5] = [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::PushedBack,
        Outcome::Unreachable,
        Outcome::Broken,
    ];
    if failing || rng.below(12) == 0 {
        FAILED[rng.below(5) as usize]
    } else {
        Outcome::Ok
    }
}

fn run_result(rng: &mut Rng) -> Outcome {
    match rng.below(30) {
        0 => Outcome::Error,
        1 => Outcome::Unreachable,
        2 => Outcome::Cancelled,
        _ => Outcome::Ok,
    }
}

/// One event of the history; the dependency fails in every third stretch of 5,000 events.
fn step(server: &mut Server, rng: &mut Rng, out: &mut Recorder, event: u32) {
    let now = out.now;
    match rng.below(20) {
        0..6 => {
            let arrival = arrival(rng, out);
            server.rpc(now, arrival, out);
        }
        6..10 => {
            let id = out.pick(rng, |phase| {
                matches!(phase, Phase::Running | Phase::Replaying)
            });
            if let Some(id) = id {
                server.settled(now, id, run_result(rng), out);
            }
        }
        10..13 => {
            if let Some(id) = out.pick(rng, |phase| phase == Phase::Running) {
                out.phases.insert(id.0, Phase::Waiting);
                server.needs_call(now, id, out);
            }
        }
        13..17 => {
            if let Some(id) = out.pick(rng, |phase| matches!(phase, Phase::Calling(_))) {
                let Some(Phase::Calling(began)) = out.phases.insert(id.0, Phase::Waiting) else {
                    return;
                };
                let outcome = call_result(rng, event / 5_000 % 3 == 1);
                if outcome == Outcome::Ok {
                    out.phases.insert(id.0, Phase::Running);
                }
                server.called(now, id, outcome, now - began, out);
            }
        }
        17 if rng.below(4) == 0 => {
            if let Some(id) = out.pick(rng, |_| true) {
                server.gone(now, id, out);
            }
        }
        18 if rng.below(200) == 0 => {
            let level = Level {
                hold: 0.5,
                skip_calls: rng.below(2) == 0,
                value: 0.7,
                ..Level::default()
            };
            server.level(
                now,
                if rng.below(2) == 0 {
                    level
                } else {
                    Level::default()
                },
                out,
            );
            server.versioned();
        }
        19 if rng.below(50) == 0 => server.hear(
            now,
            2 + rng.below(19) as u32,
            Some(Span::ms(rng.below(900))),
        ),
        _ => {}
    }
}

/// The numbers and truth values of the whole state, sorted: the same whatever the fields are called and wherever they stand.
fn state_digest(server: &Server) -> u64 {
    let text = server.state_text();
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

/// The digests of all actions, and of the state at the end.
fn play(variant: u64, seed: u64) -> (u64, u64) {
    let mut out = Recorder {
        digest: Digest(0xcbf2_9ce4_8422_2325),
        phases: BTreeMap::new(),
        free: Vec::new(),
        next: 0,
        now: Time(1_000),
        timer: Time(0),
    };
    let mut rng = Rng(seed);
    let mut server = Server::start(&terms(variant), seed, out.now, &mut out);
    for event in 0..EVENTS {
        out.now = out.now + Span(rng.below(60));
        if out.now >= out.timer {
            let gauges = Gauges {
                busy: Some(rng.below(101) as f64 / 100.0),
                connections: Some(rng.below(60) as f64),
            };
            server.timer(out.now, gauges, &mut out);
        }
        if event == EVENTS - 2_000 {
            server.wind_down(out.now, out.now + Span::ms(4_000), &mut out);
        }
        step(&mut server, &mut rng, &mut out, event);
        if event % 1_000 == 0 {
            out.digest.add(state_digest(&server));
        }
    }
    (out.digest.0, state_digest(&server))
}

/// Guards against a change of names or files that changes a decision, the order of a sum or a random draw.
#[test]
fn decisions_and_state_are_the_same_as_pinned() {
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
        let (actions, state) = play(variant, seed);
        (variant, seed, actions, state)
    });
    assert_eq!(played, pinned);
}
