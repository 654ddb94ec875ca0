//! Compares the encoding of datagrams and snapshots with the golden files in `tests/golden`.
//! `GOLDEN_WRITE=1` rewrites these files.
use std::fmt::Debug;
use std::net::SocketAddr;

use coralstep_fleet::audit::{AuditChain, AuditEntry, verify};
use coralstep_fleet::datagram::{Datagram, Payload, PayloadKind, fleet_id};
use coralstep_fleet::fleet::{Publication, Snapshot, Transmit};
use coralstep_fleet::membership::{Membership, MembershipChange};
use coralstep_fleet::rollout::RpcCounts;
use coralstep_fleet::status::{
    ChainHead, MembershipOrder, NodeStatus, NodeStatuses, PastVersion, Rejection,
};
use coralstep_fleet::versions::{Version, VersionMessage, hash};
use coralstep_fleet::{Fleet, FleetConfig, Member, VersionId};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Asserts that the named byte strings `actual` equal a golden file and returns the byte strings of
/// that file. Each line consists of a name and hexadecimal digits.
fn golden(file: &str, actual: &[(String, Vec<u8>)]) -> Vec<Vec<u8>> {
    let path = format!("{}/tests/golden/{file}.hex", env!("CARGO_MANIFEST_DIR"));
    let hex = |bytes: &[u8]| {
        bytes
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
    };
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        let lines = actual
            .iter()
            .map(|(name, bytes)| format!("{name} {}\n", hex(bytes)));
        std::fs::write(&path, lines.collect::<String>()).unwrap();
    }
    let text = std::fs::read_to_string(&path).unwrap();
    let lines: Vec<(&str, &str)> = text
        .lines()
        .map(|line| line.split_once(' ').unwrap())
        .collect();
    assert_eq!(lines.len(), actual.len(), "{file}");
    for ((name, digits), (actual_name, bytes)) in lines.iter().zip(actual) {
        assert_eq!(
            (*name, *digits),
            (actual_name.as_str(), hex(bytes).as_str()),
            "{file}"
        );
    }
    let byte =
        |digits: &[u8]| u8::from_str_radix(std::str::from_utf8(digits).unwrap(), 16).unwrap();
    lines
        .iter()
        .map(|(_, digits)| digits.as_bytes().chunks(2).map(byte).collect())
        .collect()
}

/// Asserts that each value is encoded as its golden bytes and that these are decoded to the value.
fn assert_round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    file: &str,
    values: &[(&str, T)],
) {
    let encode = |value: &T| postcard::to_allocvec(value).unwrap();
    let encoded: Vec<_> = values
        .iter()
        .map(|(name, value)| ((*name).to_owned(), encode(value)))
        .collect();
    for (golden, (name, value)) in golden(file, &encoded).iter().zip(values) {
        assert_eq!(
            postcard::from_bytes::<T>(golden).as_ref(),
            Ok(value),
            "{file} {name}"
        );
    }
}

/// Unix time at which the servers start, in milliseconds.
const START_UNIX_MS: u64 = 1_790_000_001_000;

fn ipv4_member() -> Member {
    Member::new(
        "server-17.alps",
        "10.1.2.200:7300".parse().unwrap(),
        1_790_000_000_123,
    )
}

fn ipv6_member() -> Member {
    Member::new(
        "süd-2",
        "[2001:db8::ff]:65535".parse().unwrap(),
        (1 << 40) + 5,
    )
}

fn version_id(number: u64) -> VersionId {
    VersionId {
        number,
        hash: std::array::from_fn(|index| 0xf0 + index as u8),
    }
}

fn past_version() -> PastVersion {
    PastVersion {
        version: version_id(299),
        from_ms: 1_789_999_000_000,
        to_ms: 1_790_000_000_001,
        rpcs: (1 << 34) + 9,
    }
}

fn orders() -> Vec<MembershipOrder> {
    let order = |member: &str, sequence, exclude| MembershipOrder {
        member: member.to_owned(),
        sequence,
        exclude,
    };
    vec![
        order("server-17.alps", 1 << 41, true),
        order("süd-2", 200, false),
    ]
}

/// Returns the status of a server after its start.
fn initial_status() -> NodeStatus {
    NodeStatus {
        member: ipv6_member(),
        sequence: 1,
        leaving: false,
        excluded: false,
        wants_exclusion: false,
        active_version: VersionId::default(),
        active_since_ms: 1_790_000_000_000,
        rpcs: 0,
        succeeded: 0,
        previous: None,
        newest_held: VersionId::default(),
        rejected: None,
        audit: ChainHead::default(),
        orders: Vec::new(),
    }
}

/// Returns a status with all fields set except the flags.
fn full_status() -> NodeStatus {
    NodeStatus {
        member: ipv4_member(),
        sequence: 300,
        active_version: version_id(300),
        active_since_ms: 1_790_000_000_002,
        rpcs: (1 << 33) + 2,
        succeeded: (1 << 33) + 1,
        previous: Some(past_version()),
        newest_held: version_id(1 << 36),
        rejected: Some(Rejection {
            version: version_id(301),
            reason: "limits[0].rps: −1 is not from 0.01".to_owned(),
        }),
        audit: ChainHead {
            hash: std::array::from_fn(|index| 0x80 + index as u8),
            length: 70_000,
        },
        orders: orders(),
        ..initial_status()
    }
}

/// Returns an initial status, a full one, and one with each flag.
fn statuses() -> Vec<(&'static str, NodeStatus)> {
    let initial = initial_status();
    vec![
        ("first", initial.clone()),
        ("full", full_status()),
        (
            "leaving",
            NodeStatus {
                leaving: true,
                ..initial.clone()
            },
        ),
        (
            "shut",
            NodeStatus {
                excluded: true,
                ..initial.clone()
            },
        ),
        (
            "wants_out",
            NodeStatus {
                wants_exclusion: true,
                ..initial
            },
        ),
    ]
}

fn version() -> Version {
    Version {
        number: 300,
        replaces: version_id(299),
        mandatory: true,
        publisher: "server-17.alps".to_owned(),
        published_at_ms: 1_790_000_000_123,
        stages: vec![0.05, 0.3, 1.0],
        stage_pause_ms: (1 << 32) + 600,
        content: "{\"limits\":[{\"name\":\"größte\",\"rps\":200.5}]}".to_owned(),
    }
}

fn chain() -> AuditChain {
    let mut chain = AuditChain::default();
    let mut append = |version, from_ms, to_ms, rpcs| {
        chain.append(PastVersion {
            version,
            from_ms,
            to_ms,
            rpcs,
        });
    };
    append(
        VersionId::default(),
        1_789_000_000_000,
        1_789_999_000_000,
        0,
    );
    append(
        version_id(299),
        1_789_999_000_000,
        1_790_000_000_001,
        (1 << 34) + 9,
    );
    append(version_id(300), 1_790_000_000_001, 1_790_000_000_002, 130);
    chain
}

fn fleet(own: Member, peers: Vec<SocketAddr>) -> Fleet {
    let name = "alps".to_owned();
    let config = FleetConfig {
        name,
        own,
        peers,
        max_lag: 10_000,
        max_silence: 10_000,
        exclude_when_isolated: false,
        seed: 7,
    };
    Fleet::new(config, 0, START_UNIX_MS)
}

/// Guards against a renumbered payload kind or a changed header, which other releases can't read.
#[test]
fn encoding_of_datagrams_is_stable() {
    let kinds = [
        PayloadKind::Membership,
        PayloadKind::Statuses,
        PayloadKind::Versions,
        PayloadKind::QuotaGossip,
        PayloadKind::QuotaMessage,
        PayloadKind::HealthGossip,
        PayloadKind::HealthMessage,
    ];
    let datagram = |from: Member, sequence, echo| {
        let payloads = kinds.iter().enumerate().map(|(index, kind)| Payload {
            kind: *kind,
            bytes: vec![0xf0 + index as u8; index * 30],
        });
        let mut datagram = Datagram::new(fleet_id("alps"), from, 1_790_000_000_456);
        datagram.sequence = sequence;
        datagram.echo = echo;
        datagram.payloads = payloads.collect();
        datagram
    };
    let values = [
        ("near", datagram(ipv4_member(), 200, 1 << 33)),
        ("far", datagram(ipv6_member(), (1 << 50) + 1, 0)),
    ];
    let actual = values
        .clone()
        .map(|(name, value)| (name.to_owned(), value.encode()));
    for (bytes, (name, value)) in golden("datagrams", &actual).iter().zip(values) {
        assert_eq!(
            Datagram::decode(bytes, fleet_id("alps")),
            Ok(value),
            "{name}"
        );
    }
}

/// Guards against a reordered field or variant, which servers of another release would misread.
#[test]
fn encoding_of_statuses_and_version_messages_is_stable() {
    assert_round_trip("words", &statuses());
    let chunk = (0..=255).collect();
    let messages = [
        (
            "want",
            VersionMessage::Request {
                id: version_id(300),
                chunks: vec![0, 127, 128, 262],
            },
        ),
        (
            "piece",
            VersionMessage::Chunk {
                id: version_id(1 << 40),
                version_bytes: 262_144,
                index: 200,
                data: chunk,
            },
        ),
    ];
    assert_round_trip("letters", &messages);
}

/// Guards against a changed encoding of status lists or ages, which other releases would misread.
#[test]
fn encoding_of_status_payloads_is_stable() {
    let mut statuses = statuses().into_iter().map(|(_, status)| status);
    let (relayed, own) = (statuses.next().unwrap(), statuses.next().unwrap());
    let mut disseminator = NodeStatuses::default();
    let payload = postcard::to_allocvec(&vec![(relayed.clone(), 5_000u32)]).unwrap();
    disseminator.receive(100_000, &own.member, &payload);
    disseminator.set_own(own.clone());
    let actual = [(
        "own_and_passed".to_owned(),
        disseminator.next_payload(165_535, 1_000).unwrap(),
    )];
    let bytes = golden("spread", &actual).remove(0);
    let mut other = NodeStatuses::default();
    assert_eq!(
        other.receive(200_000, &Member::new("x", ipv4_member().address, 1), &bytes),
        [own.clone(), relayed.clone()]
    );
    assert_eq!(
        other.get(&own.member).map(|received| received.sent_at),
        Some(200_000)
    );
    assert_eq!(
        other.get(&relayed.member).map(|received| received.sent_at),
        Some(200_000 - 70_535)
    );
}

/// Guards against releases that disagree on the encoding, the id or the stages of a version.
#[test]
fn encoding_id_and_stages_of_versions_are_stable() {
    let unstaged = Version {
        mandatory: false,
        stages: Vec::new(),
        stage_pause_ms: 0,
        replaces: VersionId::default(),
        ..version()
    };
    let versions = [("waved", version()), ("plain", unstaged)];
    let mut actual: Vec<_> = versions
        .iter()
        .map(|(name, version)| ((*name).to_owned(), version.encode()))
        .collect();
    for (name, version) in &versions {
        let id = Version::decode(&version.encode()).unwrap().id;
        let stages = (0..64)
            .map(|index| version.stage(&format!("n{index}")).unwrap() as u8)
            .collect();
        actual.push((format!("{name}_id"), id.to_string().into_bytes()));
        actual.push((format!("{name}_waves"), stages));
    }
    let bytes = golden("versions", &actual);
    for (encoded, (_, version)) in bytes.iter().zip(&versions) {
        assert_eq!(
            Version::decode(encoded)
                .map(|published| published.version)
                .as_ref(),
            Some(version)
        );
    }
}

/// Guards against changed audit entries or hashes, for which a restart would discard the snapshot.
#[test]
fn encoding_of_snapshots_is_stable_and_snapshots_are_restored() {
    let chain = chain();
    let entries: Vec<AuditEntry> = chain.entries().cloned().collect();
    let names = ["none", "older", "newer"];
    assert_round_trip(
        "entries",
        &names
            .into_iter()
            .zip(entries.iter().cloned())
            .collect::<Vec<_>>(),
    );
    assert_eq!(verify(entries.iter()), Ok(()));
    let head = chain.head();
    golden(
        "chain_head",
        &[(
            "head".to_owned(),
            [&head.hash[..], &head.length.to_le_bytes()].concat(),
        )],
    );

    let mut fleet = fleet(ipv4_member(), Vec::new());
    let encoded_entries: Vec<Vec<u8>> = entries
        .iter()
        .map(|entry| postcard::to_allocvec(entry).unwrap())
        .collect();
    let id = Version::decode(&version().encode()).unwrap().id;
    let snapshot = Snapshot {
        active_version: version().encode(),
        audit_entries: encoded_entries.clone(),
    };
    assert_eq!(fleet.restore(&snapshot), Some(id));
    assert_eq!(fleet.take_events(), []);
    assert_eq!(fleet.snapshot().audit_entries, encoded_entries);
}

/// Guards against a changed encoding of members or SWIM messages, by which releases can't find each other.
#[test]
fn encoding_of_membership_messages_is_stable() {
    let mut members = [
        Membership::new(ipv4_member(), &[ipv6_member().address], 7),
        Membership::new(ipv6_member(), &[], 8),
    ];
    let mut actual = Vec::new();
    for now in (0..2_500).step_by(100) {
        for from in 0..2 {
            members[from].handle_timeout(now);
            for message in members[from].take_messages() {
                members[1 - from].receive(now, &message.bytes);
                actual.push((format!("{now}_from_{from}"), message.bytes));
            }
        }
    }
    assert!(
        members[1]
            .take_changes()
            .contains(&MembershipChange::Up(ipv4_member()))
            && members[0]
                .take_changes()
                .contains(&MembershipChange::Up(ipv6_member()))
    );
    members[0].leave(2_500);
    let leave_messages = members[0]
        .take_messages()
        .into_iter()
        .map(|message| ("leaves".to_owned(), message.bytes));
    actual.extend(leave_messages);
    let bytes = golden("members", &actual);
    // A new process in place of the second member receives the golden bytes.
    let mut other = Membership::new(ipv6_member(), &[], 9);
    let receive = |other: &mut Membership, from: &str| {
        let messages = bytes
            .iter()
            .zip(&actual)
            .filter(|(_, (name, _))| name.ends_with(from));
        messages.for_each(|(bytes, _)| other.receive(0, bytes));
    };
    receive(&mut other, "from_0");
    assert_eq!(other.take_changes(), [MembershipChange::Up(ipv4_member())]);
    receive(&mut other, "leaves");
    assert_eq!(
        other.take_changes(),
        [MembershipChange::Down(ipv4_member())]
    );
}

/// Returns the datagrams that two servers exchange within five seconds. The first server publishes two
/// versions. The second one activates the first version, rejects the second, is excluded and
/// readmitted. Then the first server leaves.
fn scenario() -> Vec<(String, Vec<u8>)> {
    let mut servers = [
        fleet(ipv4_member(), vec![ipv6_member().address]),
        fleet(ipv6_member(), vec![ipv4_member().address]),
    ];
    let mut sent = Vec::new();
    for now in (0..5_000).step_by(100) {
        let wall_ms = START_UNIX_MS + now;
        match now {
            1_500 | 2_500 => {
                let publication = Publication {
                    content: format!("{{\"limits\":[],\"at\":{now}}}"),
                    mandatory: now > 2_000,
                    stages: Vec::new(),
                    stage_pause_ms: 0,
                };
                let id = servers[0].publish(now, wall_ms, publication).unwrap();
                servers[0].activate(now, wall_ms, id);
            }
            3_000 => servers[0]
                .set_excluded(now, &ipv6_member().name, true)
                .unwrap(),
            3_500 => servers[0]
                .set_excluded(now, &ipv6_member().name, false)
                .unwrap(),
            4_500 => servers[0].leave(now, wall_ms),
            _ => {}
        }
        if let Some(pending) = servers[1].pending_version(now) {
            match now < 2_500 {
                true => servers[1].activate(now, wall_ms, pending.id),
                false => servers[1].reject(now, pending.id, "limits: unknown"),
            }
        }
        let rpcs = RpcCounts {
            submitted: now * 3,
            succeeded: now * 2,
        };
        for from in 0..2 {
            servers[from].handle_timeout(now, wall_ms, rpcs);
            for Transmit { bytes, .. } in servers[from].take_datagrams() {
                servers[1 - from]
                    .handle_datagram(now, wall_ms, &bytes)
                    .unwrap();
                sent.push((format!("{now}_from_{from}"), bytes));
            }
        }
    }
    sent
}

/// Guards against a value assigned to another field of the same type, and against changes in
/// which datagrams are sent.
#[test]
fn datagrams_of_a_scenario_are_stable() {
    let sent = scenario();
    let has_version_message = |(_, bytes): &&(String, Vec<u8>)| {
        let datagram = Datagram::decode(bytes, fleet_id("alps")).unwrap();
        datagram
            .payloads
            .iter()
            .any(|payload| payload.kind == PayloadKind::Versions)
    };
    // Each of the two versions is requested once and sent in one chunk.
    assert_eq!(sent.iter().filter(has_version_message).count(), 4);
    // The hashes of all datagrams, and the last four datagrams completely.
    let mut actual: Vec<_> = sent
        .iter()
        .map(|(name, bytes)| (name.clone(), hash(bytes).to_vec()))
        .collect();
    actual.extend(sent[sent.len() - 4..].iter().cloned());
    golden("play", &actual);
}
