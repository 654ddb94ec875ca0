//! The bytes between servers and of a fleet record, held still by the tables under `tests/golden`.
//! `GOLDEN_WRITE=1` writes these anew.
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

/// The bytes of a committed table (lines of a name and hexadecimal digits), which has to be what is written
/// now.
fn golden(table: &str, written: &[(String, Vec<u8>)]) -> Vec<Vec<u8>> {
    let path = format!("{}/tests/golden/{table}.hex", env!("CARGO_MANIFEST_DIR"));
    let hex = |bytes: &[u8]| {
        bytes
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
    };
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        let lines = written
            .iter()
            .map(|(name, bytes)| format!("{name} {}\n", hex(bytes)));
        std::fs::write(&path, lines.collect::<String>()).unwrap();
    }
    let text = std::fs::read_to_string(&path).unwrap();
    let lines: Vec<(&str, &str)> = text
        .lines()
        .map(|line| line.split_once(' ').unwrap())
        .collect();
    assert_eq!(lines.len(), written.len(), "{table}");
    for ((name, digits), (written_name, bytes)) in lines.iter().zip(written) {
        assert_eq!(
            (*name, *digits),
            (written_name.as_str(), hex(bytes).as_str()),
            "{table}"
        );
    }
    let byte =
        |digits: &[u8]| u8::from_str_radix(std::str::from_utf8(digits).unwrap(), 16).unwrap();
    lines
        .iter()
        .map(|(_, digits)| digits.as_bytes().chunks(2).map(byte).collect())
        .collect()
}

/// Each value is written to its golden bytes, and these are read as the value.
fn both_ways<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    table: &str,
    values: &[(&str, T)],
) {
    let bytes = |value: &T| postcard::to_allocvec(value).unwrap();
    let written: Vec<_> = values
        .iter()
        .map(|(name, value)| ((*name).to_owned(), bytes(value)))
        .collect();
    for (golden, (name, value)) in golden(table, &written).iter().zip(values) {
        assert_eq!(
            postcard::from_bytes::<T>(golden).as_ref(),
            Ok(value),
            "{table} {name}"
        );
    }
}

/// Unix milliseconds at which servers start.
const WALL_MS: u64 = 1_790_000_001_000;

fn near() -> Member {
    Member::new(
        "server-17.alps",
        "10.1.2.200:7300".parse().unwrap(),
        1_790_000_000_123,
    )
}

fn far() -> Member {
    Member::new(
        "süd-2",
        "[2001:db8::ff]:65535".parse().unwrap(),
        (1 << 40) + 5,
    )
}

fn id(number: u64) -> VersionId {
    VersionId {
        number,
        hash: std::array::from_fn(|at| 0xf0 + at as u8),
    }
}

fn past() -> PastVersion {
    PastVersion {
        version: id(299),
        from_ms: 1_789_999_000_000,
        to_ms: 1_790_000_000_001,
        rpcs: (1 << 34) + 9,
    }
}

fn orders() -> Vec<MembershipOrder> {
    let order = |server: &str, number, shut| MembershipOrder {
        member: server.to_owned(),
        sequence: number,
        exclude: shut,
    };
    vec![
        order("server-17.alps", 1 << 41, true),
        order("süd-2", 200, false),
    ]
}

/// The status of a server at its start.
fn first_status() -> NodeStatus {
    NodeStatus {
        member: far(),
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

/// A status with every field set but the flags.
fn full_status() -> NodeStatus {
    NodeStatus {
        member: near(),
        sequence: 300,
        active_version: id(300),
        active_since_ms: 1_790_000_000_002,
        rpcs: (1 << 33) + 2,
        succeeded: (1 << 33) + 1,
        previous: Some(past()),
        newest_held: id(1 << 36),
        rejected: Some(Rejection {
            version: id(301),
            reason: "limits[0].rps: −1 is not from 0.01".to_owned(),
        }),
        audit: ChainHead {
            hash: std::array::from_fn(|at| 0x80 + at as u8),
            length: 70_000,
        },
        orders: orders(),
        ..first_status()
    }
}

/// Statuses at the start, with every field set, and with each flag alone.
fn statuses() -> Vec<(&'static str, NodeStatus)> {
    let first = first_status();
    vec![
        ("first", first.clone()),
        ("full", full_status()),
        (
            "leaving",
            NodeStatus {
                leaving: true,
                ..first.clone()
            },
        ),
        (
            "shut",
            NodeStatus {
                excluded: true,
                ..first.clone()
            },
        ),
        (
            "wants_out",
            NodeStatus {
                wants_exclusion: true,
                ..first
            },
        ),
    ]
}

fn version() -> Version {
    Version {
        number: 300,
        replaces: id(299),
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
    append(id(299), 1_789_999_000_000, 1_790_000_000_001, (1 << 34) + 9);
    append(id(300), 1_790_000_000_001, 1_790_000_000_002, 130);
    chain
}

fn server(own: Member, peers: Vec<SocketAddr>) -> Fleet {
    let name = "alps".to_owned();
    let terms = FleetConfig {
        name,
        own,
        peers,
        max_lag: 10_000,
        max_silence: 10_000,
        exclude_when_isolated: false,
        seed: 7,
    };
    Fleet::new(terms, 0, WALL_MS)
}

/// Guards against a payload kind of another number, or a header that earlier releases can't read.
#[test]
fn a_datagram_keeps_its_bytes() {
    let all = [
        PayloadKind::Membership,
        PayloadKind::Statuses,
        PayloadKind::Versions,
        PayloadKind::QuotaGossip,
        PayloadKind::QuotaMessage,
        PayloadKind::HealthGossip,
        PayloadKind::HealthMessage,
    ];
    let datagram = |from: Member, sequence, echo| {
        let payloads = all.iter().enumerate().map(|(at, kind)| Payload {
            kind: *kind,
            bytes: vec![0xf0 + at as u8; at * 30],
        });
        let mut datagram = Datagram::new(fleet_id("alps"), from, 1_790_000_000_456);
        datagram.sequence = sequence;
        datagram.echo = echo;
        datagram.payloads = payloads.collect();
        datagram
    };
    let values = [
        ("near", datagram(near(), 200, 1 << 33)),
        ("far", datagram(far(), (1 << 50) + 1, 0)),
    ];
    let written = values
        .clone()
        .map(|(name, value)| (name.to_owned(), value.encode()));
    for (bytes, (name, value)) in golden("datagrams", &written).iter().zip(values) {
        assert_eq!(
            Datagram::decode(bytes, fleet_id("alps")),
            Ok(value),
            "{name}"
        );
    }
}

/// Guards against a field or message whose place changes: servers of two releases would misread it.
#[test]
fn statuses_and_version_messages_keep_their_bytes() {
    both_ways("words", &statuses());
    let piece = (0..=255).collect();
    let messages = [
        (
            "want",
            VersionMessage::Request {
                id: id(300),
                chunks: vec![0, 127, 128, 262],
            },
        ),
        (
            "piece",
            VersionMessage::Chunk {
                id: id(1 << 40),
                version_bytes: 262_144,
                index: 200,
                data: piece,
            },
        ),
    ];
    both_ways("letters", &messages);
}

/// Guards against a list of statuses, with their ages, that other servers read otherwise.
#[test]
fn a_payload_of_statuses_keeps_its_bytes() {
    let mut all = statuses().into_iter().map(|(_, word)| word);
    let (passed, own) = (all.next().unwrap(), all.next().unwrap());
    let mut disseminator = NodeStatuses::default();
    let told = postcard::to_allocvec(&vec![(passed.clone(), 5_000u32)]).unwrap();
    disseminator.receive(100_000, &own.member, &told);
    disseminator.set_own(own.clone());
    let written = [(
        "own_and_passed".to_owned(),
        disseminator.next_payload(165_535, 1_000).unwrap(),
    )];
    let bytes = golden("spread", &written).remove(0);
    let mut other = NodeStatuses::default();
    assert_eq!(
        other.receive(200_000, &Member::new("x", near().address, 1), &bytes),
        [own.clone(), passed.clone()]
    );
    assert_eq!(
        other.get(&own.member).map(|heard| heard.sent_at),
        Some(200_000)
    );
    assert_eq!(
        other.get(&passed.member).map(|heard| heard.sent_at),
        Some(200_000 - 70_535)
    );
}

/// Guards against another encoding, id or stage of one version: two releases have to agree on them.
#[test]
fn a_version_keeps_its_bytes_id_and_stages() {
    let plain = Version {
        mandatory: false,
        stages: Vec::new(),
        stage_pause_ms: 0,
        replaces: VersionId::default(),
        ..version()
    };
    let all = [("waved", version()), ("plain", plain)];
    let mut written: Vec<_> = all
        .iter()
        .map(|(name, one)| ((*name).to_owned(), one.encode()))
        .collect();
    for (name, one) in &all {
        let id = Version::decode(&one.encode()).unwrap().id;
        let waves = (0..64)
            .map(|at| one.stage(&format!("n{at}")).unwrap() as u8)
            .collect();
        written.push((format!("{name}_id"), id.to_string().into_bytes()));
        written.push((format!("{name}_waves"), waves));
    }
    let bytes = golden("versions", &written);
    for (blob, (_, one)) in bytes.iter().zip(&all) {
        assert_eq!(
            Version::decode(blob)
                .map(|published| published.version)
                .as_ref(),
            Some(one)
        );
    }
}

/// Guards against a snapshot that a restart discards: its entries' bytes and the hashes that chain them.
#[test]
fn a_fleet_snapshot_keeps_its_bytes_and_is_restored() {
    let chain = chain();
    let entries: Vec<AuditEntry> = chain.entries().cloned().collect();
    let names = ["none", "older", "newer"];
    both_ways(
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

    let mut fleet = server(near(), Vec::new());
    let kept: Vec<Vec<u8>> = entries
        .iter()
        .map(|entry| postcard::to_allocvec(entry).unwrap())
        .collect();
    let id = Version::decode(&version().encode()).unwrap().id;
    let snapshot = Snapshot {
        active_version: version().encode(),
        audit_entries: kept.clone(),
    };
    assert_eq!(fleet.restore(&snapshot), Some(id));
    assert_eq!(fleet.take_events(), []);
    assert_eq!(fleet.snapshot().audit_entries, kept);
}

/// Guards against members of two releases that don't find each other: an identity or message in other bytes.
#[test]
fn membership_messages_keep_their_bytes() {
    let mut all = [
        Membership::new(near(), &[far().address], 7),
        Membership::new(far(), &[], 8),
    ];
    let mut written = Vec::new();
    for now in (0..2_500).step_by(100) {
        for from in 0..2 {
            all[from].handle_timeout(now);
            for message in all[from].take_messages() {
                all[1 - from].receive(now, &message.bytes);
                written.push((format!("{now}_from_{from}"), message.bytes));
            }
        }
    }
    assert!(
        all[1]
            .take_changes()
            .contains(&MembershipChange::Up(near()))
            && all[0].take_changes().contains(&MembershipChange::Up(far()))
    );
    all[0].leave(2_500);
    let gone = all[0]
        .take_messages()
        .into_iter()
        .map(|message| ("leaves".to_owned(), message.bytes));
    written.extend(gone);
    let bytes = golden("members", &written);
    // Another process in the second one's place hears the golden bytes.
    let mut other = Membership::new(far(), &[], 9);
    let heard = |other: &mut Membership, from: &str| {
        let to_it = bytes
            .iter()
            .zip(&written)
            .filter(|(_, (name, _))| name.ends_with(from));
        to_it.for_each(|(bytes, _)| other.receive(0, bytes));
    };
    heard(&mut other, "from_0");
    assert_eq!(other.take_changes(), [MembershipChange::Up(near())]);
    heard(&mut other, "leaves");
    assert_eq!(other.take_changes(), [MembershipChange::Down(near())]);
}

/// The datagrams between two servers within five seconds: one publishes two versions, the other
/// activates the first and rejects the second, is excluded and readmitted; then the first leaves.
fn scenario() -> Vec<(String, Vec<u8>)> {
    let mut all = [
        server(near(), vec![far().address]),
        server(far(), vec![near().address]),
    ];
    let mut sent = Vec::new();
    for now in (0..5_000).step_by(100) {
        let wall_ms = WALL_MS + now;
        match now {
            1_500 | 2_500 => {
                let publication = Publication {
                    content: format!("{{\"limits\":[],\"at\":{now}}}"),
                    mandatory: now > 2_000,
                    stages: Vec::new(),
                    stage_pause_ms: 0,
                };
                let id = all[0].publish(now, wall_ms, publication).unwrap();
                all[0].activate(now, wall_ms, id);
            }
            3_000 => all[0].set_excluded(now, &far().name, true).unwrap(),
            3_500 => all[0].set_excluded(now, &far().name, false).unwrap(),
            4_500 => all[0].leave(now, wall_ms),
            _ => {}
        }
        if let Some(pending) = all[1].pending_version(now) {
            match now < 2_500 {
                true => all[1].activate(now, wall_ms, pending.id),
                false => all[1].reject(now, pending.id, "limits: unknown"),
            }
        }
        let rpcs = RpcCounts {
            submitted: now * 3,
            succeeded: now * 2,
        };
        for from in 0..2 {
            all[from].handle_timeout(now, wall_ms, rpcs);
            for Transmit { bytes, .. } in all[from].take_datagrams() {
                all[1 - from].handle_datagram(now, wall_ms, &bytes).unwrap();
                sent.push((format!("{now}_from_{from}"), bytes));
            }
        }
    }
    sent
}

/// Guards against a figure that lands in another field of the same type, and against other datagrams.
#[test]
fn all_datagrams_of_a_scenario_keep_their_bytes() {
    let sent = scenario();
    let messages = |(_, bytes): &&(String, Vec<u8>)| {
        let datagram = Datagram::decode(bytes, fleet_id("alps")).unwrap();
        datagram
            .payloads
            .iter()
            .any(|payload| payload.kind == PayloadKind::Versions)
    };
    // Two versions are asked for, and come in a piece each.
    assert_eq!(sent.iter().filter(messages).count(), 4);
    // Their hashes, and the last ones whole.
    let mut written: Vec<_> = sent
        .iter()
        .map(|(name, bytes)| (name.clone(), hash(bytes).to_vec()))
        .collect();
    written.extend(sent[sent.len() - 4..].iter().cloned());
    golden("play", &written);
}
