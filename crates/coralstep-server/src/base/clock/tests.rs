use super::*;

#[test]
fn conversions_to_span_and_millis_round_up() {
    assert_eq!(span(Duration::from_micros(101)), Span(2));
    assert_eq!(duration(Span(3)), Duration::from_micros(300));
    assert_eq!(millis_rounded_up(Span(11)), 2);
}

#[test]
fn future_timestamp_has_age_zero_within_skew_and_none_beyond() {
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
