use std::time::Duration;

use super::*;

#[test]
fn what_ran_stays_known_until_its_time_and_what_did_not_may_come_again() {
    let ids = Rc::new(RequestIds::new(3));
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let (ran, not, doubt) = (
        RequestId::from_number(1),
        RequestId::from_number(2),
        RequestId::from_number(3),
    );
    let claims = [ran, not, doubt].map(|id| ids.claim(now, id).ok().unwrap());
    assert_eq!(ids.claim(now, ran).err(), Some(ClaimError::Duplicate));
    assert_eq!(
        ids.claim(now, RequestId::from_number(4)).err(),
        Some(ClaimError::Full)
    );
    claims[0].mark_started(now + second);
    claims[2].mark_started(now + second);
    claims[2].mark_never_started();
    drop(claims);
    assert_eq!(ids.claim(now, ran).err(), Some(ClaimError::Duplicate));
    assert!(ids.claim(now, not).is_ok() && ids.claim(now, doubt).is_ok());
    assert!(ids.claim(now + second, ran).is_ok());
    assert_eq!(ids.len(), 0);
}

#[test]
fn ids_of_any_text_are_the_same_each_time_and_fresh_ones_never() {
    let ids = RequestIds::new(1);
    assert_eq!(
        ids.id_of("9b1f03aa5c7e2d41"),
        RequestId::from_number(0x9b1f_03aa_5c7e_2d41)
    );
    assert_eq!(ids.id_of("a ride"), ids.id_of("a ride"));
    assert!(ids.id_of("a ride") != ids.id_of("another") && ids.generate() != ids.generate());
}
