use super::*;

#[test]
fn waits_double_with_chance_in_them_up_to_a_bound_and_start_fresh() {
    let ms = Duration::from_millis;
    let (mut one, mut other) = (
        Backoff::new(ms(20), ms(200), 1),
        Backoff::new(ms(20), ms(200), 2),
    );
    let whole = [20, 40, 80, 160, 200, 200];
    let waits = whole.map(|_| one.wait());
    for (wait, whole) in waits.iter().zip(whole) {
        assert!(
            *wait >= ms(whole) / 2 && *wait <= ms(whole),
            "{wait:?} of {whole}"
        );
    }
    assert_ne!(waits, whole.map(|_| other.wait()), "two servers wait alike");
    one.fresh();
    assert!(one.wait() <= ms(20));
}
