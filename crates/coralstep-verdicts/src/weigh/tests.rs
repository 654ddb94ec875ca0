use super::*;

fn other(who: u64, state: State, failures: u32, calls: u32) -> Other {
    Other {
        who,
        state,
        failures,
        calls,
        called: 100,
        healed: None,
    }
}

fn all(count: u64, state: State, failures: u32, calls: u32) -> Vec<Other> {
    (0..count)
        .map(|who| other(who, state, failures, calls))
        .collect()
}

#[test]
fn less_evidence_does_where_most_say_that_it_fails_and_one_that_lies_moves_nothing() {
    let mut weigh = Weigh::new(1);
    let mut need = |others: &[Other]| {
        weigh
            .advise(0, Parts::default(), State::Closed, others)
            .need
    };
    assert_eq!(need(&[]), WINDOW);
    assert_eq!(
        need(&all(1, State::Open, 1, 1)),
        WINDOW,
        "one alone says nothing"
    );
    assert_eq!(need(&all(10, State::Closed, 0, 5)), WINDOW);
    assert_eq!(need(&all(10, State::Closed, 2, 2)), NEED_LEAST);
    let mut mixed = all(10, State::Closed, 0, 5);
    mixed[0] = other(0, State::Open, 20, 20);
    assert_eq!(need(&mixed), WINDOW, "a liar among ten");
    mixed[1..6].iter_mut().for_each(|other| other.failures = 5);
    assert_eq!(need(&mixed), 8, "six of ten");
    let mut old = all(10, State::Closed, 2, 2);
    old.iter_mut()
        .for_each(|other| other.called = crate::said::AGE_MOST + 1);
    assert_eq!(need(&old), WINDOW, "what they saw is too old");
    let off = Parts {
        fails: false,
        ..Parts::default()
    };
    assert_eq!(
        Weigh::new(1)
            .advise(0, off, State::Closed, &all(9, State::Open, 2, 2))
            .need,
        WINDOW
    );
}

#[test]
fn trials_come_at_one_rate_however_many_are_open_and_nobody_is_sent_away_for_long() {
    for (open, lasts) in [(2u64, 100_000u64), (10, 100_000), (300, 20_000)] {
        let others = all(open - 1, State::Open, 1, 1);
        let mut fleet: Vec<Weigh> = (0..open).map(Weigh::new).collect();
        let mut trials = 0;
        for now in (0..lasts).step_by(50) {
            for weigh in &mut fleet {
                let left = weigh
                    .advise(now, Parts::default(), State::Open, &others)
                    .left
                    .unwrap();
                if left > 0 {
                    assert!((HOLDS..HOLDS * 2).contains(&left), "{left}");
                    continue;
                }
                // Its trial fails at once.
                trials += 1;
                weigh.advise(now, Parts::default(), State::HalfOpen, &others);
            }
        }
        let rate = f64::from(trials) * 1000.0 / lasts as f64;
        assert!(
            rate < TRIALS * 1.4 && rate > TRIALS * 0.6,
            "{open}: {rate} a second"
        );
    }
    // Where the others are closed, or silent, its own cooldown holds.
    let mut alone = Weigh::new(1);
    assert_eq!(
        alone.advise(
            0,
            Parts::default(),
            State::Open,
            &all(5, State::Closed, 0, 5)
        ),
        Advice::default()
    );
    assert_eq!(
        alone.advise(50, Parts::default(), State::Open, &[]),
        Advice::default()
    );
}

#[test]
fn news_that_it_serves_ends_a_few_cooldowns_at_a_time_and_a_liar_is_found_out() {
    let news = Parts {
        trials: false,
        ..Parts::default()
    };
    let healed = |count: u64, open: u64| {
        let mut others = all(open, State::Open, 1, 1);
        others.extend((open..open + count).map(|who| Other {
            healed: Some(500),
            ..other(who, State::Closed, 0, 1)
        }));
        others
    };
    // Of sixty servers, how many try in one step.
    let tries = |others: &[Other]| {
        let step = |seed: u64| {
            Weigh::new(seed)
                .advise(1_000, news, State::Open, others)
                .left
        };
        (0..60)
            .filter_map(step)
            .inspect(|left| assert!(*left < STEP))
            .count()
    };
    let (one, ten, most) = (
        tries(&healed(1, 58)),
        tries(&healed(10, 49)),
        tries(&healed(40, 19)),
    );
    assert!(
        one <= 6 && ten > one && ten <= 40 && most == 60,
        "{one}, {ten}, {most}"
    );
    assert_eq!(tries(&all(58, State::Open, 1, 1)), 0);
    // Who never failed is no news: it says nothing of this server's way.
    assert_eq!(tries(&all(58, State::Closed, 0, 20)), 0);
    // The own trial fails: for a while this server's word leads to none.
    let (mut weigh, others) = (Weigh::new(3), healed(1, 0));
    let mut now = 1_000;
    let mut trials = 0;
    while now < 21_000 {
        if weigh.advise(now, news, State::Open, &others).left.is_some() {
            trials += 1;
            weigh.advise(now + 50, news, State::HalfOpen, &others);
            weigh.advise(now + 100, news, State::Open, &others);
        }
        now += 200;
    }
    assert_eq!(trials, 1);
}

#[test]
fn a_dependency_that_fails_and_a_way_that_does_are_told_apart() {
    assert_eq!(
        Weigh::whose(true, &all(9, State::Closed, 0, 5)),
        Whose::OwnWays
    );
    assert_eq!(
        Weigh::whose(true, &all(9, State::Open, 1, 1)),
        Whose::Dependencys
    );
    assert_eq!(Weigh::whose(true, &[]), Whose::Unknown);
    assert_eq!(
        Weigh::whose(false, &all(9, State::Closed, 0, 5)),
        Whose::Nobodys
    );
}
