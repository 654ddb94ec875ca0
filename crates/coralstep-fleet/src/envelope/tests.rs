use super::*;

#[test]
fn what_was_changed_on_the_way_or_is_of_another_fleet_is_not_believed() {
    let mut datagram = Datagram::new(
        fleet("alps"),
        Member::new("n1", "127.0.0.1:1".parse().unwrap(), 5),
        9,
    );
    datagram.parts.push((Rider::Words, vec![1, 2, 3]));
    let bytes = datagram.bytes();
    assert_eq!(Datagram::read(&bytes, fleet("alps")), Ok(datagram));
    assert_eq!(
        Datagram::read(&bytes, fleet("andes")),
        Err(Fault::OtherFleet)
    );
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 0x10;
        assert_eq!(
            Datagram::read(&changed, fleet("alps")),
            Err(Fault::Garbled),
            "byte {at}"
        );
        assert_eq!(
            Datagram::read(&bytes[..at], fleet("alps")),
            Err(Fault::Garbled),
            "cut at {at}"
        );
    }
    let mut later = Datagram::new(
        fleet("alps"),
        Member::new("n1", "127.0.0.1:1".parse().unwrap(), 5),
        9,
    );
    later.format = FORMAT + 1;
    assert_eq!(
        Datagram::read(&later.bytes(), fleet("alps")),
        Err(Fault::OtherFormat)
    );
}
