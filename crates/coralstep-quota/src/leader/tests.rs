use super::fair_share::fair_share;
use super::*;
use crate::config::CutOff;
use crate::limit::{LimitKind, LimitScope};

fn limit(kind: LimitKind) -> Limit {
    Limit {
        key: KEY,
        name: "x".to_owned(),
        scope: LimitScope {
            tenant: Some(0),
            ..LimitScope::default()
        },
        kind,
        cut_off: CutOff::Strict,
    }
}

fn member(name: &str) -> Member {
    Member::new(name, "127.0.0.1:1".parse().unwrap(), 1)
}

const KEY: LimitKey = LimitKey(1);
const LEASE: Millis = 10_000;

fn leader(kind: LimitKind) -> QuotaLeader {
    let mut leader = QuotaLeader::new(0, LEASE);
    leader.set_limits(0, &[limit(kind)]);
    leader
}

fn request(
    leader: &mut QuotaLeader,
    now: Millis,
    server: &str,
    sequence: u32,
    held: u32,
    wanted: u32,
) -> Option<Grant> {
    leader
        .handle_requests(
            now,
            &member(server),
            sequence,
            true,
            &[QuotaRequest {
                key: KEY,
                held,
                wanted,
            }],
        )
        .pop()
}

fn allocated_units(leader: &mut QuotaLeader, now: Millis) -> u32 {
    let allocator = leader.allocators.get_mut(&KEY).unwrap();
    allocator.expire_and_refill(now);
    allocator.allocated_units()
}

#[test]
fn tokens_are_granted_at_rate_and_never_exceed_burst() {
    let mut leader = leader(LimitKind::Rate {
        rps: 10.0,
        burst: 5,
    });
    // Tokens of the previous leader may still be in use.
    let from = lengthen_by_drift(TOKEN_LIFETIME_MS);
    assert_eq!(request(&mut leader, from, "a", 1, 0, 3).unwrap().units, 0);
    let mut send_request = |now: Millis, server: &str, sequence: u32, held: u32, wanted: u32| {
        request(&mut leader, from + now, server, sequence, held, wanted)
    };
    assert_eq!(send_request(1_000, "a", 2, 0, 3).unwrap().units, 3);
    assert_eq!(send_request(1_001, "b", 1, 0, 9).unwrap().units, 2);
    // Servers hold the whole burst, so no tokens are added and c has to wait.
    let waits = send_request(1_500, "c", 1, 0, 1).unwrap();
    assert!(waits.units == 0 && waits.wait_ms > 100, "{waits:?}");
    // A duplicated message and an older one are ignored.
    assert!(
        send_request(1_500, "a", 2, 0, 3).is_none() && send_request(1_500, "a", 1, 0, 3).is_none()
    );
    // A server that requests again within its round is granted no more: the fair share is per round.
    assert_eq!(send_request(1_100, "b", 2, 2, 9).unwrap().units, 2);
    // Used tokens are refilled; the waiting server comes first.
    assert_eq!(
        send_request(1_700, "a", 3, 1, 5).unwrap().units,
        1,
        "one of the two is reserved for c"
    );
    assert_eq!(send_request(1_900, "c", 2, 0, 1).unwrap().units, 1);
    // Units of a server that crashed are free after its lease.
    let after = from + 1_100 + lengthen_by_drift(TOKEN_LIFETIME_MS);
    assert_eq!(allocated_units(&mut leader, after - 1), 4);
    assert!(allocated_units(&mut leader, after) <= 2);
}

#[test]
fn in_flight_units_are_granted_after_recovery_and_reduced_to_fair_share() {
    let mut leader = leader(LimitKind::InFlight(8));
    assert_eq!(
        request(&mut leader, 10, "a", 1, 6, 8).unwrap().units,
        6,
        "only units of the previous leader are confirmed"
    );
    assert_eq!(
        request(&mut leader, 20, "b", 1, 4, 4).unwrap().units,
        2,
        "confirmed units do not exceed the limit"
    );
    assert_eq!(request(&mut leader, 30, "c", 1, 0, 2).unwrap().units, 0);
    let recovered = lengthen_by_drift(LEASE);
    assert_eq!(
        request(&mut leader, recovered, "a", 2, 6, 6).unwrap().units,
        3,
        "b and c want units, too"
    );
    // It holds six until it reports fewer.
    assert_eq!(
        request(&mut leader, recovered + 10, "c", 2, 0, 2)
            .unwrap()
            .units,
        0
    );
    assert_eq!(
        request(&mut leader, recovered + 20, "a", 3, 3, 3)
            .unwrap()
            .units,
        3
    );
    assert_eq!(
        request(&mut leader, recovered + 30, "c", 3, 0, 2)
            .unwrap()
            .units,
        2
    );
    assert!(allocated_units(&mut leader, recovered + 30) <= 8);
    // Reported units that were never granted do not count.
    assert_eq!(
        request(&mut leader, recovered + 40, "forger", 1, 8, 8)
            .unwrap()
            .units
            .min(1),
        1
    );
    assert!(allocated_units(&mut leader, recovered + 40) <= 8);
}

#[test]
fn lowered_limit_grants_nothing_while_held_and_raised_limit_grants_at_once() {
    let mut leader = leader(LimitKind::InFlight(10));
    let recovered = lengthen_by_drift(LEASE);
    assert_eq!(
        request(&mut leader, recovered, "a", 1, 0, 10)
            .unwrap()
            .units,
        10
    );
    leader.set_limits(recovered, &[limit(LimitKind::InFlight(1))]);
    assert_eq!(
        request(&mut leader, recovered + 10, "b", 1, 0, 1)
            .unwrap()
            .units,
        0
    );
    assert_eq!(
        request(&mut leader, recovered + 20, "a", 2, 10, 10)
            .unwrap()
            .units,
        0,
        "there are no free units"
    );
    leader.set_limits(recovered + 30, &[limit(LimitKind::InFlight(100))]);
    assert_eq!(
        request(&mut leader, recovered + 40, "b", 2, 0, 30)
            .unwrap()
            .units,
        30
    );
}

#[test]
fn limit_removed_and_added_within_lease_keeps_its_allocations() {
    let mut leader = leader(LimitKind::InFlight(4));
    let recovered = lengthen_by_drift(LEASE);
    assert_eq!(
        request(&mut leader, recovered, "a", 1, 0, 4).unwrap().units,
        4
    );
    leader.set_limits(recovered + 10, &[]);
    leader.set_limits(recovered + 20, &[limit(LimitKind::InFlight(4))]);
    assert_eq!(
        request(&mut leader, recovered + 30, "b", 1, 0, 4)
            .unwrap()
            .units,
        0
    );
    // After the lease, a removed limit is dropped.
    leader.set_limits(recovered + 40, &[]);
    leader.set_limits(recovered + 2 * lengthen_by_drift(LEASE), &[]);
    assert!(leader.allocators.is_empty());
}

#[test]
fn fair_share_meets_small_demands_in_full() {
    assert_eq!(fair_share([1, 2, 30].into_iter(), 10), 7);
    assert_eq!(fair_share([1, 2, 3].into_iter(), 10), u32::MAX);
    assert_eq!(fair_share([5, 5, 5].into_iter(), 9), 3);
    assert_eq!(fair_share([].into_iter(), 9), u32::MAX);
}
