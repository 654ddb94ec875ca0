use super::*;

#[test]
fn half_the_weight_is_within_the_half_life_and_nonsense_is_passed_over() {
    let mut figure = SmoothedValue::default();
    figure.add(Some(1.0), Span::ms(1_000), Span::ms(1_000));
    assert!((figure.value().unwrap() - 0.5).abs() < 1e-9);
    for bad in [None, Some(f64::NAN), Some(f64::INFINITY), Some(-1.0)] {
        figure.add(bad, Span::ms(1_000), Span::ms(1_000));
    }
    assert!((figure.value().unwrap() - 0.5).abs() < 1e-9);
    (0..12).for_each(|_| figure.add(None, Span::ms(500), Span::ms(1_000)));
    assert_eq!(figure.value(), None);
}

#[test]
fn a_pause_counts_as_one_step_and_a_clock_that_goes_back_as_none() {
    let mut clock = ObservedClock::default();
    assert_eq!(clock.advance(Time(1_000_000)), Span::ZERO);
    assert_eq!(clock.advance(Time(1_001_000)), Span::ms(100));
    assert_eq!(clock.advance(Time(2_000_000)), MAX_STEP);
    assert_eq!(clock.advance(Time(5)), Span::ZERO);
    assert_eq!(clock.advance(Time(1_005)), Span::ms(100));
}
