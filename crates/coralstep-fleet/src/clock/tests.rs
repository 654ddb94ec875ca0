use super::HybridClock;

#[test]
fn clock_is_monotonic_and_rejects_timestamps_an_hour_ahead() {
    let clock = HybridClock::new(7);
    let first = clock.timestamp(1_000_000);
    assert!(first.abs_diff(1_000_000) <= 1, "{first}");
    assert!(clock.timestamp(400_000) >= first, "wall time was set back");
    assert!(clock.observe(1_000_000, 1_001_500));
    assert!(
        clock.timestamp(1_000_000) >= 1_001_500 - 1,
        "timestamps follow the observed one"
    );
    assert!(!clock.observe(1_000_000, 4_600_000));
    assert!(clock.timestamp(1_000_100) < 1_003_000);
}
