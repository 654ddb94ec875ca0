//! Model of the real scheduler in a small scope: a server with two cores, three methods and one dependency. Actions are arrivals, ends of
//! runs and calls, cancellations, the start of a drain, and four steps of time. The model stands in for the server around the
//! scheduler: it times out calls, and ends a run if its RPC was answered before its call returned.
use std::collections::BTreeMap;

use coralstep::{
    BreakerTransition, Dependency, Gauges, Idempotency, Method, Outcome, Request, RpcId, Scheduler,
    SchedulerConfig, Span, Time,
};

use super::Model;
use crate::acts::{Action, RecordedActions};
use crate::rules::{AnswerKind, Rules};

/// Maximum number of arrivals in one history.
const MAX_RPCS: usize = 6;
/// Start time of every history, in ticks.
const START: u64 = 1 << 40;
/// Period of the scheduler's timer, in ticks.
const TIMER_PERIOD: u64 = 200;
/// Maximum time from the end of all faults until every method is served again, in ticks: the longest cooldown plus the time after which
/// a run counts as lost, doubled.
const MAX_RECOVERY_TIME: u64 = 900_000;
/// Delay between the timeout of a call and its report to the scheduler, in ticks: its RPC may have been answered by then.
const TIMEOUT_REPORT_DELAY: u64 = 300;
/// Maximum time until a probe call decides, in ticks: the timeout of the call, the deadline of its RPC and two timer periods.
const MAX_PROBE_TIME: u64 = 60_000;

/// Events before the history begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialState {
    Fresh,
    /// The dependency has hung from the start, and its breaker has just opened.
    Hung,
    /// The dependency answered for a while, then hung until its breaker opened.
    HungLater,
    /// The server has just started and is slow.
    Cold,
}

#[derive(Clone, Copy, Debug)]
pub struct Scope {
    pub initial_state: InitialState,
    /// Whether the engine ends a run as soon as its RPC is answered, before its call returns.
    pub prompt: bool,
    /// Fault injected to test the checks themselves.
    pub injected_fault: InjectedFault,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    #[default]
    None,
    /// No run ever ends.
    RunsNeverEnd,
    /// Calls that the open breaker skipped are made nevertheless.
    IgnoresBreaker,
}

pub const INITIAL_STATES: [(&str, InitialState); 4] = [
    ("fresh", InitialState::Fresh),
    ("hung", InitialState::Hung),
    ("hung-later", InitialState::HungLater),
    ("cold", InitialState::Cold),
];

/// Arrival of a request of each method.
const READ: u8 = 0;
const BOOK: u8 = 1;
const PAY: u8 = 2;
/// The oldest run reaches its call, or ends if it has no call left.
const CONTINUE: u8 = 3;
/// The oldest call succeeds or fails.
const CALL_OK: u8 = 4;
const CALL_FAILS: u8 = 5;
/// The client of the oldest open RPC cancels it.
const CANCEL: u8 = 6;
/// The server starts to drain.
const DRAIN: u8 = 7;
/// Steps of time in timer periods: 20 ms, 300 ms, 2 s, 12 s.
const WAIT_PERIODS: [u64; 4] = [1, 15, 100, 600];
const WAIT: u8 = 8;

/// An RPC that the scheduler has not released yet.
#[derive(Clone, Debug)]
struct ActiveRpc {
    method: usize,
    deadline: u64,
    answered: bool,
    running: bool,
    /// Whether its call is still to be made.
    calls: bool,
    /// Start and timeout of its call in progress.
    call: Option<(u64, u64)>,
    /// Whether its deadline passed while its call was the probe call.
    probe_cut_short: bool,
}

pub struct Module {
    scheduler: Scheduler,
    injected_fault: InjectedFault,
    prompt: bool,
    /// Runs that a prompt engine ends next.
    ending: Vec<RpcId>,
    now: u64,
    /// Time of the next timer.
    next_timer: u64,
    active: BTreeMap<u32, ActiveRpc>,
    next: u32,
    arrived: usize,
    rules: Rules,
    methods: Vec<Method>,
    share: f64,
    draining: bool,
    /// State of the breaker according to its transitions, and since when.
    state: &'static str,
    since: u64,
    /// Outcomes of the last 20 calls since the breaker closed; `true` is a failure.
    window: Vec<bool>,
    violation: Option<String>,
    succeeded: u64,
    unsuccessful: u64,
}

fn scheduler_config(cold: bool) -> SchedulerConfig {
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
    fn with_scheduler(&mut self, event: impl FnOnce(&mut Scheduler, Time, &mut RecordedActions)) {
        let (now, mut acts) = (Time(self.now), RecordedActions::default());
        event(&mut self.scheduler, now, &mut acts);
        for act in acts.0 {
            self.handle_act(act);
        }
        for id in std::mem::take(&mut self.ending) {
            // The call has no result any more, since its run ends here.
            let call = self.active.get_mut(&id.0).and_then(|rpc| rpc.call.take());
            // A call that the deadline of its RPC cut short counts as failed.
            call.into_iter()
                .for_each(|(began, _)| self.record_call_outcome(began, true));
            let probe = self.probe_cut_short(id, call.map_or(0, |(began, _)| began));
            self.settle(id, Outcome::Cancelled);
            self.check_probe_decided(probe);
        }
    }

    fn report_violation(&mut self, why: String) {
        if self.violation.is_none() {
            self.violation = Some(why);
        }
    }

    fn handle_act(&mut self, act: Action) {
        let now = self.now;
        match act {
            Action::Admit(id) => {
                if let Some(rpc) = self.active.get_mut(&id.0) {
                    rpc.running = true;
                    let key =
                        (rpc.method == usize::from(PAY)).then_some((u64::from(id.0), now + 40_000));
                    self.rules.record_start(now, u64::from(id.0), key);
                }
            }
            Action::Reject(id, ..) => self.record_answer(id, AnswerKind::PushedBack),
            Action::Fail(id) => {
                let probe = self.state == "half-open" && !self.draining;
                let since = self.since;
                if let Some(rpc) = self.active.get_mut(&id.0) {
                    rpc.probe_cut_short = probe
                        && rpc
                            .call
                            .is_some_and(|(began, until)| began >= since && until > now);
                }
                self.record_answer(id, AnswerKind::Aborted);
                if self.prompt && self.active.get(&id.0).is_some_and(|rpc| rpc.running) {
                    self.ending.push(id);
                }
            }
            Action::SkipCall(id) => {
                self.active
                    .get_mut(&id.0)
                    .into_iter()
                    .for_each(|rpc| rpc.calls = false);
                if self.injected_fault == InjectedFault::IgnoresBreaker {
                    self.start_call(id, Span::ms(300));
                }
            }
            Action::Call(id, timeout) => self.start_call(id, timeout),
            Action::Preempt(id) => self.settle(id, Outcome::Cancelled),
            Action::ReleaseId(id) => {
                self.active.remove(&id.0);
                self.rules.record_release(now, u64::from(id.0));
            }
            Action::BreakerTransition(transition) => self.check_transition(transition),
            Action::RetainKey(_)
            | Action::ReleaseKey(_)
            | Action::Replay(_)
            | Action::SetHealth(_)
            | Action::SetTimer(_) => {}
        }
    }

    fn start_call(&mut self, id: RpcId, timeout: Span) {
        let now = self.now;
        let calls_in_progress = self
            .active
            .values()
            .filter(|rpc| rpc.call.is_some())
            .count();
        // The bulkhead admits at most three quarters of the share, rounded up to whole permits.
        if calls_in_progress as f64 + 1.0 > (self.share * 0.75).ceil() {
            self.report_violation(format!(
                "{} calls in progress, the share is {}",
                calls_in_progress + 1,
                self.share
            ));
        }
        match self.state {
            "open" => self.report_violation("call while the breaker is open".to_owned()),
            // If the RPC of the probe call is over, the next call is the probe call.
            "half-open" if self.probe_start().is_some() => {
                self.report_violation("second call during the probe call".to_owned())
            }
            _ => {}
        }
        if let Some(rpc) = self.active.get_mut(&id.0) {
            rpc.call = Some((now, now + timeout.0 + TIMEOUT_REPORT_DELAY));
        }
    }

    /// Returns the start of the probe call in progress.
    fn probe_start(&self) -> Option<u64> {
        let began = |rpc: &ActiveRpc| {
            rpc.call
                .map(|(began, _)| began)
                .filter(|began| *began >= self.since && !rpc.answered)
        };
        self.active
            .values()
            .find_map(began)
            .filter(|_| self.state == "half-open")
    }

    /// Checks that a transition of the breaker is allowed and has its cause.
    fn check_transition(&mut self, transition: BreakerTransition) {
        let (from, to) = (transition.from.as_str(), transition.to.as_str());
        match (from, to) {
            ("closed", "open") => {
                let failed = self.window.iter().filter(|failed| **failed).count();
                if self.window.len() < 20 || failed * 2 < self.window.len() {
                    self.report_violation(format!(
                        "breaker opened after {} outcomes, {failed} of them failures",
                        self.window.len()
                    ));
                }
            }
            ("open", "half-open") | ("half-open", "open" | "closed") => {}
            (from, to) => self.report_violation(format!("transition from {from} to {to}")),
        }
        if from != self.state {
            self.report_violation(format!("transition from {} in state {}", from, self.state));
        }
        (self.state, self.since) = (to, self.now);
        self.window.clear();
    }

    fn record_answer(&mut self, id: RpcId, told: AnswerKind) {
        let now = self.now;
        let Some(rpc) = self.active.get_mut(&id.0) else {
            return self.report_violation(format!("{told:?} for an unknown RPC"));
        };
        if rpc.answered && told == AnswerKind::Ok {
            return;
        }
        rpc.answered = true;
        *(if told == AnswerKind::Ok {
            &mut self.succeeded
        } else {
            &mut self.unsuccessful
        }) += 1;
        self.rules.record_answer(now, u64::from(id.0), told);
    }

    fn settle(&mut self, id: RpcId, outcome: Outcome) {
        if let Some(rpc) = self.active.get_mut(&id.0) {
            rpc.running = false;
        }
        self.with_scheduler(|scheduler, now, out| {
            scheduler.handle_completion(now, id, outcome, out)
        });
    }

    fn send_request(&mut self, method: usize) {
        let (id, now) = (self.next, self.now);
        self.next += 1;
        let deadline = now + self.methods[method].deadline.0;
        let rpc = ActiveRpc {
            method,
            deadline,
            answered: false,
            running: false,
            calls: self.methods[method].calls,
            call: None,
            probe_cut_short: false,
        };
        self.active.insert(id, rpc);
        self.rules
            .record_arrival(now, u64::from(id), 0, deadline, method != usize::from(READ));
        let arrival = Request {
            id: RpcId(id),
            method,
            queued_kb: 10.0,
            ..Request::default()
        };
        self.with_scheduler(|scheduler, now, out| scheduler.handle_request(now, arrival, out));
    }

    /// Returns the oldest RPC that matches.
    fn oldest(&self, which: impl Fn(&ActiveRpc) -> bool) -> Option<RpcId> {
        self.active
            .iter()
            .find(|(_, rpc)| which(rpc))
            .map(|(id, _)| RpcId(*id))
    }

    fn continue_run(&mut self, id: RpcId) {
        if self.injected_fault == InjectedFault::RunsNeverEnd {
            return;
        }
        let Some(rpc) = self.active.get_mut(&id.0) else {
            return;
        };
        if std::mem::take(&mut rpc.calls) {
            return self
                .with_scheduler(|scheduler, now, out| scheduler.handle_call_needed(now, id, out));
        }
        self.record_answer(id, AnswerKind::Ok);
        self.settle(id, Outcome::Ok);
    }

    /// Records the outcome of a call in the window; the breaker counts only calls that began since its last transition.
    fn record_call_outcome(&mut self, began: u64, failed: bool) {
        if self.state == "closed" && began >= self.since {
            if self.window.len() == 20 {
                self.window.remove(0);
            }
            self.window.push(failed);
        }
    }

    /// Returns since when the breaker is half-open, if this call is the probe call and the deadline of its RPC cut it short.
    fn probe_cut_short(&self, id: RpcId, began: u64) -> Option<u64> {
        let cut_short = self
            .active
            .get(&id.0)
            .is_some_and(|rpc| rpc.probe_cut_short);
        (cut_short && self.state == "half-open" && began >= self.since).then_some(self.since)
    }

    /// Guards against a breaker that stays half-open while its dependency hangs, because each probe call is cut short by the deadline of
    /// its RPC: the breaker would not reopen, and the cooldown would not grow.
    fn check_probe_decided(&mut self, probe: Option<u64>) {
        if probe == Some(self.since) && self.state == "half-open" {
            self.report_violation(
                "probe call cut short by the deadline of its RPC decided nothing".to_owned(),
            );
        }
    }

    fn end_call(&mut self, id: RpcId, outcome: Outcome) {
        let Some((began, _)) = self.active.get_mut(&id.0).and_then(|rpc| rpc.call.take()) else {
            return;
        };
        self.record_call_outcome(began, outcome != Outcome::Ok);
        let probe = self.probe_cut_short(id, began);
        let took = Span(self.now - began);
        self.with_scheduler(|scheduler, now, out| {
            scheduler.handle_call_result(now, id, outcome, took, out)
        });
        self.check_probe_decided(probe);
        let answered = self
            .active
            .get(&id.0)
            .is_some_and(|rpc| rpc.answered && rpc.running);
        if outcome != Outcome::Ok && answered {
            self.settle(id, Outcome::Cancelled);
        }
    }

    /// Whether the RPC occupies a core: its run is neither in a call nor in the queue for one.
    fn occupies_core(rpc: &ActiveRpc) -> bool {
        rpc.running && rpc.call.is_none()
    }

    /// Advances time to the next timer and handles it.
    fn advance_to_timer(&mut self) {
        self.now = self.next_timer;
        self.next_timer += TIMER_PERIOD;
        while let Some(id) = self.oldest(|rpc| rpc.call.is_some_and(|(_, until)| until <= self.now))
        {
            self.end_call(id, Outcome::TimedOut);
        }
        let busy = self
            .active
            .values()
            .filter(|rpc| Module::occupies_core(rpc))
            .count() as f64
            / 2.0;
        let gauges = Gauges {
            cpu_busy: Some(busy.min(1.0)),
            open_connections: None,
        };
        self.with_scheduler(|scheduler, now, out| scheduler.handle_timeout(now, gauges, out));
        if self
            .probe_start()
            .is_some_and(|began| self.now > began + MAX_PROBE_TIME)
        {
            self.report_violation(format!(
                "half-open for {} ms with its probe call in progress",
                (self.now - self.since) / 10
            ));
        }
        let now = self.now;
        self.rules.record_usage(now, 0, 0.0, 0);
        let late = self
            .active
            .values()
            .any(|rpc| !rpc.answered && now > rpc.deadline);
        if late {
            self.report_violation("RPC unanswered after its deadline".to_owned());
        }
        if let Some(breach) = self.rules.breaches.first() {
            let reason = breach.to_string();
            self.report_violation(reason);
        }
    }

    /// Lets the dependency hang while RPCs that call it arrive, until its breaker opens.
    fn hang_dependency(&mut self) {
        for round in 0..400 {
            if self.state != "closed" {
                break;
            }
            self.send_request(usize::from(if round % 2 == 0 { READ } else { BOOK }));
            (0..3).for_each(|_| self.advance_to_timer());
            while let Some(id) = self.oldest(|rpc| Module::occupies_core(rpc) && rpc.calls) {
                self.continue_run(id);
            }
            while let Some(id) = self.oldest(|rpc| Module::occupies_core(rpc) && rpc.answered) {
                self.settle(id, Outcome::Cancelled);
            }
        }
        // Open RPCs reach their deadline.
        (0..100).for_each(|_| self.advance_to_timer());
        while let Some(id) = self.oldest(|rpc| rpc.running) {
            self.settle(id, Outcome::Cancelled);
        }
    }

    /// Sends a request whose run and call end within a few timer periods; returns whether it was answered with success.
    fn serve(&mut self, method: usize) -> bool {
        let (before, id) = (self.succeeded, RpcId(self.next));
        self.send_request(method);
        for _ in 0..40 {
            self.advance_to_timer();
            if self.active.get(&id.0).is_some_and(|rpc| rpc.call.is_some()) {
                self.end_call(id, Outcome::Ok);
            }
            if self.active.get(&id.0).is_some_and(Module::occupies_core) {
                self.continue_run(id);
            }
            if self.active.get(&id.0).is_none_or(|rpc| rpc.answered) {
                break;
            }
        }
        self.succeeded > before
    }
}

impl Model for Module {
    type Scope = Scope;

    fn start(scope: &Scope) -> Module {
        let cold = scope.initial_state == InitialState::Cold;
        let (config, mut acts) = (scheduler_config(cold), RecordedActions::default());
        let scheduler = Scheduler::start(&config, 7, Time(START), &mut acts);
        let mut module = Module {
            scheduler,
            injected_fault: scope.injected_fault,
            prompt: scope.prompt,
            ending: Vec::new(),
            now: START,
            next_timer: START + TIMER_PERIOD,
            active: BTreeMap::new(),
            next: 0,
            arrived: 0,
            rules: Rules::new(1, config.memory_kb, 10.0),
            methods: config.methods,
            share: 8.0,
            draining: false,
            state: "closed",
            since: START,
            window: Vec::new(),
            violation: None,
            succeeded: 0,
            unsuccessful: 0,
        };
        if scope.initial_state == InitialState::HungLater {
            (0..30).for_each(|_| {
                module.serve(usize::from(READ));
            });
        }
        if matches!(
            scope.initial_state,
            InitialState::Hung | InitialState::HungLater
        ) {
            module.hang_dependency();
        }
        module
    }

    fn actions(&self) -> Vec<u8> {
        let mut actions = Vec::new();
        if self.arrived < MAX_RPCS {
            actions.extend([READ, BOOK, PAY]);
        }
        if self.oldest(Module::occupies_core).is_some() {
            actions.push(CONTINUE);
        }
        if self.oldest(|rpc| rpc.call.is_some()).is_some() {
            actions.extend([CALL_OK, CALL_FAILS]);
        }
        if self.oldest(|rpc| !rpc.answered).is_some() {
            actions.push(CANCEL);
        }
        if !self.draining {
            actions.push(DRAIN);
        }
        actions.extend((0..WAIT_PERIODS.len() as u8).map(|step| WAIT + step));
        actions
    }

    fn apply(&mut self, action: u8) {
        match action {
            READ | BOOK | PAY if self.arrived < MAX_RPCS => {
                self.arrived += 1;
                self.send_request(usize::from(action));
            }
            CONTINUE => self
                .oldest(Module::occupies_core)
                .into_iter()
                .for_each(|id| self.continue_run(id)),
            CALL_OK | CALL_FAILS => {
                let outcome = if action == CALL_OK {
                    Outcome::Ok
                } else {
                    Outcome::Error
                };
                let id = self.oldest(|rpc| rpc.call.is_some());
                id.into_iter().for_each(|id| self.end_call(id, outcome));
            }
            CANCEL => {
                if let Some(id) = self.oldest(|rpc| !rpc.answered) {
                    self.active
                        .get_mut(&id.0)
                        .into_iter()
                        .for_each(|rpc| rpc.answered = true);
                    self.rules.record_caller_gone(u64::from(id.0));
                    self.with_scheduler(|scheduler, now, out| {
                        scheduler.handle_cancellation(now, id, out)
                    });
                }
            }
            DRAIN if !self.draining => {
                self.draining = true;
                self.rules.record_drain_notice(0, self.now + 3_000);
                // The drain ends long after the history.
                self.with_scheduler(|scheduler, now, out| {
                    scheduler.begin_drain(now, now + Span::ms(600_000), out)
                });
            }
            _ if action >= WAIT => {
                let periods = WAIT_PERIODS
                    .get(usize::from(action - WAIT))
                    .copied()
                    .unwrap_or(0);
                (0..periods).for_each(|_| self.advance_to_timer());
            }
            _ => {}
        }
    }

    fn state_hash(&self) -> u64 {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        (
            self.scheduler.digest(),
            self.now,
            self.arrived,
            self.draining,
            self.state,
        )
            .hash(&mut hasher);
        format!("{:?}", self.active).hash(&mut hasher);
        hasher.finish()
    }

    fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    /// Calls are answered and new runs end from now on; earlier runs never end, like those of a hung application.
    fn check_recovery(mut self) -> Option<String> {
        if self.draining {
            // A draining server need not recover.
            return None;
        }
        let until = self.now + MAX_RECOVERY_TIME;
        let (mut consecutive, mut why) = ([0u32; 3], String::new());
        while self.now < until {
            for (method, consecutive) in consecutive.iter_mut().enumerate() {
                *consecutive = if self.serve(method) {
                    *consecutive + 1
                } else {
                    0
                };
            }
            if let Some(violation) = self.violation.take() {
                return Some(format!("during recovery: {violation}"));
            }
            // Recovered: ten consecutive requests of each method were served.
            if consecutive.iter().all(|consecutive| *consecutive >= 10) {
                return None;
            }
            // Half a second passes between two rounds.
            (0..25).for_each(|_| self.advance_to_timer());
            why = format!(
                "{consecutive:?} consecutive requests served, breaker {}",
                self.state
            );
        }
        Some(format!(
            "no recovery within {} s: {why}",
            MAX_RECOVERY_TIME / 10_000
        ))
    }

    fn action_name(action: u8) -> &'static str {
        const NAMES: [&str; 12] = [
            "read arrives",
            "book arrives",
            "pay arrives",
            "the oldest run continues",
            "the oldest call succeeds",
            "the oldest call fails",
            "the oldest request is cancelled",
            "drain starts",
            "20 ms",
            "300 ms",
            "2 s",
            "12 s",
        ];
        NAMES.get(usize::from(action)).copied().unwrap_or("nothing")
    }
}

#[cfg(test)]
mod tests;
