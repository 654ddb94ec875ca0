use super::*;
use crate::explore::{exhaust, wander};

#[test]
fn small_scopes_hold() {
    for scope in [Scope::Fresh, Scope::Shut] {
        let walked = exhaust::<Pool>(&scope, 6, 50_000, |_, _| {});
        assert_eq!(
            walked.fault.map(|fault| fault.told::<Pool>()),
            None,
            "{scope:?}"
        );
        assert!(
            walked.states > 1_000 && !walked.cut,
            "{scope:?} {}",
            walked.states
        );
        let long = wander::<Pool>(&scope, 200, 60, 1);
        assert_eq!(
            long.fault.map(|fault| fault.told::<Pool>()),
            None,
            "{scope:?}"
        );
    }
}
