use super::*;

/// A counter that must not reach 4, and does not recover from -3. Action 0 counts up, 1 counts down, 2 does nothing.
struct Counter(i32, Option<String>);

impl Model for Counter {
    type Scope = i32;
    fn start(_: &i32) -> Counter {
        Counter(0, None)
    }
    fn actions(&self) -> Vec<u8> {
        vec![0, 1, 2]
    }
    fn apply(&mut self, action: u8) {
        self.0 += [1, -1, 0][action as usize];
        if self.0 == 4 {
            self.1 = Some("four".to_owned());
        }
    }
    fn state_hash(&self) -> u64 {
        self.0 as u64
    }
    fn violation(&self) -> Option<&str> {
        self.1.as_deref()
    }
    fn check_recovery(self) -> Option<String> {
        (self.0 == -3).then(|| "stuck".to_owned())
    }
    fn action_name(action: u8) -> &'static str {
        ["up", "down", "nothing"][action as usize]
    }
}

#[test]
fn exhaustive_exploration_finds_shortest_violation_and_visits_each_state_once() {
    let exploration = explore_exhaustively::<Counter>(&0, 9, 1_000, |_, _| {});
    let violation = exploration.violation.unwrap();
    assert_eq!(
        (violation.actions.clone(), violation.reason.as_str()),
        (vec![1, 1, 1], "stuck")
    );
    assert_eq!(
        violation.describe::<Counter>(),
        "stuck; after: down, down, down"
    );
    let few = explore_exhaustively::<Counter>(&0, 2, 1_000, |_, _| {});
    assert_eq!((few.states, few.violation, few.truncated), (5, None, false));
    assert!(explore_exhaustively::<Counter>(&0, 9, 4, |_, _| {}).truncated);
}

#[test]
fn random_exploration_shrinks_violating_history() {
    let found = explore_random::<Counter>(&0, 100, 60, 1).violation.unwrap();
    assert!(
        found.actions == [0, 0, 0, 0] || found.actions == [1, 1, 1],
        "{found:?}"
    );
}
