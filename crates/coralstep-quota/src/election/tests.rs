use super::*;

fn member(name: &str, started: u64) -> Member {
    Member::new(name, "127.0.0.1:1".parse().unwrap(), started)
}

fn three() -> Vec<LeaderElection> {
    let candidates: Vec<String> = ["a", "b", "c"].map(str::to_owned).to_vec();
    candidates
        .iter()
        .map(|name| LeaderElection::new(&member(name, 1), &candidates, 10_000, 7, 0))
        .collect()
}

#[test]
fn a_majority_of_candidates_elects_a_leader_and_nobody_else_is_elected_meanwhile() {
    let mut all = three();
    let there: BTreeMap<String, Member> = ["a", "b", "c"]
        .iter()
        .map(|name| ((*name).to_owned(), member(name, 1)))
        .collect();
    let start = lengthen_by_drift(TERM_MS);
    assert!(
        all[0].tick(start - 1, &there, false).messages.is_empty(),
        "a voter that has just started promises nothing"
    );
    assert!(!all[1].handle_vote_request(start - 1, &member("a", 1), 1, 10_000));
    let ballot = all[0].tick(start, &there, false);
    assert!(!ballot.term_began && ballot.messages.len() == 3);
    assert!(all[1].handle_vote_request(start + 5, &member("a", 1), 1, 10_000));
    assert!(all[0].handle_vote(start + 10, "b", 1, true) && all[0].is_leader(start + 10));
    assert!(
        !all[1].handle_vote_request(start + 20, &member("c", 1), 1, 10_000),
        "its vote is promised"
    );
    assert!(
        !all[2].handle_vote_request(start + 20, &member("a", 1), 2, 9_000),
        "another lease counts differently"
    );
    // It ends by itself, before any promise does.
    assert!(!all[0].is_leader(start + shorten_by_drift(TERM_MS)));
    assert!(!all[1].handle_vote_request(
        start + shorten_by_drift(TERM_MS),
        &member("c", 1),
        1,
        10_000
    ));
    assert!(all[1].handle_vote_request(
        start + 6 + lengthen_by_drift(TERM_MS),
        &member("c", 1),
        1,
        10_000
    ));
    // A late vote of an old ballot begins no term.
    assert!(!all[0].handle_vote(start + 9_000, "c", 1, true));
}

#[test]
fn a_candidate_with_too_few_votes_releases_them() {
    let mut all = three();
    let there: BTreeMap<String, Member> = [("b".to_owned(), member("b", 1))].into();
    let start = lengthen_by_drift(TERM_MS);
    all[0].tick(start, &there, false);
    assert!(!all[0].handle_vote(start + 10, "b", 1, false));
    let tick = all[0].tick(start + BALLOT_INTERVAL_MS, &there, false);
    assert!(
        matches!(
            tick.messages[..],
            [AddressedMessage {
                message: Message::VoteRelease { .. },
                ..
            }]
        ),
        "{tick:?}"
    );
    assert!(
        all[0].handle_vote_request(start + BALLOT_INTERVAL_MS, &member("c", 1), 1, 10_000),
        "its own vote is free again"
    );
    // A late release takes no later promise back.
    assert!(all[1].handle_vote_request(start + BALLOT_INTERVAL_MS, &member("a", 1), 5, 10_000));
    all[1].handle_vote_release(&member("a", 1), 4);
    assert!(!all[1].handle_vote_request(start + BALLOT_INTERVAL_MS, &member("c", 1), 1, 10_000));
    all[1].handle_vote_release(&member("a", 1), 5);
    assert!(all[1].handle_vote_request(start + BALLOT_INTERVAL_MS, &member("c", 1), 1, 10_000));
    assert!(
        !all[0].handle_vote(start + BALLOT_INTERVAL_MS + 1, "b", 1, true)
            && !all[0].is_leader(start + BALLOT_INTERVAL_MS + 1)
    );
}
