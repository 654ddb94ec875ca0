use super::*;
use crate::membership::Member;

fn version(number: u64, replaces: VersionId, content: &str) -> Version {
    Version {
        number,
        replaces,
        mandatory: false,
        publisher: "n1".to_owned(),
        published_at_ms: 5,
        stages: Vec::new(),
        stage_pause_ms: 0,
        content: content.to_owned(),
    }
}

fn holder(name: &str) -> Member {
    Member::new(name, "127.0.0.1:7".parse().unwrap(), 1)
}

/// Transfers the newest version from `from` to `to`. `fault` may alter or drop chunk messages.
fn fetch(
    from: &mut VersionStore,
    to: &mut VersionStore,
    mut fault: impl FnMut(usize, VersionMessage) -> Option<VersionMessage>,
) -> Option<VersionId> {
    let mut count = 0;
    for now in (0..200_000).step_by(100) {
        for request in to.poll_fetch(now, |_| vec![holder("a"), holder("b")], 0.5) {
            for chunk in from.handle_message(now, request.message).replies {
                count += 1;
                let completed =
                    fault(count, chunk).and_then(|chunk| to.handle_message(now, chunk).completed);
                if completed.is_some() {
                    return completed;
                }
            }
        }
    }
    None
}

#[test]
fn fetched_version_is_stored_only_if_complete_and_uncorrupted() {
    let content: String = (0..9_000)
        .map(|index| char::from(b'a' + (index % 23) as u8))
        .collect();
    let mut publisher = VersionStore::default();
    let id = publisher
        .publish(0, version(1, VersionId::default(), &content))
        .unwrap();
    // Every third message is lost, and of the first 40 every seventh is corrupt, as from a faulty
    // holder.
    let mut other = VersionStore::default();
    other.record_reported(id);
    let lossy = |count: usize, message| match message {
        _ if count.is_multiple_of(3) => None,
        VersionMessage::Chunk {
            id,
            version_bytes,
            index,
            mut data,
        } if count.is_multiple_of(7) && count < 40 => {
            data[0] ^= 1;
            Some(VersionMessage::Chunk {
                id,
                version_bytes,
                index,
                data,
            })
        }
        message => Some(message),
    };
    assert_eq!(fetch(&mut publisher, &mut other, lossy), Some(id));
    assert_eq!(other.get(id), publisher.get(id));
    // A version whose chunks are always altered is never stored.
    let mut third = VersionStore::default();
    third.record_reported(id);
    let corrupt_all = |_, message| match message {
        VersionMessage::Chunk {
            id,
            version_bytes,
            index,
            mut data,
        } => {
            data[0] ^= 1;
            Some(VersionMessage::Chunk {
                id,
                version_bytes,
                index,
                data,
            })
        }
        message => Some(message),
    };
    assert_eq!(fetch(&mut publisher, &mut third, corrupt_all), None);
    assert!(third.get(id).is_none());
}

#[test]
fn servers_resolve_a_fork_to_the_same_version_and_report_it() {
    let (mut left, mut right) = (VersionStore::default(), VersionStore::default());
    let root = left
        .publish(0, version(1, VersionId::default(), "{}"))
        .unwrap();
    right
        .publish(0, version(1, VersionId::default(), "{}"))
        .unwrap();
    let a = left.publish(0, version(2, root, "{\"a\":1}")).unwrap();
    let b = right.publish(0, version(2, root, "{\"b\":1}")).unwrap();
    assert!(a != b && a.number == b.number);
    left.record_reported(b);
    right.record_reported(a);
    let (mut left2, mut right2) = (VersionStore::default(), VersionStore::default());
    left2.publish(0, version(2, root, "{\"a\":1}")).unwrap();
    right2.publish(0, version(2, root, "{\"b\":1}")).unwrap();
    fetch(&mut right2, &mut left, |_, message| Some(message));
    fetch(&mut left2, &mut right, |_, message| Some(message));
    // Only the server with the smaller id has to fetch. Then both have the same newest version.
    assert_eq!(left.newest(), right.newest());
    assert_eq!(left.newest(), a.max(b));
    let fork = Fork {
        superseded: a.min(b),
        winner: a.max(b),
    };
    let loser = if a < b { &left } else { &right };
    assert_eq!(loser.newest_accepted().unwrap().id, a.max(b));
    assert_eq!(loser.forks(), [fork]);
}

#[test]
fn newest_accepted_version_skips_a_rejected_one() {
    let mut versions = VersionStore::default();
    let first = versions
        .publish(0, version(1, VersionId::default(), "{}"))
        .unwrap();
    let second = versions.publish(0, version(2, first, "{\"x\":1}")).unwrap();
    versions.reject(second, &"é".repeat(MAX_REASON_BYTES));
    assert_eq!(versions.newest_accepted().unwrap().id, first);
    assert!(versions.rejection_reason(second).unwrap().len() <= MAX_REASON_BYTES);
}

#[test]
fn stages_contain_their_fractions_of_the_servers() {
    let mut staged = version(1, VersionId::default(), "{}");
    (staged.stages, staged.stage_pause_ms) = (vec![0.05, 0.3, 1.0], 10_000);
    let mut counts = [0; 3];
    (0..1_000).for_each(|index| counts[staged.stage(&format!("n{index}")).unwrap()] += 1);
    assert!(
        (20..90).contains(&counts[0]) && (200..300).contains(&counts[1]),
        "{counts:?}"
    );
    assert!((0..1_000).all(|index| staged.stage_delay_ms(&format!("n{index}")).unwrap() <= 20_000));
}

#[test]
fn version_id_is_displayed_and_parsed() {
    let id = VersionId {
        number: 7,
        hash: hash(b"x"),
    };
    assert_eq!(id.to_string().parse(), Ok(id));
    assert_eq!("0".parse(), Ok(VersionId::default()));
    assert!("7-12".parse::<VersionId>().is_err() && "x".parse::<VersionId>().is_err());
}
