//! Plays the scenarios in `tests/scenarios/*.txt`; the notation is described in `tests/scenarios/NOTATION.md`.
use std::collections::HashMap;
use std::fmt::Arguments;
use std::path::Path;

use coralstep::*;

/// Every answer of one step, as the scenarios write it.
#[derive(Default)]
struct Answers(Vec<String>);

impl Answers {
    fn put(&mut self, word: &str, rpc: RpcId) {
        self.0.push(format!("{word} {}", rpc.0));
    }
}

impl Actions for Answers {
    fn admit(&mut self, rpc: RpcId) {
        self.put("admit", rpc);
    }
    fn reject(&mut self, rpc: RpcId, after: Span, last: bool) {
        // The usual advice goes without saying.
        let usual = [0, 250, 5_000].map(Span::ms).contains(&after);
        let after = if usual {
            String::new()
        } else {
            format!(" in {}", after.0 / 10)
        };
        self.0.push(format!(
            "push_back {}{}{after}",
            rpc.0,
            if last { "" } else { " elsewhere" }
        ));
    }
    fn fail(&mut self, rpc: RpcId) {
        self.put("abort", rpc);
    }
    fn call(&mut self, rpc: RpcId, _patience: Span) {
        self.put("call", rpc);
    }
    fn skip_call(&mut self, rpc: RpcId) {
        self.put("skip", rpc);
    }
    fn preempt(&mut self, rpc: RpcId) {
        self.put("preempt", rpc);
    }
    fn query_run(&mut self, rpc: RpcId) {
        self.put("inquire", rpc);
    }
    fn retain_key(&mut self, rpc: RpcId, _span: Span) {
        self.put("keep", rpc);
    }
    fn release_key(&mut self, rpc: RpcId) {
        self.put("forget", rpc);
    }
    fn replay(&mut self, rpc: RpcId) {
        self.put("replay", rpc);
    }
    fn set_health(&mut self, good: bool) {
        self.0
            .push(format!("health {}", if good { "good" } else { "bad" }));
    }
    fn report_load(&mut self, value: f64) {
        self.0.push(format!("value {value:.2}"));
    }
    fn set_idle_timeout(&mut self, span: Span) {
        self.0.push(format!("idle {}", span.0 / 10));
    }
    fn log(&mut self, text: Arguments<'_>) {
        self.0.push(format!("log {text}"));
    }
}

fn number(word: &str) -> f64 {
    word.parse()
        .unwrap_or_else(|_| panic!("{word} is no number"))
}

fn ms(word: &str) -> Span {
    Span::ms(number(word) as u64)
}

/// The `name=value` words of a line.
fn pairs<'a>(words: &[&'a str]) -> HashMap<&'a str, &'a str> {
    words
        .iter()
        .filter_map(|word| word.split_once('='))
        .collect()
}

fn method(words: &[&str]) -> Method {
    let pairs = pairs(words);
    let get = |name: &str| pairs.get(name).map_or(0.0, |value| number(value));
    let span = |name: &str| Span::ms(get(name) as u64);
    Method {
        idempotency: match words[0] {
            "idempotent" => Idempotency::Idempotent,
            "tokened" => Idempotency::Keyed,
            "non-idempotent" => Idempotency::NonIdempotent,
            other => panic!("no effect {other}"),
        },
        latency_objective: span("target"),
        deadline: span("deadline"),
        retry_window: span("window"),
        priority_weight: pairs.get("worth").map_or(1.0, |worth| number(worth)),
        late_value: get("late"),
        skip_value: get("skip"),
        calls: words.contains(&"calls"),
    }
}

fn set(terms: &mut SchedulerConfig, words: &[&str]) {
    for (name, value) in pairs(words) {
        match name {
            "cores" => terms.cores = number(value) as u32,
            "memory" => terms.memory_kb = number(value),
            "factor" => terms.run_memory_factor = number(value),
            "key" => terms.key_kb = number(value),
            "crowd" => terms.max_started_per_core = number(value),
            "grace" => terms.drain_grace = ms(value),
            "advert" => {
                terms.load_report = match value {
                    "weight" => LoadReportKind::Weight,
                    "level" => LoadReportKind::Threshold,
                    "credit" => LoadReportKind::Credit,
                    _ => LoadReportKind::Off,
                }
            }
            "preemption" => {
                terms.preemption = match value {
                    "drop" => Preemption::Cancel,
                    "pause" => Preemption::Pause,
                    _ => Preemption::Off,
                }
            }
            "idle" => terms.max_idle_time = ms(value),
            "linger" => terms.abandoned_call_time = ms(value),
            "cold" => {
                (terms.warming_up, terms.cold_speed, terms.warm_up_time) =
                    (true, number(value), Span::ms(10_000))
            }
            "share" => terms.dependency = Dependency::Shared(number(value)),
            "below" => {
                terms.dependency = if value == "tier" {
                    Dependency::Tier
                } else {
                    Dependency::None
                }
            }
            other => panic!("no term {other}"),
        }
    }
}

fn level(words: &[&str]) -> DegradationLevel {
    let pairs = pairs(words);
    let get = |name: &str, otherwise: f64| pairs.get(name).map_or(otherwise, |value| number(value));
    DegradationLevel {
        min_priority_weight: get("least", 0.0),
        reject_idempotent: words.contains(&"effects_only"),
        reject_all: words.contains(&"closed"),
        fenced: false,
        skip_calls: words.contains(&"skip_calls"),
        queue_limit_factor: get("hold", 1.0),
        load_report_factor: get("value", 1.0),
        retry_after: Span::ms(get("back", 0.0) as u64),
    }
}

fn outcome(word: &str) -> Outcome {
    match word {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        "pushed_back" => Outcome::Rejected,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::ConnectionLost,
        "cancelled" => Outcome::Cancelled,
        other => panic!("no outcome {other}"),
    }
}

struct Play {
    terms: SchedulerConfig,
    server: Option<Scheduler>,
    now: Time,
    gauges: Gauges,
    answers: Answers,
    expected: usize,
}

impl Play {
    fn line(&mut self, words: &[&str]) {
        match words[0] {
            "terms" => return set(&mut self.terms, &words[1..]),
            "busy" => return self.gauges.cpu_busy = Some(number(words[1])),
            "open" => return self.gauges.open_connections = Some(number(words[1])),
            "method" => return self.terms.methods.push(method(&words[1..])),
            "=>" => {
                let wanted = words[1..].join(" ");
                let wanted: Vec<&str> =
                    wanted.split("; ").filter(|one| *one != "nothing").collect();
                assert_eq!(self.answers.0, wanted);
                self.expected += 1;
                return;
            }
            _ => {}
        }
        let (now, out) = (self.now, &mut self.answers);
        out.0.clear();
        let server = self
            .server
            .get_or_insert_with(|| Scheduler::start(&self.terms, 1, now, out));
        let id = || RpcId(number(words[1]) as u32);
        match words[0] {
            "rpc" => {
                let pairs = pairs(words);
                let age = pairs.get("age").map_or(Span::ZERO, |age| ms(age));
                let prior = pairs.get("prior").map_or(EarlierAttempt::None, |old| {
                    EarlierAttempt::Known(RpcId(number(old) as u32))
                });
                let method = pairs
                    .get("method")
                    .map_or(0, |method| number(method) as usize);
                let held_kb = pairs.get("kb").map_or(10.0, |kb| number(kb));
                let retry = words.contains(&"retry");
                let claimed = words.contains(&"claimed");
                // From its arrival; before it where that is below 0.
                let due = pairs.get("due").map(|due| match due.strip_prefix('-') {
                    Some(ago) => now - age - ms(ago),
                    None => now - age + ms(due),
                });
                let id = id();
                let arrival = Request {
                    id,
                    method,
                    deadline: due,
                    age,
                    untrusted_age: claimed,
                    earlier_attempt: prior,
                    queued_kb: held_kb,
                    is_retry: retry,
                    ..Request::default()
                };
                server.handle_request(now, arrival, out);
            }
            "settled" => server.handle_completion(now, id(), outcome(words[2]), out),
            "needs_call" => server.handle_call_needed(now, id(), out),
            "called" => {
                let took = pairs(words)
                    .get("took")
                    .map_or(Span::ms(1), |took| ms(took));
                server.handle_call_result(now, id(), outcome(words[2]), took, out);
            }
            // So many calls of one RPC, as it asks for them and as they end.
            "calls" => {
                for call in 0..number(words[2]) as u32 {
                    if call % 2 == 0 || words[3] == "ok" {
                        server.handle_call_needed(now, id(), out);
                    }
                    server.handle_call_result(now, id(), outcome(words[3]), Span::ms(1), out);
                }
                out.0.retain(|answer| answer.starts_with("log"));
            }
            "gone" => server.handle_cancellation(now, id(), out),
            "level" => server.set_degradation(now, level(&words[1..]), out),
            "wind_down" => server.begin_drain(now, now + ms(words[1]), out),
            // Time passes, in beats.
            "wait" => {
                let until = now + ms(words[1]);
                while self.now < until {
                    self.now = (self.now + Span::ms(20)).min(until);
                    server.handle_timeout(self.now, self.gauges, out);
                }
            }
            other => panic!("no step {other}"),
        }
    }
}

fn play(path: &Path) -> usize {
    let text = std::fs::read_to_string(path).unwrap();
    let start = || Play {
        terms: SchedulerConfig::default(),
        server: None,
        now: Time(1_000_000),
        gauges: Gauges::default(),
        answers: Answers::default(),
        expected: 0,
    };
    let (mut play, mut expected) = (start(), 0);
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.starts_with("scenario") {
            expected += play.expected;
            play = start();
        } else if !line.is_empty() {
            let words: Vec<&str> = line.split_whitespace().collect();
            let step = std::panic::AssertUnwindSafe(|| play.line(&words));
            if std::panic::catch_unwind(step).is_err() {
                panic!("{}:{}: {line}", path.display(), number + 1);
            }
        }
    }
    expected + play.expected
}

#[test]
fn scenarios() {
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
        assert!(play(file) > 0, "{} expects nothing", file.display());
    }
}
