//! Degradation levels in virtual time: load that oscillates around each threshold, causes that appear and disappear,
//! and missing or invalid signals.
use coralstep::{Signals, Span, Time};
use coralstep_degradation::{
    DegradationConfig, LevelChange, LevelStateMachine, Sample, Signal, replay,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const OBSERVATION_INTERVAL_MS: u64 = 100;

fn time_at(ms: u64) -> Time {
    Time(1_000_000) + Span::ms(ms)
}

fn new_levels() -> LevelStateMachine {
    LevelStateMachine::new(&DegradationConfig::default(), time_at(0)).unwrap()
}

/// Returns normal signals except for `signal`, which has the given value.
fn signals_with(signal: Signal, value: f64) -> Signals {
    let mut signals = normal_signals();
    let field = match signal {
        Signal::QueueWait => &mut signals.queue_wait,
        Signal::Rejected => &mut signals.rejected,
        Signal::Concurrency => &mut signals.concurrency,
        Signal::BreakerOpen => &mut signals.breaker_open,
        Signal::CallSlowness => &mut signals.call_slowness,
        Signal::Memory => &mut signals.memory,
        Signal::ReadDelay => &mut signals.read_delay,
        Signal::WarmingUp => &mut signals.warming_up,
    };
    *field = Some(value);
    signals
}

fn normal_signals() -> Signals {
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

/// Feeds the signals of `ms` milliseconds, beginning at `from`, and returns the changes of level with their times.
fn observe_for(
    levels: &mut LevelStateMachine,
    from: u64,
    ms: u64,
    mut signals_at: impl FnMut(u64) -> Signals,
) -> Vec<(u64, LevelChange)> {
    let times = (from..from + ms).step_by(OBSERVATION_INTERVAL_MS as usize);
    times
        .filter_map(|ms| Some((ms, levels.observe(time_at(ms), &signals_at(ms))?)))
        .collect()
}

/// Returns all thresholds of the built-in levels, for entering and leaving.
fn thresholds() -> Vec<(Signal, f64)> {
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

/// Returns the maximum time until full service returns once all causes have ended: each step takes the minimum stay.
fn max_recovery_ms(config: &DegradationConfig) -> u64 {
    (config.levels.len() as u64 - 1) * u64::from(config.min_stay_ms) + 40_000
}

#[test]
fn level_changes_at_most_every_30_s_while_load_oscillates_around_threshold() {
    let thresholds = thresholds();
    let mut change_count = 0;
    for seed in 0..1_000u64 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (signal, threshold) = thresholds[seed as usize % thresholds.len()];
        let period = [700.0, 3_000.0, 9_000.0, 31_000.0, 67_000.0][rng.random_range(0..5)];
        let (amplitude, noise) = (
            threshold * rng.random_range(0.0..0.6),
            threshold * rng.random_range(0.0..0.4),
        );
        let shape = rng.random_range(0..4);
        let mut levels = new_levels();
        let level_changes = observe_for(&mut levels, 0, 600_000, |ms| {
            let phase = ms as f64 / period * std::f64::consts::TAU;
            let wave = match shape {
                0 => phase.sin(),
                1 => phase.sin().signum(),
                2 => (phase / std::f64::consts::TAU).fract() * 2.0 - 1.0,
                // Mostly above the threshold, with short dips.
                _ => {
                    if phase.sin() > -0.9 {
                        1.0
                    } else {
                        -1.0
                    }
                }
            };
            signals_with(
                signal,
                (threshold + wave * amplitude + rng.random_range(-1.0..1.0) * noise).max(0.0),
            )
        });
        for pair in level_changes.windows(2) {
            assert!(pair[1].0 - pair[0].0 >= 30_000, "seed {seed}: {pair:?}");
        }
        change_count += level_changes.len();
        // Once the cause has ended, full service returns within the maximum recovery time.
        observe_for(
            &mut levels,
            600_000,
            max_recovery_ms(&DegradationConfig::default()),
            |_| normal_signals(),
        );
        assert_eq!(levels.level_name(), "full", "seed {seed}");
    }
    // Guards against a test in which the level never changes.
    assert!(change_count > 1_000, "{change_count}");
}

#[test]
fn each_level_is_entered_by_its_conditions_and_left_step_by_step() {
    for (signal, value, level) in [
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
        let mut levels = new_levels();
        let entered = observe_for(&mut levels, 0, 60_000, |_| signals_with(signal, value));
        let last = entered
            .last()
            .unwrap_or_else(|| panic!("{signal:?} {value}"));
        assert_eq!(
            (last.1.to.as_str(), last.1.causes[0].signal),
            (level, signal)
        );
        // Bounded by `enter_ms` plus smoothing, or by the minimum stay in a level on the way.
        assert!(last.0 < 42_000, "{signal:?} {value}: {}", last.0);
        let left = observe_for(&mut levels, 60_000, 200_000, |_| normal_signals());
        let names: Vec<&str> = left.iter().map(|(_, change)| change.to.as_str()).collect();
        // The level improves one step at a time.
        let all = ["effects-only", "essentials", "no-extras", "full"];
        let start = all
            .iter()
            .position(|name| *name == level)
            .map_or(0, |index| index + 1);
        assert_eq!(names, all[start..], "{signal:?}");
    }
}

#[test]
fn pause_burst_and_backward_clock_change_no_level() {
    let mut levels = new_levels();
    observe_for(&mut levels, 0, 20_000, |_| normal_signals());
    // A burst of two seconds, then a pause of ten minutes followed by a single high value.
    assert!(
        observe_for(&mut levels, 20_000, 2_000, |_| signals_with(
            Signal::QueueWait,
            1.2
        ))
        .is_empty()
    );
    assert!(observe_for(&mut levels, 22_000, 10_000, |_| normal_signals()).is_empty());
    assert_eq!(
        levels.observe(time_at(632_000), &signals_with(Signal::QueueWait, 4.0)),
        None
    );
    assert!(observe_for(&mut levels, 632_100, 20_000, |_| normal_signals()).is_empty());
    // The clock jumps back.
    assert!(observe_for(&mut levels, 10, 20_000, |_| normal_signals()).is_empty());
}

#[test]
fn first_observations_of_new_server_change_no_level() {
    let mut levels = new_levels();
    assert!(observe_for(&mut levels, 0, 2_900, |_| signals_with(Signal::Memory, 1.0)).is_empty());
    assert_eq!(levels.level_name(), "full");
}

#[test]
fn remaining_cause_keeps_its_level_after_other_cause_ends() {
    let mut levels = new_levels();
    let both = Signals {
        call_slowness: Some(8.0),
        ..signals_with(Signal::Rejected, 0.7)
    };
    let entered = observe_for(&mut levels, 0, 40_000, |_| both);
    assert_eq!(entered.last().unwrap().1.to, "essentials");
    let left = observe_for(&mut levels, 40_000, 300_000, |_| {
        signals_with(Signal::CallSlowness, 8.0)
    });
    assert_eq!(
        left.iter()
            .map(|(_, change)| change.to.as_str())
            .collect::<Vec<_>>(),
        ["no-extras"]
    );
    // The causes of the event distinguish a slow store from overload.
    let mut slow_levels = new_levels();
    let changes = observe_for(&mut slow_levels, 0, 10_000, |_| {
        signals_with(Signal::CallSlowness, 8.0)
    });
    assert_eq!(
        changes[0]
            .1
            .causes
            .iter()
            .map(|cause| cause.signal)
            .collect::<Vec<_>>(),
        [Signal::CallSlowness]
    );
}

#[test]
fn missing_and_invalid_signals_cause_no_level() {
    let mut levels = new_levels();
    assert!(observe_for(&mut levels, 0, 60_000, |_| Signals::default()).is_empty());
    let invalid = Signals {
        queue_wait: Some(f64::NAN),
        memory: Some(f64::INFINITY),
        read_delay: Some(-3.0),
        ..Signals::default()
    };
    assert!(observe_for(&mut levels, 60_000, 60_000, |_| invalid).is_empty());
    // A signal that is no longer observed expires and no longer keeps its level.
    observe_for(&mut levels, 120_000, 40_000, |_| {
        signals_with(Signal::CallSlowness, 9.0)
    });
    assert_eq!(levels.level_name(), "no-extras");
    observe_for(&mut levels, 160_000, 90_000, |_| Signals::default());
    assert_eq!(levels.level_name(), "full");
}

#[test]
fn override_applies_during_overload_and_expires() {
    let mut levels = new_levels();
    observe_for(&mut levels, 0, 10_000, |_| normal_signals());
    assert!(
        levels
            .set_override(time_at(10_000), "nothing", Span::ms(1))
            .is_err()
    );
    assert!(
        levels
            .set_override(time_at(10_000), "full", Span::ZERO)
            .is_err()
    );
    levels
        .set_override(time_at(10_000), "full", Span::ms(120_000))
        .unwrap();
    let overload = signals_with(Signal::Memory, 1.0);
    assert!(observe_for(&mut levels, 10_000, 119_900, |_| overload).is_empty());
    assert!(levels.status(time_at(100_000)).override_left_ms.is_some());
    // Once the override has expired, the signals decide immediately.
    let after = observe_for(&mut levels, 129_900, 2_000, |_| overload);
    assert_eq!(after[0].1.to, "closed");
    levels
        .set_override(time_at(140_000), "essentials", Span::ms(60_000))
        .unwrap();
    let changes = observe_for(&mut levels, 140_000, 1_000, |_| normal_signals());
    assert!(changes[0].1.is_manual && changes[0].1.to == "essentials");
    assert!(levels.clear_override() && !levels.clear_override());
}

#[test]
fn reload_keeps_level_of_same_name() {
    let mut levels = new_levels();
    observe_for(&mut levels, 0, 40_000, |_| {
        signals_with(Signal::CallSlowness, 9.0)
    });
    let mut config = DegradationConfig::default();
    config.levels.remove(2);
    assert_eq!(levels.reload(&config, time_at(40_000)), Ok(None));
    assert_eq!(levels.level_name(), "no-extras");
    config.levels[1].name = "lean".to_owned();
    let change = levels.reload(&config, time_at(41_000)).unwrap().unwrap();
    assert_eq!(
        (change.from.as_str(), change.to.as_str(), change.is_manual),
        ("no-extras", "full", true)
    );
    config.levels[1].conditions.clear();
    assert!(levels.reload(&config, time_at(42_000)).is_err());
    assert_eq!(levels.level_name(), "full");
}

#[test]
fn status_reports_causes_and_progress_of_conditions() {
    let mut levels = new_levels();
    observe_for(&mut levels, 0, 40_000, |_| {
        signals_with(Signal::CallSlowness, 9.0)
    });
    let status = levels.status(time_at(40_000));
    assert_eq!(
        (status.level.as_str(), status.causes[0].signal),
        ("no-extras", Signal::CallSlowness)
    );
    assert!(status.actions.skip_calls && status.since_ms > 30_000);
    let call_slowness = status
        .conditions
        .iter()
        .find(|condition| condition.signal == Signal::CallSlowness)
        .unwrap();
    assert!(
        call_slowness.met_ms > 30_000
            && call_slowness.cleared_ms == 0
            && call_slowness.value.unwrap() > call_slowness.enter
    );
    assert!(levels.degradation_level().retry_after <= Span::ms(30_000));
    serde_json::to_string(&status).unwrap();
}

#[test]
fn replay_reports_changes_that_server_would_have_made() {
    let signals_at = |ms: u64| {
        if (20_000..90_000).contains(&ms) {
            signals_with(Signal::QueueWait, 1.5)
        } else {
            normal_signals()
        }
    };
    let mut lines = String::from("a line without a sample\n{\"other\": 1}\n");
    for ms in (0..200_000).step_by(1_000) {
        let sample = serde_json::to_string(&Sample::new(ms, &signals_at(ms))).unwrap();
        // Log lines contain other fields too.
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
    // With a higher threshold, there would have been no change.
    let mut config = DegradationConfig::default();
    config.levels[1].conditions[0].enter = 2.0;
    config.levels[1].conditions[0].leave = 1.6;
    let mut change_count = 0;
    replay(&config, lines.as_bytes(), |_, _| change_count += 1).unwrap();
    assert_eq!(change_count, 0);
    assert!(replay(&config, &b"nothing\n"[..], |_, _| {}).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// After any history, normal signals for the maximum recovery time bring full service back. Changes not made by an
    /// operator are at least 30 s apart.
    #[test]
    fn normal_signals_restore_full_service_after_any_history(
        steps in prop::collection::vec((0usize..8, 0.0f64..12.0, 1u64..40_000, 0u8..12), 1..30),
    ) {
        let mut levels = new_levels();
        let (mut now, mut last): (u64, Option<u64>) = (0, None);
        for (signal, value, ms, step_kind) in steps {
            match step_kind {
                0 => drop(levels.set_override(time_at(now), "essentials", Span::ms(ms))),
                1 => drop(levels.clear_override()),
                // Nothing is observed.
                2 => now += ms,
                _ => {
                    for (changed_at, change) in observe_for(&mut levels, now, ms, |_| signals_with(Signal::ALL[signal], value)) {
                        prop_assert!(change.is_manual || last.is_none_or(|last| changed_at - last >= 30_000), "{} {:?}", changed_at, change);
                        last = Some(changed_at);
                    }
                    now += ms;
                }
            }
        }
        levels.clear_override();
        observe_for(&mut levels, now, max_recovery_ms(&DegradationConfig::default()), |_| normal_signals());
        prop_assert_eq!(levels.level_name(), "full");
    }
}
