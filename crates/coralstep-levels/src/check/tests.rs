use super::*;
use crate::terms::{Condition, Signal};

#[test]
fn the_built_in_levels_are_sound() {
    LevelTerms::default().check().unwrap();
}

#[test]
fn what_would_never_work_is_refused_with_its_key() {
    let check = |change: &dyn Fn(&mut LevelTerms)| {
        let mut terms = LevelTerms::default();
        change(&mut terms);
        terms.check().unwrap_err()
    };
    let hold = Condition {
        signal: Signal::Hold,
        enter: 0.5,
        leave: 0.3,
        enter_ms: 1_000,
        leave_ms: 1_000,
    };
    for (change, why) in [
        (
            &(|t: &mut LevelTerms| t.list.clear()) as &dyn Fn(&mut LevelTerms),
            "levels.list: 0 levels",
        ),
        (&|t| t.stay_ms = 0, "levels.stay_ms: 0 is not from 1000"),
        (
            &|t| t.list[1].name = "full".to_owned(),
            "levels.list[1].name: full comes twice",
        ),
        (
            &|t| t.list[1].name = String::new(),
            "levels.list[1].name: \"\" is no name",
        ),
        (
            &|t| t.list[0].when.push(hold),
            "levels.list[0].when: the first level",
        ),
        (
            &|t| t.list[2].when.clear(),
            "levels.list[2].when: no way in",
        ),
        (
            &|t| t.list[1].when[0].leave = 0.9,
            "levels.list[1].when[0].leave: 0.9 would flap",
        ),
        (
            &|t| t.list[1].when[0].leave = 2.0,
            "levels.list[1].when[0].leave: 2 would flap",
        ),
        (
            &|t| t.list[1].when[0].leave = -0.1,
            "levels.list[1].when[0].leave: -0.1 leaves no way back",
        ),
        (
            &|t| t.list[1].when[0].leave = f64::NAN,
            "levels.list[1].when[0].leave: NaN leaves no way back",
        ),
        (
            &|t| t.list[1].when[1].enter = 1.0,
            "levels.list[1].when[1].enter: 1 is never met",
        ),
        (
            &|t| t.list[1].when[1].enter = f64::NAN,
            "levels.list[1].when[1].enter: NaN is never met",
        ),
        (
            &|t| t.list[1].when.push(hold),
            "levels.list[1].when[4].signal: two conditions on hold",
        ),
        (
            &|t| t.list[2].when.push(hold),
            "levels.list[2].when[2].enter: 0.5 overlaps levels.list[1]",
        ),
        (
            &|t| t.list[1].when[0].enter_ms = 0,
            "levels.list[1].when[0].enter_ms: 0 is not",
        ),
        (
            &|t| t.list[1].does.hold = 1.5,
            "levels.list[1].does.hold: 1.5 is not",
        ),
    ] {
        let told = check(change);
        assert!(told.starts_with(why), "{told}");
    }
}
