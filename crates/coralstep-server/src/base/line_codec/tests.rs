use super::*;

fn has_body(words: &[&str]) -> bool {
    words[0] == "DONE"
}

#[test]
fn decodes_message_only_once_complete() {
    let mut bytes = Vec::new();
    encode(
        &mut bytes,
        format_args!("DONE 3 9b1f03aa5c7e2d41 good 12"),
        Some(b"a\r\nb"),
    );
    for cut in 0..bytes.len() {
        assert_eq!(decode(&bytes[..cut], has_body), Ok(None), "{cut}");
    }
    encode(&mut bytes, format_args!("HELLO new 5"), None);
    let first = decode(&bytes, has_body).unwrap().unwrap();
    assert_eq!(
        (first.words, first.body),
        (
            vec!["DONE", "3", "9b1f03aa5c7e2d41", "good", "12", "4"],
            &b"a\r\nb"[..]
        )
    );
    let second = decode(&bytes[first.encoded_len..], has_body)
        .unwrap()
        .unwrap();
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
fn rejects_corrupt_lines_and_wrong_body_lengths() {
    for corrupt in [
        "DONE 1 x\r\n",
        "DONE 1 -5\r\n",
        "DONE 1 99999999\r\n",
        "DONE 1 2\r\nabcd",
        "HELLO\n",
    ] {
        assert_eq!(
            decode(corrupt.as_bytes(), has_body),
            Err(CorruptLine),
            "{corrupt:?}"
        );
    }
    assert_eq!(decode(&[b'x'; MAX_LINE_BYTES], has_body), Err(CorruptLine));
    assert_eq!(decode(b"\xff\xfe\r\n", has_body), Err(CorruptLine));
    assert_eq!(decode(b"\r\n\r\n", has_body), Ok(None));
}
