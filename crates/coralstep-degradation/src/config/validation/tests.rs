use super::*;
use crate::Signal;

type Edit = fn(&mut DegradationConfig);

/// Each edit of the built-in levels has to be refused with a message that begins so.
fn assert_refused(cases: &[(Edit, &str)]) {
    for (edit, message) in cases {
        let mut config = DegradationConfig::default();
        edit(&mut config);
        let error = config.validate().unwrap_err().to_string();
        assert!(error.starts_with(message), "{error} instead of {message}");
    }
}

fn queue_wait() -> Condition {
    Condition {
        signal: Signal::QueueWait,
        enter: 0.5,
        leave: 0.3,
        enter_ms: 1_000,
        leave_ms: 1_000,
    }
}

#[test]
fn the_built_in_levels_are_valid() {
    DegradationConfig::default().validate().unwrap();
}

#[test]
fn unusable_levels_are_refused_by_their_setting() {
    assert_refused(&[
        (|t| t.levels.clear(), "levels.list: 0 levels"),
        (|t| t.min_stay_ms = 0, "levels.stay_ms: 0 is not from 1000"),
        (
            |t| t.levels[1].name = "full".to_owned(),
            "levels.list[1].name: full comes twice",
        ),
        (
            |t| t.levels[1].name = String::new(),
            "levels.list[1].name: \"\" is no name",
        ),
        (
            |t| t.levels[0].conditions.push(queue_wait()),
            "levels.list[0].when: the first level",
        ),
        (
            |t| t.levels[2].conditions.clear(),
            "levels.list[2].when: no way in",
        ),
        (
            |t| t.levels[1].actions.queue_limit_factor = 1.5,
            "levels.list[1].does.hold: 1.5 is not",
        ),
    ]);
}

#[test]
fn thresholds_that_never_work_are_refused_by_their_setting() {
    assert_refused(&[
        (
            |t| t.levels[1].conditions[0].leave = 0.9,
            "levels.list[1].when[0].leave: 0.9 would flap",
        ),
        (
            |t| t.levels[1].conditions[0].leave = 2.0,
            "levels.list[1].when[0].leave: 2 would flap",
        ),
        (
            |t| t.levels[1].conditions[0].leave = -0.1,
            "levels.list[1].when[0].leave: -0.1 leaves no way back",
        ),
        (
            |t| t.levels[1].conditions[0].leave = f64::NAN,
            "levels.list[1].when[0].leave: NaN leaves no way back",
        ),
        (
            |t| t.levels[1].conditions[1].enter = 1.0,
            "levels.list[1].when[1].enter: 1 is never met",
        ),
        (
            |t| t.levels[1].conditions[1].enter = f64::NAN,
            "levels.list[1].when[1].enter: NaN is never met",
        ),
        (
            |t| t.levels[1].conditions[0].enter_ms = 0,
            "levels.list[1].when[0].enter_ms: 0 is not",
        ),
    ]);
}

#[test]
fn conditions_that_overlap_are_refused_by_their_setting() {
    assert_refused(&[
        (
            |t| t.levels[1].conditions.push(queue_wait()),
            "levels.list[1].when[4].signal: two conditions on hold",
        ),
        (
            |t| t.levels[2].conditions.push(queue_wait()),
            "levels.list[2].when[2].enter: 0.5 overlaps levels.list[1]",
        ),
    ]);
}
