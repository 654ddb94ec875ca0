use super::super::{explore_exhaustively, explore_random};
use super::*;

#[test]
fn limits_hold_in_all_histories_and_each_injected_fault_is_found() {
    for initial_state in [InitialState::Fresh, InitialState::Settled] {
        let scope = Scope {
            initial_state,
            ..Scope::default()
        };
        let exploration = explore_exhaustively::<Shares>(&scope, 2, 400, |_, _| {});
        assert_eq!(
            exploration
                .violation
                .map(|violation| violation.describe::<Shares>()),
            None,
            "{initial_state:?}"
        );
        let long = explore_random::<Shares>(&scope, 10, 40, 1);
        assert_eq!(
            long.violation
                .map(|violation| violation.describe::<Shares>()),
            None,
            "{initial_state:?}"
        );
    }
    for (injected_fault, wanted) in [
        (Defect::StaleClock, ""),
        (Defect::Forgets, "are leaders at the same time"),
        (Defect::Drifts, ""),
        (Defect::Admits, ""),
    ] {
        let scope = Scope {
            initial_state: InitialState::Settled,
            injected_fault,
        };
        let violation = explore_random::<Shares>(&scope, 400, 40, 1).violation;
        let reason = violation
            .unwrap_or_else(|| panic!("{injected_fault:?} is not found"))
            .reason;
        assert!(reason.contains(wanted), "{injected_fault:?}: {reason}");
    }
}
