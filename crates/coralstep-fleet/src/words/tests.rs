use super::*;

pub fn word(name: &str, started: u64, number: u64) -> Word {
    Word {
        of: Member::new(name, "127.0.0.1:1".parse().unwrap(), started),
        number,
        leaving: false,
        shut: false,
        wants_out: false,
        acts_on: Id::default(),
        since_ms: 0,
        rpcs: 0,
        ok: 0,
        before: None,
        knows: Id::default(),
        turned_down: None,
        chain: [0; 8],
        entries: 0,
        orders: Vec::new(),
    }
}

fn pass(words: &[(Word, u32)]) -> Vec<u8> {
    postcard::to_allocvec(words).unwrap()
}

#[test]
fn the_newest_word_of_a_source_wins_whatever_way_it_came() {
    let (mut words, own) = (
        Words::default(),
        Member::new("me", "127.0.0.1:9".parse().unwrap(), 1),
    );
    assert_eq!(
        words
            .heard(1_000, &own, &pass(&[(word("a", 5, 2), 300)]))
            .len(),
        1
    );
    assert_eq!(words.of(&word("a", 5, 2).of).unwrap().at, 700);
    // Older, the same again, of the process before, and of this server itself.
    for (old, age) in [
        (word("a", 5, 1), 0),
        (word("a", 5, 2), 0),
        (word("a", 4, 9), 0),
    ] {
        assert!(words.heard(1_000, &own, &pass(&[(old, age)])).is_empty());
    }
    let mut mine = word("me", 7, 7);
    mine.of.at = own.at;
    assert!(words.heard(1_000, &own, &pass(&[(mine, 0)])).is_empty());
    // A restart.
    assert_eq!(
        words
            .heard(1_000, &own, &pass(&[(word("a", 6, 1), 0)]))
            .len(),
        1
    );
    // Figures that nobody could have are not taken, nor is what can't be read.
    let mut wild = word("b", 1, 1);
    wild.ok = 5;
    assert!(words.heard(1_000, &own, &pass(&[(wild, 0)])).is_empty());
    assert!(words.heard(1_000, &own, b"\xff\xff\xff\xff\x0f").is_empty());
    words.forget(1_000 + FORGET + 1);
    assert_eq!(words.all().count(), 0);
}

#[test]
fn what_was_told_least_goes_first_and_the_room_is_kept() {
    let (mut words, own) = (
        Words::default(),
        Member::new("me", "127.0.0.1:9".parse().unwrap(), 1),
    );
    for number in 0..40 {
        words.heard(0, &own, &pass(&[(word(&format!("n{number}"), 1, 1), 0)]));
    }
    words.own(word("me", 1, 1));
    let mut seen = std::collections::HashSet::new();
    for _ in 0..8 {
        let bytes = words.said(0, 400).unwrap();
        assert!(bytes.len() <= 400);
        let said: Vec<(Word, u32)> = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(said[0].0.of.name, "me");
        seen.extend(said.into_iter().map(|(word, _)| word.of.name));
    }
    assert_eq!(seen.len(), 41, "none starves");
}
