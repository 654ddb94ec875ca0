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
    of: &str,
    sequence: u32,
    held: u32,
    wanted: u32,
) -> Option<Grant> {
    leader
        .handle_requests(
            now,
            &member(of),
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

fn allocated(leader: &mut QuotaLeader, now: Millis) -> u32 {
    let ledger = leader.ledgers.get_mut(&KEY).unwrap();
    ledger.settle(now);
    ledger.allocated()
}

#[test]
fn tokens_are_granted_at_the_rate_and_no_more_than_the_burst_is_ever_held() {
    let mut leader = leader(LimitKind::Rate {
        rps: 10.0,
        burst: 5,
    });
    // Tokens of the leader before may be out.
    let from = lengthen_by_drift(TOKEN_LIFETIME_MS);
    assert_eq!(request(&mut leader, from, "a", 1, 0, 3).unwrap().units, 0);
    let mut ask = |now: Millis, of: &str, sequence: u32, held: u32, wanted: u32| {
        request(&mut leader, from + now, of, sequence, held, wanted)
    };
    assert_eq!(ask(1_000, "a", 2, 0, 3).unwrap().units, 3);
    assert_eq!(ask(1_001, "b", 1, 0, 9).unwrap().units, 2);
    // Unused, no tokens come in beyond the burst; the wait is longer than what is due.
    let waits = ask(1_500, "c", 1, 0, 1).unwrap();
    assert!(waits.units == 0 && waits.wait_ms > 100, "{waits:?}");
    // The same message again, and one from before, are granted nothing.
    assert!(ask(1_500, "a", 2, 0, 3).is_none() && ask(1_500, "a", 1, 0, 3).is_none());
    // One that requests again at once gets no more, whatever it wants: the fair share is one of rounds.
    assert_eq!(ask(1_100, "b", 2, 2, 9).unwrap().units, 2);
    // Used ones come in again; the one that waits is first.
    assert_eq!(
        ask(1_700, "a", 3, 1, 5).unwrap().units,
        1,
        "one of the two is owed to c"
    );
    assert_eq!(ask(1_900, "c", 2, 0, 1).unwrap().units, 1);
    // Units of a server that died are free when its lease is over.
    let after = from + 1_100 + lengthen_by_drift(TOKEN_LIFETIME_MS);
    assert_eq!(allocated(&mut leader, after - 1), 4);
    assert!(allocated(&mut leader, after) <= 2);
}

#[test]
fn in_flight_units_are_granted_after_recovery_and_come_down_to_the_fair_share() {
    let mut leader = leader(LimitKind::InFlight(8));
    assert_eq!(
        request(&mut leader, 10, "a", 1, 6, 8).unwrap().units,
        6,
        "what the leader before granted is confirmed, no more"
    );
    assert_eq!(
        request(&mut leader, 20, "b", 1, 4, 4).unwrap().units,
        2,
        "nobody's claims exceed the limit"
    );
    assert_eq!(request(&mut leader, 30, "c", 1, 0, 2).unwrap().units, 0);
    let recovered = lengthen_by_drift(LEASE);
    assert_eq!(
        request(&mut leader, recovered, "a", 2, 6, 6).unwrap().units,
        3,
        "b's and c's wants count"
    );
    // It still has six until it says that it has less.
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
    assert!(allocated(&mut leader, recovered + 30) <= 8);
    // A claim of units that nobody granted counts for nothing.
    assert_eq!(
        request(&mut leader, recovered + 40, "forger", 1, 8, 8)
            .unwrap()
            .units
            .min(1),
        1
    );
    assert!(allocated(&mut leader, recovered + 40) <= 8);
}

#[test]
fn a_lowered_limit_reclaims_as_leases_end_and_a_raised_one_grants_at_once() {
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
        "there are none to grant"
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
fn a_limit_removed_and_added_within_a_lease_keeps_its_allocations() {
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
    // Its lease over, nothing is kept of a removed limit.
    leader.set_limits(recovered + 40, &[]);
    leader.set_limits(recovered + 2 * lengthen_by_drift(LEASE), &[]);
    assert!(leader.ledgers.is_empty());
}

#[test]
fn the_fair_share_meets_small_wants_in_full() {
    assert_eq!(fair_share([1, 2, 30].into_iter(), 10), 7);
    assert_eq!(fair_share([1, 2, 3].into_iter(), 10), u32::MAX);
    assert_eq!(fair_share([5, 5, 5].into_iter(), 9), 3);
    assert_eq!(fair_share([].into_iter(), 9), u32::MAX);
}
