use super::*;

/// One attempt with an effect, read at 0 and due at 10,000.
fn rules() -> Rules {
    let mut rules = Rules::new(2, 100.0, 4.0);
    rules.read(0, 1, 0, 10_000, true);
    rules
}

fn caught(rules: &Rules, rule: Rule) {
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
fn a_day_by_the_rules_has_no_breach() {
    let mut rules = rules();
    rules.began(10, 1, Some((7, 50_000)));
    rules.stands(20, 0, 99.0, 4);
    rules.answered(100, 1, Told::Ok);
    rules.over(110, 1);
    // The same token at another server, and here again after its window.
    rules.read(200, 2, 1, 10_000, true);
    rules.began(210, 2, Some((7, 50_000)));
    rules.answered(300, 2, Told::Ok);
    rules.over(300, 2);
    rules.read(60_000, 3, 0, 70_000, true);
    rules.began(60_010, 3, Some((7, 110_000)));
    rules.answered(60_100, 3, Told::Aborted);
    rules.end(1_000_000);
    assert_eq!(rules.count, 0, "{:?}", rules.breaches);
}

#[test]
fn each_planted_breach_is_caught() {
    type Cheat<'a> = (Rule, &'a dyn Fn(&mut Rules));
    let cheats: [Cheat<'_>; 18] = [
        (Rule::Advice, &|rules| rules.advised(10, 0, 0, false, false)),
        (Rule::Advice, &|rules| {
            rules.advised(10, 0, 600_001, false, false)
        }),
        (Rule::Advice, &|rules| {
            rules.notice(0, 500);
            rules.advised(600, 0, 10, true, true);
            rules.advised(600, 0, 10, true, false);
        }),
        (Rule::Twice, &|rules| {
            rules.answered(10, 1, Told::PushedBack);
            rules.began(20, 1, None);
        }),
        (Rule::FallOver, &|rules| rules.died(10, 0)),
        (Rule::Drain, &|rules| rules.overstayed(10)),
        (Rule::Lost, &|rules| rules.over(100, 1)),
        (Rule::Lost, &|rules| rules.end(20_000)),
        (Rule::Lost, &|rules| {
            rules.answered(10_501, 1, Told::Aborted)
        }),
        (Rule::Lost, &|rules| {
            rules.answered(10, 1, Told::Ok);
            rules.answered(20, 1, Told::Aborted);
        }),
        (Rule::Lost, &|rules| rules.answered(10, 9, Told::Ok)),
        (Rule::Twice, &|rules| {
            rules.began(10, 1, None);
            rules.began(20, 1, None);
        }),
        (Rule::Twice, &|rules| {
            rules.began(10, 1, Some((7, 50_000)));
            rules.read(20, 2, 0, 10_000, true);
            rules.began(30, 2, Some((7, 50_000)));
        }),
        (Rule::Twice, &|rules| {
            rules.began(10, 1, None);
            rules.answered(20, 1, Told::PushedBack);
        }),
        (Rule::Drain, &|rules| {
            rules.notice(0, 500);
            rules.read(600, 2, 0, 10_000, false);
            rules.began(610, 2, None);
        }),
        (Rule::Drain, &|rules| rules.stopped(700, 0, false)),
        (Rule::FallOver, &|rules| rules.stands(10, 0, 101.0, 1)),
        (Rule::FallOver, &|rules| {
            (0..400).for_each(|beat| rules.stands(beat * 100, 1, 1.0, 5))
        }),
    ];
    for (rule, cheat) in cheats {
        let mut rules = rules();
        cheat(&mut rules);
        caught(&rules, rule);
    }
    // What a crash takes along is no breach of a drain.
    let mut rules = rules();
    rules.stopped(700, 0, true);
    assert_eq!(rules.count, 0);
}
