use super::*;

#[test]
fn confidence_decreases_with_age_and_is_zero_for_the_future() {
    assert_eq!(
        (from_age(0.0), from_age(60.0), from_age(-30.0)),
        (1.0, 1.0, 1.0)
    );
    assert_eq!(
        (from_age(-61.0), from_age(MAX_AGE_S), from_age(f64::NAN)),
        (0.0, 0.0, 0.0)
    );
    let (ten_minutes, day) = (from_age(600.0), from_age(86_400.0));
    assert!(
        (0.7..0.8).contains(&ten_minutes) && (0.2..0.25).contains(&day),
        "{ten_minutes} {day}"
    );
    assert!(
        (1..200)
            .map(|step| from_age(f64::from(step) * 3_000.0))
            .is_sorted_by(|a, b| a >= b)
    );
}
