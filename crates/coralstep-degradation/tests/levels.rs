//! Degradation levels in virtual time: load that hovers at each boundary, causes that come and go, and figures that are
//! missing or nonsense.
use coralstep::{Signals, Span, Time};
use coralstep_degradation::{
    DegradationConfig, LevelChange, LevelStateMachine, Sample, Signal, replay,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const OBSERVATION_INTERVAL_MS: u64 = 100;

fn at(ms: u64) -> Time {
    Time(1_000_000) + Span::ms(ms)
}

fn levels() -> LevelStateMachine {
    LevelStateMachine::new(&DegradationConfig::default(), at(0)).unwrap()
}

/// Only one signal, at `figure`; the others are as on a calm day.
fn only(signal: Signal, figure: f64) -> Signals {
    let mut signals = calm();
    let place = match signal {
        Signal::QueueWait => &mut signals.queue_wait,
        Signal::Rejected => &mut signals.rejected,
        Signal::Concurrency => &mut signals.concurrency,
        Signal::BreakerOpen => &mut signals.breaker_open,
        Signal::CallSlowness => &mut signals.call_slowness,
        Signal::Memory => &mut signals.memory,
        Signal::ReadDelay => &mut signals.read_delay,
        Signal::WarmingUp => &mut signals.warming_up,
    };
    *place = Some(figure);
    signals
}

fn calm() -> Signals {
    Signals {
        queue_wait: Some(0.1),
        rejected: Some(0.0),
        concurrency: Some(0.6),
        breaker_open: Some(0.0),
        call_slowness: Some(1.1),
        memory: Some(0.3),
        read_delay: Some(0.05),
        warming_up: Some(0.0),
    }
}

/// Lets `figures` come for so long, from `from` on; the changes.
fn play(
    levels: &mut LevelStateMachine,
    from: u64,
    ms: u64,
    mut figures: impl FnMut(u64) -> Signals,
) -> Vec<(u64, LevelChange)> {
    let ticks = (from..from + ms).step_by(OBSERVATION_INTERVAL_MS as usize);
    ticks
        .filter_map(|ms| Some((ms, levels.observe(at(ms), &figures(ms))?)))
        .collect()
}

/// Every threshold of the built-in levels, for entering and leaving.
fn boundaries() -> Vec<(Signal, f64)> {
    let config = DegradationConfig::default();
    let all = config.levels.iter().flat_map(|level| &level.conditions);
    all.flat_map(|condition| {
        [
            (condition.signal, condition.enter),
            (condition.signal, condition.leave),
        ]
    })
    .collect()
}

/// The longest that a worse level may last once nothing speaks for it: each step takes its least stay.
fn back_ms(config: &DegradationConfig) -> u64 {
    (config.levels.len() as u64 - 1) * u64::from(config.min_stay_ms) + 40_000
}

#[test]
fn load_that_swings_round_each_boundary_for_ten_minutes_changes_the_level_once_in_30_s_at_the_most()
{
    let boundaries = boundaries();
    let mut changes = 0;
    for seed in 0..1_000u64 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (signal, boundary) = boundaries[seed as usize % boundaries.len()];
        let period = [700.0, 3_000.0, 9_000.0, 31_000.0, 67_000.0][rng.random_range(0..5)];
        let (swing, noise) = (
            boundary * rng.random_range(0.0..0.6),
            boundary * rng.random_range(0.0..0.4),
        );
        let shape = rng.random_range(0..4);
        let mut levels = levels();
        let played = play(&mut levels, 0, 600_000, |ms| {
            let phase = ms as f64 / period * std::f64::consts::TAU;
            let wave = match shape {
                0 => phase.sin(),
                1 => phase.sin().signum(),
                2 => (phase / std::f64::consts::TAU).fract() * 2.0 - 1.0,
                // Mostly over, with short breaks.
                _ => {
                    if phase.sin() > -0.9 {
                        1.0
                    } else {
                        -1.0
                    }
                }
            };
            only(
                signal,
                (boundary + wave * swing + rng.random_range(-1.0..1.0) * noise).max(0.0),
            )
        });
        for pair in played.windows(2) {
            assert!(pair[1].0 - pair[0].0 >= 30_000, "seed {seed}: {pair:?}");
        }
        changes += played.len();
        // Once the cause is gone, full service is back within the stated time.
        play(
            &mut levels,
            600_000,
            back_ms(&DegradationConfig::default()),
            |_| calm(),
        );
        assert_eq!(levels.level_name(), "full", "seed {seed}");
    }
    // It was no test of levels that never move.
    assert!(changes > 1_000, "{changes}");
}

#[test]
fn each_level_is_entered_and_left_by_its_own_cause() {
    for (signal, figure, level) in [
        (Signal::QueueWait, 1.2, "no-extras"),
        (Signal::CallSlowness, 6.0, "no-extras"),
        (Signal::BreakerOpen, 1.0, "no-extras"),
        (Signal::Rejected, 0.3, "no-extras"),
        (Signal::Rejected, 0.65, "essentials"),
        (Signal::ReadDelay, 2.0, "essentials"),
        (Signal::Rejected, 0.95, "effects-only"),
        (Signal::Memory, 0.92, "effects-only"),
        (Signal::Memory, 0.99, "closed"),
        (Signal::ReadDelay, 15.0, "closed"),
    ] {
        let mut levels = levels();
        let entered = play(&mut levels, 0, 60_000, |_| only(signal, figure));
        let last = entered
            .last()
            .unwrap_or_else(|| panic!("{signal:?} {figure}"));
        assert_eq!(
            (last.1.to.as_str(), last.1.causes[0].signal),
            (level, signal)
        );
        // Soon after its cause: the condition's own time and the smoothing, or the least stay of a level on the way.
        assert!(last.0 < 42_000, "{signal:?} {figure}: {}", last.0);
        let left = play(&mut levels, 60_000, 200_000, |_| calm());
        let names: Vec<&str> = left.iter().map(|(_, change)| change.to.as_str()).collect();
        // One step at a time.
        let all = ["effects-only", "essentials", "no-extras", "full"];
        let from = all
            .iter()
            .position(|name| *name == level)
            .map_or(0, |at| at + 1);
        assert_eq!(names, all[from..], "{signal:?}");
    }
}

#[test]
fn a_pause_a_batch_and_lost_seconds_prove_nothing() {
    let mut levels = levels();
    play(&mut levels, 0, 20_000, |_| calm());
    // Two seconds of a batch; then a pause of ten minutes after which one bad figure comes.
    assert!(play(&mut levels, 20_000, 2_000, |_| only(Signal::QueueWait, 1.2)).is_empty());
    assert!(play(&mut levels, 22_000, 10_000, |_| calm()).is_empty());
    assert_eq!(
        levels.observe(at(632_000), &only(Signal::QueueWait, 4.0)),
        None
    );
    assert!(play(&mut levels, 632_100, 20_000, |_| calm()).is_empty());
    // A clock that jumps back, too.
    assert!(play(&mut levels, 10, 20_000, |_| calm()).is_empty());
}

#[test]
fn the_first_few_figures_of_a_fresh_server_change_nothing() {
    let mut levels = levels();
    assert!(play(&mut levels, 0, 2_900, |_| only(Signal::Memory, 1.0)).is_empty());
    assert_eq!(levels.level_name(), "full");
}

#[test]
fn of_two_causes_the_one_that_stays_keeps_its_level() {
    let mut levels = levels();
    let both = Signals {
        call_slowness: Some(8.0),
        ..only(Signal::Rejected, 0.7)
    };
    let entered = play(&mut levels, 0, 40_000, |_| both);
    assert_eq!(entered.last().unwrap().1.to, "essentials");
    let left = play(&mut levels, 40_000, 300_000, |_| {
        only(Signal::CallSlowness, 8.0)
    });
    assert_eq!(
        left.iter()
            .map(|(_, change)| change.to.as_str())
            .collect::<Vec<_>>(),
        ["no-extras"]
    );
    // A slow store with idle cores is told from a crowd by what stands in the event.
    let mut alone = self::levels();
    let slow = play(&mut alone, 0, 10_000, |_| only(Signal::CallSlowness, 8.0));
    assert_eq!(
        slow[0]
            .1
            .causes
            .iter()
            .map(|cause| cause.signal)
            .collect::<Vec<_>>(),
        [Signal::CallSlowness]
    );
}

#[test]
fn missing_figures_are_no_cause_and_neither_is_nonsense() {
    let mut levels = levels();
    assert!(play(&mut levels, 0, 60_000, |_| Signals::default()).is_empty());
    let nonsense = Signals {
        queue_wait: Some(f64::NAN),
        memory: Some(f64::INFINITY),
        read_delay: Some(-3.0),
        ..Signals::default()
    };
    assert!(play(&mut levels, 60_000, 60_000, |_| nonsense).is_empty());
    // What is no longer seen speaks for no level any more.
    play(&mut levels, 120_000, 40_000, |_| {
        only(Signal::CallSlowness, 9.0)
    });
    assert_eq!(levels.level_name(), "no-extras");
    play(&mut levels, 160_000, 90_000, |_| Signals::default());
    assert_eq!(levels.level_name(), "full");
}

#[test]
fn a_level_set_by_hand_holds_in_overload_and_expires() {
    let mut levels = levels();
    play(&mut levels, 0, 10_000, |_| calm());
    assert!(
        levels
            .set_override(at(10_000), "nothing", Span::ms(1))
            .is_err()
    );
    assert!(levels.set_override(at(10_000), "full", Span::ZERO).is_err());
    levels
        .set_override(at(10_000), "full", Span::ms(120_000))
        .unwrap();
    let worst = only(Signal::Memory, 1.0);
    assert!(play(&mut levels, 10_000, 119_900, |_| worst).is_empty());
    assert!(levels.status(at(100_000)).override_left_ms.is_some());
    // With its end the evidence decides, at once.
    let after = play(&mut levels, 129_900, 2_000, |_| worst);
    assert_eq!(after[0].1.to, "closed");
    levels
        .set_override(at(140_000), "essentials", Span::ms(60_000))
        .unwrap();
    let held = play(&mut levels, 140_000, 1_000, |_| calm());
    assert!(held[0].1.is_manual && held[0].1.to == "essentials");
    assert!(levels.clear_override() && !levels.clear_override());
}

#[test]
fn a_reload_keeps_the_level_of_the_same_name() {
    let mut levels = levels();
    play(&mut levels, 0, 40_000, |_| only(Signal::CallSlowness, 9.0));
    let mut config = DegradationConfig::default();
    config.levels.remove(2);
    assert_eq!(levels.reload(&config, at(40_000)), Ok(None));
    assert_eq!(levels.level_name(), "no-extras");
    config.levels[1].name = "lean".to_owned();
    let change = levels.reload(&config, at(41_000)).unwrap().unwrap();
    assert_eq!(
        (change.from.as_str(), change.to.as_str(), change.is_manual),
        ("no-extras", "full", true)
    );
    config.levels[1].conditions.clear();
    assert!(levels.reload(&config, at(42_000)).is_err());
    assert_eq!(levels.level_name(), "full");
}

#[test]
fn the_status_tells_what_would_change_the_level_and_how_far_that_is() {
    let mut levels = levels();
    play(&mut levels, 0, 40_000, |_| only(Signal::CallSlowness, 9.0));
    let status = levels.status(at(40_000));
    assert_eq!(
        (status.level.as_str(), status.causes[0].signal),
        ("no-extras", Signal::CallSlowness)
    );
    assert!(status.actions.skip_calls && status.since_ms > 30_000);
    let slow = status
        .conditions
        .iter()
        .find(|condition| condition.signal == Signal::CallSlowness)
        .unwrap();
    assert!(slow.met_ms > 30_000 && slow.cleared_ms == 0 && slow.value.unwrap() > slow.enter);
    assert!(levels.degradation_level().retry_after <= Span::ms(30_000));
    serde_json::to_string(&status).unwrap();
}

#[test]
fn a_record_replayed_says_what_the_server_would_have_done() {
    let figure = |ms: u64| {
        if (20_000..90_000).contains(&ms) {
            only(Signal::QueueWait, 1.5)
        } else {
            calm()
        }
    };
    let mut lines = String::from("a line that is something else\n{\"other\": 1}\n");
    for ms in (0..200_000).step_by(1_000) {
        let sample = serde_json::to_string(&Sample::new(ms, &figure(ms))).unwrap();
        // As the log writes it, among other things.
        lines += &sample.replacen('{', "{\"target\":\"signals\",\"level\":\"INFO\",", 1);
        lines.push('\n');
    }
    let mut changes = Vec::new();
    let count = replay(
        &DegradationConfig::default(),
        lines.as_bytes(),
        |ms, change| changes.push((ms, change.to)),
    )
    .unwrap();
    assert_eq!(count, 200);
    assert_eq!(
        changes
            .iter()
            .map(|(_, to)| to.as_str())
            .collect::<Vec<_>>(),
        ["no-extras", "full"]
    );
    assert!((23_000..30_000).contains(&changes[0].0), "{changes:?}");
    // A boundary moved: it would not have happened.
    let mut config = DegradationConfig::default();
    config.levels[1].conditions[0].enter = 2.0;
    config.levels[1].conditions[0].leave = 1.6;
    let mut none = 0;
    replay(&config, lines.as_bytes(), |_, _| none += 1).unwrap();
    assert_eq!(none, 0);
    assert!(replay(&config, &b"nothing\n"[..], |_, _| {}).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// From any history, with calm figures for the stated time, service is full again; and no two changes but those by hand come
    /// within 30 s of each other.
    #[test]
    fn whatever_happened_calm_brings_full_service_back(
        steps in prop::collection::vec((0usize..8, 0.0f64..12.0, 1u64..40_000, 0u8..12), 1..30),
    ) {
        let mut levels = levels();
        let (mut now, mut last): (u64, Option<u64>) = (0, None);
        for (signal, figure, ms, what) in steps {
            match what {
                0 => drop(levels.set_override(at(now), "essentials", Span::ms(ms))),
                1 => drop(levels.clear_override()),
                // Nothing is seen at all.
                2 => now += ms,
                _ => {
                    for (when, change) in play(&mut levels, now, ms, |_| only(Signal::ALL[signal], figure)) {
                        prop_assert!(change.is_manual || last.is_none_or(|last| when - last >= 30_000), "{} {:?}", when, change);
                        last = Some(when);
                    }
                    now += ms;
                }
            }
        }
        levels.clear_override();
        play(&mut levels, now, back_ms(&DegradationConfig::default()), |_| calm());
        prop_assert_eq!(levels.level_name(), "full");
    }
}
