use super::*;
use crate::explore::{explore_exhaustively, explore_random};

fn scope(initial_state: InitialState, injected_fault: InjectedFault) -> Scope {
    Scope {
        initial_state,
        prompt: initial_state == InitialState::Hung,
        injected_fault,
    }
}

#[test]
fn short_histories_from_every_initial_state_hold_invariants() {
    for (name, initial_state) in INITIAL_STATES {
        let exploration = explore_exhaustively::<Module>(
            &scope(initial_state, InjectedFault::None),
            3,
            20_000,
            |_, _| {},
        );
        assert_eq!(
            exploration
                .violation
                .map(|violation| violation.describe::<Module>()),
            None,
            "{name}"
        );
        assert!(
            exploration.states > 100 && !exploration.truncated,
            "{name} {}",
            exploration.states
        );
    }
}

#[test]
fn long_random_histories_hold_invariants() {
    for (name, initial_state) in INITIAL_STATES {
        let exploration =
            explore_random::<Module>(&scope(initial_state, InjectedFault::None), 40, 30, 1);
        assert_eq!(
            exploration
                .violation
                .map(|violation| violation.describe::<Module>()),
            None,
            "{name}"
        );
    }
}

#[test]
fn finds_runs_that_never_end_and_calls_despite_open_breaker() {
    let lost = explore_exhaustively::<Module>(
        &scope(InitialState::Fresh, InjectedFault::RunsNeverEnd),
        2,
        20_000,
        |_, _| {},
    )
    .violation
    .unwrap();
    assert!(lost.reason.contains("no recovery within"), "{lost:?}");
    let calls = explore_exhaustively::<Module>(
        &scope(InitialState::Hung, InjectedFault::IgnoresBreaker),
        4,
        20_000,
        |_, _| {},
    )
    .violation
    .unwrap();
    assert!(
        calls.reason.contains("while the breaker is open"),
        "{calls:?}"
    );
}
