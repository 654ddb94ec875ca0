//! Model checking of the production code: explores every short history of a small scope, then long random ones. A failing random
//! history is shrunk. A [`Model`] defines the possible actions and the invariants; this module only searches. States are hashed, so
//! a history is not extended if an earlier one led to the same state.
use std::collections::HashSet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

pub mod fleet;
pub mod module;
pub mod pool;
pub mod shares;
pub mod straggler;

/// A state machine under test and its invariants.
pub trait Model: Sized {
    /// Configuration and initial state of the model.
    type Scope: Sync;
    fn start(scope: &Self::Scope) -> Self;
    /// Returns the actions that are possible in this state.
    fn actions(&self) -> Vec<u8>;
    /// Applies an action; does nothing if the action is not possible.
    fn apply(&mut self, action: u8);
    fn state_hash(&self) -> u64;
    /// Returns the first invariant violation, if any.
    fn violation(&self) -> Option<&str>;
    /// Ends all faults, and returns the reason if the system does not recover within its time limit.
    fn check_recovery(self) -> Option<String>;
    fn action_name(action: u8) -> &'static str;
}

/// A history that violates an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    #[serde(rename = "moves")]
    pub actions: Vec<u8>,
    #[serde(rename = "why")]
    pub reason: String,
}

impl Violation {
    /// Returns the reason and the names of the actions.
    pub fn describe<P: Model>(&self) -> String {
        let names: Vec<&str> = self
            .actions
            .iter()
            .map(|action| P::action_name(*action))
            .collect();
        format!(
            "{}; after: {}",
            self.reason,
            if names.is_empty() {
                "nothing".to_owned()
            } else {
                names.join(", ")
            }
        )
    }
}

/// The result of an exploration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Exploration {
    /// Number of distinct states; for random histories, the number of actions.
    pub states: u64,
    /// Number of actions that led to a state seen before.
    #[serde(rename = "again")]
    pub revisited: u64,
    #[serde(rename = "fault")]
    pub violation: Option<Violation>,
    /// Whether the limit on states was reached before the search was complete.
    #[serde(rename = "cut")]
    pub truncated: bool,
}

fn replay<P: Model>(scope: &P::Scope, actions: &[u8]) -> P {
    let mut model = P::start(scope);
    actions.iter().for_each(|action| model.apply(*action));
    model
}

/// Replays a history; returns the invariant that it violates, or the reason why the system does not recover after it.
fn find_violation<P: Model>(scope: &P::Scope, actions: &[u8]) -> Option<String> {
    let model = replay::<P>(scope, actions);
    match model.violation() {
        Some(reason) => Some(reason.to_owned()),
        None => model.check_recovery(),
    }
}

/// Explores all histories up to `depth` actions, shortest first, until one violates an invariant or `max_states` states were seen.
/// `on_depth` is called after each depth with the number of states so far.
pub fn explore_exhaustively<P: Model>(
    scope: &P::Scope,
    depth: usize,
    max_states: u64,
    mut on_depth: impl FnMut(usize, u64),
) -> Exploration {
    let mut exploration = Exploration::default();
    let mut seen = HashSet::new();
    let mut frontier: Vec<Vec<u8>> = vec![Vec::new()];
    seen.insert(replay::<P>(scope, &[]).state_hash());
    exploration.states = 1;
    if let Some(reason) = find_violation::<P>(scope, &[]) {
        exploration.violation = Some(Violation {
            actions: Vec::new(),
            reason,
        });
        return exploration;
    }
    for level in 1..=depth {
        let mut next = Vec::new();
        for prefix in &frontier {
            for action in replay::<P>(scope, prefix).actions() {
                let mut actions = prefix.clone();
                actions.push(action);
                let model = replay::<P>(scope, &actions);
                if !seen.insert(model.state_hash()) {
                    exploration.revisited += 1;
                    continue;
                }
                exploration.states += 1;
                if let Some(reason) = find_violation::<P>(scope, &actions) {
                    exploration.violation = Some(Violation { actions, reason });
                    return exploration;
                }
                if exploration.states >= max_states {
                    exploration.truncated = true;
                    return exploration;
                }
                next.push(actions);
            }
        }
        on_depth(level, exploration.states);
        frontier = next;
    }
    exploration
}

/// Runs random histories of up to `length` actions; stops at the first violation and shrinks its history.
pub fn explore_random<P: Model>(
    scope: &P::Scope,
    histories: u64,
    length: usize,
    seed: u64,
) -> Exploration {
    let mut exploration = Exploration::default();
    for index in 0..histories {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_add(index));
        let (mut model, mut actions) = (P::start(scope), Vec::new());
        for _ in 0..length {
            let possible = model.actions();
            if possible.is_empty() || model.violation().is_some() {
                break;
            }
            let action = possible[rng.random_range(0..possible.len())];
            model.apply(action);
            actions.push(action);
        }
        exploration.states += actions.len() as u64;
        let reason = model
            .violation()
            .map(str::to_owned)
            .or_else(|| model.check_recovery());
        if let Some(reason) = reason {
            exploration.violation = Some(shrink::<P>(scope, Violation { actions, reason }));
            return exploration;
        }
    }
    exploration
}

/// Removes ever smaller parts of a history as long as the rest still leads to a violation.
pub fn shrink<P: Model>(scope: &P::Scope, mut violation: Violation) -> Violation {
    let mut size = violation.actions.len().div_ceil(2).max(1);
    loop {
        let (mut at, mut shorter) = (0, false);
        while at < violation.actions.len() {
            let mut actions = violation.actions.clone();
            actions.drain(at..(at + size).min(violation.actions.len()));
            match find_violation::<P>(scope, &actions) {
                Some(reason) => {
                    violation = Violation { actions, reason };
                    shorter = true;
                }
                None => at += size,
            }
        }
        match size {
            1 if !shorter => return violation,
            1 => {}
            _ => size = size.div_ceil(2),
        }
    }
}

#[cfg(test)]
mod tests;
