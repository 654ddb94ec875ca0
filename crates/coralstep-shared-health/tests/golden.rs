//! Compares the encoding of health reports with the golden files in `tests/golden`.
//! `GOLDEN_WRITE=1` rewrites these files.
use coralstep_fleet::Member;
use coralstep_fleet::extension::GossipExtension;
use coralstep_fleet::gossip::Disseminator;
use coralstep_shared_health::report::{HealthReport, NodeHealth, ReportedBreakerState};
use coralstep_shared_health::{SharedHealth, SharingConfig};

/// Asserts that `actual` equals a golden file and returns the file's text.
fn golden(name: &str, actual: &str) -> String {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, format!("{actual}\n")).unwrap();
    }
    let text = std::fs::read_to_string(&path).unwrap();
    assert_eq!(text.trim_end(), actual, "{name}");
    text.trim_end().to_owned()
}

/// Asserts that `actual` equals a golden file of hexadecimal digits and returns the file's bytes.
fn golden_bytes(name: &str, actual: &[u8]) -> Vec<u8> {
    let text = golden(
        name,
        &actual
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>(),
    );
    let byte =
        |digits: &[u8]| u8::from_str_radix(std::str::from_utf8(digits).unwrap(), 16).unwrap();
    text.as_bytes().chunks(2).map(byte).collect()
}

fn report(
    dependency: &str,
    state: ReportedBreakerState,
    since_recovery_ms: Option<u32>,
) -> HealthReport {
    HealthReport {
        dependency: dependency.to_owned(),
        state,
        failures: 130,
        calls: 255,
        since_call_ms: 70_000,
        since_recovery_ms,
    }
}

fn node_reports() -> [NodeHealth; 2] {
    let ipv6 = Member::new(
        "süd-2",
        "[2001:db8::ff]:65535".parse().unwrap(),
        (1 << 40) + 5,
    );
    let ipv4 = Member::new(
        "server-17.alps",
        "10.1.2.200:7300".parse().unwrap(),
        1_790_000_000_123,
    );
    let reports = vec![
        report("stock", ReportedBreakerState::Closed, Some(u32::MAX)),
        report("préis", ReportedBreakerState::Open, None),
        HealthReport {
            failures: 0,
            calls: 3,
            since_call_ms: 0,
            ..report("mail", ReportedBreakerState::HalfOpen, Some(300))
        },
    ];
    [
        NodeHealth {
            origin: ipv4,
            sequence: (1 << 33) + 3,
            reports,
        },
        NodeHealth {
            origin: ipv6,
            sequence: 1,
            reports: Vec::new(),
        },
    ]
}

/// Guards against a reordered field or state, which servers of another release would misread.
#[test]
fn encoding_of_health_reports_is_stable() {
    let [own, relayed] = node_reports();
    let mut disseminator = Disseminator::<NodeHealth>::default();
    disseminator.receive(
        100_000,
        &own.origin,
        &postcard::to_allocvec(&vec![(relayed.clone(), 200u32)]).unwrap(),
    );
    disseminator.set_own(own.clone());
    let bytes = golden_bytes(
        "words.hex",
        &disseminator.next_payload(100_100, 1_000).unwrap(),
    );
    assert_eq!(
        postcard::from_bytes(&bytes),
        Ok(vec![(own.clone(), 0u32), (relayed.clone(), 300)])
    );
    let receiver = Member::new("x", own.origin.address, 1);
    assert_eq!(
        Disseminator::<NodeHealth>::default().receive(200_000, &receiver, &bytes),
        [own, relayed]
    );
}

/// Guards against a renamed field or state that changes the JSON, which operators' tools read.
#[test]
fn json_of_rows_is_stable() {
    let own = Member::new("x", node_reports()[0].origin.address, 1);
    let mut shared_health = SharedHealth::new(&own, SharingConfig::default(), 7);
    shared_health.handle_gossip(
        100_000,
        &own,
        &postcard::to_allocvec(&node_reports().map(|node| (node, 200u32)).to_vec()).unwrap(),
    );
    golden(
        "rows.json",
        &serde_json::to_string_pretty(&shared_health.rows(100_500)).unwrap(),
    );
}
