use super::*;

#[test]
fn times_are_rounded_to_the_safe_side() {
    assert_eq!(span(Duration::from_micros(101)), Span(2));
    assert_eq!(duration(Span(3)), Duration::from_micros(300));
    assert_eq!(ms_up(Span(11)), 2);
}

#[test]
fn a_stamp_from_the_near_future_is_new_and_one_from_the_far_future_is_none() {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    assert_eq!(age(now + 5_000, Duration::from_secs(10)), Some(Span::ZERO));
    assert_eq!(age(now + 5_000, Duration::from_secs(1)), None);
    assert_eq!(age(u64::MAX, Duration::from_secs(1)), None);
    assert!(age(0, Duration::ZERO) > Some(Span::ms(1_000_000_000_000)));
}
