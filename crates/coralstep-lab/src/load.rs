//! The load tool: an open loop. Requests are due at moments set beforehand, whatever has become of the earlier ones, and each
//! answer's time counts from the moment its request was due (no coordinated omission). Whether the tool itself kept its rate
//! is judged by [`Pace`]; a figure of a rate that was not sent is void.
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

use crate::caller::{Ask, Protocol, Said, Way};

/// Requests on their way at once; past that none is sent, which voids the figure.
pub const OPEN_MOST: usize = 20_000;
/// A request that left so much later than it was due, in milliseconds, was not sent at its rate.
pub const LATE_MS: f64 = 20.0;
/// Part of the requests that may be late or unsent.
pub const LATE_PART: f64 = 0.01;

/// A request of a plan.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Due {
    /// From the start.
    pub at_ms: f64,
    pub method: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<u64>,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
}

/// A recorded stream: one JSON object a line, in order of time.
pub fn recorded(text: &str) -> Result<Vec<Due>, String> {
    let mut plan: Vec<Due> = Vec::new();
    for (number, line) in text
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
    {
        let due: Due =
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

/// A plan at `rate` a second for `seconds`, gaps by chance; methods by their shares. Nothing where all shares are 0.
pub fn at_rate(rate: f64, seconds: f64, methods: &[(String, f64)], seed: u64) -> Vec<Due> {
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
        plan.push(Due {
            at_ms: at * 1000.0,
            method,
            token: None,
            tenant: String::new(),
        });
    }
    plan
}

/// Whether the tool sent what it was to send when it was to send it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pace {
    due: u64,
    late: u64,
    unsent: u64,
    worst_ms: f64,
}

impl Pace {
    pub fn sent(&mut self, late_ms: f64) {
        self.due += 1;
        self.late += u64::from(late_ms > LATE_MS);
        self.worst_ms = self.worst_ms.max(late_ms);
    }

    /// Due, and never sent.
    pub fn unsent(&mut self) {
        self.due += 1;
        self.unsent += 1;
    }

    /// Why the figures are void, where they are.
    pub fn void(&self) -> Option<String> {
        let bad = self.late + self.unsent;
        (bad as f64 > LATE_PART * self.due as f64).then(|| {
            format!(
                "void: of {} requests {} left more than {LATE_MS} ms late (the latest {:.0} ms) and {} not at all; \
                 the tool can't send this rate here",
                self.due, self.late, self.worst_ms, self.unsent
            )
        })
    }
}

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub due: u64,
    pub ok: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub refused: u64,
    pub broken: u64,
    pub timed_out: u64,
    /// Answered well a second.
    pub ok_rate: f64,
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub most_ms: f64,
    /// Why none of this counts, where it doesn't.
    pub void: Option<String>,
}

pub struct Terms {
    pub protocol: Protocol,
    pub targets: Vec<SocketAddr>,
    /// Connections to each, by Thrift.
    pub connections: usize,
    /// When a caller gives up.
    pub deadline: Duration,
    pub body: Vec<u8>,
    pub json: bool,
}

struct Seen {
    figures: Figures,
    took: Histogram<u64>,
    open: usize,
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Seen {
    fn figures(&self, pace: &Pace, ran: Duration) -> Figures {
        let ms = |quantile: f64| self.took.value_at_quantile(quantile) as f64 / 1000.0;
        let mut figures = self.figures.clone();
        if !self.took.is_empty() {
            (figures.p50_ms, figures.p90_ms, figures.p99_ms) = (ms(0.5), ms(0.9), ms(0.99));
            (figures.p999_ms, figures.most_ms) = (ms(0.999), self.took.max() as f64 / 1000.0);
        }
        figures.ok_rate = figures.ok as f64 / ran.as_secs_f64().max(1e-9);
        figures.void = pace.void();
        figures
    }

    fn said(&mut self, said: &Said, took: Duration) {
        let figures = &mut self.figures;
        match said {
            Said::Ok(_) => {
                figures.ok += 1;
                self.took.saturating_record(took.as_micros() as u64);
            }
            Said::PushedBack { .. } => figures.pushed_back += 1,
            Said::Aborted => figures.aborted += 1,
            Said::Refused => figures.refused += 1,
            Said::Broken => figures.broken += 1,
            Said::TimedOut => figures.timed_out += 1,
        }
    }
}

/// A line of what is known so far.
fn progress(
    out: &mut impl Write,
    json: bool,
    at: Duration,
    open: usize,
    now: &Figures,
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

/// Sends a plan and waits for what is open at its end, at most until its deadline.
pub fn drive(terms: &Terms, plan: &[Due], mut show: impl Write) -> std::io::Result<Figures> {
    let executor = Rc::new(LocalExecutor::new());
    let ways: Vec<Way> = terms
        .targets
        .iter()
        .flat_map(|target| std::iter::repeat_n(*target, terms.connections.max(1)))
        .map(|target| Way::new(terms.protocol, target, &executor))
        .collect();
    if ways.is_empty() {
        return Err(std::io::Error::other("no target"));
    }
    // A microsecond to an hour, three digits: what is created so can't fail.
    let took = Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("sound bounds");
    let seen = Rc::new(RefCell::new(Seen {
        figures: Figures::default(),
        took,
        open: 0,
    }));
    let (start, terminal) = (Instant::now(), std::io::stderr().is_terminal());
    // References and tokens of two runs must not meet at one server.
    let first = now_ms() << 20;
    let mut pace = Pace::default();
    let all = async {
        let mut shown = start;
        for (number, due) in plan.iter().enumerate() {
            let at = start + Duration::from_secs_f64(due.at_ms / 1000.0);
            // Guards against one that wakes for each request: what is due is sent in a row.
            if at > Instant::now() {
                Timer::at(at).await;
            }
            seen.borrow_mut().figures.due += 1;
            if seen.borrow().open >= OPEN_MOST {
                pace.unsent();
                continue;
            }
            seen.borrow_mut().open += 1;
            let ask = Ask {
                method: due.method.clone(),
                reference: first + number as u64,
                token: due.token,
                tenant: due.tenant.clone(),
                since_ms: now_ms(),
                room_kb: 1.0 + terms.body.len() as f64 / 1024.0,
                retry: false,
                body: terms.body.clone(),
            };
            let (way, told, until) = (
                ways[number % ways.len()].clone(),
                seen.clone(),
                at + terms.deadline,
            );
            pace.sent((Instant::now() - at).as_secs_f64() * 1000.0);
            executor
                .spawn(async move {
                    let said = way.ask(&ask, until).await;
                    let mut told = told.borrow_mut();
                    told.open -= 1;
                    told.said(&said, Instant::now() - at);
                })
                .detach();
            if shown.elapsed() >= Duration::from_secs(1) {
                shown = Instant::now();
                let seen = seen.borrow();
                let json = terms.json || !terminal;
                let _ = progress(
                    &mut show,
                    json,
                    start.elapsed(),
                    seen.open,
                    &seen.figures(&pace, start.elapsed()),
                );
                let _ = show.flush();
            }
            // Answers are read though more is due.
            futures_lite::future::yield_now().await;
        }
        let ends = Instant::now() + terms.deadline + Duration::from_millis(500);
        while seen.borrow().open > 0 && Instant::now() < ends {
            Timer::after(Duration::from_millis(5)).await;
        }
    };
    block_on(executor.run(all));
    let ran = plan.last().map_or(0.0, |last| last.at_ms / 1000.0);
    let figures = seen.borrow().figures(&pace, Duration::from_secs_f64(ran));
    Ok(figures)
}

#[cfg(test)]
mod tests;
