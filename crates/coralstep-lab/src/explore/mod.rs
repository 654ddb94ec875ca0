//! Every history of a small scope, played through the real decisions; then long ones by chance, with what breaks made short. A
//! [`Play`] says what may happen and what must hold; this file only walks. States are hashed and met once, so a history is followed
//! no further where another led to the same.
use std::collections::HashSet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

pub mod fleet;
pub mod module;
pub mod pool;
pub mod shares;
pub mod straggler;

/// Something with a state that moves change.
pub trait Play: Sized {
    /// A scope by its name.
    type Scope: Sync;
    fn start(scope: &Self::Scope) -> Self;
    /// Moves that have a meaning now.
    fn moves(&self) -> Vec<u8>;
    /// One that has none is passed over.
    fn step(&mut self, what: u8);
    fn digest(&self) -> u64;
    /// What was broken so far.
    fn broken(&self) -> Option<&str>;
    /// The trouble is over from now on: why it does not come free in the stated time, where it doesn't.
    fn comes_free(self) -> Option<String>;
    fn name(what: u8) -> &'static str;
}

/// A history that breaks something.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    pub moves: Vec<u8>,
    pub why: String,
}

impl Fault {
    pub fn told<P: Play>(&self) -> String {
        let names: Vec<&str> = self.moves.iter().map(|what| P::name(*what)).collect();
        format!(
            "{}; after: {}",
            self.why,
            if names.is_empty() {
                "nothing".to_owned()
            } else {
                names.join(", ")
            }
        )
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Walked {
    /// Different states met, and steps that led to one met before.
    pub states: u64,
    pub again: u64,
    pub fault: Option<Fault>,
    /// The bound on states was met before all was seen.
    pub cut: bool,
}

fn played<P: Play>(scope: &P::Scope, moves: &[u8]) -> P {
    let mut play = P::start(scope);
    moves.iter().for_each(|what| play.step(*what));
    play
}

/// What a history breaks, by itself or as it can't come free.
fn fault<P: Play>(scope: &P::Scope, moves: &[u8]) -> Option<String> {
    let play = played::<P>(scope, moves);
    match play.broken() {
        Some(why) => Some(why.to_owned()),
        None => play.comes_free(),
    }
}

/// All histories up to a depth, shortest first, until one breaks something or `most` states were met. `told` hears of each depth.
pub fn exhaust<P: Play>(
    scope: &P::Scope,
    depth: usize,
    most: u64,
    mut told: impl FnMut(usize, u64),
) -> Walked {
    let mut walked = Walked::default();
    let mut met = HashSet::new();
    let mut layer: Vec<Vec<u8>> = vec![Vec::new()];
    met.insert(played::<P>(scope, &[]).digest());
    walked.states = 1;
    if let Some(why) = fault::<P>(scope, &[]) {
        walked.fault = Some(Fault {
            moves: Vec::new(),
            why,
        });
        return walked;
    }
    for level in 1..=depth {
        let mut next = Vec::new();
        for before in &layer {
            for what in played::<P>(scope, before).moves() {
                let mut moves = before.clone();
                moves.push(what);
                let play = played::<P>(scope, &moves);
                if !met.insert(play.digest()) {
                    walked.again += 1;
                    continue;
                }
                walked.states += 1;
                if let Some(why) = fault::<P>(scope, &moves) {
                    walked.fault = Some(Fault { moves, why });
                    return walked;
                }
                if walked.states >= most {
                    walked.cut = true;
                    return walked;
                }
                next.push(moves);
            }
        }
        told(level, walked.states);
        layer = next;
    }
    walked
}

/// Long histories by chance; the first that breaks something, made short.
pub fn wander<P: Play>(scope: &P::Scope, histories: u64, length: usize, seed: u64) -> Walked {
    let mut walked = Walked::default();
    for number in 0..histories {
        let mut chance = SmallRng::seed_from_u64(seed.wrapping_add(number));
        let (mut play, mut moves) = (P::start(scope), Vec::new());
        for _ in 0..length {
            let may = play.moves();
            if may.is_empty() || play.broken().is_some() {
                break;
            }
            let what = may[chance.random_range(0..may.len())];
            play.step(what);
            moves.push(what);
        }
        walked.states += moves.len() as u64;
        let why = play
            .broken()
            .map(str::to_owned)
            .or_else(|| play.comes_free());
        if let Some(why) = why {
            walked.fault = Some(shrink::<P>(scope, Fault { moves, why }));
            return walked;
        }
    }
    walked
}

/// Leaves out ever smaller parts of a history as long as the rest breaks something, too.
pub fn shrink<P: Play>(scope: &P::Scope, mut of: Fault) -> Fault {
    let mut size = of.moves.len().div_ceil(2).max(1);
    loop {
        let (mut at, mut shorter) = (0, false);
        while at < of.moves.len() {
            let mut moves = of.moves.clone();
            moves.drain(at..(at + size).min(of.moves.len()));
            match fault::<P>(scope, &moves) {
                Some(why) => {
                    of = Fault { moves, why };
                    shorter = true;
                }
                None => at += size,
            }
        }
        match size {
            1 if !shorter => return of,
            1 => {}
            _ => size = size.div_ceil(2),
        }
    }
}

#[cfg(test)]
mod tests;
