use super::*;

fn member(name: &str, started: u64) -> Member {
    Member::new(name, "127.0.0.1:1".parse().unwrap(), started)
}

fn three() -> Vec<Tenure> {
    let named: Vec<String> = ["a", "b", "c"].map(str::to_owned).to_vec();
    named
        .iter()
        .map(|name| Tenure::new(&member(name, 1), &named, 10_000, 7, 0))
        .collect()
}

#[test]
fn most_of_the_named_give_a_tenure_and_nobody_else_gets_one_meanwhile() {
    let mut all = three();
    let there: BTreeMap<String, Member> = ["a", "b", "c"]
        .iter()
        .map(|name| ((*name).to_owned(), member(name, 1)))
        .collect();
    let start = stretched(TENURE);
    assert!(
        all[0].tick(start - 1, &there, false).0.is_empty(),
        "a voter that has just started promises nothing"
    );
    assert!(!all[1].vote(start - 1, &member("a", 1), 1, 10_000));
    let (letters, begins) = all[0].tick(start, &there, false);
    assert!(!begins && letters.len() == 3);
    assert!(all[1].vote(start + 5, &member("a", 1), 1, 10_000));
    assert!(all[0].voted(start + 10, "b", 1, true) && all[0].holds(start + 10));
    assert!(
        !all[1].vote(start + 20, &member("c", 1), 1, 10_000),
        "it is promised"
    );
    assert!(
        !all[2].vote(start + 20, &member("a", 1), 2, 9_000),
        "another lease is another reckoning"
    );
    // It ends by itself, before any promise does.
    assert!(!all[0].holds(start + shrunk(TENURE)));
    assert!(!all[1].vote(start + shrunk(TENURE), &member("c", 1), 1, 10_000));
    assert!(all[1].vote(start + 6 + stretched(TENURE), &member("c", 1), 1, 10_000));
    // A late answer to an old question begins nothing.
    assert!(!all[0].voted(start + 9_000, "c", 1, true));
}

#[test]
fn one_that_got_too_few_votes_gives_them_back() {
    let mut all = three();
    let there: BTreeMap<String, Member> = [("b".to_owned(), member("b", 1))].into();
    let start = stretched(TENURE);
    all[0].tick(start, &there, false);
    assert!(!all[0].voted(start + 10, "b", 1, false));
    let (letters, _) = all[0].tick(start + ELECTION, &there, false);
    assert!(
        matches!(letters[..], [(_, Letter::Release { .. })]),
        "{letters:?}"
    );
    assert!(
        all[0].vote(start + ELECTION, &member("c", 1), 1, 10_000),
        "its own vote is free again"
    );
    // A late letter takes no later promise back.
    assert!(all[1].vote(start + ELECTION, &member("a", 1), 5, 10_000));
    all[1].released(&member("a", 1), 4);
    assert!(!all[1].vote(start + ELECTION, &member("c", 1), 1, 10_000));
    all[1].released(&member("a", 1), 5);
    assert!(all[1].vote(start + ELECTION, &member("c", 1), 1, 10_000));
    assert!(
        !all[0].voted(start + ELECTION + 1, "b", 1, true) && !all[0].holds(start + ELECTION + 1)
    );
}
