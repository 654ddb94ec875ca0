use super::*;
use crate::explore::{exhaust, wander};

fn scope(prelude: Prelude, cheat: Cheat) -> Scope {
    Scope {
        prelude,
        prompt: prelude == Prelude::Hung,
        cheat,
    }
}

#[test]
fn small_scopes_of_every_prelude_hold() {
    for (name, prelude) in PRELUDES {
        let walked = exhaust::<Module>(&scope(prelude, Cheat::None), 3, 20_000, |_, _| {});
        assert_eq!(
            walked.fault.map(|fault| fault.told::<Module>()),
            None,
            "{name}"
        );
        assert!(
            walked.states > 100 && !walked.cut,
            "{name} {}",
            walked.states
        );
    }
}

#[test]
fn long_histories_hold() {
    for (name, prelude) in PRELUDES {
        let walked = wander::<Module>(&scope(prelude, Cheat::None), 40, 30, 1);
        assert_eq!(
            walked.fault.map(|fault| fault.told::<Module>()),
            None,
            "{name}"
        );
    }
}

#[test]
fn places_that_are_never_given_back_and_calls_past_an_open_breaker_are_found() {
    let lost = exhaust::<Module>(&scope(Prelude::Fresh, Cheat::NoEnds), 2, 20_000, |_, _| {})
        .fault
        .unwrap();
    assert!(lost.why.contains("does not come free"), "{lost:?}");
    let calls = exhaust::<Module>(
        &scope(Prelude::Hung, Cheat::CallsOpen),
        4,
        20_000,
        |_, _| {},
    )
    .fault
    .unwrap();
    assert!(calls.why.contains("while the breaker is open"), "{calls:?}");
}
