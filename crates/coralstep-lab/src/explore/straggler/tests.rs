use super::super::{explore_exhaustively, explore_random};
use super::*;

#[test]
fn lagging_member_is_excluded_within_limit_and_each_injected_fault_is_found() {
    for exclude_when_isolated in [false, true] {
        let scope = Scope {
            exclude_when_isolated,
            ..Scope::default()
        };
        let exploration = explore_exhaustively::<LaggingMember>(&scope, 6, 40_000, |_, _| {});
        assert_eq!(
            exploration
                .violation
                .map(|violation| violation.describe::<LaggingMember>()),
            None
        );
        assert!(exploration.states > 5_000, "{}", exploration.states);
        let long = explore_random::<LaggingMember>(&scope, 500, 60, 1);
        assert_eq!(
            long.violation
                .map(|violation| violation.describe::<LaggingMember>()),
            None
        );
    }
    for (injected_fault, wanted) in [
        (InjectedFault::MissesPause, "before any answer"),
        (InjectedFault::AcceptsStaleAnswers, "before any answer"),
        (InjectedFault::NeverLags, "lags for longer"),
        (
            InjectedFault::IgnoresRejectedVersion,
            "although it rejected",
        ),
        (InjectedFault::StaysExcluded, "stays excluded"),
    ] {
        let scope = Scope {
            injected_fault,
            ..Scope::default()
        };
        let violation =
            explore_exhaustively::<LaggingMember>(&scope, 5, 20_000, |_, _| {}).violation;
        let reason = violation
            .unwrap_or_else(|| panic!("{injected_fault:?} is not found"))
            .reason;
        assert!(reason.contains(wanted), "{injected_fault:?}: {reason}");
    }
}
