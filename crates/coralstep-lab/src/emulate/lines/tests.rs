use super::command;

#[test]
fn commands_come_whole_whatever_they_are_split_into() {
    let bytes = b"RUN a read 3\r\nx\r\n\r\nSTAT gauges\r\n";
    let (line, body, used) = command(bytes).unwrap().unwrap();
    assert_eq!(
        (line.as_str(), &body[..], used),
        ("RUN a read 3", &b"x\r\n"[..], 19)
    );
    assert!((0..used).all(|end| command(&bytes[..end]).unwrap().is_none()));
    assert_eq!(command(&bytes[used..]).unwrap().unwrap().0, "STAT gauges");
    assert!(command(b"RUN a read many\r\n").is_err() && command(b"CALL a 99999999\r\n").is_err());
    assert!(command(b"\xff\xff\r\n").is_err());
}
