use super::*;

#[test]
fn a_limit_that_is_broken_in_any_window_is_seen() {
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
        "what was turned away was not let in"
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
fn each_process_that_cheats_is_caught() {
    let mut judge = InvariantChecker::default();
    (0..4).for_each(|process| judge.seen(seen(0, process, 2)));
    judge.end();
    assert_eq!(judge.breaches, [], "nobody cheats");
    judge.seen(seen(10, 1, 1));
    assert!(matches!(
        judge.breaches[..],
        [Breach::Back { process: 1, .. }]
    ));
    judge.seen(Observation {
        life: 2,
        ..seen(20, 2, 0)
    });
    assert_eq!(judge.breaches.len(), 1, "a restart may know nothing");
    judge.end();
    assert!(matches!(judge.breaches[1], Breach::Apart { .. }));
    // Two of four out: for longer than words take.
    for at_ms in [100, 1_000, 2_200] {
        judge.seen(Observation {
            shut: true,
            ..seen(at_ms, 0, 2)
        });
        judge.seen(Observation {
            shut: true,
            ..seen(at_ms, 3, 2)
        });
    }
    assert!(
        matches!(
            judge.breaches[2],
            Breach::TooManyOut {
                out: 2,
                most: 1,
                ..
            }
        ),
        "{:?}",
        judge.breaches
    );
    let mut judge = InvariantChecker::default();
    (0..3).for_each(|process| judge.seen(seen(0, process, 5)));
    judge.resumed(100, 0);
    judge.ran(200, 0, 5);
    judge.ran(100 + HELD, 0, 4);
    assert_eq!(judge.breaches, []);
    judge.ran(300, 0, 4);
    assert!(matches!(
        judge.breaches[..],
        [Breach::RanOld { process: 0, .. }]
    ));
}
