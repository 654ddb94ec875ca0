use super::*;

fn member(name: &str, started: u64) -> Member {
    Member::new(name, "127.0.0.1:1".parse().unwrap(), started)
}

fn three_candidates() -> Vec<LeaderElection> {
    let candidates: Vec<String> = ["a", "b", "c"].map(str::to_owned).to_vec();
    candidates
        .iter()
        .map(|name| LeaderElection::new(&member(name, 1), &candidates, 10_000, 7, 0))
        .collect()
}

#[test]
fn majority_of_candidates_elects_one_leader_per_term() {
    let mut candidates = three_candidates();
    let present: BTreeMap<String, Member> = ["a", "b", "c"]
        .iter()
        .map(|name| ((*name).to_owned(), member(name, 1)))
        .collect();
    let start = lengthen_by_drift(TERM_MS);
    assert!(
        candidates[0]
            .handle_timeout(start - 1, &present, false)
            .messages
            .is_empty(),
        "a voter that has just started abstains"
    );
    assert!(!candidates[1].handle_vote_request(start - 1, &member("a", 1), 1, 10_000));
    let ballot = candidates[0].handle_timeout(start, &present, false);
    assert!(!ballot.term_began && ballot.messages.len() == 3);
    assert!(candidates[1].handle_vote_request(start + 5, &member("a", 1), 1, 10_000));
    assert!(
        candidates[0].handle_vote(start + 10, "b", 1, true) && candidates[0].is_leader(start + 10)
    );
    assert!(
        !candidates[1].handle_vote_request(start + 20, &member("c", 1), 1, 10_000),
        "it has voted for another candidate"
    );
    assert!(
        !candidates[2].handle_vote_request(start + 20, &member("a", 1), 2, 9_000),
        "the candidate has another lease"
    );
    // The term ends before any vote expires.
    assert!(!candidates[0].is_leader(start + shorten_by_drift(TERM_MS)));
    assert!(!candidates[1].handle_vote_request(
        start + shorten_by_drift(TERM_MS),
        &member("c", 1),
        1,
        10_000
    ));
    assert!(candidates[1].handle_vote_request(
        start + 6 + lengthen_by_drift(TERM_MS),
        &member("c", 1),
        1,
        10_000
    ));
    // A delayed vote of an old ballot begins no term.
    assert!(!candidates[0].handle_vote(start + 9_000, "c", 1, true));
}

#[test]
fn candidate_without_majority_releases_its_votes() {
    let mut candidates = three_candidates();
    let present: BTreeMap<String, Member> = [("b".to_owned(), member("b", 1))].into();
    let start = lengthen_by_drift(TERM_MS);
    candidates[0].handle_timeout(start, &present, false);
    assert!(!candidates[0].handle_vote(start + 10, "b", 1, false));
    let actions = candidates[0].handle_timeout(start + BALLOT_INTERVAL_MS, &present, false);
    assert!(
        matches!(
            actions.messages[..],
            [AddressedMessage {
                message: Message::VoteRelease { .. },
                ..
            }]
        ),
        "{actions:?}"
    );
    assert!(
        candidates[0].handle_vote_request(start + BALLOT_INTERVAL_MS, &member("c", 1), 1, 10_000),
        "it has released its own vote"
    );
    // A delayed release does not revoke a later vote.
    assert!(candidates[1].handle_vote_request(
        start + BALLOT_INTERVAL_MS,
        &member("a", 1),
        5,
        10_000
    ));
    candidates[1].handle_vote_release(&member("a", 1), 4);
    assert!(!candidates[1].handle_vote_request(
        start + BALLOT_INTERVAL_MS,
        &member("c", 1),
        1,
        10_000
    ));
    candidates[1].handle_vote_release(&member("a", 1), 5);
    assert!(candidates[1].handle_vote_request(
        start + BALLOT_INTERVAL_MS,
        &member("c", 1),
        1,
        10_000
    ));
    assert!(
        !candidates[0].handle_vote(start + BALLOT_INTERVAL_MS + 1, "b", 1, true)
            && !candidates[0].is_leader(start + BALLOT_INTERVAL_MS + 1)
    );
}
