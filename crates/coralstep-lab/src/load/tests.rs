use super::*;

#[test]
fn recorded_stream_is_parsed_and_error_names_line() {
    let good = "{\"at_ms\":0,\"method\":\"read\"}\n\n{\"at_ms\":2.5,\"method\":\"pay\",\"token\":7,\"tenant\":\"north\"}\n";
    let plan = parse_recorded(good).unwrap();
    assert_eq!(
        (plan.len(), plan[1].token, plan[1].tenant.as_str()),
        (2, Some(7), "north")
    );
    for (bad, why) in [
        (
            "{\"at_ms\":5,\"method\":\"a\"}\n{\"at_ms\":4,\"method\":\"a\"}",
            "line 2: at_ms: 4 comes before 5",
        ),
        ("{\"at_ms\":5}", "line 1: missing field `method`"),
        (
            "\n{\"at_ms\":-1,\"method\":\"a\"}",
            "line 2: at_ms: -1 comes before 0",
        ),
        ("what", "line 1: expected value"),
    ] {
        let error = parse_recorded(bad).unwrap_err();
        assert!(error.starts_with(why), "{error}");
    }
}

#[test]
fn plan_keeps_rate_and_shares_and_is_reproducible() {
    let methods = [("read".to_owned(), 3.0), ("pay".to_owned(), 1.0)];
    let plan = plan_at_rate(1_000.0, 20.0, &methods, 1);
    assert!((19_000..21_000).contains(&plan.len()), "{}", plan.len());
    let reads = plan.iter().filter(|due| due.method == "read").count() as f64 / plan.len() as f64;
    assert!((0.73..0.77).contains(&reads), "{reads}");
    assert!(plan.windows(2).all(|two| two[0].at_ms <= two[1].at_ms));
    assert_eq!(plan, plan_at_rate(1_000.0, 20.0, &methods, 1));
    assert!(
        plan_at_rate(0.0, 20.0, &methods, 1).is_empty()
            && plan_at_rate(9.0, 9.0, &[], 1).is_empty()
    );
}

#[test]
fn results_are_void_if_rate_was_not_kept() {
    let mut pace = Pace::default();
    (0..990).for_each(|_| pace.record_sent(1.0));
    (0..10).for_each(|_| pace.record_sent(MAX_SEND_DELAY_MS + 1.0));
    assert_eq!(pace.void_reason(), None);
    pace.record_unsent();
    assert!(
        pace.void_reason()
            .unwrap()
            .starts_with("void: of 1001 requests 10 were sent more than 20 ms late")
    );
    assert_eq!(Pace::default().void_reason(), None);
}
