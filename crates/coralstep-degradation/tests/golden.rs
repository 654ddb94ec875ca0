//! What operators and tools read of degradation levels, and each change of a drawn history, held still by the files under
//! `tests/golden`. `GOLDEN_WRITE=1` writes these anew.
use coralstep::{Signals, Span, Time};
use coralstep_degradation::{Condition, LevelTerms, Levels, Sample, Signal, replay};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const TICK_MS: u64 = 100;
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
    let mut levels = Levels::new(&LevelTerms::default(), at(0)).unwrap();
    let mut signals = Signals::default();
    let mut text = String::new();
    for ms in (0..HISTORY_MS).step_by(TICK_MS as usize) {
        if ms % PHASE_MS == 0 {
            signals = drawn(&mut rng);
        }
        if ms == HISTORY_MS / 2 {
            levels.hold(at(ms), "essentials", Span::ms(60_000)).unwrap();
            text += &serde_json::to_string(&levels.view(at(ms))).unwrap();
            text.push('\n');
        }
        if let Some(change) = levels.observe(at(ms), &signals) {
            let json = serde_json::to_string(&change).unwrap();
            let retry_after = levels.effect().retry_after.0;
            text += &format!("{ms} {change}\n{json} {retry_after}\n");
        }
    }
    let view = levels.view(at(HISTORY_MS));
    text += &serde_json::to_string_pretty(&view).unwrap();
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
    let text = serde_json::to_string_pretty(&LevelTerms::default()).unwrap();
    same_text("settings.json", &text);
    let read: LevelTerms = serde_json::from_str(&text).unwrap();
    assert_eq!(read, LevelTerms::default());
}

/// Guards against messages that operators know changing with the types of errors.
#[test]
fn faults_keep_their_messages() {
    let hold = Condition {
        signal: Signal::Hold,
        enter: 0.5,
        leave: 0.3,
        enter_ms: 1_000,
        leave_ms: 1_000,
    };
    let changes: [&dyn Fn(&mut LevelTerms); 18] = [
        &|t| t.list.clear(),
        &|t| t.stay_ms = 0,
        &|t| t.smooth_ms = 70_000,
        &|t| t.list[1].name = "full".to_owned(),
        &|t| t.list[1].name = "two words".to_owned(),
        &|t| t.list[0].when.push(hold),
        &|t| t.list[2].when.clear(),
        &|t| t.list[1].when = vec![hold; 17],
        &|t| t.list[1].when[0].leave = 0.9,
        &|t| t.list[1].when[0].leave = -0.1,
        &|t| t.list[1].when[1].enter = 1.0,
        &|t| t.list[1].when.push(hold),
        &|t| t.list[2].when.push(hold),
        &|t| t.list[1].when[0].enter_ms = 0,
        &|t| t.list[1].when[0].leave_ms = 700_000,
        &|t| t.list[1].does.hold = 1.5,
        &|t| t.list[1].does.value = f64::NAN,
        &|t| t.list[1].does.least_criticality = -1.0,
    ];
    let mut text = String::new();
    for change in changes {
        let mut terms = LevelTerms::default();
        change(&mut terms);
        text += &format!("{}\n", terms.check().unwrap_err());
    }
    let mut levels = Levels::new(&LevelTerms::default(), at(0)).unwrap();
    for (level, span) in [
        ("none", Span::ms(1)),
        ("full", Span::ZERO),
        ("full", Span::ms(90_000_000)),
    ] {
        text += &format!("{}\n", levels.hold(at(0), level, span).unwrap_err());
    }
    let terms = LevelTerms::default();
    let nothing = replay(&terms, &b"nothing\n"[..], |_, _| {});
    let no_text = replay(&terms, &b"\xff\n"[..], |_, _| {});
    text += &format!("{}\n{}\n", nothing.unwrap_err(), no_text.unwrap_err());
    same_text("messages.txt", &text);
}
