//! Open-loop load generator. Requests are due at planned times, whatever became of the earlier ones, and latency counts from the time
//! a request was due (no coordinated omission). [`Pace`] checks whether the generator itself kept its rate; results at a rate that
//! wasn't sent are void.
use std::cell::RefCell;
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::caller::{Connection, OutgoingRpc, Protocol, RpcOutcome};

/// Maximum number of requests in flight; beyond it requests aren't sent, which voids the results.
pub const MAX_IN_FLIGHT: usize = 20_000;
/// Delay after the planned time beyond which a request counts as sent late, in milliseconds.
pub const MAX_SEND_DELAY_MS: f64 = 20.0;
/// Maximum fraction of requests sent late or not at all.
pub const MAX_LATE_FRACTION: f64 = 0.01;

/// A request to send at a planned time.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename = "Due")]
pub struct PlannedRequest {
    /// Time from the start.
    pub at_ms: f64,
    pub method: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<u64>,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
}

/// Parses a recorded stream of requests: one JSON object per line, in order of time.
pub fn parse_recorded(text: &str) -> Result<Vec<PlannedRequest>, String> {
    let mut plan: Vec<PlannedRequest> = Vec::new();
    for (number, line) in text
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
    {
        let due: PlannedRequest =
            serde_json::from_str(line).map_err(|why| format!("line {}: {why}", number + 1))?;
        let before = plan.last().map_or(0.0, |last| last.at_ms);
        if !(due.at_ms >= before && due.at_ms <= 86_400_000.0) {
            return Err(format!(
                "line {}: at_ms: {} comes before {before}",
                number + 1,
                due.at_ms
            ));
        }
        plan.push(due);
    }
    Ok(plan)
}

/// Plans `rate` requests per second for `seconds`, with exponential gaps and with methods drawn by their shares. Empty if all
/// shares are 0.
pub fn plan_at_rate(
    rate: f64,
    seconds: f64,
    methods: &[(String, f64)],
    seed: u64,
) -> Vec<PlannedRequest> {
    let mut chance = SmallRng::seed_from_u64(seed);
    let shares: f64 = methods.iter().map(|(_, share)| share).sum();
    let (mut at, mut plan) = (0.0, Vec::new());
    if rate <= 0.0 || shares <= 0.0 {
        return plan;
    }
    loop {
        at -= (1.0 - chance.random_range(0.0..1.0f64)).ln() / rate;
        if at >= seconds {
            break;
        }
        let mut part = chance.random_range(0.0..shares);
        let method = methods.iter().find(|(_, share)| {
            part -= share;
            part < 0.0
        });
        let method = method
            .or(methods.last())
            .map(|(name, _)| name.clone())
            .unwrap_or_default();
        plan.push(PlannedRequest {
            at_ms: at * 1000.0,
            method,
            token: None,
            tenant: String::new(),
        });
    }
    plan
}

/// Counts the requests that were sent late or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pace {
    due: u64,
    late: u64,
    unsent: u64,
    worst_ms: f64,
}

impl Pace {
    /// Records a request that was sent `late_ms` after its planned time.
    pub fn record_sent(&mut self, late_ms: f64) {
        self.due += 1;
        self.late += u64::from(late_ms > MAX_SEND_DELAY_MS);
        self.worst_ms = self.worst_ms.max(late_ms);
    }

    /// Records a request that was due but not sent.
    pub fn record_unsent(&mut self) {
        self.due += 1;
        self.unsent += 1;
    }

    /// Returns the reason why the results are void, or `None` if they are valid.
    pub fn void_reason(&self) -> Option<String> {
        let bad = self.late + self.unsent;
        (bad as f64 > MAX_LATE_FRACTION * self.due as f64).then(|| {
            format!(
                "void: of {} requests {} were sent more than {MAX_SEND_DELAY_MS} ms late (at most {:.0} ms) and {} not at all; \
                 the load generator can't keep this rate on this machine",
                self.due, self.late, self.worst_ms, self.unsent
            )
        })
    }
}

/// Results of a load run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadResults {
    pub due: u64,
    pub ok: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub refused: u64,
    pub broken: u64,
    pub timed_out: u64,
    /// Successful answers per second.
    pub ok_rate: f64,
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub most_ms: f64,
    /// Reason why the results are void.
    pub void: Option<String>,
}

pub struct LoadOptions {
    pub protocol: Protocol,
    pub targets: Vec<SocketAddr>,
    /// Thrift connections to each target.
    pub connections: usize,
    /// Time after which a caller gives up.
    pub deadline: Duration,
    pub body: Vec<u8>,
    pub json: bool,
}

struct LoadState {
    results: LoadResults,
    took: Histogram<u64>,
    open: usize,
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl LoadState {
    fn results(&self, pace: &Pace, ran: Duration) -> LoadResults {
        let ms = |quantile: f64| self.took.value_at_quantile(quantile) as f64 / 1000.0;
        let mut results = self.results.clone();
        if !self.took.is_empty() {
            (results.p50_ms, results.p90_ms, results.p99_ms) = (ms(0.5), ms(0.9), ms(0.99));
            (results.p999_ms, results.most_ms) = (ms(0.999), self.took.max() as f64 / 1000.0);
        }
        results.ok_rate = results.ok as f64 / ran.as_secs_f64().max(1e-9);
        results.void = pace.void_reason();
        results
    }

    fn record_outcome(&mut self, outcome: &RpcOutcome, took: Duration) {
        let results = &mut self.results;
        match outcome {
            RpcOutcome::Ok(_) => {
                results.ok += 1;
                self.took.saturating_record(took.as_micros() as u64);
            }
            RpcOutcome::PushedBack { .. } => results.pushed_back += 1,
            RpcOutcome::Aborted => results.aborted += 1,
            RpcOutcome::Refused => results.refused += 1,
            RpcOutcome::Broken => results.broken += 1,
            RpcOutcome::TimedOut => results.timed_out += 1,
        }
    }
}

/// Writes a progress line.
fn write_progress(
    out: &mut impl Write,
    json: bool,
    at: Duration,
    open: usize,
    now: &LoadResults,
) -> std::io::Result<()> {
    if json {
        let line = serde_json::json!({"at_s": at.as_secs_f64(), "open": open, "so_far": now});
        return writeln!(out, "{line}");
    }
    write!(
        out,
        "\r{:>5.0} s  due {:>7}  ok {:>7}  pushed back {:>6}  aborted {:>6}  open {open:>5}  p99 {:>7.1} ms ",
        at.as_secs_f64(),
        now.due,
        now.ok,
        now.pushed_back,
        now.aborted,
        now.p99_ms
    )
}

/// Sends the planned requests, then waits for open ones until their deadlines.
pub fn run(
    options: &LoadOptions,
    plan: &[PlannedRequest],
    mut show: impl Write,
) -> std::io::Result<LoadResults> {
    let executor = Rc::new(LocalExecutor::new());
    let connections: Vec<Connection> = options
        .targets
        .iter()
        .flat_map(|target| std::iter::repeat_n(*target, options.connections.max(1)))
        .map(|target| Connection::new(options.protocol, target, &executor))
        .collect();
    if connections.is_empty() {
        return Err(std::io::Error::other("no target server"));
    }
    // 1 us to an hour with three significant digits: these constant bounds are valid.
    let took = Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("histogram bounds are valid");
    let seen = Rc::new(RefCell::new(LoadState {
        results: LoadResults::default(),
        took,
        open: 0,
    }));
    let (start, terminal) = (Instant::now(), std::io::stderr().is_terminal());
    // Ids and idempotency keys start at the time of day, so that two runs against one server never share them.
    let first = now_ms() << 20;
    let mut pace = Pace::default();
    let all = async {
        let mut shown = start;
        for (number, due) in plan.iter().enumerate() {
            let at = start + Duration::from_secs_f64(due.at_ms / 1000.0);
            // Guards against one timer wake-up per request: all due requests are sent in a row.
            if at > Instant::now() {
                Timer::at(at).await;
            }
            seen.borrow_mut().results.due += 1;
            if seen.borrow().open >= MAX_IN_FLIGHT {
                pace.record_unsent();
                continue;
            }
            seen.borrow_mut().open += 1;
            let rpc = OutgoingRpc {
                method: due.method.clone(),
                reference: first + number as u64,
                token: due.token,
                tenant: due.tenant.clone(),
                since_ms: now_ms(),
                room_kb: 1.0 + options.body.len() as f64 / 1024.0,
                retry: false,
                body: options.body.clone(),
            };
            let (connection, state, until) = (
                connections[number % connections.len()].clone(),
                seen.clone(),
                at + options.deadline,
            );
            pace.record_sent((Instant::now() - at).as_secs_f64() * 1000.0);
            executor
                .spawn(async move {
                    let outcome = connection.send(&rpc, until).await;
                    let mut state = state.borrow_mut();
                    state.open -= 1;
                    state.record_outcome(&outcome, Instant::now() - at);
                })
                .detach();
            if shown.elapsed() >= Duration::from_secs(1) {
                shown = Instant::now();
                let seen = seen.borrow();
                let json = options.json || !terminal;
                let _ = write_progress(
                    &mut show,
                    json,
                    start.elapsed(),
                    seen.open,
                    &seen.results(&pace, start.elapsed()),
                );
                let _ = show.flush();
            }
            // Lets answers be read even while more requests are due.
            futures_lite::future::yield_now().await;
        }
        let ends = Instant::now() + options.deadline + Duration::from_millis(500);
        while seen.borrow().open > 0 && Instant::now() < ends {
            Timer::after(Duration::from_millis(5)).await;
        }
    };
    block_on(executor.run(all));
    let ran = plan.last().map_or(0.0, |last| last.at_ms / 1000.0);
    let results = seen.borrow().results(&pace, Duration::from_secs_f64(ran));
    Ok(results)
}

#[cfg(test)]
mod tests;
