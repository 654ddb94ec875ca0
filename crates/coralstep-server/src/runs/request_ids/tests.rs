use std::time::Duration;

use super::*;

#[test]
fn started_id_stays_claimed_until_deadline_and_unstarted_id_is_released() {
    let ids = Rc::new(RequestIds::new(3));
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let (started, unstarted, revoked) = (
        RequestId::from_number(1),
        RequestId::from_number(2),
        RequestId::from_number(3),
    );
    let claims = [started, unstarted, revoked].map(|id| ids.claim(now, id).ok().unwrap());
    assert_eq!(ids.claim(now, started).err(), Some(ClaimError::Duplicate));
    assert_eq!(
        ids.claim(now, RequestId::from_number(4)).err(),
        Some(ClaimError::Full)
    );
    claims[0].mark_started(now + second);
    claims[2].mark_started(now + second);
    claims[2].mark_never_started();
    drop(claims);
    assert_eq!(ids.claim(now, started).err(), Some(ClaimError::Duplicate));
    assert!(ids.claim(now, unstarted).is_ok() && ids.claim(now, revoked).is_ok());
    assert!(ids.claim(now + second, started).is_ok());
    assert_eq!(ids.len(), 0);
}

#[test]
fn id_of_text_is_stable_and_generated_ids_are_unique() {
    let ids = RequestIds::new(1);
    assert_eq!(
        ids.id_of("9b1f03aa5c7e2d41"),
        RequestId::from_number(0x9b1f_03aa_5c7e_2d41)
    );
    assert_eq!(ids.id_of("a ride"), ids.id_of("a ride"));
    assert!(ids.id_of("a ride") != ids.id_of("another") && ids.generate() != ids.generate());
}
