use super::*;

pub fn word(name: &str, started: u64, number: u64) -> NodeStatus {
    NodeStatus {
        member: Member::new(name, "127.0.0.1:1".parse().unwrap(), started),
        sequence: number,
        leaving: false,
        excluded: false,
        wants_exclusion: false,
        active_version: VersionId::default(),
        active_since_ms: 0,
        rpcs: 0,
        succeeded: 0,
        previous: None,
        newest_held: VersionId::default(),
        rejected: None,
        audit_head: [0; 8],
        audit_length: 0,
        orders: Vec::new(),
    }
}

fn pass(words: &[(NodeStatus, u32)]) -> Vec<u8> {
    postcard::to_allocvec(words).unwrap()
}

#[test]
fn the_newest_word_of_a_source_wins_whatever_way_it_came() {
    let (mut words, own) = (
        NodeStatuses::default(),
        Member::new("me", "127.0.0.1:9".parse().unwrap(), 1),
    );
    assert_eq!(
        words
            .receive(1_000, &own, &pass(&[(word("a", 5, 2), 300)]))
            .len(),
        1
    );
    assert_eq!(words.get(&word("a", 5, 2).member).unwrap().sent_at, 700);
    // Older, the same again, of the process before, and of this server itself.
    for (old, age) in [
        (word("a", 5, 1), 0),
        (word("a", 5, 2), 0),
        (word("a", 4, 9), 0),
    ] {
        assert!(words.receive(1_000, &own, &pass(&[(old, age)])).is_empty());
    }
    let mut mine = word("me", 7, 7);
    mine.member.address = own.address;
    assert!(words.receive(1_000, &own, &pass(&[(mine, 0)])).is_empty());
    // A restart.
    assert_eq!(
        words
            .receive(1_000, &own, &pass(&[(word("a", 6, 1), 0)]))
            .len(),
        1
    );
    // Figures that nobody could have are not taken, nor is what can't be read.
    let mut wild = word("b", 1, 1);
    wild.succeeded = 5;
    assert!(words.receive(1_000, &own, &pass(&[(wild, 0)])).is_empty());
    assert!(
        words
            .receive(1_000, &own, b"\xff\xff\xff\xff\x0f")
            .is_empty()
    );
    words.expire(1_000 + MAX_AGE_MS + 1);
    assert_eq!(words.iter().count(), 0);
}

#[test]
fn what_was_told_least_goes_first_and_the_room_is_kept() {
    let (mut words, own) = (
        NodeStatuses::default(),
        Member::new("me", "127.0.0.1:9".parse().unwrap(), 1),
    );
    for number in 0..40 {
        words.receive(0, &own, &pass(&[(word(&format!("n{number}"), 1, 1), 0)]));
    }
    words.set_own(word("me", 1, 1));
    let mut seen = std::collections::HashSet::new();
    for _ in 0..8 {
        let bytes = words.next_payload(0, 400).unwrap();
        assert!(bytes.len() <= 400);
        let said: Vec<(NodeStatus, u32)> = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(said[0].0.member.name, "me");
        seen.extend(said.into_iter().map(|(word, _)| word.member.name));
    }
    assert_eq!(seen.len(), 41, "none starves");
}
