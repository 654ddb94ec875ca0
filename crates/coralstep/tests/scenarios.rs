//! Plays the scenarios in `tests/scenarios/*.txt`; `tests/scenarios/NOTATION.md` describes the notation.
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

use coralstep::*;

/// Retry-After values that the notation omits, in milliseconds.
const USUAL_RETRY_AFTER_MS: [u64; 3] = [0, 250, 5_000];
/// Interval between timeouts while time passes.
const TIMER_PERIOD: Span = Span::ms(20);

/// Records the actions of one event in the notation of the scenarios.
#[derive(Default)]
struct Recorder(Vec<String>);

impl Recorder {
    fn record(&mut self, word: &str, rpc: RpcId) {
        self.0.push(format!("{word} {}", rpc.0));
    }
}

impl Actions for Recorder {
    fn admit(&mut self, rpc: RpcId) {
        self.record("admit", rpc);
    }
    fn reject(&mut self, rpc: RpcId, retry_after: Span, is_final: bool) {
        let is_usual = USUAL_RETRY_AFTER_MS.map(Span::ms).contains(&retry_after);
        let retry_after = if is_usual {
            String::new()
        } else {
            format!(" in {}", retry_after.0 / 10)
        };
        let elsewhere = if is_final { "" } else { " elsewhere" };
        self.0
            .push(format!("reject {}{elsewhere}{retry_after}", rpc.0));
    }
    fn fail(&mut self, rpc: RpcId) {
        self.record("fail", rpc);
    }
    fn call(&mut self, rpc: RpcId, _timeout: Span) {
        self.record("call", rpc);
    }
    fn skip_call(&mut self, rpc: RpcId) {
        self.record("skip_call", rpc);
    }
    fn preempt(&mut self, rpc: RpcId) {
        self.record("preempt", rpc);
    }
    fn query_run(&mut self, rpc: RpcId) {
        self.record("query_run", rpc);
    }
    fn retain_key(&mut self, rpc: RpcId, _span: Span) {
        self.record("retain_key", rpc);
    }
    fn release_key(&mut self, rpc: RpcId) {
        self.record("release_key", rpc);
    }
    fn replay(&mut self, rpc: RpcId) {
        self.record("replay", rpc);
    }
    fn set_health(&mut self, healthy: bool) {
        let health = if healthy { "good" } else { "bad" };
        self.0.push(format!("health {health}"));
    }
    fn report_load(&mut self, value: f64) {
        self.0.push(format!("report_load {value:.2}"));
    }
    fn set_idle_timeout(&mut self, span: Span) {
        self.0.push(format!("idle_timeout {}", span.0 / 10));
    }
    fn log(&mut self, event: Event) {
        self.0.push(format!("log {event}"));
    }
}

fn number(word: &str) -> f64 {
    word.parse()
        .unwrap_or_else(|_| panic!("invalid number {word:?}"))
}

fn ms(word: &str) -> Span {
    Span::ms(number(word) as u64)
}

/// The words of a line, and the values of its `name=value` words.
struct Line<'a> {
    words: &'a [&'a str],
    values: HashMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    fn new(words: &'a [&'a str]) -> Line<'a> {
        let values = words
            .iter()
            .filter_map(|word| word.split_once('='))
            .collect();
        Line { words, values }
    }

    fn has(&self, word: &str) -> bool {
        self.words.contains(&word)
    }

    fn number(&self, name: &str, default: f64) -> f64 {
        self.values.get(name).map_or(default, |value| number(value))
    }

    fn ms(&self, name: &str) -> Span {
        Span::ms(self.number(name, 0.0) as u64)
    }

    /// Returns the request id after the first word.
    fn id(&self) -> RpcId {
        RpcId(number(self.words[1]) as u32)
    }
}

fn method(line: &Line<'_>) -> Method {
    Method {
        idempotency: match line.words[1] {
            "idempotent" => Idempotency::Idempotent,
            "keyed" => Idempotency::Keyed,
            "non-idempotent" => Idempotency::NonIdempotent,
            other => panic!("unknown idempotency {other:?}"),
        },
        latency_objective: line.ms("objective"),
        deadline: line.ms("deadline"),
        retry_window: line.ms("retry_window"),
        priority_weight: line.number("weight", 1.0),
        late_value: line.number("late_value", 0.0),
        skip_value: line.number("skip_value", 0.0),
        calls: line.has("calls"),
    }
}

fn configure(config: &mut SchedulerConfig, line: &Line<'_>) {
    for (name, value) in &line.values {
        match *name {
            "cores" => config.cores = number(value) as u32,
            "memory_kb" => config.memory_kb = number(value),
            "run_memory_factor" => config.run_memory_factor = number(value),
            "key_kb" => config.key_kb = number(value),
            "max_started_per_core" => config.max_started_per_core = number(value),
            "drain_grace" => config.drain_grace = ms(value),
            "load_report" => config.load_report = load_report(value),
            "preemption" => config.preemption = preemption(value),
            "max_idle_time" => config.max_idle_time = ms(value),
            "abandoned_call_time" => config.abandoned_call_time = ms(value),
            "cold_speed" => {
                config.warming_up = true;
                config.cold_speed = number(value);
                config.warm_up_time = Span::ms(10_000);
            }
            "dependency_share" => config.dependency = Dependency::Shared(number(value)),
            "dependency" => config.dependency = dependency(value),
            other => panic!("unknown setting {other:?}"),
        }
    }
}

fn load_report(word: &str) -> LoadReportKind {
    match word {
        "weight" => LoadReportKind::Weight,
        "threshold" => LoadReportKind::Threshold,
        "credit" => LoadReportKind::Credit,
        other => panic!("unknown load report {other:?}"),
    }
}

fn preemption(word: &str) -> Preemption {
    match word {
        "cancel" => Preemption::Cancel,
        "pause" => Preemption::Pause,
        other => panic!("unknown preemption {other:?}"),
    }
}

fn dependency(word: &str) -> Dependency {
    match word {
        "tier" => Dependency::Tier,
        "none" => Dependency::None,
        other => panic!("unknown dependency {other:?}"),
    }
}

fn degradation(line: &Line<'_>) -> DegradationLevel {
    DegradationLevel {
        min_priority_weight: line.number("min_weight", 0.0),
        reject_idempotent: line.has("reject_idempotent"),
        reject_all: line.has("reject_all"),
        excluded: false,
        skip_calls: line.has("skip_calls"),
        queue_limit_factor: line.number("queue_limit", 1.0),
        load_report_factor: line.number("load_report", 1.0),
        retry_after: line.ms("retry_after"),
    }
}

fn outcome(word: &str) -> Outcome {
    match word {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        "rejected" => Outcome::Rejected,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "connection_lost" => Outcome::ConnectionLost,
        "cancelled" => Outcome::Cancelled,
        other => panic!("unknown outcome {other:?}"),
    }
}

fn request(now: Time, line: &Line<'_>) -> Request {
    let age = line.ms("age");
    let arrived = now - age;
    // Relative to the arrival; negative values are before it.
    let deadline = |text: &&str| match text.strip_prefix('-') {
        Some(time_before) => arrived - ms(time_before),
        None => arrived + ms(text),
    };
    let earlier = line.values.get("earlier");
    Request {
        id: line.id(),
        method: line.number("method", 0.0) as usize,
        deadline: line.values.get("deadline").map(deadline),
        age,
        untrusted_age: line.has("untrusted_age"),
        earlier_attempt: earlier.map_or(EarlierAttempt::None, |id| {
            EarlierAttempt::Known(RpcId(number(id) as u32))
        }),
        queued_kb: line.number("queued_kb", 10.0),
        is_retry: line.has("retry"),
        ..Request::default()
    }
}

/// State of the scenario being played.
struct Scenario {
    config: SchedulerConfig,
    scheduler: Option<Scheduler>,
    now: Time,
    gauges: Gauges,
    actions: Recorder,
    /// Number of fulfilled expectations.
    expectations: usize,
}

impl Scenario {
    fn new() -> Scenario {
        Scenario {
            config: SchedulerConfig::default(),
            scheduler: None,
            now: Time(1_000_000),
            gauges: Gauges::default(),
            actions: Recorder::default(),
            expectations: 0,
        }
    }

    fn play_line(&mut self, words: &[&str]) {
        let line = Line::new(words);
        match words[0] {
            "config" => configure(&mut self.config, &line),
            "method" => self.config.methods.push(method(&line)),
            "busy" => self.gauges.cpu_busy = Some(number(words[1])),
            "open" => self.gauges.open_connections = Some(number(words[1])),
            "=>" => self.expect(&words[1..].join(" ")),
            _ => self.play_event(&line),
        }
    }

    fn expect(&mut self, actions: &str) {
        let expected: Vec<&str> = actions
            .split("; ")
            .filter(|action| *action != "nothing")
            .collect();
        assert_eq!(self.actions.0, expected);
        self.expectations += 1;
    }

    fn play_event(&mut self, line: &Line<'_>) {
        let (now, out, words) = (self.now, &mut self.actions, line.words);
        out.0.clear();
        let scheduler = self
            .scheduler
            .get_or_insert_with(|| Scheduler::start(&self.config, 1, now, out));
        match words[0] {
            "request" => scheduler.handle_request(now, request(now, line), out),
            "completion" => scheduler.handle_completion(now, line.id(), outcome(words[2]), out),
            "call_needed" => scheduler.handle_call_needed(now, line.id(), out),
            "call_result" => {
                let duration = Span::ms(line.number("duration", 1.0) as u64);
                scheduler.handle_call_result(now, line.id(), outcome(words[2]), duration, out);
            }
            "call_results" => self.call_results(line),
            "cancellation" => scheduler.handle_cancellation(now, line.id(), out),
            "degradation" => scheduler.set_degradation(now, degradation(line), out),
            "drain" => scheduler.begin_drain(now, now + ms(words[1]), out),
            "wait" => self.wait(ms(words[1])),
            other => panic!("unknown event {other:?}"),
        }
    }

    /// Plays several calls of one request: each call as the run needs it, and its result.
    fn call_results(&mut self, line: &Line<'_>) {
        let (now, id, out) = (self.now, line.id(), &mut self.actions);
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let (calls, word) = (number(line.words[2]) as u32, line.words[3]);
        for call in 0..calls {
            if call % 2 == 0 || word == "ok" {
                scheduler.handle_call_needed(now, id, out);
            }
            scheduler.handle_call_result(now, id, outcome(word), Span::ms(1), out);
        }
        out.0.retain(|action| action.starts_with("log"));
    }

    fn wait(&mut self, span: Span) {
        let until = self.now + span;
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        while self.now < until {
            self.now = (self.now + TIMER_PERIOD).min(until);
            scheduler.handle_timeout(self.now, self.gauges, &mut self.actions);
        }
    }
}

/// Plays all scenarios of a file and returns the number of fulfilled expectations.
fn play_file(path: &Path) -> usize {
    let text = std::fs::read_to_string(path).unwrap();
    let (mut scenario, mut expectations) = (Scenario::new(), 0);
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.starts_with("scenario") {
            expectations += scenario.expectations;
            scenario = Scenario::new();
        } else if !line.is_empty() {
            let words: Vec<&str> = line.split_whitespace().collect();
            let played = catch_unwind(AssertUnwindSafe(|| scenario.play_line(&words)));
            assert!(played.is_ok(), "{}:{}: {line}", path.display(), number + 1);
        }
    }
    expectations + scenario.expectations
}

#[test]
fn scenario_events_lead_to_expected_actions() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    let texts = files
        .iter()
        .filter(|file| file.extension().is_some_and(|end| end == "txt"));
    for file in texts {
        assert!(
            play_file(file) > 0,
            "{} contains no expectations",
            file.display()
        );
    }
}
