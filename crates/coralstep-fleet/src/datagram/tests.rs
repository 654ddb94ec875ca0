use super::*;

#[test]
fn corrupt_datagrams_and_those_of_another_fleet_or_format_are_rejected() {
    let mut datagram = Datagram::new(
        fleet_id("alps"),
        Member::new("n1", "127.0.0.1:1".parse().unwrap(), 5),
        9,
    );
    datagram.payloads.push(Payload {
        kind: PayloadKind::Statuses,
        bytes: vec![1, 2, 3],
    });
    let bytes = datagram.encode();
    assert_eq!(Datagram::decode(&bytes, fleet_id("alps")), Ok(datagram));
    assert_eq!(
        Datagram::decode(&bytes, fleet_id("andes")),
        Err(DecodeError::OtherFleet)
    );
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 0x10;
        assert_eq!(
            Datagram::decode(&changed, fleet_id("alps")),
            Err(DecodeError::Corrupt),
            "byte {at}"
        );
        assert_eq!(
            Datagram::decode(&bytes[..at], fleet_id("alps")),
            Err(DecodeError::Corrupt),
            "cut at {at}"
        );
    }
    let mut later = Datagram::new(
        fleet_id("alps"),
        Member::new("n1", "127.0.0.1:1".parse().unwrap(), 5),
        9,
    );
    later.format = FORMAT + 1;
    assert_eq!(
        Datagram::decode(&later.encode(), fleet_id("alps")),
        Err(DecodeError::UnsupportedFormat)
    );
}
