use super::*;

#[test]
fn delays_double_with_jitter_up_to_maximum_until_reset() {
    let ms = Duration::from_millis;
    let (mut one, mut other) = (
        Backoff::new(ms(20), ms(200), 1),
        Backoff::new(ms(20), ms(200), 2),
    );
    let full_delays = [20, 40, 80, 160, 200, 200];
    let delays = full_delays.map(|_| one.next_delay());
    for (delay, full) in delays.iter().zip(full_delays) {
        assert!(
            *delay >= ms(full) / 2 && *delay <= ms(full),
            "{delay:?} of {full}"
        );
    }
    assert_ne!(
        delays,
        full_delays.map(|_| other.next_delay()),
        "different seeds gave the same delays"
    );
    one.reset();
    assert!(one.next_delay() <= ms(20));
}
