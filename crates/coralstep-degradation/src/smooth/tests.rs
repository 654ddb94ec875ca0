use super::*;

#[test]
fn half_of_it_came_within_the_half_life_and_nonsense_is_passed_over() {
    let mut smooth = Smooth::default();
    smooth.add(Some(1.0), Span::ms(1_000), Span::ms(1_000));
    assert!((smooth.value().unwrap() - 0.5).abs() < 1e-9);
    for bad in [None, Some(f64::NAN), Some(f64::INFINITY), Some(-1.0)] {
        smooth.add(bad, Span::ms(1_000), Span::ms(1_000));
    }
    assert!((smooth.value().unwrap() - 0.5).abs() < 1e-9);
    (0..12).for_each(|_| smooth.add(None, Span::ms(500), Span::ms(1_000)));
    assert_eq!(smooth.value(), None);
}

#[test]
fn a_pause_counts_as_one_step_and_a_clock_that_goes_back_as_none() {
    let mut steps = Steps::default();
    assert_eq!(steps.to(Time(1_000_000)), Span::ZERO);
    assert_eq!(steps.to(Time(1_001_000)), Span::ms(100));
    assert_eq!(steps.to(Time(2_000_000)), STEP_MOST);
    assert_eq!(steps.to(Time(5)), Span::ZERO);
    assert_eq!(steps.to(Time(1_005)), Span::ms(100));
}
