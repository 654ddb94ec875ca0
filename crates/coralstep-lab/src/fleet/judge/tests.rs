use super::*;

#[test]
fn detects_rate_limit_exceeded_in_any_window() {
    let answer = |at: f64, outcome| Answer {
        process: 0,
        sent_ms: at,
        received_ms: at + 5.0,
        outcome,
    };
    let mut answers: Vec<Answer> = (0..20)
        .map(|number| answer(f64::from(number) * 100.0, RpcOutcome::Ok))
        .collect();
    assert!(excess(&answers, 10.0, 2.0) <= 0.0);
    answers.extend((0..9).map(|_| answer(950.0, RpcOutcome::Rejected(1))));
    assert!(
        excess(&answers, 10.0, 2.0) <= 0.0,
        "rejected RPCs do not count as admitted"
    );
    answers.extend([answer(950.0, RpcOutcome::Ok), answer(951.0, RpcOutcome::Ok)]);
    assert!(excess(&answers, 10.0, 2.0) > 0.5);
    assert!(excess(&answers, 10.0, 4.0) <= 0.0);
}

fn seen(at_ms: u64, process: usize, number: u64) -> Observation {
    Observation {
        at_ms,
        process,
        life: 1,
        acts_on: (number, "a".to_owned()),
        shut: false,
    }
}

#[test]
fn detects_each_kind_of_breach() {
    let mut checker = InvariantChecker::default();
    (0..4).for_each(|process| checker.observe(seen(0, process, 2)));
    checker.check_convergence();
    assert_eq!(checker.breaches, [], "no breach");
    checker.observe(seen(10, 1, 1));
    assert!(matches!(
        checker.breaches[..],
        [Breach::Back { process: 1, .. }]
    ));
    checker.observe(Observation {
        life: 2,
        ..seen(20, 2, 0)
    });
    assert_eq!(
        checker.breaches.len(),
        1,
        "a restarted process may have no version"
    );
    checker.check_convergence();
    assert!(matches!(checker.breaches[1], Breach::Apart { .. }));
    // Two of four members are excluded for longer than announcements take.
    for at_ms in [100, 1_000, 2_200] {
        checker.observe(Observation {
            shut: true,
            ..seen(at_ms, 0, 2)
        });
        checker.observe(Observation {
            shut: true,
            ..seen(at_ms, 3, 2)
        });
    }
    assert!(
        matches!(
            checker.breaches[2],
            Breach::TooManyOut {
                out: 2,
                most: 1,
                ..
            }
        ),
        "{:?}",
        checker.breaches
    );
    let mut checker = InvariantChecker::default();
    (0..3).for_each(|process| checker.observe(seen(0, process, 5)));
    checker.record_resume(100, 0);
    checker.record_success(200, 0, 5);
    checker.record_success(100 + RESUME_GUARD_MS, 0, 4);
    assert_eq!(checker.breaches, []);
    checker.record_success(300, 0, 4);
    assert!(matches!(
        checker.breaches[..],
        [Breach::RanOld { process: 0, .. }]
    ));
}
