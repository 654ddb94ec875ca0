//! Compares the encoding of quota and vote messages with the golden files in `tests/golden`.
//! `GOLDEN_WRITE=1` rewrites these files.
use coralstep_fleet::Member;
use coralstep_fleet::extension::{GossipExtension, MembershipView};
use coralstep_quota::QuotaExtension;
use coralstep_quota::config::{CutOff, KnownNames, LimitConfig, resolve_limits};
use coralstep_quota::extension::ShareRow;
use coralstep_quota::limit::{Limit, LimitKey, RequestKey};
use coralstep_quota::message::{Grant, GrantBatch, Message, QuotaRequest, TermId};

/// Asserts that a golden table (lines of a name and hexadecimal digits) equals `written`, and returns its bytes.
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

/// Asserts that the golden file contains `text`.
fn assert_golden_text(name: &str, text: &str) {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, text).unwrap();
    }
    assert_eq!(std::fs::read_to_string(&path).unwrap(), text, "{name}");
}

fn sender() -> Member {
    Member::new(
        "server-17.alps",
        "10.1.2.200:7300".parse().unwrap(),
        1_790_000_000_123,
    )
}

fn receiver() -> Member {
    Member::new(
        "süd-2",
        "[2001:db8::ff]:65535".parse().unwrap(),
        (1 << 40) + 5,
    )
}

fn requests() -> Vec<QuotaRequest> {
    vec![
        QuotaRequest {
            key: LimitKey(u64::MAX - 1),
            held: 200,
            wanted: 70_000,
        },
        QuotaRequest {
            key: LimitKey(5),
            held: 0,
            wanted: 1,
        },
    ]
}

fn grants() -> Vec<Grant> {
    vec![
        Grant {
            key: LimitKey(1 << 45),
            units: 1_000_000,
            wait_ms: 300,
        },
        Grant {
            key: LimitKey(6),
            units: 0,
            wait_ms: 0,
        },
    ]
}

fn quota_messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "asks",
            Message::Requests {
                term: TermId((1 << 33) + 1),
                sequence: 300,
                requests: requests(),
            },
        ),
        (
            "asks_nothing",
            Message::Requests {
                term: TermId(0),
                sequence: 1,
                requests: Vec::new(),
            },
        ),
        (
            "gives",
            Message::Grants(GrantBatch {
                term: TermId((1 << 40) + 2),
                sequence: 301,
                lease_ms: 10_000,
                next_round_ms: 250,
                grants: grants(),
            }),
        ),
        (
            "elsewhere",
            Message::NotLeader {
                leader: Some(receiver()),
            },
        ),
        ("nobody", Message::NotLeader { leader: None }),
    ]
}

fn vote_messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "vote",
            Message::VoteRequest {
                ballot: 1 << 20,
                lease_ms: 12_000,
            },
        ),
        (
            "voted_yes",
            Message::Vote {
                ballot: 129,
                granted: true,
            },
        ),
        (
            "voted_no",
            Message::Vote {
                ballot: 2,
                granted: false,
            },
        ),
        ("release", Message::VoteRelease { ballot: u32::MAX }),
    ]
}

fn messages() -> Vec<(&'static str, Message)> {
    [quota_messages(), vote_messages()].concat()
}

/// Guards against reordered messages or fields, which another release would decode wrongly.
#[test]
fn encoding_of_messages_is_unchanged() {
    let written: Vec<_> = messages()
        .iter()
        .map(|(name, message)| ((*name).to_owned(), message.encode()))
        .collect();
    for (bytes, (name, message)) in golden("letters", &written).iter().zip(messages()) {
        assert_eq!(Message::decode(bytes).unwrap(), message, "{name}");
    }
}

fn limits() -> Vec<Limit> {
    let names = |all: &[&str]| {
        all.iter()
            .map(|name| (*name).to_owned())
            .collect::<Vec<_>>()
    };
    let (methods, tenants, dependencies) = (
        names(&["search", "order"]),
        names(&["north", "süd"]),
        names(&["stock"]),
    );
    let known = KnownNames {
        methods: &methods,
        calls_dependency: &[false, true],
        tenants: &tenants,
        dependencies: &dependencies,
    };
    let limit = |name: &str,
                 tenant: Option<&str>,
                 method: Option<&str>,
                 dependency: Option<&str>| LimitConfig {
        name: name.to_owned(),
        tenant: tenant.map(str::to_owned),
        method: method.map(str::to_owned),
        dependency: dependency.map(str::to_owned),
        rps: Some(1_000.5),
        burst: Some(2_000),
        in_flight: None,
        cut_off: CutOff::Open {
            per_server: 50.0,
            fleet_total: 400.0,
        },
    };
    let stock = LimitConfig {
        rps: None,
        burst: None,
        in_flight: Some(300),
        ..limit("c", None, None, Some("stock"))
    };
    let configs = [
        limit("a", Some("süd"), None, None),
        limit("b", Some("north"), Some("order"), None),
        stock,
    ];
    resolve_limits(&configs, &known).unwrap()
}

/// Guards against servers of two releases using different keys for one limit, so that its units are granted twice.
#[test]
fn keys_of_limits_are_unchanged() {
    let written: Vec<_> = limits()
        .iter()
        .map(|limit| (limit.name.clone(), limit.key.0.to_le_bytes().to_vec()))
        .collect();
    golden("keys", &written);
}

/// Returns the extension of the only candidate, and the time at which it has become leader.
fn elected_leader() -> (QuotaExtension, u64) {
    let mut extension = QuotaExtension::new(&sender(), &[sender().name], 10_000, 7, 0);
    extension.set_limits(0, &limits());
    let (own, mut now) = (sender(), 0);
    while !extension.is_leader(now) {
        assert!(now < 60_000);
        now += 100;
        tick(&mut extension, &own, now);
    }
    (extension, now)
}

fn tick(extension: &mut QuotaExtension, own: &Member, now: u64) {
    let view = MembershipView {
        own,
        present: Vec::new(),
        current: Vec::new(),
        excluded: Vec::new(),
        leaving: false,
    };
    extension.handle_timeout(now, &view);
}

/// Duration of the load in milliseconds; longer than the time in which a new leader grants no units for RPCs in flight.
const RUN_MS: u64 = 20_000;

/// Guards against other servers showing wrong shares (limit, units, RPCs in flight, admitted beyond the quota), and
/// against JSON keys that change with the names of fields.
#[test]
fn encoding_of_share_reports_is_unchanged() {
    let (mut extension, start) = elected_leader();
    let all = [(0, 1, true), (1, 0, false)].map(|(tenant, method, calls_dependency)| RequestKey {
        tenant: Some(tenant),
        method,
        calls_dependency,
    });
    for now in (start..start + RUN_MS).step_by(10) {
        all.iter()
            .for_each(|request| drop(extension.admit(now, *request, 0)));
        if now % 100 == 0 {
            tick(&mut extension, &sender(), now);
        }
    }
    let now = start + RUN_MS;
    let bytes = golden(
        "shares",
        &[(
            "shares".to_owned(),
            extension.next_gossip(now, 1_000).unwrap(),
        )],
    )
    .remove(0);
    let mut other = QuotaExtension::new(&receiver(), &[], 10_000, 8, 0);
    other.set_limits(0, &limits());
    other.handle_gossip(now + 70_000, &receiver(), &bytes);
    assert_golden_text(
        "rows.json",
        &serde_json::to_string_pretty(&other.share_rows(now + 70_000)).unwrap(),
    );
    let values = |row: &ShareRow| (row.limit.clone(), row.units, row.in_flight, row.over_quota);
    let theirs = other.share_rows(now + 70_000);
    let theirs: Vec<_> = theirs
        .iter()
        .filter(|row| row.server == sender().name)
        .map(values)
        .collect();
    let expected = |(limit, units, in_flight, over_quota): (&str, _, _, _)| {
        (limit.to_owned(), units, in_flight, over_quota)
    };
    assert_eq!(
        theirs,
        [("a", 40, 0, 6), ("b", 10, 0, 6), ("c", 300, 300, 6)].map(expected)
    );
}

/// Guards against error messages of invalid settings changing with the names of types.
#[test]
fn error_for_setting_of_wrong_type_is_unchanged() {
    let error = serde_json::from_str::<LimitConfig>("3").unwrap_err();
    assert_eq!(
        error.to_string(),
        "invalid type: integer `3`, expected struct LimitTerms at line 1 column 1"
    );
    let error = serde_json::from_str::<CutOff>(r#"{"open": 3}"#).unwrap_err();
    assert_eq!(
        error.to_string(),
        "invalid type: integer `3`, expected struct variant CutOff::Open at line 1 column 10"
    );
}
