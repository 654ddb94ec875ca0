use super::*;

#[test]
fn half_life_has_half_the_weight_and_invalid_observations_are_ignored() {
    let mut smoothed = SmoothedValue::default();
    smoothed.add(Some(1.0), Span::ms(1_000), Span::ms(1_000));
    assert!((smoothed.value().unwrap() - 0.5).abs() < 1e-9);
    for invalid in [None, Some(f64::NAN), Some(f64::INFINITY), Some(-1.0)] {
        smoothed.add(invalid, Span::ms(1_000), Span::ms(1_000));
    }
    assert!((smoothed.value().unwrap() - 0.5).abs() < 1e-9);
    (0..12).for_each(|_| smoothed.add(None, Span::ms(500), Span::ms(1_000)));
    assert_eq!(smoothed.value(), None);
}

#[test]
fn clock_limits_step_after_pause_and_ignores_backward_jump() {
    let mut clock = ObservedClock::default();
    assert_eq!(clock.advance(Time(1_000_000)), Span::ZERO);
    assert_eq!(clock.advance(Time(1_001_000)), Span::ms(100));
    assert_eq!(clock.advance(Time(2_000_000)), MAX_STEP);
    assert_eq!(clock.advance(Time(5)), Span::ZERO);
    assert_eq!(clock.advance(Time(1_005)), Span::ms(100));
}
