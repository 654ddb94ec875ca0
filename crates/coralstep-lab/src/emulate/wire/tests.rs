use super::*;

/// What comes through of ten bytes, all of them sent at once, where that always happens.
fn through(faults: &str) -> (Vec<u8>, u64) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let wire = Wire::to(listener.local_addr().unwrap(), 1).unwrap();
    *wire.faults.lock().unwrap() = Faults::parse(faults).unwrap();
    let mut near = TcpStream::connect(wire.address).unwrap();
    near.write_all(b"0123456789").unwrap();
    let (mut far, _) = listener.accept().unwrap();
    near.shutdown(Shutdown::Write).unwrap();
    let mut came = Vec::new();
    let _ = far.read_to_end(&mut came);
    (came, wire.made.load(Ordering::SeqCst))
}

#[test]
fn each_fault_does_what_it_is_called() {
    assert_eq!(through(""), (b"0123456789".to_vec(), 0));
    assert_eq!(through("delay=1"), (b"0123456789".to_vec(), 1));
    assert_eq!(through("cut=1"), (b"01234".to_vec(), 1));
    assert_eq!(through("reset=1").0, b"");
    assert_eq!(through("half-open=1"), (Vec::new(), 1));
    assert_eq!(
        through("duplicate=1"),
        (b"01234567890123456789".to_vec(), 1)
    );
    let (garbled, made) = through("garble=1");
    let differ = garbled
        .iter()
        .zip(b"0123456789")
        .filter(|(one, other)| one != other)
        .count();
    assert_eq!((garbled.len(), differ, made), (10, 1, 1));
}

#[test]
fn faults_that_are_none_are_named() {
    for (text, why) in [
        ("fire=1", "fire: no fault"),
        ("cut", "cut: not KIND=PART"),
        ("cut=2", "cut=2: no part"),
    ] {
        assert!(Faults::parse(text).unwrap_err().starts_with(why));
    }
    assert_eq!(
        Faults::parse("garble=0.1,delay=0.2").unwrap().honest(),
        Faults::parse("delay=0.2").unwrap()
    );
}
