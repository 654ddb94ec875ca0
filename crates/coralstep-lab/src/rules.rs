//! The four rules, checked while a day is played: state is kept only of what is open and of tokens in their window, so memory
//! doesn't grow with the day.
use std::collections::HashMap;
use std::fmt;

/// One attempt at one server.
pub type Attempt = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    Ok,
    PushedBack,
    Aborted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Each read has exactly one final answer by its due time.
    Lost,
    /// No effect twice, and what ran is not pushed back.
    Twice,
    /// Nothing that came after the grace runs; all read is answered before the stop.
    Drain,
    /// Memory, and the crowd on the cores.
    FallOver,
    /// Who is pushed back hears when to come back, and nothing false.
    Advice,
}

/// A breach, with what happened.
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

/// Breaches that are told; all are counted.
const TOLD_MOST: usize = 20;
/// Answers may be late by so much, in ticks: a beat and a step.
const SLACK: u64 = 500;

#[derive(Clone, Debug)]
struct Open {
    server: usize,
    due: u64,
    effect: bool,
    ran: bool,
    answered: bool,
    pushed_back: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Machine {
    /// Nothing that comes later than this runs.
    grace: Option<u64>,
    memory_kb: f64,
    crowd: f64,
    /// Since when it is more crowded than it survives.
    crowded: Option<u64>,
}

#[derive(Default)]
pub struct Rules {
    open: HashMap<Attempt, Open>,
    arrived: HashMap<Attempt, u64>,
    /// Until when a token counts, by server and token.
    tokens: HashMap<(usize, u64), u64>,
    /// By how the window of tokens ends; those that are over are dropped now and then.
    swept: u64,
    machines: Vec<Machine>,
    pub count: u64,
    pub by_rule: std::collections::BTreeMap<Rule, u64>,
    pub breaches: Vec<Breach>,
}

/// The longest time to stay away that anything in the design asks for is the longest cooldown; a level's stay may double it.
const ADVICE_MOST: u64 = 600_000;
/// So long a crowd that is too large is survived, in ticks.
const CROWDED_MOST: u64 = 30_000;

impl Rules {
    /// Servers with `memory_kb` each, that survive `crowd` runs.
    pub fn new(servers: usize, memory_kb: f64, crowd: f64) -> Rules {
        let machine = Machine {
            memory_kb,
            crowd,
            ..Machine::default()
        };
        Rules {
            machines: vec![machine; servers],
            ..Rules::default()
        }
    }

    /// One more server; its place.
    pub fn another(&mut self) -> usize {
        let like = self.machines.first().copied().unwrap_or_default();
        self.machines.push(Machine {
            grace: None,
            crowded: None,
            ..like
        });
        self.machines.len() - 1
    }

    fn breach(&mut self, rule: Rule, at: u64, what: String) {
        self.count += 1;
        *self.by_rule.entry(rule).or_default() += 1;
        if self.breaches.len() < TOLD_MOST {
            self.breaches.push(Breach { rule, at, what });
        }
    }

    pub fn read(&mut self, at: u64, attempt: Attempt, server: usize, due: u64, effect: bool) {
        self.arrived.insert(attempt, at);
        self.open.insert(
            attempt,
            Open {
                server,
                due,
                effect,
                ran: false,
                answered: false,
                pushed_back: false,
            },
        );
    }

    /// `token`: until when a second run under it counts.
    pub fn began(&mut self, at: u64, attempt: Attempt, token: Option<(u64, u64)>) {
        let Some(open) = self.open.get_mut(&attempt) else {
            return self.breach(Rule::Lost, at, format!("{attempt} runs and was never read"));
        };
        let (server, again, effect, refused) =
            (open.server, open.ran, open.effect, open.pushed_back);
        open.ran = true;
        if again && effect {
            self.breach(Rule::Twice, at, format!("{attempt} ran again"));
        }
        if refused {
            self.breach(
                Rule::Twice,
                at,
                format!("{attempt} runs after it was pushed back"),
            );
        }
        if let Some((token, until)) = token {
            if self
                .tokens
                .get(&(server, token))
                .is_some_and(|until| *until > at)
            {
                self.breach(
                    Rule::Twice,
                    at,
                    format!("token {token} ran again, as {attempt}"),
                );
            }
            self.tokens.insert((server, token), until);
        }
        let grace = self.machines[server].grace;
        let arrived = self.arrived.get(&attempt).copied().unwrap_or(at);
        if grace.is_some_and(|grace| arrived > grace) {
            self.breach(
                Rule::Drain,
                at,
                format!("{attempt} came after the grace and runs"),
            );
        }
        if at > self.swept + 100_000 {
            self.swept = at;
            self.tokens.retain(|_, until| *until > at);
        }
    }

    pub fn answered(&mut self, at: u64, attempt: Attempt, told: Told) {
        let Some(open) = self.open.get_mut(&attempt) else {
            return self.breach(
                Rule::Lost,
                at,
                format!("{attempt} has an answer and was never read"),
            );
        };
        let (again, late) = (open.answered, at > open.due + SLACK);
        let (ran, effect) = (open.ran, open.effect);
        (open.answered, open.pushed_back) = (true, told == Told::PushedBack);
        if again {
            self.breach(
                Rule::Lost,
                at,
                format!("{attempt} has a second answer, {told:?}"),
            );
        }
        if late {
            self.breach(
                Rule::Lost,
                at,
                format!("{attempt} was answered past its due time"),
            );
        }
        if told == Told::PushedBack && ran && effect {
            self.breach(
                Rule::Twice,
                at,
                format!("{attempt} was pushed back after it ran"),
            );
        }
    }

    /// What a server told one that it pushed back: when to come back, in ticks, and that no other server is better.
    pub fn advised(&mut self, at: u64, server: usize, after: u64, nowhere: bool, retry: bool) {
        if after == 0 {
            self.breach(
                Rule::Advice,
                at,
                format!("server {server} didn't say when to come back"),
            );
        }
        if after > ADVICE_MOST {
            self.breach(
                Rule::Advice,
                at,
                format!("server {server} said to stay away for {} ms", after / 10),
            );
        }
        // A further try may be the last one anywhere; a first one has all servers that stay.
        if nowhere && !retry && self.machines[server].grace.is_some_and(|grace| at > grace) {
            self.breach(
                Rule::Advice,
                at,
                format!("server {server} leaves and said that no other is better"),
            );
        }
    }

    /// The server has let go of it.
    pub fn over(&mut self, at: u64, attempt: Attempt) {
        self.arrived.remove(&attempt);
        if let Some(open) = self.open.remove(&attempt)
            && !open.answered
        {
            self.breach(Rule::Lost, at, format!("{attempt} has no answer"));
        }
    }

    /// Its caller is known to be gone, or the wire to it: nobody waits for its answer.
    pub fn gone(&mut self, attempt: Attempt) {
        self.open
            .get_mut(&attempt)
            .into_iter()
            .for_each(|open| open.answered = true);
    }

    /// A server died by itself: what was open there is lost by nobody else's fault.
    pub fn died(&mut self, at: u64, server: usize) {
        self.stopped(at, server, true);
        self.breach(
            Rule::FallOver,
            at,
            format!("server {server} died by itself"),
        );
    }

    /// A server that left is still there past its stop.
    pub fn overstayed(&mut self, at: u64) {
        self.breach(Rule::Drain, at, "a server goes on past its stop".to_owned());
    }

    /// Whether it was read and is not over.
    pub fn is_open(&self, attempt: Attempt) -> bool {
        self.open.contains_key(&attempt)
    }

    /// A pause of the machine is not the server's time: what is open there is due so much later.
    pub fn paused(&mut self, server: usize, span: u64) {
        self.open
            .values_mut()
            .filter(|open| open.server == server)
            .for_each(|open| open.due += span);
    }

    pub fn notice(&mut self, server: usize, grace: u64) {
        self.machines[server].grace = Some(grace);
    }

    /// The server stops; a crash loses what it had, a drain may not.
    pub fn stopped(&mut self, at: u64, server: usize, crash: bool) {
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
                self.breach(
                    Rule::Drain,
                    at,
                    format!("{attempt} has no answer at the stop"),
                );
            }
        }
        let machine = &mut self.machines[server];
        (machine.grace, machine.crowded) = (None, None);
        self.tokens.retain(|(of, _), _| *of != server);
    }

    /// How a server stands now.
    pub fn stands(&mut self, at: u64, server: usize, memory_kb: f64, runs: usize) {
        let machine = &mut self.machines[server];
        let crowded = runs as f64 > machine.crowd;
        let since = *machine.crowded.get_or_insert(at);
        if !crowded {
            machine.crowded = None;
        }
        let (over, most) = (memory_kb > machine.memory_kb, machine.memory_kb);
        if crowded && at - since > CROWDED_MOST {
            machine.crowded = Some(at);
            self.breach(
                Rule::FallOver,
                at,
                format!("server {server} has {runs} runs on its cores for 3 s"),
            );
        }
        if over {
            self.breach(
                Rule::FallOver,
                at,
                format!("server {server} needs {memory_kb:.0} KB of {most:.0}"),
            );
        }
    }

    /// What is open at the end of the day and should have been answered.
    pub fn end(&mut self, at: u64) {
        let late = |open: &Open| !open.answered && at > open.due + SLACK;
        let mut left: Vec<Attempt> = self
            .open
            .iter()
            .filter(|(_, open)| late(open))
            .map(|(id, _)| *id)
            .collect();
        left.sort_unstable();
        left.into_iter().for_each(|attempt| {
            self.breach(
                Rule::Lost,
                at,
                format!("{attempt} has no answer at the end"),
            )
        });
    }
}

#[cfg(test)]
mod tests;
