use super::*;
use crate::peer_report::{PeerId, PeerReport};
use crate::report::ReportedBreakerState;

fn peers(count: u64, state: ReportedBreakerState, failures: u32, calls: u32) -> PeerCounts {
    let report = |peer: u64| PeerReport {
        peer: PeerId(peer),
        state,
        failures,
        calls,
        since_call_ms: 100,
        since_recovery_ms: None,
    };
    PeerCounts::from_reports(&(0..count).map(report).collect::<Vec<_>>())
}

#[test]
fn distinguishes_a_faulty_dependency_from_a_faulty_path() {
    assert_eq!(
        FaultSource::infer(true, peers(9, ReportedBreakerState::Closed, 0, 5)),
        FaultSource::OwnPath
    );
    assert_eq!(
        FaultSource::infer(true, peers(9, ReportedBreakerState::Open, 1, 1)),
        FaultSource::Dependency
    );
    assert_eq!(
        FaultSource::infer(true, PeerCounts::from_reports(&[])),
        FaultSource::Unknown
    );
    assert_eq!(
        FaultSource::infer(false, peers(9, ReportedBreakerState::Closed, 0, 5)),
        FaultSource::NoFault
    );
}

/// Guards against a renamed variant that changes the JSON value, which operators' tools read.
#[test]
fn json_names_are_stable() {
    let all = [
        FaultSource::NoFault,
        FaultSource::Dependency,
        FaultSource::OwnPath,
        FaultSource::Unknown,
    ];
    assert_eq!(
        all.map(FaultSource::json_name),
        ["Nobodys", "Dependencys", "OwnWays", "Unknown"]
    );
}
