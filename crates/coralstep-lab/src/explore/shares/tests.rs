use super::super::{exhaust, wander};
use super::*;

#[test]
fn no_short_history_breaks_a_limit_and_each_planted_fault_is_found() {
    for prelude in [Prelude::Fresh, Prelude::Settled] {
        let scope = Scope {
            prelude,
            ..Scope::default()
        };
        let walked = exhaust::<Shares>(&scope, 2, 400, |_, _| {});
        assert_eq!(
            walked.fault.map(|fault| fault.told::<Shares>()),
            None,
            "{prelude:?}"
        );
        let long = wander::<Shares>(&scope, 10, 40, 1);
        assert_eq!(
            long.fault.map(|fault| fault.told::<Shares>()),
            None,
            "{prelude:?}"
        );
    }
    for (cheat, wanted) in [
        (Defect::StaleClock, ""),
        (Defect::Forgets, "are leaders at the same time"),
        (Defect::Drifts, ""),
        (Defect::Admits, ""),
    ] {
        let scope = Scope {
            prelude: Prelude::Settled,
            cheat,
        };
        let fault = wander::<Shares>(&scope, 400, 40, 1).fault;
        let why = fault
            .unwrap_or_else(|| panic!("{cheat:?} is not found"))
            .why;
        assert!(why.contains(wanted), "{cheat:?}: {why}");
    }
}
