use super::*;

/// Sends ten bytes at once through a relay with the given faults; returns the bytes received and the number of faults injected.
fn send_through_relay(faults: &str) -> (Vec<u8>, u64) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = FaultyRelay::start(listener.local_addr().unwrap(), 1).unwrap();
    *relay.faults.lock().unwrap() = Faults::parse(faults).unwrap();
    let mut near = TcpStream::connect(relay.address).unwrap();
    near.write_all(b"0123456789").unwrap();
    let (mut far, _) = listener.accept().unwrap();
    near.shutdown(Shutdown::Write).unwrap();
    let mut received = Vec::new();
    let _ = far.read_to_end(&mut received);
    (received, relay.injected.load(Ordering::SeqCst))
}

#[test]
fn each_fault_has_its_effect() {
    assert_eq!(send_through_relay(""), (b"0123456789".to_vec(), 0));
    assert_eq!(send_through_relay("delay=1"), (b"0123456789".to_vec(), 1));
    assert_eq!(send_through_relay("cut=1"), (b"01234".to_vec(), 1));
    assert_eq!(send_through_relay("reset=1").0, b"");
    assert_eq!(send_through_relay("half-open=1"), (Vec::new(), 1));
    assert_eq!(
        send_through_relay("duplicate=1"),
        (b"01234567890123456789".to_vec(), 1)
    );
    let (garbled, injected) = send_through_relay("garble=1");
    let differ = garbled
        .iter()
        .zip(b"0123456789")
        .filter(|(one, other)| one != other)
        .count();
    assert_eq!((garbled.len(), differ, injected), (10, 1, 1));
}

#[test]
fn parse_rejects_invalid_faults() {
    for (text, why) in [
        ("fire=1", "fire: no fault"),
        ("cut", "cut: not KIND=PART"),
        ("cut=2", "cut=2: PART must be from 0 to 1"),
    ] {
        assert!(Faults::parse(text).unwrap_err().starts_with(why));
    }
    assert_eq!(
        Faults::parse("garble=0.1,delay=0.2")
            .unwrap()
            .without_corruption(),
        Faults::parse("delay=0.2").unwrap()
    );
}
