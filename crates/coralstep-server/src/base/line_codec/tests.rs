use super::*;

fn done(words: &[&str]) -> bool {
    words[0] == "DONE"
}

#[test]
fn a_message_is_read_from_any_split() {
    let mut bytes = Vec::new();
    encode(
        &mut bytes,
        format_args!("DONE 3 9b1f03aa5c7e2d41 good 12"),
        Some(b"a\r\nb"),
    );
    for cut in 0..bytes.len() {
        assert_eq!(decode(&bytes[..cut], done), Ok(None), "{cut}");
    }
    encode(&mut bytes, format_args!("HELLO new 5"), None);
    let first = decode(&bytes, done).unwrap().unwrap();
    assert_eq!(
        (first.words, first.body),
        (
            vec!["DONE", "3", "9b1f03aa5c7e2d41", "good", "12", "4"],
            &b"a\r\nb"[..]
        )
    );
    let second = decode(&bytes[first.encoded_len..], done).unwrap().unwrap();
    assert_eq!(
        second,
        LineMessage {
            words: vec!["HELLO", "new", "5"],
            body: &[],
            encoded_len: bytes.len() - first.encoded_len,
        }
    );
}

#[test]
fn corrupt_lines_are_errors() {
    for bad in [
        "DONE 1 x\r\n",
        "DONE 1 -5\r\n",
        "DONE 1 99999999\r\n",
        "DONE 1 2\r\nabcd",
        "HELLO\n",
    ] {
        assert_eq!(decode(bad.as_bytes(), done), Err(CorruptLine), "{bad:?}");
    }
    assert_eq!(decode(&[b'x'; MAX_LINE_BYTES], done), Err(CorruptLine));
    assert_eq!(decode(b"\xff\xfe\r\n", done), Err(CorruptLine));
    assert_eq!(decode(b"\r\n\r\n", done), Ok(None));
}
