use super::*;
use crate::explore::{explore_exhaustively, explore_random};

#[test]
fn short_and_long_histories_hold_invariants() {
    for scope in [Scope::Fresh, Scope::BreakersOpen] {
        let exploration = explore_exhaustively::<Pool>(&scope, 6, 50_000, |_, _| {});
        assert_eq!(
            exploration
                .violation
                .map(|violation| violation.describe::<Pool>()),
            None,
            "{scope:?}"
        );
        assert!(
            exploration.states > 1_000 && !exploration.truncated,
            "{scope:?} {}",
            exploration.states
        );
        let long = explore_random::<Pool>(&scope, 200, 60, 1);
        assert_eq!(
            long.violation.map(|violation| violation.describe::<Pool>()),
            None,
            "{scope:?}"
        );
    }
}
