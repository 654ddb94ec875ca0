use super::*;
use crate::terms::CutOff;

fn limit(kind: Kind) -> Limit {
    Limit {
        key: 1,
        name: "x".to_owned(),
        tenant: Some(0),
        method: None,
        calls: false,
        kind,
        cut_off: CutOff::Strict,
    }
}

fn member(name: &str) -> Member {
    Member::new(name, "127.0.0.1:1".parse().unwrap(), 1)
}

const LEASE: Ms = 10_000;

fn keeper(kind: Kind) -> Keeper {
    let mut keeper = Keeper::new(0, LEASE);
    keeper.limits(0, &[limit(kind)]);
    keeper
}

fn ask(keeper: &mut Keeper, now: Ms, of: &str, number: u32, held: u32, want: u32) -> Option<Give> {
    keeper
        .asks(
            now,
            &member(of),
            number,
            true,
            &[Ask { key: 1, held, want }],
        )
        .pop()
}

#[test]
fn tokens_come_in_at_the_rate_and_no_more_than_the_burst_is_ever_out() {
    let mut keeper = keeper(Kind::Rate {
        rps: 10.0,
        burst: 5,
    });
    // Those of the keeper before may be out.
    let from = stretched(TOKENS);
    assert_eq!(ask(&mut keeper, from, "a", 1, 0, 3).unwrap().units, 0);
    let mut asks = |now: Ms, of: &str, number: u32, held: u32, want: u32| {
        ask(&mut keeper, from + now, of, number, held, want)
    };
    assert_eq!(asks(1_000, "a", 2, 0, 3).unwrap().units, 3);
    assert_eq!(asks(1_001, "b", 1, 0, 9).unwrap().units, 2);
    // Unused, nothing comes in beyond what fits; what it is told is later than what is due.
    let waits = asks(1_500, "c", 1, 0, 1).unwrap();
    assert!(waits.units == 0 && waits.wait_ms > 100, "{waits:?}");
    // The same letter again, and one from before, give nothing.
    assert!(asks(1_500, "a", 2, 0, 3).is_none() && asks(1_500, "a", 1, 0, 3).is_none());
    // One that asks again at once gets no more, whatever it says that it wants: the level is one of rounds.
    assert_eq!(asks(1_100, "b", 2, 2, 9).unwrap().units, 2);
    // Used ones come in again; the one that waits is first.
    assert_eq!(
        asks(1_700, "a", 3, 1, 5).unwrap().units,
        1,
        "one of the two is owed to c"
    );
    assert_eq!(asks(1_900, "c", 2, 0, 1).unwrap().units, 1);
    // What died with its holder is free when its lease is over.
    let after = from + 1_100 + stretched(TOKENS);
    assert_eq!(keeper.out(after - 1, 1).unwrap().0, 4);
    assert!(keeper.out(after, 1).unwrap().0 <= 2);
}

#[test]
fn rpcs_in_hand_are_given_after_the_wake_and_come_down_to_the_level_of_all() {
    let mut keeper = keeper(Kind::InHand(8));
    assert_eq!(
        ask(&mut keeper, 10, "a", 1, 6, 8).unwrap().units,
        6,
        "what the keeper before gave is confirmed, no more"
    );
    assert_eq!(
        ask(&mut keeper, 20, "b", 1, 4, 4).unwrap().units,
        2,
        "nobody's claims exceed the limit"
    );
    assert_eq!(ask(&mut keeper, 30, "c", 1, 0, 2).unwrap().units, 0);
    let woken = stretched(LEASE);
    assert_eq!(
        ask(&mut keeper, woken, "a", 2, 6, 6).unwrap().units,
        3,
        "b's and c's wants count"
    );
    // It still has six until it says that it has less.
    assert_eq!(ask(&mut keeper, woken + 10, "c", 2, 0, 2).unwrap().units, 0);
    assert_eq!(ask(&mut keeper, woken + 20, "a", 3, 3, 3).unwrap().units, 3);
    assert_eq!(ask(&mut keeper, woken + 30, "c", 3, 0, 2).unwrap().units, 2);
    assert!(keeper.out(woken + 30, 1).unwrap().0 <= 8);
    // A claim that nobody gave is none.
    assert_eq!(
        ask(&mut keeper, woken + 40, "liar", 1, 8, 8)
            .unwrap()
            .units
            .min(1),
        1
    );
    assert!(keeper.out(woken + 40, 1).unwrap().0 <= 8);
}

#[test]
fn a_limit_that_falls_takes_back_as_leases_end_and_one_that_rises_gives_at_once() {
    let mut keeper = keeper(Kind::InHand(10));
    let woken = stretched(LEASE);
    assert_eq!(ask(&mut keeper, woken, "a", 1, 0, 10).unwrap().units, 10);
    keeper.limits(woken, &[limit(Kind::InHand(1))]);
    assert_eq!(ask(&mut keeper, woken + 10, "b", 1, 0, 1).unwrap().units, 0);
    assert_eq!(
        ask(&mut keeper, woken + 20, "a", 2, 10, 10).unwrap().units,
        0,
        "they are nobody's to give"
    );
    keeper.limits(woken + 30, &[limit(Kind::InHand(100))]);
    assert_eq!(
        ask(&mut keeper, woken + 40, "b", 2, 0, 30).unwrap().units,
        30
    );
}

#[test]
fn a_limit_that_goes_and_comes_again_within_a_lease_finds_what_is_still_out() {
    let mut keeper = keeper(Kind::InHand(4));
    let woken = stretched(LEASE);
    assert_eq!(ask(&mut keeper, woken, "a", 1, 0, 4).unwrap().units, 4);
    keeper.limits(woken + 10, &[]);
    keeper.limits(woken + 20, &[limit(Kind::InHand(4))]);
    assert_eq!(ask(&mut keeper, woken + 30, "b", 1, 0, 4).unwrap().units, 0);
    // Its lease over, nothing is kept of one that is gone.
    keeper.limits(woken + 40, &[]);
    keeper.limits(woken + 2 * stretched(LEASE), &[]);
    assert!(keeper.books.is_empty());
}

#[test]
fn the_level_serves_the_small_wants_whole() {
    assert_eq!(level([1, 2, 30].into_iter(), 10), 7);
    assert_eq!(level([1, 2, 3].into_iter(), 10), u32::MAX);
    assert_eq!(level([5, 5, 5].into_iter(), 9), 3);
    assert_eq!(level([].into_iter(), 9), u32::MAX);
}
