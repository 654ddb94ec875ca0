use super::*;

/// Returns rules with one open, non-idempotent attempt that arrived at tick 0 and is due at tick 10,000.
fn rules() -> Rules {
    let mut rules = Rules::new(2, 100.0, 4.0);
    rules.record_arrival(0, 1, 0, 10_000, true);
    rules
}

fn assert_only_breach(rules: &Rules, rule: Rule) {
    assert_eq!(
        rules
            .breaches
            .iter()
            .map(|breach| breach.rule)
            .collect::<Vec<_>>(),
        [rule],
        "{:?}",
        rules.breaches
    );
}

#[test]
fn correct_run_reports_no_breach() {
    let mut rules = rules();
    rules.record_start(10, 1, Some((7, 50_000)));
    rules.record_usage(20, 0, 99.0, 4);
    rules.record_answer(100, 1, AnswerKind::Ok);
    rules.record_release(110, 1);
    // The same idempotency key at another server, and at the first one again after its retry window.
    rules.record_arrival(200, 2, 1, 10_000, true);
    rules.record_start(210, 2, Some((7, 50_000)));
    rules.record_answer(300, 2, AnswerKind::Ok);
    rules.record_release(300, 2);
    rules.record_arrival(60_000, 3, 0, 70_000, true);
    rules.record_start(60_010, 3, Some((7, 110_000)));
    rules.record_answer(60_100, 3, AnswerKind::Aborted);
    rules.finish(1_000_000);
    assert_eq!(rules.count, 0, "{:?}", rules.breaches);
}

#[test]
fn each_rule_violation_is_reported() {
    type Violation<'a> = (Rule, &'a dyn Fn(&mut Rules));
    let violations: [Violation<'_>; 18] = [
        (Rule::Advice, &|rules| {
            rules.record_retry_advice(10, 0, 0, false, false)
        }),
        (Rule::Advice, &|rules| {
            rules.record_retry_advice(10, 0, 600_001, false, false)
        }),
        (Rule::Advice, &|rules| {
            rules.record_drain_notice(0, 500);
            rules.record_retry_advice(600, 0, 10, true, true);
            rules.record_retry_advice(600, 0, 10, true, false);
        }),
        (Rule::Twice, &|rules| {
            rules.record_answer(10, 1, AnswerKind::PushedBack);
            rules.record_start(20, 1, None);
        }),
        (Rule::FallOver, &|rules| {
            rules.record_self_inflicted_crash(10, 0)
        }),
        (Rule::Drain, &|rules| rules.record_overdue_stop(10)),
        (Rule::Lost, &|rules| rules.record_release(100, 1)),
        (Rule::Lost, &|rules| rules.finish(20_000)),
        (Rule::Lost, &|rules| {
            rules.record_answer(10_501, 1, AnswerKind::Aborted)
        }),
        (Rule::Lost, &|rules| {
            rules.record_answer(10, 1, AnswerKind::Ok);
            rules.record_answer(20, 1, AnswerKind::Aborted);
        }),
        (Rule::Lost, &|rules| {
            rules.record_answer(10, 9, AnswerKind::Ok)
        }),
        (Rule::Twice, &|rules| {
            rules.record_start(10, 1, None);
            rules.record_start(20, 1, None);
        }),
        (Rule::Twice, &|rules| {
            rules.record_start(10, 1, Some((7, 50_000)));
            rules.record_arrival(20, 2, 0, 10_000, true);
            rules.record_start(30, 2, Some((7, 50_000)));
        }),
        (Rule::Twice, &|rules| {
            rules.record_start(10, 1, None);
            rules.record_answer(20, 1, AnswerKind::PushedBack);
        }),
        (Rule::Drain, &|rules| {
            rules.record_drain_notice(0, 500);
            rules.record_arrival(600, 2, 0, 10_000, false);
            rules.record_start(610, 2, None);
        }),
        (Rule::Drain, &|rules| rules.record_stop(700, 0, false)),
        (Rule::FallOver, &|rules| rules.record_usage(10, 0, 101.0, 1)),
        (Rule::FallOver, &|rules| {
            (0..400).for_each(|sample| rules.record_usage(sample * 100, 1, 1.0, 5))
        }),
    ];
    for (rule, violate) in violations {
        let mut rules = rules();
        violate(&mut rules);
        assert_only_breach(&rules, rule);
    }
    // Attempts lost in a crash don't break the drain rule.
    let mut rules = rules();
    rules.record_stop(700, 0, true);
    assert_eq!(rules.count, 0);
}
