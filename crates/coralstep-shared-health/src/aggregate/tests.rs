use ReportedBreakerState::{Closed, HalfOpen, Open};

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

fn peers(count: u64, state: ReportedBreakerState, failures: u32, calls: u32) -> Vec<PeerReport> {
    (0..count)
        .map(|peer| report(peer, state, failures, calls))
        .collect()
}

#[test]
fn needs_fewer_outcomes_only_if_at_least_half_of_informed_peers_report_failure() {
    let mut aggregator = Aggregator::new(1);
    let mut needed = |reports: &[PeerReport]| {
        aggregator
            .advise(0, SharingConfig::default(), Closed, reports)
            .min_outcomes
    };
    assert_eq!(needed(&[]), WINDOW_OUTCOMES);
    assert_eq!(
        needed(&peers(1, Open, 1, 1)),
        WINDOW_OUTCOMES,
        "a single peer"
    );
    assert_eq!(needed(&peers(10, Closed, 0, 5)), WINDOW_OUTCOMES);
    assert_eq!(needed(&peers(10, Closed, 2, 2)), MIN_OUTCOMES);
    let mut reports = peers(10, Closed, 0, 5);
    reports[0] = report(0, Open, 20, 20);
    assert_eq!(needed(&reports), WINDOW_OUTCOMES, "one false report of ten");
    reports[1..6]
        .iter_mut()
        .for_each(|report| report.failures = 5);
    assert_eq!(needed(&reports), 8, "six of ten peers report failure");
    let mut outdated = peers(10, Closed, 2, 2);
    outdated
        .iter_mut()
        .for_each(|report| report.since_call_ms = crate::report::MAX_REPORT_AGE_MS + 1);
    assert_eq!(needed(&outdated), WINDOW_OUTCOMES, "reports too old");
    let without_failure = SharingConfig {
        follow_failure: false,
        ..SharingConfig::default()
    };
    assert_eq!(
        Aggregator::new(1)
            .advise(0, without_failure, Closed, &peers(9, Open, 2, 2))
            .min_outcomes,
        WINDOW_OUTCOMES
    );
}

#[test]
fn probe_rate_of_the_fleet_and_extended_cooldown_are_bounded() {
    for (open, duration_ms) in [(2u64, 100_000u64), (10, 100_000), (300, 20_000)] {
        let reports = peers(open - 1, Open, 1, 1);
        let mut fleet: Vec<Aggregator> = (0..open).map(Aggregator::new).collect();
        let mut probes = 0;
        for now in (0..duration_ms).step_by(50) {
            for aggregator in &mut fleet {
                let left = aggregator
                    .advise(now, SharingConfig::default(), Open, &reports)
                    .cooldown_left_ms
                    .unwrap();
                if left > 0 {
                    assert!(
                        (EXTENDED_COOLDOWN_MS..EXTENDED_COOLDOWN_MS * 2).contains(&left),
                        "{left}"
                    );
                    continue;
                }
                // The probe call fails immediately.
                probes += 1;
                aggregator.advise(now, SharingConfig::default(), HalfOpen, &reports);
            }
        }
        let rate = f64::from(probes) * 1000.0 / duration_ms as f64;
        assert!(
            rate < FLEET_PROBES_PER_SECOND * 1.4 && rate > FLEET_PROBES_PER_SECOND * 0.6,
            "{open} open breakers: {rate} probe calls per second"
        );
    }
    // If the breakers of all peers are closed, or there are no peers, the cooldown is unchanged.
    let mut aggregator = Aggregator::new(1);
    assert_eq!(
        aggregator.advise(0, SharingConfig::default(), Open, &peers(5, Closed, 0, 5)),
        BreakerAdvice::default()
    );
    assert_eq!(
        aggregator.advise(50, SharingConfig::default(), Open, &[]),
        BreakerAdvice::default()
    );
}

#[test]
fn recovery_ends_cooldowns_in_steps_and_a_false_report_is_distrusted() {
    let config = SharingConfig {
        limit_probe_rate: false,
        ..SharingConfig::default()
    };
    let recovered = |count: u64, open: u64| {
        let mut reports = peers(open, Open, 1, 1);
        reports.extend((open..open + count).map(|peer| PeerReport {
            since_recovery_ms: Some(500),
            ..report(peer, Closed, 0, 1)
        }));
        reports
    };
    // Number of servers, out of 60, whose cooldown ends in one step.
    let ended_cooldowns = |reports: &[PeerReport]| {
        let step = |seed: u64| {
            Aggregator::new(seed)
                .advise(1_000, config, Open, reports)
                .cooldown_left_ms
        };
        (0..60)
            .filter_map(step)
            .inspect(|left| assert!(*left < RECOVERY_STEP_MS))
            .count()
    };
    let (one, ten, most) = (
        ended_cooldowns(&recovered(1, 58)),
        ended_cooldowns(&recovered(10, 49)),
        ended_cooldowns(&recovered(40, 19)),
    );
    assert!(
        one <= 6 && ten > one && ten <= 40 && most == 60,
        "{one}, {ten}, {most}"
    );
    assert_eq!(ended_cooldowns(&peers(58, Open, 1, 1)), 0);
    // Peers that never failed do not end the cooldown: they say nothing about this server's path.
    assert_eq!(ended_cooldowns(&peers(58, Closed, 0, 20)), 0);
    // The probe call fails, so the peer's recovery reports are ignored for some time.
    let (mut aggregator, reports) = (Aggregator::new(3), recovered(1, 0));
    let mut now = 1_000;
    let mut probes = 0;
    while now < 21_000 {
        if aggregator
            .advise(now, config, Open, &reports)
            .cooldown_left_ms
            .is_some()
        {
            probes += 1;
            aggregator.advise(now + 50, config, HalfOpen, &reports);
            aggregator.advise(now + 100, config, Open, &reports);
        }
        now += 200;
    }
    assert_eq!(probes, 1);
}
