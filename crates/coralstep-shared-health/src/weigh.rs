//! What follows from what others say of one dependency: how much evidence of its own a server needs, when its next trial is, and whether its
//! cooldown ends sooner. Each server counts once, however often it was heard; nobody's word alone opens or closes anything.
use coralstep_fleet::Millis as Ms;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::said::State;

/// Outcomes that a breaker looks at by itself, and the least that it needs whatever others say: the second failure may open it, the first
/// never does.
pub const WINDOW: u32 = 20;
pub const NEED_LEAST: u32 = 2;
/// Trials a second of the whole fleet, of a dependency that is open in several places.
pub const TRIALS: f64 = 1.2;
/// Between two trials of one server at the least.
pub const APART_LEAST: Ms = 750;
/// Where others are open, too, a cooldown is always this far from its end, and up to half as long again, until its turn comes by chance: what
/// is turned away is told no more than that. Nobody's cooldown outlives by more what was heard last.
pub const HOLDS: Ms = 2_000;
/// Cooldowns end in steps so far apart; in each as many are let try as serve already, times that.
pub const STEP: Ms = 300;
pub const GROW: f64 = 2.0;
/// That a breaker has closed is news for so long.
pub const NEWS: Ms = 4_000;
/// A server after whose news the own trial failed is not believed for so long.
pub const DOUBTED: Ms = 30_000;
/// Others that must say something of their own calls before less evidence is needed, and the part of them that must say it fails.
pub const OTHERS_LEAST: usize = 2;
pub const FAILS: f64 = 0.5;

/// Which parts hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Parts {
    /// Trials come at one rate from the whole fleet.
    pub trials: bool,
    /// News that it serves again ends cooldowns in steps.
    pub serves: bool,
    /// News that it fails lets less evidence of one's own do.
    pub fails: bool,
}

impl Default for Parts {
    fn default() -> Parts {
        Parts {
            trials: true,
            serves: true,
            fails: true,
        }
    }
}

/// What one other server says, with the ages of now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Other {
    /// Whoever it is: the same figure for the same process.
    pub who: u64,
    pub state: State,
    pub failures: u32,
    pub calls: u32,
    pub called: Ms,
    pub healed: Option<Ms>,
}

impl Other {
    /// Its last calls mostly failed, or its breaker is not closed.
    pub fn fails(&self) -> bool {
        self.state != State::Closed || (self.calls > 0 && self.failures * 2 >= self.calls)
    }

    /// It has something to say by calls of its own.
    pub fn knows(&self) -> bool {
        self.state != State::Closed || (self.calls > 0 && self.called <= crate::said::AGE_MOST)
    }
}

/// What a breaker may go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Own outcomes before it may open: [`WINDOW`] where nobody says anything.
    pub need: u32,
    /// A cooldown that runs ends so much later than now.
    pub left: Option<Ms>,
}

impl Default for Advice {
    fn default() -> Advice {
        Advice {
            need: WINDOW,
            left: None,
        }
    }
}

/// Whose trouble it is, as far as others say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whose {
    /// Nobody's.
    Nobodys,
    /// Most of those who call it say that it fails.
    Dependencys,
    /// Most others are served: it is this server's way there.
    OwnWays,
    /// This server's calls fail, and nobody else says anything.
    Unknown,
}

/// One dependency, as this server goes about it.
#[derive(Clone, Debug)]
pub struct Weigh {
    chance: SmallRng,
    next_step: Ms,
    /// Those whose news led to the trial that is awaited.
    believed: Vec<u64>,
    doubted: Vec<(u64, Ms)>,
    was: State,
    /// Since when it is open, by how much longer than others its callers are sent away, and whether its turn has come.
    since: Ms,
    spread: Ms,
    turn: bool,
    looked: Ms,
}

impl Weigh {
    pub fn new(seed: u64) -> Weigh {
        Weigh {
            chance: SmallRng::seed_from_u64(seed),
            next_step: 0,
            believed: Vec::new(),
            doubted: Vec::new(),
            was: State::Closed,
            since: 0,
            spread: 0,
            turn: false,
            looked: 0,
        }
    }

    /// Whose trouble it is.
    pub fn whose(own_fails: bool, others: &[Other]) -> Whose {
        let known = others.iter().filter(|other| other.knows()).count();
        let fails = others
            .iter()
            .filter(|other| other.knows() && other.fails())
            .count();
        match () {
            () if known == 0 && own_fails => Whose::Unknown,
            () if fails * 2 >= known && fails > 0 => Whose::Dependencys,
            () if own_fails => Whose::OwnWays,
            () => Whose::Nobodys,
        }
    }

    /// `others`: those whose word counts now, each once.
    pub fn advise(&mut self, now: Ms, parts: Parts, own: State, others: &[Other]) -> Advice {
        let span = now.saturating_sub(self.looked).min(1_000);
        self.looked = now;
        self.learn(now, own);
        let mut advice = Advice::default();
        let known = others.iter().filter(|other| other.knows()).count();
        let fails = others
            .iter()
            .filter(|other| other.knows() && other.fails())
            .count();
        let part = fails as f64 / known.max(1) as f64;
        if parts.fails && known >= OTHERS_LEAST && part >= FAILS {
            advice.need =
                ((f64::from(WINDOW) * (1.0 - part)).round() as u32).clamp(NEED_LEAST, WINDOW);
        }
        let open = others
            .iter()
            .filter(|other| other.state != State::Closed)
            .count();
        // Once its turn has come it is left alone until its trial has shown something.
        if own != State::Open || self.turn {
            return advice;
        }
        if parts.trials && open > 0 {
            advice.left = Some(HOLDS + self.spread);
            if now >= self.since + APART_LEAST {
                // Memoryless, by how many are open now: whoever dies with its turn takes none from the others, and no two need agree.
                let chance = (TRIALS * span as f64 / 1000.0 / (open + 1) as f64).min(1.0);
                if self.chance.random_bool(chance) {
                    (advice.left, self.turn) = (Some(0), true);
                    return advice;
                }
            }
        }
        if parts.serves && now >= self.next_step {
            self.next_step = now + STEP / 2 + self.chance.random_range(0..STEP);
            let news: Vec<u64> = others
                .iter()
                .filter(|other| !other.fails() && other.healed.is_some_and(|healed| healed <= NEWS))
                .filter(|other| !self.doubted.iter().any(|(who, _)| *who == other.who))
                .map(|other| other.who)
                .collect();
            let may = (GROW * news.len() as f64 / (open + 1) as f64).min(1.0);
            if !news.is_empty() && self.chance.random_bool(may) {
                (advice.left, self.turn) = (Some(self.chance.random_range(0..STEP)), true);
                self.believed = news;
            }
        }
        advice
    }

    /// Whether the news was true is seen by one's own trial.
    fn learn(&mut self, now: Ms, own: State) {
        self.doubted.retain(|(_, until)| now < *until);
        let before = std::mem::replace(&mut self.was, own);
        if own == State::Open && before != State::Open {
            (self.since, self.turn) = (now, false);
            self.spread = self.chance.random_range(0..HOLDS / 2);
        }
        match own {
            // A trial failed after news: guards against a server that says 'it serves' whatever it sees.
            State::Open if before == State::HalfOpen => {
                let believed = std::mem::take(&mut self.believed);
                // Of several some may have told the truth of a moment: each of few is doubted, all of many are not.
                if believed.len() <= OTHERS_LEAST {
                    self.doubted
                        .extend(believed.into_iter().map(|who| (who, now + DOUBTED)));
                }
            }
            State::Closed => self.believed.clear(),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
