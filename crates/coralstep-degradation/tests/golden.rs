//! What operators and tools read of degradation levels, and each change of a drawn history, held still by the files under
//! `tests/golden`. `GOLDEN_WRITE=1` writes these anew.
use coralstep::{Signals, Span, Time};
use coralstep_degradation::{
    Condition, DegradationConfig, LevelActions, LevelConfig, LevelStateMachine, Sample, Signal,
    replay,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const OBSERVATION_INTERVAL_MS: u64 = 100;
const HISTORY_MS: u64 = 3_600_000;
/// The figures are drawn anew this often.
const PHASE_MS: u64 = 20_000;

/// `text` has to be what the golden file holds.
fn same_text(name: &str, text: &str) {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, text).unwrap();
    }
    assert_eq!(std::fs::read_to_string(&path).unwrap(), text, "{name}");
}

fn at(ms: u64) -> Time {
    Time(1_000_000) + Span::ms(ms)
}

fn drawn(rng: &mut SmallRng) -> Signals {
    let mut figure = |max: f64| {
        let seen = rng.random_range(0..8) > 0;
        let bad = rng.random_range(0..3) == 0;
        let figure = rng.random_range(0.0..if bad { max } else { max / 10.0 });
        seen.then_some(figure)
    };
    Signals {
        queue_wait: figure(1.5),
        rejected: figure(1.0),
        concurrency: figure(1.2),
        breaker_open: figure(1.0),
        call_slowness: figure(8.0),
        memory: figure(1.0),
        read_delay: figure(10.0),
        warming_up: figure(1.0),
    }
}

/// Guards against a change of level that comes earlier, later or for another cause, and against JSON keys that are renamed
/// with the fields.
#[test]
fn a_drawn_history_stays_the_same() {
    let mut rng = SmallRng::seed_from_u64(17);
    let mut levels = LevelStateMachine::new(&DegradationConfig::default(), at(0)).unwrap();
    let mut signals = Signals::default();
    let mut text = String::new();
    for ms in (0..HISTORY_MS).step_by(OBSERVATION_INTERVAL_MS as usize) {
        if ms % PHASE_MS == 0 {
            signals = drawn(&mut rng);
        }
        if ms == HISTORY_MS / 2 {
            levels
                .set_override(at(ms), "essentials", Span::ms(60_000))
                .unwrap();
            text += &serde_json::to_string(&levels.status(at(ms))).unwrap();
            text.push('\n');
        }
        if let Some(change) = levels.observe(at(ms), &signals) {
            let json = serde_json::to_string(&change).unwrap();
            let retry_after = levels.degradation_level().retry_after.0;
            text += &format!("{ms} {change}\n{json} {retry_after}\n");
        }
    }
    let status = levels.status(at(HISTORY_MS));
    text += &serde_json::to_string_pretty(&status).unwrap();
    same_text("history.txt", &text);
}

/// Guards against records that another release can't replay.
#[test]
fn a_record_keeps_its_keys() {
    let signals = drawn(&mut SmallRng::seed_from_u64(3));
    let line = serde_json::to_string(&Sample::new(1_234, &signals)).unwrap();
    same_text("sample.json", &line);
    let read: Sample = serde_json::from_str(&line).unwrap();
    assert_eq!(read.signals(), signals);
}

/// Guards against settings that are read or written by other keys.
#[test]
fn the_built_in_settings_keep_their_keys() {
    let text = serde_json::to_string_pretty(&DegradationConfig::default()).unwrap();
    same_text("settings.json", &text);
    let read: DegradationConfig = serde_json::from_str(&text).unwrap();
    assert_eq!(read, DegradationConfig::default());
}

/// Guards against messages that operators know changing with the types of errors.
#[test]
fn faults_keep_their_messages() {
    let hold = Condition {
        signal: Signal::QueueWait,
        enter: 0.5,
        leave: 0.3,
        enter_ms: 1_000,
        leave_ms: 1_000,
    };
    let changes: [&dyn Fn(&mut DegradationConfig); 18] = [
        &|t| t.levels.clear(),
        &|t| t.min_stay_ms = 0,
        &|t| t.half_life_ms = 70_000,
        &|t| t.levels[1].name = "full".to_owned(),
        &|t| t.levels[1].name = "two words".to_owned(),
        &|t| t.levels[0].conditions.push(hold),
        &|t| t.levels[2].conditions.clear(),
        &|t| t.levels[1].conditions = vec![hold; 17],
        &|t| t.levels[1].conditions[0].leave = 0.9,
        &|t| t.levels[1].conditions[0].leave = -0.1,
        &|t| t.levels[1].conditions[1].enter = 1.0,
        &|t| t.levels[1].conditions.push(hold),
        &|t| t.levels[2].conditions.push(hold),
        &|t| t.levels[1].conditions[0].enter_ms = 0,
        &|t| t.levels[1].conditions[0].leave_ms = 700_000,
        &|t| t.levels[1].actions.queue_limit_factor = 1.5,
        &|t| t.levels[1].actions.load_report_factor = f64::NAN,
        &|t| t.levels[1].actions.min_priority_weight = -1.0,
    ];
    let mut text = String::new();
    for change in changes {
        let mut config = DegradationConfig::default();
        change(&mut config);
        text += &format!("{}\n", config.validate().unwrap_err());
    }
    let mut levels = LevelStateMachine::new(&DegradationConfig::default(), at(0)).unwrap();
    for (level, span) in [
        ("none", Span::ms(1)),
        ("full", Span::ZERO),
        ("full", Span::ms(90_000_000)),
    ] {
        text += &format!("{}\n", levels.set_override(at(0), level, span).unwrap_err());
    }
    let config = DegradationConfig::default();
    let nothing = replay(&config, &b"nothing\n"[..], |_, _| {});
    let no_text = replay(&config, &b"\xff\n"[..], |_, _| {});
    text += &format!("{}\n{}\n", nothing.unwrap_err(), no_text.unwrap_err());
    same_text("messages.txt", &text);
}

/// Guards against messages of faulty settings changing with the names of types.
#[test]
fn settings_of_a_wrong_type_keep_their_message() {
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
