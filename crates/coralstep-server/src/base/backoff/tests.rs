use super::*;

#[test]
fn delays_double_with_jitter_up_to_a_bound_and_can_be_reset() {
    let ms = Duration::from_millis;
    let (mut one, mut other) = (
        Backoff::new(ms(20), ms(200), 1),
        Backoff::new(ms(20), ms(200), 2),
    );
    let whole = [20, 40, 80, 160, 200, 200];
    let waits = whole.map(|_| one.next_delay());
    for (wait, whole) in waits.iter().zip(whole) {
        assert!(
            *wait >= ms(whole) / 2 && *wait <= ms(whole),
            "{wait:?} of {whole}"
        );
    }
    assert_ne!(
        waits,
        whole.map(|_| other.next_delay()),
        "two servers wait alike"
    );
    one.reset();
    assert!(one.next_delay() <= ms(20));
}
