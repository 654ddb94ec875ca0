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
    PeerCounts::of(&(0..count).map(report).collect::<Vec<_>>())
}

#[test]
fn a_faulty_dependency_and_a_faulty_path_to_it_are_told_apart() {
    assert_eq!(
        FaultSource::find(true, peers(9, ReportedBreakerState::Closed, 0, 5)),
        FaultSource::OwnPath
    );
    assert_eq!(
        FaultSource::find(true, peers(9, ReportedBreakerState::Open, 1, 1)),
        FaultSource::Dependency
    );
    assert_eq!(
        FaultSource::find(true, PeerCounts::of(&[])),
        FaultSource::Unknown
    );
    assert_eq!(
        FaultSource::find(false, peers(9, ReportedBreakerState::Closed, 0, 5)),
        FaultSource::NoFault
    );
}

/// Guards against JSON values that are renamed with the variants: operators' tools read these.
#[test]
fn json_names_stay() {
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
