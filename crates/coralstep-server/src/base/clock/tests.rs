use super::*;

#[test]
fn times_are_rounded_to_the_safe_side() {
    assert_eq!(span(Duration::from_micros(101)), Span(2));
    assert_eq!(duration(Span(3)), Duration::from_micros(300));
    assert_eq!(millis_rounded_up(Span(11)), 2);
}

#[test]
fn a_timestamp_slightly_ahead_has_age_0_and_one_far_ahead_has_none() {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    assert_eq!(
        age_of_timestamp(now + 5_000, Duration::from_secs(10)),
        Some(Span::ZERO)
    );
    assert_eq!(age_of_timestamp(now + 5_000, Duration::from_secs(1)), None);
    assert_eq!(age_of_timestamp(u64::MAX, Duration::from_secs(1)), None);
    assert!(age_of_timestamp(0, Duration::ZERO) > Some(Span::ms(1_000_000_000_000)));
}
