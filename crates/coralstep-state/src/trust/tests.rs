use super::*;

#[test]
fn trust_falls_with_age_and_there_is_none_for_the_future() {
    assert_eq!((by_age(0.0), by_age(60.0), by_age(-30.0)), (1.0, 1.0, 1.0));
    assert_eq!(
        (by_age(-61.0), by_age(STALE_S), by_age(f64::NAN)),
        (0.0, 0.0, 0.0)
    );
    let (ten_minutes, day) = (by_age(600.0), by_age(86_400.0));
    assert!(
        (0.7..0.8).contains(&ten_minutes) && (0.2..0.25).contains(&day),
        "{ten_minutes} {day}"
    );
    assert!(
        (1..200)
            .map(|step| by_age(f64::from(step) * 3_000.0))
            .is_sorted_by(|one, other| one >= other)
    );
}

#[test]
fn what_other_terms_make_untrue_is_left_out() {
    let learned = LearnedState {
        run_times: vec![[1; 12], [2; 12]],
        call_times: [3; 12],
        concurrency_limit: Some(5),
        call_permits: Some(4.0),
        best_call_time: Some(90),
        tenants: vec![[9.0, 8.0]],
    };
    let then = Fingerprint {
        server: "n1".to_owned(),
        cores: 4,
        methods: vec!["read".to_owned(), "pay".to_owned()],
        dependency: Some(8.0),
        tenants: vec!["north".to_owned()],
    };
    assert_eq!(applies(&learned, &then, &then).as_ref(), Some(&learned));
    let renamed = Fingerprint {
        methods: vec!["pay".to_owned(), "new".to_owned()],
        ..then.clone()
    };
    assert_eq!(
        applies(&learned, &then, &renamed).unwrap().run_times,
        [[2; 12], [0; 12]]
    );
    let half = applies(
        &learned,
        &then,
        &Fingerprint {
            cores: 2,
            ..then.clone()
        },
    )
    .unwrap();
    assert_eq!(
        (half.concurrency_limit, half.call_permits),
        (None, Some(4.0))
    );
    let other = applies(
        &learned,
        &then,
        &Fingerprint {
            dependency: Some(9.0),
            ..then.clone()
        },
    )
    .unwrap();
    assert_eq!(
        (
            other.concurrency_limit,
            other.call_permits,
            other.best_call_time,
            other.call_times
        ),
        (Some(5), None, None, [0; 12])
    );
    assert_eq!(
        applies(
            &learned,
            &then,
            &Fingerprint {
                server: "n2".to_owned(),
                ..then.clone()
            }
        ),
        None
    );
}
