use super::super::{exhaust, wander};
use super::*;

#[test]
fn no_short_history_breaks_a_promise_and_each_planted_fault_is_found() {
    let walked = exhaust::<Fleet>(&Scope::default(), 8, 30_000, |_, _| {});
    assert_eq!(walked.fault, None);
    assert!(walked.states > 1_000, "{}", walked.states);
    let long = wander::<Fleet>(&Scope::default(), 200, 60, 1);
    assert_eq!(long.fault, None);
    for cheat in [Cheat::Unchecked, Cheat::CountsLate, Cheat::Sticks] {
        let scope = Scope { cheat };
        let short = exhaust::<Fleet>(&scope, 6, 10_000, |_, _| {});
        let found = short
            .fault
            .or_else(|| wander::<Fleet>(&scope, 2_000, 60, 1).fault);
        let why = found
            .unwrap_or_else(|| panic!("{cheat:?} is not found"))
            .why;
        let wanted = match cheat {
            Cheat::Unchecked => "two contents",
            Cheat::CountsLate => "is counted under",
            _ => "they act on",
        };
        assert!(why.contains(wanted), "{cheat:?}: {why}");
    }
}
