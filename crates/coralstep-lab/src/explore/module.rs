//! The real module in a small scope: a server of two cores, three methods, one dependency. Moves are arrivals, ends of runs and calls,
//! callers that leave, the notice to leave, and time in three steps. It plays the edge of the server as the sockets do: calls whose
//! patience is over end as timed out, RPCs that are answered at their call end there.
use std::collections::BTreeMap;

use coralstep::{
    BreakerTransition, Dependency, Gauges, Idempotency, Method, Outcome, Request, RpcId, Scheduler,
    SchedulerConfig, Span, Time,
};

use super::Play;
use crate::acts::{Action, RecordedActions};
use crate::rules::{AnswerKind, Rules};

/// RPCs of one history.
const RPCS: usize = 6;
/// A history starts here, in ticks.
const START: u64 = 1 << 40;
/// Between two beats of the server, as it asks for them.
const BEAT: u64 = 200;
/// Within so long after the trouble is over all is served again, in ticks: the longest cooldown, the time after which a run counts as
/// lost, and as much again.
const FREE_WITHIN: u64 = 900_000;
/// The word that a call's patience is over comes so much later, in ticks: by then its RPC may have been answered.
const WORD: u64 = 300;
/// A trial decides within so long, in ticks: the patience with its call, its RPC's time, and a beat or two.
const TRIAL_MOST: u64 = 60_000;

/// What happened before the history begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prelude {
    Fresh,
    /// The dependency hangs from the start: its breaker has just opened.
    Hung,
    /// It answered well for a while, then hung.
    HungLater,
    /// Just started, slow.
    Cold,
}

#[derive(Clone, Copy, Debug)]
pub struct Scope {
    pub prelude: Prelude,
    /// The engine ends a run as soon as its RPC has its answer, before any word of its call.
    pub prompt: bool,
    /// What cheats, for tests of the checks themselves.
    pub cheat: Cheat,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cheat {
    #[default]
    None,
    /// No run gets anywhere.
    NoEnds,
    /// Calls are made again that the breaker refused.
    CallsOpen,
}

pub const PRELUDES: [(&str, Prelude); 4] = [
    ("fresh", Prelude::Fresh),
    ("hung", Prelude::Hung),
    ("hung-later", Prelude::HungLater),
    ("cold", Prelude::Cold),
];

/// Arrivals of the three methods.
const READ: u8 = 0;
const BOOK: u8 = 1;
const PAY: u8 = 2;
/// The oldest run comes to its call, or to its end where it has none or has made it.
const GO_ON: u8 = 3;
/// The oldest call ends well, or fails.
const CALL_OK: u8 = 4;
const CALL_FAILS: u8 = 5;
/// The caller of the oldest open RPC leaves.
const GONE: u8 = 6;
const LEAVE: u8 = 7;
/// Time passes: a beat, 300 ms, 2 s, 12 s.
const BEATS: [u64; 4] = [1, 15, 100, 600];
const WAIT: u8 = 8;

#[derive(Clone, Debug)]
struct Live {
    method: usize,
    due: u64,
    answered: bool,
    running: bool,
    /// Its call is still to come.
    calls: bool,
    /// Began, and until when it is waited for.
    call: Option<(u64, u64)>,
    /// Its own time ran out while its call was the trial.
    cut: bool,
}

pub struct Module {
    server: Scheduler,
    cheat: Cheat,
    prompt: bool,
    /// Runs that a prompt engine is about to end.
    ending: Vec<RpcId>,
    now: u64,
    /// The next beat.
    beat: u64,
    live: BTreeMap<u32, Live>,
    next: u32,
    arrived: usize,
    rules: Rules,
    methods: Vec<Method>,
    share: f64,
    leaving: bool,
    /// The state of the breaker as its turns tell, and since when.
    state: &'static str,
    since: u64,
    /// Outcomes told since it closed: of a window of 20, 1 for a failure.
    window: Vec<bool>,
    /// While the trouble lasts silence is a hang; behind it calls are answered.
    broken: Option<String>,
    ok: u64,
    bad: u64,
}

fn terms(cold: bool) -> SchedulerConfig {
    let method = |effect, calls, skip| Method {
        idempotency: effect,
        latency_objective: Span::ms(400),
        deadline: Span::ms(1_200),
        retry_window: Span::ms(4_000),
        priority_weight: 1.0,
        late_value: 0.2,
        skip_value: skip,
        calls,
    };
    SchedulerConfig {
        methods: vec![
            method(Idempotency::Idempotent, true, 0.4),
            method(Idempotency::NonIdempotent, true, 0.0),
            method(Idempotency::Keyed, false, 0.0),
        ],
        fleet_size: 1,
        cores: 2,
        memory_kb: 10_000.0,
        run_memory_factor: 8.0,
        key_kb: 2.0,
        warming_up: cold,
        cold_speed: 0.3,
        warm_up_time: Span::ms(3_000),
        max_started_per_core: 5.0,
        drain_grace: Span::ms(300),
        dependency: Dependency::Shared(8.0),
        callers: 2,
        ..SchedulerConfig::default()
    }
}

impl Module {
    fn tell(&mut self, what: impl FnOnce(&mut Scheduler, Time, &mut RecordedActions)) {
        let (now, mut acts) = (Time(self.now), RecordedActions::default());
        what(&mut self.server, now, &mut acts);
        for act in acts.0 {
            self.act(act);
        }
        for id in std::mem::take(&mut self.ending) {
            // Nobody waits for what the run waited for.
            let call = self.live.get_mut(&id.0).and_then(|live| live.call.take());
            // A call that its RPC's own time cut short is a failed one.
            call.into_iter()
                .for_each(|(began, _)| self.counts(began, true));
            let trial = self.cut_short(id, call.map_or(0, |(began, _)| began));
            self.settle(id, Outcome::Cancelled);
            self.decided(trial);
        }
    }

    fn breaks(&mut self, why: String) {
        if self.broken.is_none() {
            self.broken = Some(why);
        }
    }

    fn act(&mut self, act: Action) {
        let now = self.now;
        match act {
            Action::Admit(id) => {
                if let Some(live) = self.live.get_mut(&id.0) {
                    live.running = true;
                    let token = (live.method == usize::from(PAY))
                        .then_some((u64::from(id.0), now + 40_000));
                    self.rules.record_start(now, u64::from(id.0), token);
                }
            }
            Action::Reject(id, ..) => self.answered(id, AnswerKind::PushedBack),
            Action::Fail(id) => {
                let trial = self.state == "half-open" && !self.leaving;
                let since = self.since;
                if let Some(live) = self.live.get_mut(&id.0) {
                    live.cut = trial
                        && live
                            .call
                            .is_some_and(|(began, until)| began >= since && until > now);
                }
                self.answered(id, AnswerKind::Aborted);
                if self.prompt && self.live.get(&id.0).is_some_and(|live| live.running) {
                    self.ending.push(id);
                }
            }
            Action::SkipCall(id) => {
                self.live
                    .get_mut(&id.0)
                    .into_iter()
                    .for_each(|live| live.calls = false);
                if self.cheat == Cheat::CallsOpen {
                    self.called(id, Span::ms(300));
                }
            }
            Action::Call(id, patience) => self.called(id, patience),
            Action::Preempt(id) => self.settle(id, Outcome::Cancelled),
            Action::ReleaseId(id) => {
                self.live.remove(&id.0);
                self.rules.record_release(now, u64::from(id.0));
            }
            Action::BreakerTransition(turn) => self.turned(turn),
            Action::RetainKey(_)
            | Action::ReleaseKey(_)
            | Action::Replay(_)
            | Action::SetHealth(_)
            | Action::SetTimer(_) => {}
        }
    }

    fn called(&mut self, id: RpcId, patience: Span) {
        let now = self.now;
        let in_hand = self
            .live
            .values()
            .filter(|live| live.call.is_some())
            .count();
        // The design's bulkhead: never more than three quarters of the share, and a part of a permit as a whole one.
        if in_hand as f64 + 1.0 > (self.share * 0.75).ceil() {
            self.breaks(format!(
                "{} calls in hand, {} is the share",
                in_hand + 1,
                self.share
            ));
        }
        match self.state {
            "open" => self.breaks("a call while the breaker is open".to_owned()),
            // A trial whose RPC is over has left; the next call is the trial.
            "half-open" if self.trial().is_some() => {
                self.breaks("a second call beside the trial".to_owned())
            }
            _ => {}
        }
        if let Some(live) = self.live.get_mut(&id.0) {
            live.call = Some((now, now + patience.0 + WORD));
        }
    }

    /// Since when a trial is out.
    fn trial(&self) -> Option<u64> {
        let began = |live: &Live| {
            live.call
                .map(|(began, _)| began)
                .filter(|began| *began >= self.since && !live.answered)
        };
        self.live
            .values()
            .find_map(began)
            .filter(|_| self.state == "half-open")
    }

    /// A change of state must be one that the design knows, and have its reason.
    fn turned(&mut self, turn: BreakerTransition) {
        let (from, to) = (turn.from.as_str(), turn.to.as_str());
        match (from, to) {
            ("closed", "open") => {
                let failed = self.window.iter().filter(|failed| **failed).count();
                if self.window.len() < 20 || failed * 2 < self.window.len() {
                    self.breaks(format!(
                        "it opened after {} outcomes, {failed} of them failures",
                        self.window.len()
                    ));
                }
            }
            ("open", "half-open") | ("half-open", "open" | "closed") => {}
            (from, to) => self.breaks(format!("from {from} to {to}")),
        }
        if from != self.state {
            self.breaks(format!("it left {} and was {}", from, self.state));
        }
        (self.state, self.since) = (to, self.now);
        self.window.clear();
    }

    fn answered(&mut self, id: RpcId, told: AnswerKind) {
        let now = self.now;
        let Some(live) = self.live.get_mut(&id.0) else {
            return self.breaks(format!("{told:?} for one that is not here"));
        };
        if live.answered && told == AnswerKind::Ok {
            return;
        }
        live.answered = true;
        *(if told == AnswerKind::Ok {
            &mut self.ok
        } else {
            &mut self.bad
        }) += 1;
        self.rules.record_answer(now, u64::from(id.0), told);
    }

    fn settle(&mut self, id: RpcId, outcome: Outcome) {
        if let Some(live) = self.live.get_mut(&id.0) {
            live.running = false;
        }
        self.tell(|server, now, out| server.handle_completion(now, id, outcome, out));
    }

    fn arrives(&mut self, method: usize) {
        let (id, now) = (self.next, self.now);
        self.next += 1;
        let due = now + self.methods[method].deadline.0;
        let live = Live {
            method,
            due,
            answered: false,
            running: false,
            calls: self.methods[method].calls,
            call: None,
            cut: false,
        };
        self.live.insert(id, live);
        self.rules
            .record_arrival(now, u64::from(id), 0, due, method != usize::from(READ));
        let arrival = Request {
            id: RpcId(id),
            method,
            queued_kb: 10.0,
            ..Request::default()
        };
        self.tell(|server, now, out| server.handle_request(now, arrival, out));
    }

    /// The oldest run that is on the cores, and the oldest call.
    fn oldest(&self, which: impl Fn(&Live) -> bool) -> Option<RpcId> {
        self.live
            .iter()
            .find(|(_, live)| which(live))
            .map(|(id, _)| RpcId(*id))
    }

    fn goes_on(&mut self, id: RpcId) {
        if self.cheat == Cheat::NoEnds {
            return;
        }
        let Some(live) = self.live.get_mut(&id.0) else {
            return;
        };
        if std::mem::take(&mut live.calls) {
            return self.tell(|server, now, out| server.handle_call_needed(now, id, out));
        }
        self.answered(id, AnswerKind::Ok);
        self.settle(id, Outcome::Ok);
    }

    /// The breaker counts what began since its last change.
    fn counts(&mut self, began: u64, failed: bool) {
        if self.state == "closed" && began >= self.since {
            if self.window.len() == 20 {
                self.window.remove(0);
            }
            self.window.push(failed);
        }
    }

    /// Since when the breaker is half-open, where this call is its trial and its RPC's own time cut it short.
    fn cut_short(&self, id: RpcId, began: u64) -> Option<u64> {
        let cut = self.live.get(&id.0).is_some_and(|live| live.cut);
        (cut && self.state == "half-open" && began >= self.since).then_some(self.since)
    }

    /// Guards against a breaker that is half-open for as long as its dependency hangs, for each trial is cut short by its RPC's own
    /// time: no reopening, no longer cooldown.
    fn decided(&mut self, trial: Option<u64>) {
        if trial == Some(self.since) && self.state == "half-open" {
            self.breaks("a trial that its RPC's time cut short decided nothing".to_owned());
        }
    }

    fn call_ends(&mut self, id: RpcId, outcome: Outcome) {
        let Some((began, _)) = self.live.get_mut(&id.0).and_then(|live| live.call.take()) else {
            return;
        };
        self.counts(began, outcome != Outcome::Ok);
        let trial = self.cut_short(id, began);
        let took = Span(self.now - began);
        self.tell(|server, now, out| server.handle_call_result(now, id, outcome, took, out));
        self.decided(trial);
        let answered = self
            .live
            .get(&id.0)
            .is_some_and(|live| live.answered && live.running);
        if outcome != Outcome::Ok && answered {
            self.settle(id, Outcome::Cancelled);
        }
    }

    /// Whether a run is on the cores, not at a call or in line for one.
    fn on_cores(live: &Live) -> bool {
        live.running && live.call.is_none()
    }

    /// Time up to the next beat, and the beat.
    fn beats(&mut self) {
        self.now = self.beat;
        self.beat += BEAT;
        while let Some(id) =
            self.oldest(|live| live.call.is_some_and(|(_, until)| until <= self.now))
        {
            self.call_ends(id, Outcome::TimedOut);
        }
        let busy = self
            .live
            .values()
            .filter(|live| Module::on_cores(live))
            .count() as f64
            / 2.0;
        let gauges = Gauges {
            cpu_busy: Some(busy.min(1.0)),
            open_connections: None,
        };
        self.tell(|server, now, out| server.handle_timeout(now, gauges, out));
        if self
            .trial()
            .is_some_and(|began| self.now > began + TRIAL_MOST)
        {
            self.breaks(format!(
                "half-open for {} ms with its trial out",
                (self.now - self.since) / 10
            ));
        }
        let now = self.now;
        self.rules.record_usage(now, 0, 0.0, 0);
        let late = self
            .live
            .values()
            .any(|live| !live.answered && now > live.due);
        if late {
            self.breaks("an RPC without an answer past its due time".to_owned());
        }
        if let Some(breach) = self.rules.breaches.first() {
            let told = breach.to_string();
            self.breaks(told);
        }
    }

    /// The dependency hangs while RPCs that call it come, until its breaker opens.
    fn hangs(&mut self) {
        for round in 0..400 {
            if self.state != "closed" {
                break;
            }
            self.arrives(usize::from(if round % 2 == 0 { READ } else { BOOK }));
            (0..3).for_each(|_| self.beats());
            while let Some(id) = self.oldest(|live| Module::on_cores(live) && live.calls) {
                self.goes_on(id);
            }
            while let Some(id) = self.oldest(|live| Module::on_cores(live) && live.answered) {
                self.settle(id, Outcome::Cancelled);
            }
        }
        // What is open ends by itself.
        (0..100).for_each(|_| self.beats());
        while let Some(id) = self.oldest(|live| live.running) {
            self.settle(id, Outcome::Cancelled);
        }
    }

    /// One that comes, runs, calls and ends well within a few beats; whether it did.
    fn serves(&mut self, method: usize) -> bool {
        let (before, id) = (self.ok, RpcId(self.next));
        self.arrives(method);
        for _ in 0..40 {
            self.beats();
            if self.live.get(&id.0).is_some_and(|live| live.call.is_some()) {
                self.call_ends(id, Outcome::Ok);
            }
            if self.live.get(&id.0).is_some_and(Module::on_cores) {
                self.goes_on(id);
            }
            if self.live.get(&id.0).is_none_or(|live| live.answered) {
                break;
            }
        }
        self.ok > before
    }
}

impl Play for Module {
    type Scope = Scope;

    fn start(scope: &Scope) -> Module {
        let cold = scope.prelude == Prelude::Cold;
        let (terms, mut acts) = (terms(cold), RecordedActions::default());
        let server = Scheduler::start(&terms, 7, Time(START), &mut acts);
        let mut module = Module {
            server,
            cheat: scope.cheat,
            prompt: scope.prompt,
            ending: Vec::new(),
            now: START,
            beat: START + BEAT,
            live: BTreeMap::new(),
            next: 0,
            arrived: 0,
            rules: Rules::new(1, terms.memory_kb, 10.0),
            methods: terms.methods,
            share: 8.0,
            leaving: false,
            state: "closed",
            since: START,
            window: Vec::new(),
            broken: None,
            ok: 0,
            bad: 0,
        };
        if scope.prelude == Prelude::HungLater {
            (0..30).for_each(|_| {
                module.serves(usize::from(READ));
            });
        }
        if matches!(scope.prelude, Prelude::Hung | Prelude::HungLater) {
            module.hangs();
        }
        module
    }

    fn moves(&self) -> Vec<u8> {
        let mut moves = Vec::new();
        if self.arrived < RPCS {
            moves.extend([READ, BOOK, PAY]);
        }
        if self.oldest(Module::on_cores).is_some() {
            moves.push(GO_ON);
        }
        if self.oldest(|live| live.call.is_some()).is_some() {
            moves.extend([CALL_OK, CALL_FAILS]);
        }
        if self.oldest(|live| !live.answered).is_some() {
            moves.push(GONE);
        }
        if !self.leaving {
            moves.push(LEAVE);
        }
        moves.extend((0..BEATS.len() as u8).map(|step| WAIT + step));
        moves
    }

    fn step(&mut self, what: u8) {
        match what {
            READ | BOOK | PAY if self.arrived < RPCS => {
                self.arrived += 1;
                self.arrives(usize::from(what));
            }
            GO_ON => self
                .oldest(Module::on_cores)
                .into_iter()
                .for_each(|id| self.goes_on(id)),
            CALL_OK | CALL_FAILS => {
                let outcome = if what == CALL_OK {
                    Outcome::Ok
                } else {
                    Outcome::Error
                };
                let id = self.oldest(|live| live.call.is_some());
                id.into_iter().for_each(|id| self.call_ends(id, outcome));
            }
            GONE => {
                if let Some(id) = self.oldest(|live| !live.answered) {
                    self.live
                        .get_mut(&id.0)
                        .into_iter()
                        .for_each(|live| live.answered = true);
                    self.rules.record_caller_gone(u64::from(id.0));
                    self.tell(|server, now, out| server.handle_cancellation(now, id, out));
                }
            }
            LEAVE if !self.leaving => {
                self.leaving = true;
                self.rules.record_drain_notice(0, self.now + 3_000);
                // It stops long after all that is of interest here.
                self.tell(|server, now, out| server.begin_drain(now, now + Span::ms(600_000), out));
            }
            _ if what >= WAIT => {
                let beats = BEATS.get(usize::from(what - WAIT)).copied().unwrap_or(0);
                (0..beats).for_each(|_| self.beats());
            }
            _ => {}
        }
    }

    fn digest(&self) -> u64 {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        (
            self.server.digest(),
            self.now,
            self.arrived,
            self.leaving,
            self.state,
        )
            .hash(&mut hasher);
        format!("{:?}", self.live).hash(&mut hasher);
        hasher.finish()
    }

    fn broken(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    /// Behind the trouble calls are answered and new runs end; runs of before stay silent for good, as those of a wedged application.
    fn comes_free(mut self) -> Option<String> {
        if self.leaving {
            // Who leaves is to come free by its end.
            return None;
        }
        let until = self.now + FREE_WITHIN;
        let (mut row, mut why) = ([0u32; 3], String::new());
        while self.now < until {
            for (method, row) in row.iter_mut().enumerate() {
                *row = if self.serves(method) { *row + 1 } else { 0 };
            }
            if let Some(broken) = self.broken.take() {
                return Some(format!("while it comes free: {broken}"));
            }
            // Ten in a row of each are served.
            if row.iter().all(|row| *row >= 10) {
                return None;
            }
            // Between two rounds half a second passes.
            (0..25).for_each(|_| self.beats());
            why = format!("{row:?} in a row, breaker {}", self.state);
        }
        Some(format!(
            "it does not come free in {} s: {why}",
            FREE_WITHIN / 10_000
        ))
    }

    fn name(what: u8) -> &'static str {
        const NAMES: [&str; 12] = [
            "read arrives",
            "book arrives",
            "pay arrives",
            "the oldest run goes on",
            "the oldest call ends well",
            "the oldest call fails",
            "the oldest caller leaves",
            "notice to leave",
            "20 ms",
            "300 ms",
            "2 s",
            "12 s",
        ];
        NAMES.get(usize::from(what)).copied().unwrap_or("nothing")
    }
}

#[cfg(test)]
mod tests;
