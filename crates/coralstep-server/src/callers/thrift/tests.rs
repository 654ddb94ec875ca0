use super::*;

/// A call of `invoke` as a gateway writes it.
fn call() -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes, CALL, "invoke", 7);
    writer.texts(
        1,
        &[("service", "save".to_owned()), ("room", "24.5".to_owned())],
    );
    writer.field(STRUCT, 9);
    writer.field(I32, 1);
    writer.u32(5);
    writer.out.push(STOP);
    writer.field(STRING, 2);
    writer.binary(b"\0\xff\r\n");
    writer.end();
    bytes
}

#[test]
fn a_call_is_read_from_any_split() {
    let bytes = call();
    for cut in 0..bytes.len() {
        assert_eq!(frame(&bytes[..cut]), Ok(None), "{cut}");
    }
    let (inner, used) = frame(&bytes).unwrap().unwrap();
    assert_eq!(used, bytes.len());
    let fields = vec![("service", "save"), ("room", "24.5")];
    assert_eq!(
        decode(inner),
        Ok(Message::Invoke {
            seq: 7,
            fields,
            body: b"\0\xff\r\n"
        })
    );
}

#[test]
fn garbled_bytes_are_faults_and_never_panics() {
    let bytes = call();
    let (mut read, mut faults) = (0, 0);
    for at in 4..bytes.len() {
        for flip in [0x01, 0x7f, 0x80, 0xff] {
            let mut bad = bytes.clone();
            bad[at] ^= flip;
            match decode(&bad[4..]) {
                Ok(_) => read += 1,
                Err(_) => faults += 1,
            }
        }
        assert!(decode(&bytes[4..at]).is_err(), "cut at {at}");
    }
    assert!(read > 0 && faults > read, "{read} {faults}");
    assert_eq!(frame(&[0, 1, 0, 0]), Err(Fault::Garbled));
    assert_eq!(frame(&[0xff; 8]), Err(Fault::Garbled));
    assert_eq!(frame(&[0; 8]), Err(Fault::Garbled));
}

#[test]
fn a_sequence_number_that_can_be_read_makes_an_answer_possible() {
    let mut bytes = Vec::new();
    Writer::new(&mut bytes, CALL, "novelty", 3).end();
    assert_eq!(
        decode(&bytes[4..]),
        Err(Fault::Message(3, "unknown method"))
    );
    bytes.clear();
    Writer::new(&mut bytes, CALL, "invoke", 4).end();
    assert_eq!(
        decode(&bytes[4..]),
        Err(Fault::Message(4, "malformed arguments"))
    );
    bytes.clear();
    Writer::new(&mut bytes, REPLY, "invoke", 5).end();
    assert_eq!(decode(&bytes[4..]), Err(Fault::Message(5, "not a call")));
}

#[test]
fn nesting_without_end_is_refused() {
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes, CALL, "ping", 1);
    for _ in 0..200 {
        writer.field(STRUCT, 1);
    }
    writer.end();
    assert_eq!(
        decode(&bytes[4..]),
        Err(Fault::Message(1, "malformed arguments"))
    );
}

#[test]
fn answers_are_whole_frames() {
    let mut out = Vec::new();
    answer(
        &mut out,
        "ping",
        2,
        b"",
        &[("pressure", "0.5".to_owned())],
        true,
    );
    let expected = b"\x80\x01\x00\x02\x00\x00\x00\x04ping\x00\x00\x00\x02\x0c\x00\x00\x0b\x00\x01\x00\x00\x00\x00\
            \x0d\x00\x02\x0b\x0b\x00\x00\x00\x01\x00\x00\x00\x08pressure\x00\x00\x00\x030.5\x02\x00\x03\x01\x00\x00";
    assert_eq!(frame(&out), Ok(Some((&expected[..], out.len()))));
    let first = out.len();
    overloaded(&mut out, 3, &[]);
    exception(&mut out, 4, "no");
    closing(&mut out);
    let (_, used) = frame(&out[first..]).unwrap().unwrap();
    let (_, more) = frame(&out[first + used..]).unwrap().unwrap();
    let (last, end) = frame(&out[first + used + more..]).unwrap().unwrap();
    assert_eq!(first + used + more + end, out.len());
    assert_eq!(
        last,
        b"\x80\x01\x00\x04\x00\x00\x00\x07closing\x00\x00\x00\x00\x00"
    );
}
