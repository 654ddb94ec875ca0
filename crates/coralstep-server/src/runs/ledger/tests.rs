use std::time::Duration;

use super::*;

#[test]
fn what_ran_stays_known_until_its_time_and_what_did_not_may_come_again() {
    let ledger = Rc::new(Ledger::new(3));
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let (ran, not, doubt) = (Ref::of(1), Ref::of(2), Ref::of(3));
    let claims = [ran, not, doubt].map(|id| ledger.claim(now, id).ok().unwrap());
    assert_eq!(ledger.claim(now, ran).err(), Some(Known::Already));
    assert_eq!(ledger.claim(now, Ref::of(4)).err(), Some(Known::Full));
    claims[0].runs(now + second);
    claims[2].runs(now + second);
    claims[2].never_ran();
    drop(claims);
    assert_eq!(ledger.claim(now, ran).err(), Some(Known::Already));
    assert!(ledger.claim(now, not).is_ok() && ledger.claim(now, doubt).is_ok());
    assert!(ledger.claim(now + second, ran).is_ok());
    assert_eq!(ledger.len(), 0);
}

#[test]
fn ids_of_any_text_are_the_same_each_time_and_fresh_ones_never() {
    let ledger = Ledger::new(1);
    assert_eq!(
        ledger.id("9b1f03aa5c7e2d41"),
        Ref::of(0x9b1f_03aa_5c7e_2d41)
    );
    assert_eq!(ledger.id("a ride"), ledger.id("a ride"));
    assert!(ledger.id("a ride") != ledger.id("another") && ledger.fresh() != ledger.fresh());
}
