use super::*;

fn report(peer: u64, state: ReportedBreakerState, failures: u32, calls: u32) -> PeerReport {
    PeerReport {
        peer: PeerId(peer),
        state,
        failures,
        calls,
        since_call_ms: 100,
        since_recovery_ms: None,
    }
}

fn all(count: u64, state: ReportedBreakerState, failures: u32, calls: u32) -> Vec<PeerReport> {
    (0..count)
        .map(|peer| report(peer, state, failures, calls))
        .collect()
}

#[test]
fn fewer_outcomes_are_needed_while_most_peers_report_failure_and_one_liar_changes_nothing() {
    let mut aggregator = Aggregator::new(1);
    let mut needed = |reports: &[PeerReport]| {
        aggregator
            .advise(
                0,
                SharingConfig::default(),
                ReportedBreakerState::Closed,
                reports,
            )
            .min_outcomes
    };
    assert_eq!(needed(&[]), WINDOW_OUTCOMES);
    assert_eq!(
        needed(&all(1, ReportedBreakerState::Open, 1, 1)),
        WINDOW_OUTCOMES,
        "one alone says nothing"
    );
    assert_eq!(
        needed(&all(10, ReportedBreakerState::Closed, 0, 5)),
        WINDOW_OUTCOMES
    );
    assert_eq!(
        needed(&all(10, ReportedBreakerState::Closed, 2, 2)),
        MIN_OUTCOMES
    );
    let mut mixed = all(10, ReportedBreakerState::Closed, 0, 5);
    mixed[0] = report(0, ReportedBreakerState::Open, 20, 20);
    assert_eq!(needed(&mixed), WINDOW_OUTCOMES, "a liar among ten");
    mixed[1..6]
        .iter_mut()
        .for_each(|report| report.failures = 5);
    assert_eq!(needed(&mixed), 8, "six of ten");
    let mut old = all(10, ReportedBreakerState::Closed, 2, 2);
    old.iter_mut()
        .for_each(|report| report.since_call_ms = crate::report::MAX_REPORT_AGE_MS + 1);
    assert_eq!(needed(&old), WINDOW_OUTCOMES, "what they saw is too old");
    let off = SharingConfig {
        follow_failure: false,
        ..SharingConfig::default()
    };
    assert_eq!(
        Aggregator::new(1)
            .advise(
                0,
                off,
                ReportedBreakerState::Closed,
                &all(9, ReportedBreakerState::Open, 2, 2)
            )
            .min_outcomes,
        WINDOW_OUTCOMES
    );
}

#[test]
fn the_fleet_probes_at_one_rate_and_no_caller_is_told_to_wait_for_long() {
    for (open, lasts) in [(2u64, 100_000u64), (10, 100_000), (300, 20_000)] {
        let reports = all(open - 1, ReportedBreakerState::Open, 1, 1);
        let mut fleet: Vec<Aggregator> = (0..open).map(Aggregator::new).collect();
        let mut probes = 0;
        for now in (0..lasts).step_by(50) {
            for aggregator in &mut fleet {
                let left = aggregator
                    .advise(
                        now,
                        SharingConfig::default(),
                        ReportedBreakerState::Open,
                        &reports,
                    )
                    .cooldown_left_ms
                    .unwrap();
                if left > 0 {
                    assert!(
                        (HELD_COOLDOWN_MS..HELD_COOLDOWN_MS * 2).contains(&left),
                        "{left}"
                    );
                    continue;
                }
                // Its probe call fails at once.
                probes += 1;
                aggregator.advise(
                    now,
                    SharingConfig::default(),
                    ReportedBreakerState::HalfOpen,
                    &reports,
                );
            }
        }
        let rate = f64::from(probes) * 1000.0 / lasts as f64;
        assert!(
            rate < FLEET_PROBES_PER_SECOND * 1.4 && rate > FLEET_PROBES_PER_SECOND * 0.6,
            "{open}: {rate} a second"
        );
    }
    // Where peers are closed, or silent, its own cooldown holds.
    let mut alone = Aggregator::new(1);
    assert_eq!(
        alone.advise(
            0,
            SharingConfig::default(),
            ReportedBreakerState::Open,
            &all(5, ReportedBreakerState::Closed, 0, 5)
        ),
        BreakerAdvice::default()
    );
    assert_eq!(
        alone.advise(
            50,
            SharingConfig::default(),
            ReportedBreakerState::Open,
            &[]
        ),
        BreakerAdvice::default()
    );
}

#[test]
fn recovery_ends_a_few_cooldowns_at_a_time_and_a_liar_is_distrusted() {
    let config = SharingConfig {
        limit_probe_rate: false,
        ..SharingConfig::default()
    };
    let recovered = |count: u64, open: u64| {
        let mut reports = all(open, ReportedBreakerState::Open, 1, 1);
        reports.extend((open..open + count).map(|peer| PeerReport {
            since_recovery_ms: Some(500),
            ..report(peer, ReportedBreakerState::Closed, 0, 1)
        }));
        reports
    };
    // Of sixty servers, how many probe in one step.
    let tries = |reports: &[PeerReport]| {
        let step = |seed: u64| {
            Aggregator::new(seed)
                .advise(1_000, config, ReportedBreakerState::Open, reports)
                .cooldown_left_ms
        };
        (0..60)
            .filter_map(step)
            .inspect(|left| assert!(*left < RECOVERY_STEP_MS))
            .count()
    };
    let (one, ten, most) = (
        tries(&recovered(1, 58)),
        tries(&recovered(10, 49)),
        tries(&recovered(40, 19)),
    );
    assert!(
        one <= 6 && ten > one && ten <= 40 && most == 60,
        "{one}, {ten}, {most}"
    );
    assert_eq!(tries(&all(58, ReportedBreakerState::Open, 1, 1)), 0);
    // A peer that never failed says nothing of this server's path.
    assert_eq!(tries(&all(58, ReportedBreakerState::Closed, 0, 20)), 0);
    // The own probe call fails: for a while this peer is not believed.
    let (mut aggregator, reports) = (Aggregator::new(3), recovered(1, 0));
    let mut now = 1_000;
    let mut probes = 0;
    while now < 21_000 {
        if aggregator
            .advise(now, config, ReportedBreakerState::Open, &reports)
            .cooldown_left_ms
            .is_some()
        {
            probes += 1;
            aggregator.advise(now + 50, config, ReportedBreakerState::HalfOpen, &reports);
            aggregator.advise(now + 100, config, ReportedBreakerState::Open, &reports);
        }
        now += 200;
    }
    assert_eq!(probes, 1);
}
