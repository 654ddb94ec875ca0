use super::super::{exhaust, wander};
use super::*;

#[test]
fn no_straggler_admits_later_than_its_bound_and_each_planted_fault_is_found() {
    for silent_shuts in [false, true] {
        let scope = Scope {
            silent_shuts,
            ..Scope::default()
        };
        let walked = exhaust::<Lag>(&scope, 6, 40_000, |_, _| {});
        assert_eq!(walked.fault.map(|fault| fault.told::<Lag>()), None);
        assert!(walked.states > 5_000, "{}", walked.states);
        let long = wander::<Lag>(&scope, 500, 60, 1);
        assert_eq!(long.fault.map(|fault| fault.told::<Lag>()), None);
    }
    for (cheat, wanted) in [
        (Cheat::Sleeps, "before any answer"),
        (Cheat::OldWords, "before any answer"),
        (Cheat::Patient, "behind for longer"),
        (Cheat::Stubborn, "though it turned down"),
        (Cheat::Deaf, "stays shut out"),
    ] {
        let scope = Scope {
            cheat,
            ..Scope::default()
        };
        let fault = exhaust::<Lag>(&scope, 5, 20_000, |_, _| {}).fault;
        let why = fault
            .unwrap_or_else(|| panic!("{cheat:?} is not found"))
            .why;
        assert!(why.contains(wanted), "{cheat:?}: {why}");
    }
}
