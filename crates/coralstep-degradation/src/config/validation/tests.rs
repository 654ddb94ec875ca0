use super::*;
use crate::Signal;

type Edit = fn(&mut DegradationConfig);

/// Asserts that each edit of the built-in levels is rejected with a message that starts with the given text.
fn assert_rejected(cases: &[(Edit, &str)]) {
    for (edit, message) in cases {
        let mut config = DegradationConfig::default();
        edit(&mut config);
        let error = config.validate().unwrap_err().to_string();
        assert!(
            error.starts_with(message),
            "expected {message:?}, got {error:?}"
        );
    }
}

fn queue_wait_condition() -> Condition {
    Condition {
        signal: Signal::QueueWait,
        enter: 0.5,
        leave: 0.3,
        enter_ms: 1_000,
        leave_ms: 1_000,
    }
}

#[test]
fn accepts_built_in_levels() {
    DegradationConfig::default().validate().unwrap();
}

#[test]
fn rejects_unusable_levels_with_setting_path() {
    assert_rejected(&[
        (|config| config.levels.clear(), "levels.list: 0 levels"),
        (
            |config| config.min_stay_ms = 0,
            "levels.stay_ms: 0 is not from 1000",
        ),
        (
            |config| config.levels[1].name = "full".to_owned(),
            "levels.list[1].name: full comes twice",
        ),
        (
            |config| config.levels[1].name = String::new(),
            "levels.list[1].name: \"\" is no name",
        ),
        (
            |config| config.levels[0].conditions.push(queue_wait_condition()),
            "levels.list[0].when: the first level",
        ),
        (
            |config| config.levels[2].conditions.clear(),
            "levels.list[2].when: no way in",
        ),
        (
            |config| config.levels[1].actions.queue_limit_factor = 1.5,
            "levels.list[1].does.hold: 1.5 is not",
        ),
    ]);
}

#[test]
fn rejects_ineffective_thresholds_with_setting_path() {
    assert_rejected(&[
        (
            |config| config.levels[1].conditions[0].leave = 0.9,
            "levels.list[1].when[0].leave: 0.9 would flap",
        ),
        (
            |config| config.levels[1].conditions[0].leave = 2.0,
            "levels.list[1].when[0].leave: 2 would flap",
        ),
        (
            |config| config.levels[1].conditions[0].leave = -0.1,
            "levels.list[1].when[0].leave: -0.1 leaves no way back",
        ),
        (
            |config| config.levels[1].conditions[0].leave = f64::NAN,
            "levels.list[1].when[0].leave: NaN leaves no way back",
        ),
        (
            |config| config.levels[1].conditions[1].enter = 1.0,
            "levels.list[1].when[1].enter: 1 is never met",
        ),
        (
            |config| config.levels[1].conditions[1].enter = f64::NAN,
            "levels.list[1].when[1].enter: NaN is never met",
        ),
        (
            |config| config.levels[1].conditions[0].enter_ms = 0,
            "levels.list[1].when[0].enter_ms: 0 is not",
        ),
    ]);
}

#[test]
fn rejects_overlapping_conditions_with_setting_path() {
    assert_rejected(&[
        (
            |config| config.levels[1].conditions.push(queue_wait_condition()),
            "levels.list[1].when[4].signal: two conditions on hold",
        ),
        (
            |config| config.levels[2].conditions.push(queue_wait_condition()),
            "levels.list[2].when[2].enter: 0.5 overlaps levels.list[1]",
        ),
    ]);
}
