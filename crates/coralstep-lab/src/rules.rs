//! Checks the correctness rules while a world runs. State is kept only for open attempts and for idempotency keys within their
//! retry window, so memory doesn't grow with the length of the run.
use std::collections::HashMap;
use std::fmt;

/// Identifies one attempt of a request at one server.
pub type Attempt = u64;

/// Kind of the final answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    Ok,
    PushedBack,
    Aborted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Each attempt that a server read gets exactly one final answer by its deadline.
    Lost,
    /// No side effect happens twice, and an attempt that ran is not rejected.
    Twice,
    /// No attempt that arrived after the drain grace runs, and every attempt is answered before the server stops.
    Drain,
    /// Servers stay within their memory and within the number of concurrent runs that they survive.
    FallOver,
    /// Each rejection carries a valid Retry-After, and no false claim that other servers are no better.
    Advice,
}

/// A violation of a rule, with a description of what happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    pub rule: Rule,
    pub at: u64,
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} at {:.1} ms: {}",
            self.rule,
            self.at as f64 / 10.0,
            self.what
        )
    }
}

/// Maximum number of breaches reported in full; all are counted.
const MAX_REPORTED_BREACHES: usize = 20;
/// Ticks by which an answer may miss its deadline: one scheduler timeout and one simulation step.
const ANSWER_SLACK_TICKS: u64 = 500;

#[derive(Clone, Debug)]
struct OpenAttempt {
    server: usize,
    due: u64,
    effect: bool,
    ran: bool,
    answered: bool,
    pushed_back: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerState {
    /// End of the drain grace: an attempt that arrives later must not run.
    grace: Option<u64>,
    memory_kb: f64,
    crowd: f64,
    /// Start of the present period with more concurrent runs than the server survives.
    crowded: Option<u64>,
}

#[derive(Default)]
pub struct Rules {
    open: HashMap<Attempt, OpenAttempt>,
    arrived: HashMap<Attempt, u64>,
    /// End of the retry window of each idempotency key, by server and key.
    tokens: HashMap<(usize, u64), u64>,
    /// Time at which expired keys were last removed from `tokens`.
    swept: u64,
    servers: Vec<ServerState>,
    pub count: u64,
    pub by_rule: std::collections::BTreeMap<Rule, u64>,
    pub breaches: Vec<Breach>,
}

/// Longest valid Retry-After, in ticks. The longest delay by design is the longest cooldown; the minimum stay at a degradation
/// level may double it.
const MAX_RETRY_AFTER_TICKS: u64 = 600_000;
/// How long a server survives too many concurrent runs, in ticks.
const MAX_OVERLOAD_TICKS: u64 = 30_000;

impl Rules {
    /// Creates the checks for `servers` servers with `memory_kb` of memory each, which survive `crowd` concurrent runs.
    pub fn new(servers: usize, memory_kb: f64, crowd: f64) -> Rules {
        let state = ServerState {
            memory_kb,
            crowd,
            ..ServerState::default()
        };
        Rules {
            servers: vec![state; servers],
            ..Rules::default()
        }
    }

    /// Adds a server like the first one and returns its index.
    pub fn add_server(&mut self) -> usize {
        let like = self.servers.first().copied().unwrap_or_default();
        self.servers.push(ServerState {
            grace: None,
            crowded: None,
            ..like
        });
        self.servers.len() - 1
    }

    fn report(&mut self, rule: Rule, at: u64, what: String) {
        self.count += 1;
        *self.by_rule.entry(rule).or_default() += 1;
        if self.breaches.len() < MAX_REPORTED_BREACHES {
            self.breaches.push(Breach { rule, at, what });
        }
    }

    pub fn record_arrival(
        &mut self,
        at: u64,
        attempt: Attempt,
        server: usize,
        due: u64,
        effect: bool,
    ) {
        self.arrived.insert(attempt, at);
        self.open.insert(
            attempt,
            OpenAttempt {
                server,
                due,
                effect,
                ran: false,
                answered: false,
                pushed_back: false,
            },
        );
    }

    /// Records that a run started. `token` is the idempotency key and the end of its retry window, in which a second run is a breach.
    pub fn record_start(&mut self, at: u64, attempt: Attempt, token: Option<(u64, u64)>) {
        let Some(open) = self.open.get_mut(&attempt) else {
            return self.report(Rule::Lost, at, format!("{attempt} runs but was never read"));
        };
        let (server, again, effect, refused) =
            (open.server, open.ran, open.effect, open.pushed_back);
        open.ran = true;
        if again && effect {
            self.report(Rule::Twice, at, format!("{attempt} ran again"));
        }
        if refused {
            self.report(
                Rule::Twice,
                at,
                format!("{attempt} runs after it was rejected"),
            );
        }
        if let Some((token, until)) = token {
            if self
                .tokens
                .get(&(server, token))
                .is_some_and(|until| *until > at)
            {
                self.report(
                    Rule::Twice,
                    at,
                    format!("idempotency key {token} ran again, as {attempt}"),
                );
            }
            self.tokens.insert((server, token), until);
        }
        let grace = self.servers[server].grace;
        let arrived = self.arrived.get(&attempt).copied().unwrap_or(at);
        if grace.is_some_and(|grace| arrived > grace) {
            self.report(
                Rule::Drain,
                at,
                format!("{attempt} runs although it arrived after the drain grace"),
            );
        }
        if at > self.swept + 100_000 {
            self.swept = at;
            self.tokens.retain(|_, until| *until > at);
        }
    }

    pub fn record_answer(&mut self, at: u64, attempt: Attempt, answer: AnswerKind) {
        let Some(open) = self.open.get_mut(&attempt) else {
            return self.report(
                Rule::Lost,
                at,
                format!("{attempt} was answered but never read"),
            );
        };
        let (again, late) = (open.answered, at > open.due + ANSWER_SLACK_TICKS);
        let (ran, effect) = (open.ran, open.effect);
        (open.answered, open.pushed_back) = (true, answer == AnswerKind::PushedBack);
        if again {
            self.report(
                Rule::Lost,
                at,
                format!("{attempt} got a second answer, {answer:?}"),
            );
        }
        if late {
            self.report(
                Rule::Lost,
                at,
                format!("{attempt} was answered after its deadline"),
            );
        }
        if answer == AnswerKind::PushedBack && ran && effect {
            self.report(
                Rule::Twice,
                at,
                format!("{attempt} was rejected after it ran"),
            );
        }
    }

    /// Records the advice sent with a rejection: the Retry-After in ticks, and whether the server said that no other server is better.
    pub fn record_retry_advice(
        &mut self,
        at: u64,
        server: usize,
        after: u64,
        nowhere: bool,
        retry: bool,
    ) {
        if after == 0 {
            self.report(
                Rule::Advice,
                at,
                format!("server {server} rejected a request without Retry-After"),
            );
        }
        if after > MAX_RETRY_AFTER_TICKS {
            self.report(
                Rule::Advice,
                at,
                format!("server {server} sent a Retry-After of {} ms", after / 10),
            );
        }
        // A retry may have run out of servers, but a first attempt can still go to every server that isn't draining.
        if nowhere && !retry && self.servers[server].grace.is_some_and(|grace| at > grace) {
            self.report(
                Rule::Advice,
                at,
                format!("server {server} is draining but said that no other server is better"),
            );
        }
    }

    /// Records that the server released the attempt.
    pub fn record_release(&mut self, at: u64, attempt: Attempt) {
        self.arrived.remove(&attempt);
        if let Some(open) = self.open.remove(&attempt)
            && !open.answered
        {
            self.report(
                Rule::Lost,
                at,
                format!("{attempt} was released without an answer"),
            );
        }
    }

    /// Records that the caller or its connection is gone, so that no answer is expected any more.
    pub fn record_caller_gone(&mut self, attempt: Attempt) {
        self.open
            .get_mut(&attempt)
            .into_iter()
            .for_each(|open| open.answered = true);
    }

    /// Records that a server crashed without an injected fault. Its open attempts are no further breaches.
    pub fn record_self_inflicted_crash(&mut self, at: u64, server: usize) {
        self.record_stop(at, server, true);
        self.report(
            Rule::FallOver,
            at,
            format!("server {server} crashed without an injected fault"),
        );
    }

    /// Records that a draining server still runs after its stop time.
    pub fn record_overdue_stop(&mut self, at: u64) {
        self.report(
            Rule::Drain,
            at,
            "a draining server still runs after its stop time".to_owned(),
        );
    }

    /// Returns whether the attempt was read and not yet released.
    pub fn is_open(&self, attempt: Attempt) -> bool {
        self.open.contains_key(&attempt)
    }

    /// Postpones the deadlines of a server's open attempts by the length of a machine pause, which isn't the server's fault.
    pub fn postpone_deadlines(&mut self, server: usize, span: u64) {
        self.open
            .values_mut()
            .filter(|open| open.server == server)
            .for_each(|open| open.due += span);
    }

    pub fn record_drain_notice(&mut self, server: usize, grace: u64) {
        self.servers[server].grace = Some(grace);
    }

    /// Records that a server stopped. A crash may lose open attempts, a drain may not.
    pub fn record_stop(&mut self, at: u64, server: usize, crash: bool) {
        let mut left: Vec<Attempt> = self
            .open
            .iter()
            .filter(|(_, open)| open.server == server)
            .map(|(id, _)| *id)
            .collect();
        left.sort_unstable();
        for attempt in left {
            self.arrived.remove(&attempt);
            let open = self.open.remove(&attempt);
            if !crash && open.is_some_and(|open| !open.answered) {
                self.report(
                    Rule::Drain,
                    at,
                    format!("{attempt} has no answer when its server stops"),
                );
            }
        }
        let state = &mut self.servers[server];
        (state.grace, state.crowded) = (None, None);
        self.tokens.retain(|(of, _), _| *of != server);
    }

    /// Records a server's memory use and its number of concurrent runs.
    pub fn record_usage(&mut self, at: u64, server: usize, memory_kb: f64, runs: usize) {
        let state = &mut self.servers[server];
        let crowded = runs as f64 > state.crowd;
        let since = *state.crowded.get_or_insert(at);
        if !crowded {
            state.crowded = None;
        }
        let (over, most) = (memory_kb > state.memory_kb, state.memory_kb);
        if crowded && at - since > MAX_OVERLOAD_TICKS {
            state.crowded = Some(at);
            self.report(
                Rule::FallOver,
                at,
                format!("server {server} had too many concurrent runs for 3 s, {runs} now"),
            );
        }
        if over {
            self.report(
                Rule::FallOver,
                at,
                format!("server {server} uses {memory_kb:.0} KB of {most:.0} KB"),
            );
        }
    }

    /// Reports the attempts that are still open at the end although their deadline has passed.
    pub fn finish(&mut self, at: u64) {
        let late = |open: &OpenAttempt| !open.answered && at > open.due + ANSWER_SLACK_TICKS;
        let mut left: Vec<Attempt> = self
            .open
            .iter()
            .filter(|(_, open)| late(open))
            .map(|(id, _)| *id)
            .collect();
        left.sort_unstable();
        left.into_iter().for_each(|attempt| {
            self.report(
                Rule::Lost,
                at,
                format!("{attempt} has no answer at the end"),
            )
        });
    }
}

#[cfg(test)]
mod tests;
