use super::*;

#[test]
fn rejects_datagrams_that_are_corrupt_or_from_another_fleet_or_format() {
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
    for index in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 0x10;
        assert_eq!(
            Datagram::decode(&changed, fleet_id("alps")),
            Err(DecodeError::Corrupt),
            "byte {index} changed"
        );
        assert_eq!(
            Datagram::decode(&bytes[..index], fleet_id("alps")),
            Err(DecodeError::Corrupt),
            "truncated to {index} bytes"
        );
    }
    let mut next_format = Datagram::new(
        fleet_id("alps"),
        Member::new("n1", "127.0.0.1:1".parse().unwrap(), 5),
        9,
    );
    next_format.format = FORMAT + 1;
    assert_eq!(
        Datagram::decode(&next_format.encode(), fleet_id("alps")),
        Err(DecodeError::UnsupportedFormat)
    );
}
