//! What a server says of its dependencies: the state of its own breaker, its own calls, how old that is.
use coralstep_fleet::gossip::Gossip;
use coralstep_fleet::membership::MAX_NAME_BYTES;
use coralstep_fleet::{Member, Millis as Ms};
use serde::{Deserialize, Serialize};

/// A saying is worth nothing past this age.
pub const AGE_MOST: Ms = 6_000;
/// Dependencies of one server.
pub const DEPENDENCIES_MOST: usize = 8;

/// Of a breaker.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    #[default]
    Closed,
    Open,
    HalfOpen,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Closed => "closed",
            State::Open => "open",
            State::HalfOpen => "half-open",
        }
    }
}

/// What a server has seen of a dependency by its own calls: the last ones, of which so many failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Own {
    pub state: State,
    pub failures: u32,
    pub calls: u32,
}

/// One dependency in a word; ages are those at the time of the word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Said {
    pub dependency: String,
    pub state: State,
    pub failures: u8,
    pub calls: u8,
    /// Since its last call ended.
    pub called_ms: u32,
    /// Since its breaker closed by a trial.
    pub healed_ms: Option<u32>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    pub of: Member,
    pub number: u64,
    pub said: Vec<Said>,
}

impl Gossip for Word {
    const MAX_AGE_MS: Ms = AGE_MOST;

    fn origin(&self) -> &Member {
        &self.of
    }

    fn sequence(&self) -> u64 {
        self.number
    }

    fn is_valid(&self) -> bool {
        let sound = |said: &Said| {
            !said.dependency.is_empty()
                && said.dependency.len() <= MAX_NAME_BYTES
                && said.failures <= said.calls
        };
        self.of.is_valid() && self.said.len() <= DEPENDENCIES_MOST && self.said.iter().all(sound)
    }
}
