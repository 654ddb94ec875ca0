//! The bytes between servers about their dependencies, held still by the files under
//! `tests/golden`. `GOLDEN_WRITE=1` writes these anew.
use coralstep_fleet::Member;
use coralstep_fleet::extension::GossipExtension;
use coralstep_fleet::gossip::Disseminator;
use coralstep_shared_health::report::{HealthReport, NodeHealth, ReportedBreakerState};
use coralstep_shared_health::{SharedHealth, SharingConfig};

/// The text of a committed file, which has to be what is written now.
fn golden(name: &str, written: &str) -> String {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, format!("{written}\n")).unwrap();
    }
    let text = std::fs::read_to_string(&path).unwrap();
    assert_eq!(text.trim_end(), written, "{name}");
    text.trim_end().to_owned()
}

/// The same of bytes, as hexadecimal digits.
fn golden_bytes(name: &str, written: &[u8]) -> Vec<u8> {
    let text = golden(
        name,
        &written
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
    let far = Member::new(
        "süd-2",
        "[2001:db8::ff]:65535".parse().unwrap(),
        (1 << 40) + 5,
    );
    let near = Member::new(
        "server-17.alps",
        "10.1.2.200:7300".parse().unwrap(),
        1_790_000_000_123,
    );
    let all = vec![
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
            origin: near,
            sequence: (1 << 33) + 3,
            reports: all,
        },
        NodeHealth {
            origin: far,
            sequence: 1,
            reports: Vec::new(),
        },
    ]
}

/// Guards against a breaker's state or a field whose place changes: servers of two releases would
/// misread it.
#[test]
fn health_reports_keep_their_bytes() {
    let [own, passed] = node_reports();
    let mut spread = Disseminator::<NodeHealth>::default();
    spread.receive(
        100_000,
        &own.origin,
        &postcard::to_allocvec(&vec![(passed.clone(), 200u32)]).unwrap(),
    );
    spread.set_own(own.clone());
    let bytes = golden_bytes("words.hex", &spread.next_payload(100_100, 1_000).unwrap());
    assert_eq!(
        postcard::from_bytes(&bytes),
        Ok(vec![(own.clone(), 0u32), (passed.clone(), 300)])
    );
    let nobody = Member::new("x", own.origin.address, 1);
    assert_eq!(
        Disseminator::<NodeHealth>::default().receive(200_000, &nobody, &bytes),
        [own, passed]
    );
}

/// Guards against JSON keys or states that are renamed with the code: operators' tools read these.
#[test]
fn rows_keep_their_json_keys() {
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
