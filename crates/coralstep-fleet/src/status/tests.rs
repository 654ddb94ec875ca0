use super::*;

pub(crate) fn status(name: &str, incarnation: u64, sequence: u64) -> NodeStatus {
    NodeStatus {
        member: Member::new(name, "127.0.0.1:1".parse().unwrap(), incarnation),
        sequence,
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
        audit: ChainHead::default(),
        orders: Vec::new(),
    }
}

fn payload(statuses: &[(NodeStatus, u32)]) -> Vec<u8> {
    postcard::to_allocvec(statuses).unwrap()
}

#[test]
fn keeps_the_newest_status_of_an_origin_regardless_of_arrival_order() {
    let (mut statuses, own) = (
        NodeStatuses::default(),
        Member::new("me", "127.0.0.1:9".parse().unwrap(), 1),
    );
    assert_eq!(
        statuses
            .receive(1_000, &own, &payload(&[(status("a", 5, 2), 300)]))
            .len(),
        1
    );
    assert_eq!(
        statuses.get(&status("a", 5, 2).member).unwrap().sent_at,
        700
    );
    // An older status, a duplicate, and one of an earlier process are ignored.
    for (old, age) in [
        (status("a", 5, 1), 0),
        (status("a", 5, 2), 0),
        (status("a", 4, 9), 0),
    ] {
        assert!(
            statuses
                .receive(1_000, &own, &payload(&[(old, age)]))
                .is_empty()
        );
    }
    // A status that names this server as its origin is ignored.
    let mut mine = status("me", 7, 7);
    mine.member.address = own.address;
    assert!(
        statuses
            .receive(1_000, &own, &payload(&[(mine, 0)]))
            .is_empty()
    );
    // After a restart, the sequence starts again under a higher incarnation.
    assert_eq!(
        statuses
            .receive(1_000, &own, &payload(&[(status("a", 6, 1), 0)]))
            .len(),
        1
    );
}

#[test]
fn drops_invalid_undecodable_and_expired_statuses() {
    let own = Member::new("me", "127.0.0.1:9".parse().unwrap(), 1);
    let mut statuses = NodeStatuses::default();
    assert_eq!(
        statuses
            .receive(1_000, &own, &payload(&[(status("a", 6, 1), 0)]))
            .len(),
        1
    );
    // More successful than submitted RPCs.
    let mut invalid = status("b", 1, 1);
    invalid.succeeded = 5;
    assert!(
        statuses
            .receive(1_000, &own, &payload(&[(invalid, 0)]))
            .is_empty()
    );
    assert!(
        statuses
            .receive(1_000, &own, b"\xff\xff\xff\xff\x0f")
            .is_empty()
    );
    statuses.expire(1_000 + MAX_AGE_MS + 1);
    assert_eq!(statuses.iter().count(), 0);
}

#[test]
fn sends_the_least_relayed_statuses_first_within_the_size_limit() {
    let (mut statuses, own) = (
        NodeStatuses::default(),
        Member::new("me", "127.0.0.1:9".parse().unwrap(), 1),
    );
    for number in 0..40 {
        statuses.receive(
            0,
            &own,
            &payload(&[(status(&format!("n{number}"), 1, 1), 0)]),
        );
    }
    statuses.set_own(status("me", 1, 1));
    let mut seen = std::collections::HashSet::new();
    for _ in 0..8 {
        let bytes = statuses.next_payload(0, 400).unwrap();
        assert!(bytes.len() <= 400);
        let sent: Vec<(NodeStatus, u32)> = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(sent[0].0.member.name, "me");
        seen.extend(sent.into_iter().map(|(status, _)| status.member.name));
    }
    assert_eq!(seen.len(), 41, "every status is relayed");
}
