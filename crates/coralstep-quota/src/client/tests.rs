use super::*;
use crate::config::CutOff;
use crate::limit::LimitKind;
use crate::message::Grant;

const KEY: LimitKey = LimitKey(1);

#[test]
fn rpcs_in_flight_still_count_after_limit_is_removed_and_added_again() {
    let limit = Limit {
        key: KEY,
        name: "x".to_owned(),
        scope: LimitScope {
            method: Some(0),
            ..LimitScope::default()
        },
        kind: LimitKind::InFlight(2),
        cut_off: CutOff::Strict,
    };
    let mut client = QuotaClient::new(std::slice::from_ref(&limit), 0);
    let grant = |client: &mut QuotaClient, now: Millis| {
        let _ = client.admit(now, RequestKey::default(), 1_000);
        let batch = client.poll_requests(now + 300, false).pop().unwrap();
        assert_eq!(batch.requests[0].key, KEY);
        client.handle_grants(
            now + 310,
            &GrantBatch {
                term: TermId(7),
                sequence: batch.sequence,
                lease_ms: 10_000,
                next_round_ms: 250,
                grants: vec![Grant {
                    key: KEY,
                    units: 2,
                    wait_ms: 0,
                }],
            },
        );
    };
    grant(&mut client, 0);
    let first = client.admit(400, RequestKey::default(), 1_000).unwrap();
    let second = client.admit(400, RequestKey::default(), 1_000).unwrap();
    client.set_limits(&[], 500);
    assert_eq!(
        client.admit(500, RequestKey::default(), 1_000),
        Ok(QuotaPermit::default())
    );
    client.release(first);
    client.set_limits(&[limit], 600);
    grant(&mut client, 600);
    // One of the two RPCs is still in flight.
    assert!(client.admit(1_000, RequestKey::default(), 1_000).is_ok());
    assert!(client.admit(1_000, RequestKey::default(), 1_000).is_err());
    client.release(second);
    assert!(client.admit(1_000, RequestKey::default(), 1_000).is_ok());
}
