//! Compares the output that operators and tools read, and the changes of level in a random history, with the files
//! under `tests/golden`. `GOLDEN_WRITE=1` regenerates the files.
use coralstep::{Signals, Span, Time};
use coralstep_degradation::{
    Condition, DegradationConfig, LevelActions, LevelConfig, LevelStateMachine, Sample, Signal,
    replay,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const OBSERVATION_INTERVAL_MS: u64 = 100;
const HISTORY_MS: u64 = 3_600_000;
/// Interval at which new random signals are drawn.
const REDRAW_INTERVAL_MS: u64 = 20_000;

/// Asserts that `text` equals the content of the golden file.
fn assert_matches_golden(name: &str, text: &str) {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, text).unwrap();
    }
    assert_eq!(std::fs::read_to_string(&path).unwrap(), text, "{name}");
}

fn time_at(ms: u64) -> Time {
    Time(1_000_000) + Span::ms(ms)
}

fn random_signals(rng: &mut SmallRng) -> Signals {
    let mut random_value = |max: f64| {
        let is_observed = rng.random_range(0..8) > 0;
        let is_high = rng.random_range(0..3) == 0;
        let value = rng.random_range(0.0..if is_high { max } else { max / 10.0 });
        is_observed.then_some(value)
    };
    Signals {
        queue_wait: random_value(1.5),
        rejected: random_value(1.0),
        concurrency: random_value(1.2),
        breaker_open: random_value(1.0),
        call_slowness: random_value(8.0),
        memory: random_value(1.0),
        read_delay: random_value(10.0),
        warming_up: random_value(1.0),
    }
}

/// Guards against changes of level at another time or with other causes, and against renamed JSON keys.
#[test]
fn level_changes_of_random_history_match_golden_file() {
    let mut rng = SmallRng::seed_from_u64(17);
    let mut levels = LevelStateMachine::new(&DegradationConfig::default(), time_at(0)).unwrap();
    let mut signals = Signals::default();
    let mut text = String::new();
    for ms in (0..HISTORY_MS).step_by(OBSERVATION_INTERVAL_MS as usize) {
        if ms % REDRAW_INTERVAL_MS == 0 {
            signals = random_signals(&mut rng);
        }
        if ms == HISTORY_MS / 2 {
            levels
                .set_override(time_at(ms), "essentials", Span::ms(60_000))
                .unwrap();
            text += &serde_json::to_string(&levels.status(time_at(ms))).unwrap();
            text.push('\n');
        }
        if let Some(change) = levels.observe(time_at(ms), &signals) {
            let json = serde_json::to_string(&change).unwrap();
            let retry_after = levels.degradation_level().retry_after.0;
            text += &format!("{ms} {change}\n{json} {retry_after}\n");
        }
    }
    let status = levels.status(time_at(HISTORY_MS));
    text += &serde_json::to_string_pretty(&status).unwrap();
    assert_matches_golden("history.txt", &text);
}

/// Guards against recordings that another release can't replay.
#[test]
fn sample_keeps_json_keys() {
    let signals = random_signals(&mut SmallRng::seed_from_u64(3));
    let line = serde_json::to_string(&Sample::new(1_234, &signals)).unwrap();
    assert_matches_golden("sample.json", &line);
    let read: Sample = serde_json::from_str(&line).unwrap();
    assert_eq!(read.signals(), signals);
}

/// Guards against renamed keys of the configuration.
#[test]
fn built_in_config_keeps_json_keys() {
    let text = serde_json::to_string_pretty(&DegradationConfig::default()).unwrap();
    assert_matches_golden("settings.json", &text);
    let read: DegradationConfig = serde_json::from_str(&text).unwrap();
    assert_eq!(read, DegradationConfig::default());
}

/// Guards against changed messages of errors that operators know.
#[test]
fn errors_keep_their_messages() {
    let queue_wait = Condition {
        signal: Signal::QueueWait,
        enter: 0.5,
        leave: 0.3,
        enter_ms: 1_000,
        leave_ms: 1_000,
    };
    let edits: [&dyn Fn(&mut DegradationConfig); 18] = [
        &|config| config.levels.clear(),
        &|config| config.min_stay_ms = 0,
        &|config| config.half_life_ms = 70_000,
        &|config| config.levels[1].name = "full".to_owned(),
        &|config| config.levels[1].name = "two words".to_owned(),
        &|config| config.levels[0].conditions.push(queue_wait),
        &|config| config.levels[2].conditions.clear(),
        &|config| config.levels[1].conditions = vec![queue_wait; 17],
        &|config| config.levels[1].conditions[0].leave = 0.9,
        &|config| config.levels[1].conditions[0].leave = -0.1,
        &|config| config.levels[1].conditions[1].enter = 1.0,
        &|config| config.levels[1].conditions.push(queue_wait),
        &|config| config.levels[2].conditions.push(queue_wait),
        &|config| config.levels[1].conditions[0].enter_ms = 0,
        &|config| config.levels[1].conditions[0].leave_ms = 700_000,
        &|config| config.levels[1].actions.queue_limit_factor = 1.5,
        &|config| config.levels[1].actions.load_report_factor = f64::NAN,
        &|config| config.levels[1].actions.min_priority_weight = -1.0,
    ];
    let mut text = String::new();
    for edit in edits {
        let mut config = DegradationConfig::default();
        edit(&mut config);
        text += &format!("{}\n", config.validate().unwrap_err());
    }
    let mut levels = LevelStateMachine::new(&DegradationConfig::default(), time_at(0)).unwrap();
    for (level, span) in [
        ("none", Span::ms(1)),
        ("full", Span::ZERO),
        ("full", Span::ms(90_000_000)),
    ] {
        let error = levels.set_override(time_at(0), level, span).unwrap_err();
        text += &format!("{error}\n");
    }
    let config = DegradationConfig::default();
    let no_sample = replay(&config, &b"nothing\n"[..], |_, _| {});
    let not_utf8 = replay(&config, &b"\xff\n"[..], |_, _| {});
    text += &format!("{}\n{}\n", no_sample.unwrap_err(), not_utf8.unwrap_err());
    assert_matches_golden("messages.txt", &text);
}

/// Guards against changed error messages of the configuration when a type is renamed.
#[test]
fn config_of_wrong_type_keeps_error_message() {
    let errors = [
        serde_json::from_str::<DegradationConfig>("3").unwrap_err(),
        serde_json::from_str::<LevelConfig>("3").unwrap_err(),
        serde_json::from_str::<LevelActions>("3").unwrap_err(),
        serde_json::from_str::<Condition>("3").unwrap_err(),
    ];
    let names = ["LevelTerms", "OneLevel", "Does", "Condition"];
    for (error, name) in errors.iter().zip(names) {
        assert_eq!(
            error.to_string(),
            format!("invalid type: integer `3`, expected struct {name} at line 1 column 1")
        );
    }
}
