use super::*;

fn done(words: &[&str]) -> bool {
    words[0] == "DONE"
}

#[test]
fn a_message_is_read_from_any_split() {
    let mut bytes = Vec::new();
    put(
        &mut bytes,
        format_args!("DONE 3 9b1f03aa5c7e2d41 good 12"),
        Some(b"a\r\nb"),
    );
    for cut in 0..bytes.len() {
        assert_eq!(message(&bytes[..cut], done), Ok(None), "{cut}");
    }
    put(&mut bytes, format_args!("HELLO new 5"), None);
    let (words, body, used) = message(&bytes, done).unwrap().unwrap();
    assert_eq!(
        (words, body),
        (
            vec!["DONE", "3", "9b1f03aa5c7e2d41", "good", "12", "4"],
            &b"a\r\nb"[..]
        )
    );
    let (words, body, rest) = message(&bytes[used..], done).unwrap().unwrap();
    assert_eq!(
        (words, body, used + rest),
        (vec!["HELLO", "new", "5"], &[][..], bytes.len())
    );
}

#[test]
fn garbled_lines_are_told() {
    for bad in [
        "DONE 1 x\r\n",
        "DONE 1 -5\r\n",
        "DONE 1 99999999\r\n",
        "DONE 1 2\r\nabcd",
        "HELLO\n",
    ] {
        assert_eq!(message(bad.as_bytes(), done), Err(Garbled), "{bad:?}");
    }
    assert_eq!(message(&[b'x'; LINE_MOST], done), Err(Garbled));
    assert_eq!(message(b"\xff\xfe\r\n", done), Err(Garbled));
    assert_eq!(message(b"\r\n\r\n", done), Ok(None));
}

#[test]
fn ids_come_back_as_they_were() {
    assert_eq!(
        Ref::parse("9b1f03aa5c7e2d41").unwrap().to_string(),
        "9b1f03aa5c7e2d41"
    );
    assert_eq!(
        Ref::of(0x9b1f_03aa_5c7e_2d41),
        Ref::parse("9b1f03aa5c7e2d41").unwrap()
    );
    assert!(
        ["", "9b1f", "9b1f03aa5c7e2d4x", "9b1f03aa5c7e2d411"]
            .iter()
            .all(|bad| Ref::parse(bad).is_none())
    );
}
