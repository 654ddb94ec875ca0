use super::parse_command;

#[test]
fn command_is_parsed_only_when_complete() {
    let bytes = b"RUN a read 3\r\nx\r\n\r\nSTAT gauges\r\n";
    let (line, body, used) = parse_command(bytes).unwrap().unwrap();
    assert_eq!(
        (line.as_str(), &body[..], used),
        ("RUN a read 3", &b"x\r\n"[..], 19)
    );
    assert!((0..used).all(|end| parse_command(&bytes[..end]).unwrap().is_none()));
    assert_eq!(
        parse_command(&bytes[used..]).unwrap().unwrap().0,
        "STAT gauges"
    );
    assert!(
        parse_command(b"RUN a read many\r\n").is_err()
            && parse_command(b"CALL a 99999999\r\n").is_err()
    );
    assert!(parse_command(b"\xff\xff\r\n").is_err());
}
